package document

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Change is a difference between two documents in one value. Before and After are JSON,
// or empty if the value is absent.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the changes from one document to another, sorted by path. List elements
// are matched by name, not by position.
func Diff(before, after Document) (changes []Change) {
	beforeValues, afterValues := flatten(before), flatten(after)
	for path, value := range beforeValues {
		if afterValues[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: afterValues[path]})
		}
	}
	for path, value := range afterValues {
		if _, ok := beforeValues[path]; !ok {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// flatten returns the scalar values of a document as JSON, by path.
func flatten(d Document) map[string]string {
	leaves := make(map[string]string)
	text, err := json.Marshal(d)
	if err != nil {
		return leaves
	}
	var tree any
	if err = json.Unmarshal(text, &tree); err == nil {
		addLeaves(leaves, "", tree)
	}
	return leaves
}

// addLeaves adds the scalar values below path to leaves.
func addLeaves(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for name, field := range v {
			addLeaves(leaves, path+"/"+name, field)
		}
	case []any:
		for _, element := range v {
			addLeaves(leaves, path+"/"+elementName(element), element)
		}
	default:
		text, _ := json.Marshal(v)
		leaves[path] = string(text)
	}
}

// elementName returns the path segment of a list element. Key digests are shortened,
// since their first digits are enough to distinguish them.
func elementName(element any) string {
	const shownDigits = 12
	if object, ok := element.(map[string]any); ok {
		return fmt.Sprint(object["name"])
	}
	text := strings.Trim(fmt.Sprint(element), "\"")
	return text[:min(shownDigits, len(text))]
}
