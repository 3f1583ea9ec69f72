// Package endpoint defines the client with which the owner of a cell starts, stops and
// polls the runs on its endpoints.
package endpoint

import (
	"context"
	"net/netip"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Target identifies the endpoint that a call is meant for. An endpoint with another
// ID that is reached at the address rejects the call.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Epoch is the fencing token of an owner. An endpoint rejects calls whose epoch is
// lower than the highest that it has received.
type Epoch int64

// Receipt is the result of a call to an endpoint.
type Receipt struct {
	Answer jobs.Answer
	// Clock is the endpoint's clock in milliseconds, 0 if the response did not
	// include it.
	Clock int64
	// ConnectedAt is when the connection that carried the call had been opened, zero if
	// no connection was opened or the time is unknown.
	ConnectedAt time.Time
	// IsBound and IsSilent are those of jobs.Reply.
	IsBound, IsSilent bool
	// Reason is the endpoint's reason for a refusal, or the error of a call without
	// a response.
	Reason string
}

// Poll holds the arguments of a poll.
type Poll struct {
	Epoch Epoch
	// Born is the incarnation that the poll is meant for, as in jobs.Poll.
	Born int64
	// Seen acknowledges all run ends up to this number of the incarnation Born. The endpoint need not keep
	// them any longer.
	Seen int64
	// Until is the new expiry of the grant of all runs on the endpoint's clock, in
	// milliseconds; 0 leaves the grant as it is.
	Until int64
	// Wait is how long the endpoint may delay its response until a run ends; with 0 it
	// responds at once.
	Wait time.Duration
}

// Client holds the calls to endpoints. Each call returns at the latest when its context
// ends.
type Client struct {
	// Start orders the start of a run. No other incarnation than order.Born carries it out: its grant would
	// be for another clock.
	Start func(ctx context.Context, target Target, epoch Epoch, order jobs.Start) Receipt
	// Stop orders the stop of a run.
	Stop func(ctx context.Context, target Target, epoch Epoch, order jobs.Stop) Receipt
	// Pace limits a run to a percentage of its full speed.
	Pace func(ctx context.Context, target Target, epoch Epoch, order jobs.Pace) Receipt
	// Poll polls an endpoint: it lists the runs and extends their grant. Another incarnation than
	// poll.Born lists its runs, too, but gets neither the grant nor the acknowledgement of ends; the one that is
	// meant may not get them either.
	// The listing is valid only if the answer of the receipt is jobs.Accepted.
	Poll func(ctx context.Context, target Target, poll Poll) (jobs.Listing, Receipt)
	// Forget releases what is kept for calls to an endpoint that will get no more of
	// them. It may be nil.
	Forget func(target Target)
}

// Registration is what an endpoint has registered in service discovery.
type Registration struct {
	Profile jobs.Profile
	Address netip.AddrPort
	Pool    string
	// Clock is the endpoint's clock in milliseconds at the time it wrote the
	// registration.
	Clock int64
}
