// Package fleet holds the document that says which pool every instance is in
// and what is being done to it. It is one document, so that "in exactly one
// pool" and every budget are checked by one compare-and-swap.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/google/uuid"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// State is what an instance is doing.
type State string

// States of an instance.
const (
	// Serving instances get work.
	Serving State = "serving"
	// Draining instances get no new work.
	Draining State = "draining"
	// Rebooting instances run nothing and are being maintained.
	Rebooting State = "rebooting"
	// Down instances are missing from the live list.
	Down State = "down"
)

// Reason says why an instance does not serve.
type Reason string

// Reasons of a state.
const (
	// ByOperator is a drain that an operator asked for.
	ByOperator Reason = "operator"
	// ByWave is a drain of a maintenance wave.
	ByWave Reason = "wave"
	// ByMove is a drain for a move to another pool.
	ByMove Reason = "move"
	// ByFailure is an instance that went missing.
	ByFailure Reason = "failure"
	// ByPlatform is an instance that the platform lists as leaving.
	ByPlatform Reason = "platform"
)

// Instance is one member of the fleet.
type Instance struct {
	Name    string         `json:"name"`
	Pool    string         `json:"pool"`
	Centre  string         `json:"centre"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	Slots   uint32         `json:"slots"`
	State   State          `json:"state"`
	Reason  Reason         `json:"reason,omitempty"`
	// Target is the pool that a moving instance goes to.
	Target string `json:"target,omitempty"`
	// Boot is the boot that the instance is known to be on.
	Boot string `json:"boot,omitempty"`
	// Since is the fleet revision at which the state was entered.
	Since uint64 `json:"since"`
	// Cycle is the last maintenance cycle in which the instance was rebooted.
	Cycle uint64 `json:"cycle"`
}

// IsServing returns whether the instance gets work.
func (i Instance) IsServing() bool { return i.State == Serving }

// Fleet is the document.
type Fleet struct {
	// ID is unique to each write, so that a lost reply can be settled.
	ID string `json:"id"`
	// Revision counts writes from 1. It never goes back.
	Revision uint64 `json:"revision"`
	// Cycle is the maintenance cycle under way; an instance whose own cycle is
	// lower is still to be maintained.
	Cycle uint64 `json:"cycle"`
	// Paused tells that no wave starts until an operator lets it.
	Paused    bool       `json:"paused,omitempty"`
	Instances []Instance `json:"instances"`
}

// Next returns a copy to be changed and written as the successor.
func (f Fleet) Next() Fleet {
	next := f
	next.ID = uuid.NewString()
	next.Revision++
	next.Instances = append([]Instance(nil), f.Instances...)
	return next
}

// Find returns the position of the instance of the name, -1 if there is none.
func (f Fleet) Find(name string) int {
	for i := range f.Instances {
		if f.Instances[i].Name == name {
			return i
		}
	}
	return -1
}

// Set changes the state of the instance at a position.
func (f *Fleet) Set(position int, state State, reason Reason) {
	i := &f.Instances[position]
	i.State = state
	i.Reason = reason
	i.Since = f.Revision
}

// Parse reads and checks a fleet document.
func Parse(data []byte) (parsed Fleet, err error) {
	defer fault.Annotate(&err, "reading the fleet")
	if err = json.Unmarshal(data, &parsed); err != nil {
		return Fleet{}, err
	}
	return parsed, parsed.check()
}

// check finds what no writer of the fleet would leave. The error is a
// *fault.ListError.
func (f Fleet) check() error {
	list := &fault.ValidationError{}
	if f.ID == "" || f.Revision == 0 {
		list.Add("/id", "the document has no id or no revision")
	}
	seen := make(map[string]bool, len(f.Instances))
	for position, i := range f.Instances {
		path := fmt.Sprintf("/instances/%d", position)
		if i.Name == "" || seen[i.Name] {
			list.Add(path+"/name", "the name %q is empty or taken", i.Name)
		}
		seen[i.Name] = true
		if i.Pool == "" {
			list.Add(path+"/pool", "the instance is in no pool")
		}
		if !i.State.isKnown() {
			list.Add(path+"/state", "%q is no state", i.State)
		}
	}
	return list.Err()
}

func (s State) isKnown() bool {
	return s == Serving || s == Draining || s == Rebooting || s == Down
}
