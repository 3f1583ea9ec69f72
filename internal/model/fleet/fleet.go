// Package fleet defines the fleet document, which assigns each instance to a pool and
// holds its state. It is a single document, so that one compare-and-swap ensures both
// that an instance is in exactly one pool and that all budgets are kept.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/google/uuid"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

// State is the state of an instance.
type State string

// States of an instance.
const (
	// Serving instances are sent requests.
	Serving State = "serving"
	// Draining instances finish their requests and are sent no new ones.
	Draining State = "draining"
	// Rebooting instances run no requests and are being maintained.
	Rebooting State = "rebooting"
	// Down instances are missing from the platform's list of live instances.
	Down State = "down"
)

// Reason is the reason why an instance is not serving; it is empty for one that is.
type Reason string

// The reasons of a state.
const (
	// ByOperator means that an operator requested the drain.
	ByOperator Reason = "operator"
	// ByWave means that the instance is maintained in a maintenance wave.
	ByWave Reason = "wave"
	// ByMove means that the instance is drained for a move to another pool.
	ByMove Reason = "move"
	// ByFailure means that the instance disappeared from the platform's list.
	ByFailure Reason = "failure"
	// ByPlatform means that the platform lists the instance as leaving.
	ByPlatform Reason = "platform"
)

// Instance is an instance with its pool and state.
type Instance struct {
	Name    string         `json:"name"`
	Pool    string         `json:"pool"`
	Centre  string         `json:"centre"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	Slots   uint32         `json:"slots"`
	State   State          `json:"state"`
	Reason  Reason         `json:"reason,omitempty"`
	// TargetPool is the destination pool of an instance that is drained for a move.
	TargetPool string `json:"target,omitempty"`
	// BootID identifies the last known boot of the instance.
	BootID string `json:"boot,omitempty"`
	// SinceRevision is the fleet revision in which the state was last set.
	SinceRevision uint64 `json:"since"`
	// Cycle is the last maintenance cycle in which the instance was rebooted.
	Cycle uint64 `json:"cycle"`
}

// IsServing reports whether the instance is sent requests.
func (i Instance) IsServing() bool { return i.State == Serving }

// Fleet is the fleet document. Treat it as immutable; use Next to make a changed copy.
type Fleet struct {
	// ID is unique to each write, so that a writer whose reply was lost can recognise
	// its own write.
	ID string `json:"id"`
	// Revision is the number of the write, from 1. It never decreases.
	Revision uint64 `json:"revision"`
	// Cycle is the current maintenance cycle. Instances whose own cycle is lower have
	// not been maintained in it yet.
	Cycle uint64 `json:"cycle"`
	// IsPaused reports that no waves start until an operator resumes them.
	IsPaused  bool       `json:"paused,omitempty"`
	Instances []Instance `json:"instances"`
}

// Next returns a copy with the next revision and a new ID, to be changed and written.
func (f Fleet) Next() Fleet {
	next := f
	next.ID = uuid.NewString()
	next.Revision++
	next.Instances = append([]Instance(nil), f.Instances...)
	return next
}

// Find returns the index of the instance with the given name, -1 if there is none.
func (f Fleet) Find(name string) int {
	for i := range f.Instances {
		if f.Instances[i].Name == name {
			return i
		}
	}
	return -1
}

// SetState sets the state of the instance at an index, as of the revision of f.
func (f *Fleet) SetState(index int, state State, reason Reason) {
	i := &f.Instances[index]
	i.State = state
	i.Reason = reason
	i.SinceRevision = f.Revision
}

// Parse decodes and checks a fleet document. The error of a check is a
// *fault.ValidationError with every fault.
func Parse(data []byte) (parsed Fleet, err error) {
	defer fault.Annotate(&err, "reading the fleet")
	if err = json.Unmarshal(data, &parsed); err != nil {
		return Fleet{}, err
	}
	return parsed, parsed.check()
}

// check checks the conditions that every writer of the document maintains. The error is
// a *fault.ValidationError.
func (f Fleet) check() error {
	faults := &fault.ValidationError{}
	if f.ID == "" || f.Revision == 0 {
		faults.Add("/id", "the document has no id or no revision")
	}
	names := make(map[string]bool, len(f.Instances))
	for index, i := range f.Instances {
		path := fmt.Sprintf("/instances/%d", index)
		if i.Name == "" || names[i.Name] {
			faults.Add(path+"/name", "the name %q is empty or taken", i.Name)
		}
		names[i.Name] = true
		if i.Pool == "" {
			faults.Add(path+"/pool", "the instance is in no pool")
		}
		if !i.State.isValid() {
			faults.Add(path+"/state", "%q is no state", i.State)
		}
	}
	return faults.Err()
}

func (s State) isValid() bool {
	return s == Serving || s == Draining || s == Rebooting || s == Down
}
