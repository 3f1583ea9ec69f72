package jobs

import (
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/fairshare"
)

// ShareDistance returns the distance of the usage of client accounts from their fair shares
// over the last 5 s of contention (fairshare.Window), 0 before that.
func (c *Cell) ShareDistance() float64 { return c.shares.Distance() }

// IsSharing reports whether client accounts contend for the cell: together they ask for more
// than it has, so that some work waits.
func (c *Cell) IsSharing() bool { return c.shares.IsContended() }

// TakeHeldBack returns reports on the client accounts whose work is held back because they
// are above their share, each at most once per second.
func (c *Cell) TakeHeldBack(now time.Time) []fairshare.Report { return c.shares.TakeHeldBack(now) }

// ShareDump is the state of a client account's share of a cell.
type ShareDump struct {
	Weight float64 `json:"weight"`
	// Entitled is the fraction of the served work that the account was entitled to over the
	// last 5 s of contention, Used the one that it got.
	Entitled float64 `json:"entitled"`
	Used     float64 `json:"used"`
	// Share is the dominant share of the cell that its runs use now, ShareEntitled the one
	// that it is entitled to.
	Share         float64 `json:"share"`
	ShareEntitled float64 `json:"share_entitled"`
	// Waiting is the work that could run now and has no run, in seconds of the whole cell.
	Waiting float64 `json:"waiting"`
	// Reason is why work of the account waits, empty if none does.
	Reason string `json:"reason,omitempty"`
}

// dumpShares returns the shares of all accounts that have or had work in the last seconds.
func (c *Cell) dumpShares() map[string]ShareDump {
	if c.config.AccountWeight == nil {
		return nil
	}
	shares := make(map[string]ShareDump)
	for _, r := range c.shares.Reports() {
		shares[r.Account] = ShareDump{
			Weight: r.Demand.Weight, Entitled: r.Entitled, Used: r.Used, Share: r.Demand.Used,
			ShareEntitled: r.Entitlement.Total, Waiting: r.Demand.Waiting, Reason: c.waitReason(r),
		}
	}
	return shares
}

// waitReason returns why work of an account waits, empty if none does.
func (c *Cell) waitReason(r fairshare.Report) string {
	_, isLimited := c.wanted[r.Account]
	switch {
	case r.Demand.Waiting <= 0:
		return ""
	case isLimited:
		return "limit of the client account"
	case r.IsHeldBack && r.Demand.Weight == 0:
		return "no weight: waits for what other accounts leave"
	case r.IsHeldBack:
		return "above its share"
	default:
		return "within its share: waits for runs to end, or for a suitable endpoint"
	}
}
