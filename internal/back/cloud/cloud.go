// Package cloud defines the client of the cloud API, which lists machines, moves them
// between pools and takes them down for maintenance. Moving a machine into or out of a
// standby pool turns it on or off.
package cloud

import (
	"context"
	"errors"
)

// Errors returned by the calls of Client, possibly wrapped.
var (
	// ErrFenced means that a holder with a higher epoch has already given an order
	// for the machine.
	ErrFenced = errors.New("a later holder orders this machine")
	// ErrBusy means that the machine is not up or is already leaving its pool.
	ErrBusy = errors.New("the machine is busy")
	// ErrNotInWave means that the machine is not part of the wave.
	ErrNotInWave = errors.New("the machine is not part of the wave")
	// ErrUnknown means that the machine does not exist or is not eligible for the
	// pool.
	ErrUnknown = errors.New("no such machine for this pool")
	// ErrRefused means that the call was certainly not carried out. It may be retried.
	ErrRefused = errors.New("the cloud refused the call")
	// ErrIndeterminate means that no usable response arrived, or one that does not rule
	// out an effect. The call may have been carried out.
	ErrIndeterminate = errors.New("the cloud did not answer")
)

// State is the state of a machine, as the cloud API spells it.
type State string

// The states of a machine.
const (
	Up State = "up"
	// Moving means that the machine is being moved to another pool.
	Moving State = "moving"
	// Maintenance means that the machine is down for maintenance.
	Maintenance State = "upkeep"
	Down        State = "down"
)

// Machine is one machine as the cloud lists it.
type Machine struct {
	ID    string
	Pool  string
	State State
	// Centre is the data centre.
	Centre string
	// Endpoint is the ID of the endpoint on the machine, empty if it is off.
	Endpoint string
	Labels   []string
}

// Holder identifies the sender of an order. The cloud rejects orders whose epoch is
// lower than the highest that it has received for the machine.
type Holder struct {
	Name  string
	Epoch int64
}

// Wave is an operator's request to maintain a set of machines within a time limit.
type Wave struct {
	Number int
	// Machines holds the IDs of the machines.
	Machines []string
	// Seconds is the time within which all machines are to be maintained.
	Seconds float64
	// MaxDown is the maximum number of machines that may be down at the same time.
	MaxDown int
}

// Client holds the calls of the cloud API. Each call returns at the latest when its
// context ends.
type Client struct {
	// Machines lists the machines of all pools.
	Machines func(ctx context.Context) ([]Machine, error)
	// Move orders the move of a machine to a pool.
	Move func(ctx context.Context, holder Holder, machine, pool string) error
	// Maintain orders the maintenance of a machine as part of the wave of that
	// number.
	Maintain func(ctx context.Context, holder Holder, machine string, wave int) error
}
