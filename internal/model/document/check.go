package document

import (
	_ "embed" // The schema is part of the program.
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

const (
	// wholeShare is the sum of the shares of all teams, in percent.
	wholeShare = 100
	// shareRounding allows for sums of decimal fractions.
	shareRounding = 1e-6
	// maxLongest bounds run times: it is how long a lost unit stays counted.
	maxLongest = time.Hour
)

//go:embed schema.json
var schemaText []byte

var schema = fault.CompileSchema("document.json", schemaText)

// Parse reads and checks a document. The error is a *fault.ListError with every
// fault: those of form, and those between the parts as far as they can be read.
func Parse(data []byte) (parsed Document, err error) {
	formErr := fault.Decode(schema, data, &parsed)
	if formErr == nil {
		return parsed, parsed.Check()
	}
	list := &fault.ValidationError{}
	errors.As(formErr, &list)
	// What has the wrong type is left out; the rest is read all the same.
	_ = json.Unmarshal(data, &parsed)
	var between *fault.ValidationError
	if errors.As(parsed.Check(), &between) {
		list.Merge(between)
	}
	return Document{}, list
}

// Check finds every fault between the parts of a document whose form is right.
// The error is a *fault.ListError.
func (d Document) Check() error {
	list := &fault.ValidationError{}
	pools := d.checkPools(list)
	teams := d.checkTeams(list)
	d.checkServices(list, pools, teams)
	if d.Spare != "" && !pools[d.Spare] {
		list.Add("/spare", "no pool is named %q", d.Spare)
	}
	checkLongest(list, "/longest", d.Longest)
	return list.Err()
}

func (d Document) checkPools(list *fault.ValidationError) map[string]bool {
	names := make(map[string]bool)
	for i, p := range d.Pools {
		checkName(list, names, fmt.Sprintf("/pools/%d/name", i), p.Name)
	}
	return names
}

func (d Document) checkTeams(list *fault.ValidationError) map[string]bool {
	names := make(map[string]bool)
	owners := make(map[string]string)
	sum := 0.0
	for i, t := range d.Teams {
		checkName(list, names, fmt.Sprintf("/teams/%d/name", i), t.Name)
		sum += t.Share
		for k, key := range t.Keys {
			if owner, taken := owners[key]; taken {
				list.Add(fmt.Sprintf("/teams/%d/keys/%d", i, k), "team %q has this key already", owner)
			}
			owners[key] = t.Name
		}
	}
	if sum > wholeShare+shareRounding {
		list.Add("/teams", "the shares add up to %g percent, more than the whole", sum)
	}
	return names
}

func (d Document) checkServices(list *fault.ValidationError, pools, teams map[string]bool) {
	names := make(map[string]bool)
	for i, s := range d.Services {
		path := fmt.Sprintf("/services/%d", i)
		checkName(list, names, path+"/name", s.Name)
		checkLongest(list, path+"/longest", s.Longest)
		if !pools[s.Pool] {
			list.Add(path+"/pool", "no pool is named %q", s.Pool)
		}
		if s.Open != "" && !teams[s.Open] {
			list.Add(path+"/open", "no team is named %q", s.Open)
		}
		if d.Longest != 0 && s.Longest > d.Longest {
			list.Add(path+"/longest", "longer than the longest run of all services, %s", time.Duration(d.Longest))
		}
	}
}

func checkName(list *fault.ValidationError, names map[string]bool, path, name string) {
	if names[name] {
		list.Add(path, "the name %q is taken", name)
	}
	names[name] = true
}

func checkLongest(list *fault.ValidationError, path string, longest Duration) {
	if time.Duration(longest) > maxLongest {
		list.Add(path, "longer than %s", maxLongest)
	}
}
