// Package fault reports the faults that are found in JSON documents, and has a
// helper that adds context to the error of a function.
package fault

import (
	"fmt"
	"strings"
)

// Annotate wraps *err with a formatted prefix; a nil error stays nil. It is meant
// to be deferred at the top of a function with a named error result, so that every
// return adds the same context.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), *err)
	}
}

// Fault is an invalid value in a JSON document.
type Fault struct {
	// Path is a JSON pointer to the value, empty for the document as a whole.
	Path string `json:"path"`
	// Reason says why the value is invalid.
	Reason string `json:"reason"`
}

// ValidationError is returned for an invalid document and lists its faults.
type ValidationError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (v *ValidationError) Error() string {
	lines := make([]string, len(v.Faults))
	for i, f := range v.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the path and the reason.
func (f Fault) String() string {
	if f.Path == "" {
		return "the document as a whole: " + f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Add appends a fault with a formatted reason.
func (v *ValidationError) Add(path, format string, args ...any) {
	v.Faults = append(v.Faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Merge appends the faults of other whose paths have no fault in v yet.
func (v *ValidationError) Merge(other *ValidationError) {
	paths := make(map[string]bool)
	for _, f := range v.Faults {
		paths[f.Path] = true
	}
	for _, f := range other.Faults {
		if !paths[f.Path] {
			v.Faults = append(v.Faults, f)
		}
	}
}

// Err returns v as an error, or nil if it has no faults.
func (v *ValidationError) Err() error {
	if len(v.Faults) == 0 {
		return nil
	}
	return v
}
