// Package endpoint describes how the owner of a cell gives orders to endpoints.
package endpoint

import (
	"context"
	"net/netip"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Target is an endpoint to call.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Epoch is the fencing token of an owner: an endpoint obeys none that is lower
// than the highest it has seen.
type Epoch int64

// Receipt is the answer to an order.
type Receipt struct {
	Answer jobs.Answer
	// Clock is the endpoint's clock in milliseconds, 0 if it did not tell.
	Clock int64
	// Reason is the endpoint's word for a refusal.
	Reason string
}

// Look asks an endpoint for its runs.
type Look struct {
	Epoch Epoch
	// Seen is the last end that may be forgotten.
	Seen int64
	// Until extends the grant of all runs, 0 to leave it.
	Until int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Client makes the calls. All are bounded by their context.
type Client struct {
	Start func(ctx context.Context, target Target, epoch Epoch, order jobs.Start) Receipt
	Stop  func(ctx context.Context, target Target, epoch Epoch, order jobs.Stop) Receipt
	Pace  func(ctx context.Context, target Target, epoch Epoch, order jobs.Pace) Receipt
	// Look lists the runs. The listing holds only if the answer is Accepted.
	Look func(ctx context.Context, target Target, look Look) (jobs.Listing, Receipt)
}

// Entry is what discovery says of an endpoint.
type Entry struct {
	Profile jobs.Profile
	Address netip.AddrPort
	// Pool is the pool that the endpoint belongs to.
	Pool string
	// Clock is the endpoint's clock in milliseconds when it wrote the entry.
	Clock int64
}
