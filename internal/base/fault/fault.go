// Package fault holds the errors that are shared by several packages, and the
// helper that annotates a named result once.
package fault

import (
	"fmt"
	"strings"
)

// Annotate puts text in front of the error that err points to, if there is one.
// It is meant for a deferred call at the top of a function.
func Annotate(err *error, format string, values ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, values...), *err)
	}
}

// Fault is one mistake in a JSON document.
type Fault struct {
	// Path is a JSON pointer to the value.
	Path string `json:"path"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// ListError is the error of a document that was refused: every fault in it.
type ListError struct {
	Faults []Fault
}

// Error implements error.
func (l *ListError) Error() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Path == "" {
		return "the document as a whole: " + f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Add notes a fault.
func (l *ListError) Add(path, format string, values ...any) {
	l.Faults = append(l.Faults, Fault{Path: path, Reason: fmt.Sprintf(format, values...)})
}

// Merge adds the faults of another list at places where this one has none.
func (l *ListError) Merge(other *ListError) {
	known := make(map[string]bool)
	for _, f := range l.Faults {
		known[f.Path] = true
	}
	for _, f := range other.Faults {
		if !known[f.Path] {
			l.Faults = append(l.Faults, f)
		}
	}
}

// Err returns the list as an error, nil if it is empty.
func (l *ListError) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	return l
}
