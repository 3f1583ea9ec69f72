package document

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents. Values are JSON; an absent
// one is empty.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists what changes from one document to the other. List entries are
// told apart by name, not by position.
func Diff(before, after Document) (changes []Change) {
	old, current := flatten(before), flatten(after)
	for path, value := range old {
		if current[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: current[path]})
		}
	}
	for path, value := range current {
		if _, ok := old[path]; !ok {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

func flatten(d Document) map[string]string {
	leaves := make(map[string]string)
	text, err := json.Marshal(d)
	if err != nil {
		return leaves
	}
	var tree any
	if err = json.Unmarshal(text, &tree); err == nil {
		flattenValue(leaves, "", tree)
	}
	return leaves
}

func flattenValue(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for name, field := range v {
			flattenValue(leaves, path+"/"+name, field)
		}
	case []any:
		for _, element := range v {
			flattenValue(leaves, path+"/"+elementName(element), element)
		}
	default:
		text, _ := json.Marshal(v)
		leaves[path] = string(text)
	}
}

// elementName is the name of a list entry. Keys are shortened: a digest says
// nothing to a reader, and its first digits are enough to tell it apart.
func elementName(element any) string {
	const shown = 12
	if object, ok := element.(map[string]any); ok {
		return fmt.Sprint(object["name"])
	}
	text := strings.Trim(fmt.Sprint(element), "\"")
	return text[:min(shown, len(text))]
}
