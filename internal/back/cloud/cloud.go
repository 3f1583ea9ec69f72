// Package cloud describes the calls that turn machines on and off, move them
// between pools and maintain them.
package cloud

import (
	"context"
	"errors"
)

// Errors of calls.
var (
	// ErrFenced says that a later holder has given an order for the machine.
	ErrFenced = errors.New("a later holder orders this machine")
	// ErrBusy says that the machine is not up, or leaving.
	ErrBusy = errors.New("the machine is busy")
	// ErrWave says that the machine is not part of the wave.
	ErrWave = errors.New("the machine is not part of the wave")
	// ErrUnknown says that there is no such machine or that it does not suit the
	// pool.
	ErrUnknown = errors.New("no such machine for this pool")
	// ErrLater says that the call was not carried out and may be made again.
	ErrLater = errors.New("the cloud refused the call")
	// ErrOpen says that the call may have been carried out.
	ErrOpen = errors.New("the cloud did not answer")
)

// State is what a machine is doing.
type State string

// The states of a machine.
const (
	Up     State = "up"
	Moving State = "moving"
	Upkeep State = "upkeep"
	Down   State = "down"
)

// Machine is a machine of a pool.
type Machine struct {
	ID    string
	Pool  string
	State State
	// Centre is the data centre, Endpoint the ID of the endpoint that it runs.
	Centre   string
	Endpoint string
	Labels   []string
}

// Holder names who orders, and under which epoch.
type Holder struct {
	Name  string
	Epoch int64
}

// Wave asks that machines are maintained in time.
type Wave struct {
	Number   int
	Machines []string
	// Seconds is how long the wave may take, Most how many machines may be down
	// at once.
	Seconds float64
	Most    int
}

// Client makes the calls. All are bounded by their context.
type Client struct {
	Machines func(ctx context.Context) ([]Machine, error)
	Move     func(ctx context.Context, holder Holder, machine, pool string) error
	Maintain func(ctx context.Context, holder Holder, machine string, wave int) error
}
