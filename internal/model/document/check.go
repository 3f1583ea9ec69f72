package document

import (
	_ "embed" // for schema.json
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

const (
	// maxShareSum is the maximum sum of the shares of all teams, in percent.
	maxShareSum = 100
	// shareSumTolerance allows for rounding errors in sums of decimal fractions, in
	// percent.
	shareSumTolerance = 1e-6
	// runTimeLimit bounds the maximum run times that a document may set, since a lost
	// unit counts as used for as long as the longest request may run.
	runTimeLimit = time.Hour
)

//go:embed schema.json
var schemaText []byte

var schema = fault.CompileSchema("document.json", schemaText)

// Parse decodes and checks a document. The error is a *fault.ValidationError with every
// fault: violations of the schema, and invalid references and combinations among the
// parts that can be decoded.
func Parse(data []byte) (parsed Document, err error) {
	schemaErr := fault.Decode(schema, data, &parsed)
	if schemaErr == nil {
		return parsed, parsed.Check()
	}
	faults := &fault.ValidationError{}
	errors.As(schemaErr, &faults)
	// Unmarshal skips values of the wrong type and decodes the others.
	_ = json.Unmarshal(data, &parsed)
	var crossFaults *fault.ValidationError
	if errors.As(parsed.Check(), &crossFaults) {
		faults.Merge(crossFaults)
	}
	return Document{}, faults
}

// Check checks what the schema cannot express: unique names and keys, references, the sum
// of the shares and the maximum run times. The error is a *fault.ValidationError with every
// fault.
func (d Document) Check() error {
	faults := &fault.ValidationError{}
	pools := d.checkPools(faults)
	teams := d.checkTeams(faults)
	d.checkServices(faults, pools, teams)
	if d.SparePool != "" && !pools[d.SparePool] {
		faults.Add("/spare", "no pool is named %q", d.SparePool)
	}
	checkMaxRunTime(faults, "/longest", d.MaxRunTime)
	return faults.Err()
}

// checkPools checks the pools and returns the set of their names.
func (d Document) checkPools(faults *fault.ValidationError) map[string]bool {
	names := make(map[string]bool)
	for i, p := range d.Pools {
		checkName(faults, names, fmt.Sprintf("/pools/%d/name", i), p.Name)
	}
	return names
}

// checkTeams checks the teams and returns the set of their names.
func (d Document) checkTeams(faults *fault.ValidationError) map[string]bool {
	names := make(map[string]bool)
	teamByKey := make(map[string]string)
	shareSum := 0.0
	for i, t := range d.Teams {
		checkName(faults, names, fmt.Sprintf("/teams/%d/name", i), t.Name)
		shareSum += t.Share
		for k, key := range t.KeyDigests {
			if teamName, isTaken := teamByKey[key]; isTaken {
				faults.Add(fmt.Sprintf("/teams/%d/keys/%d", i, k), "team %q has this key already", teamName)
			}
			teamByKey[key] = t.Name
		}
	}
	if shareSum > maxShareSum+shareSumTolerance {
		faults.Add("/teams", "the shares add up to %g percent, more than the whole", shareSum)
	}
	return names
}

func (d Document) checkServices(faults *fault.ValidationError, pools, teams map[string]bool) {
	names := make(map[string]bool)
	for i, s := range d.Services {
		path := fmt.Sprintf("/services/%d", i)
		checkName(faults, names, path+"/name", s.Name)
		checkMaxRunTime(faults, path+"/longest", s.MaxRunTime)
		if !pools[s.Pool] {
			faults.Add(path+"/pool", "no pool is named %q", s.Pool)
		}
		if s.AnonymousTeam != "" && !teams[s.AnonymousTeam] {
			faults.Add(path+"/open", "no team is named %q", s.AnonymousTeam)
		}
		if d.MaxRunTime != 0 && s.MaxRunTime > d.MaxRunTime {
			faults.Add(path+"/longest", "longer than the longest run of all services, %s", time.Duration(d.MaxRunTime))
		}
	}
}

// checkName adds a fault if the name is in names, and adds it to names.
func checkName(faults *fault.ValidationError, names map[string]bool, path, name string) {
	if names[name] {
		faults.Add(path, "the name %q is taken", name)
	}
	names[name] = true
}

func checkMaxRunTime(faults *fault.ValidationError, path string, maxRunTime Duration) {
	if time.Duration(maxRunTime) > runTimeLimit {
		faults.Add(path, "longer than %s", runTimeLimit)
	}
}
