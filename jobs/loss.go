package jobs

import "time"

// LossRule is what showed that a run is gone although its end was not listed.
type LossRule string

// The rules by which runs count as lost.
const (
	// LostAbsent means that a listing does not contain the run.
	LostAbsent LossRule = "not listed"
	// LostRestarted means the same of a listing after a restart of the endpoint.
	LostRestarted LossRule = "not listed after a restart"
	// LostReplaced means that another endpoint is up on the machine.
	LostReplaced LossRule = "replaced"
	// LostExpired means that the last grant has expired.
	LostExpired LossRule = "grant expired"
	// LostMisdirected means that the endpoint at the address has another ID.
	LostMisdirected LossRule = "address has another endpoint"
)

// Loss reports a run that counts as lost, and what that was concluded from.
type Loss struct {
	Task     string
	Run      int
	Endpoint string
	Rule     LossRule
	// State is what was known about the run before.
	State string
	// Born is the incarnation that the run was placed on, PresentBorn the one that the
	// endpoint is known to have now, RegisteredBorn the one that discovery lists.
	Born, PresentBorn, RegisteredBorn int64
	// ListedClock is the endpoint's clock in the last listing, in milliseconds.
	ListedClock int64
	// OrderedFor, AcceptedFor, StoppedFor, ConnectedFor, ListedFor and SilentFor are the times
	// since the start was ordered and known to be carried out, the stop was, the connection
	// that carried the start was opened, the last listing was asked for and the endpoint
	// answered last; -1 if that has not happened or is unknown.
	OrderedFor, AcceptedFor, StoppedFor, ConnectedFor, ListedFor, SilentFor time.Duration
	// OpenFor is how long the start may still be carried out, 0 if it can't be.
	OpenFor time.Duration
}

// loss is what a task keeps of the last of its runs that counted as lost.
type loss struct {
	run      int
	endpoint string
	rule     LossRule
	at       time.Time
}

// maxLosses is the number of losses that are kept to be reported.
const maxLosses = 32

// TakeLosses returns the runs that were lost since the last call, the first ones if there were
// many, and the number of all of them.
func (c *Cell) TakeLosses() (losses []Loss, count int) {
	losses, count = c.losses, c.lossCount
	c.losses, c.lossCount = nil, 0
	return losses, count
}

// loseRun removes a run of which no end was listed.
func (c *Cell) loseRun(now time.Time, r *run, rule LossRule) {
	c.counts.Lost++
	c.lossCount++
	c.recordLateStart(r)
	r.task.lastLoss = &loss{run: r.number, endpoint: r.endpoint.ID, rule: rule, at: now}
	if len(c.losses) < maxLosses {
		c.losses = append(c.losses, c.newLoss(now, r, rule))
	}
	c.removeRun(r)
}

func (c *Cell) newLoss(now time.Time, r *run, rule LossRule) Loss {
	e := r.endpoint
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return now.Sub(at)
	}
	return Loss{
		Task: r.task.name, Run: r.number, Endpoint: e.ID, Rule: rule, State: r.describe(),
		Born: r.orderedBorn, PresentBorn: e.born, RegisteredBorn: e.registeredBorn,
		ListedClock: e.listedClock,
		OrderedFor:  since(r.orderedAt), AcceptedFor: since(r.acceptedAt), StoppedFor: since(r.stoppedAt),
		ConnectedFor: since(r.connectedAt), ListedFor: since(e.listedSince), SilentFor: since(e.lastContact),
		OpenFor: max(c.openStart(r).Sub(now), 0),
	}
}

// OrphanOrigin is what the cell knows about a run that an endpoint lists and that it does not
// have.
type OrphanOrigin struct {
	// LastRun is the number of the last run of the task that is known, 0 if the task is not.
	LastRun int
	// CurrentRun and CurrentEndpoint are the run that the cell has instead, 0 and empty if
	// there is none.
	CurrentRun      int
	CurrentEndpoint string
	// Rule is by which the run counted as lost on this endpoint, LostFor how long ago that
	// was; empty if this owner did not order it, or not as the last one that was lost.
	Rule    LossRule
	LostFor time.Duration
}

// OrphanOrigin returns what is known about a run for which ApplyListing returned a stop.
func (c *Cell) OrphanOrigin(now time.Time, orphan Stop) (origin OrphanOrigin) {
	t := c.findTask(orphan.Task)
	if t == nil {
		return origin
	}
	origin.LastRun = t.lastRun
	if t.run != nil {
		origin.CurrentRun, origin.CurrentEndpoint = t.run.number, t.run.endpoint.ID
	}
	if l := t.lastLoss; l != nil && l.run == orphan.Run && l.endpoint == orphan.Endpoint {
		origin.Rule, origin.LostFor = l.rule, now.Sub(l.at)
	}
	return origin
}
