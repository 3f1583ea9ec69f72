package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Limits on reports of unresolved runs.
const (
	// unresolvedReportDelay is how long a run must be unresolved before it is reported,
	// unresolvedRepeatInterval the minimum time between two reports of it.
	unresolvedReportDelay    = 3 * time.Second
	unresolvedRepeatInterval = 5 * time.Second
	// unresolvedReportInterval is the minimum time between two sets of reports,
	// maxUnresolvedReports the maximum number of reports in a set.
	unresolvedReportInterval = time.Second
	maxUnresolvedReports     = 3
)

// UnresolvedRun is a run of a long-running task that may exist or not. Until that is
// known, the task is not placed again.
type UnresolvedRun struct {
	Task     string
	Run      int
	Endpoint string
	// State is what is known about the run.
	State string
	// EndpointState is why no new work is placed on the endpoint, empty if it is.
	EndpointState string
	// UnresolvedFor is how long that has been so, ExpiresIn after what time the run counts
	// as ended if the endpoint never answers again.
	UnresolvedFor, ExpiresIn time.Duration
}

// UnresolvedRuns returns reports on a few unresolved runs, the oldest first, and the number
// of those that are due. Calls and repeated reports on a run are rate-limited, so it may be
// called in each planning cycle.
func (c *Cell) UnresolvedRuns(now time.Time) (reports []UnresolvedRun, due int) {
	if now.Sub(c.unresolvedCheckedAt) < unresolvedReportInterval {
		return nil, 0
	}
	c.unresolvedCheckedAt = now
	var runs []*run
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			if c.isUnresolvedReportDue(now, r) {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(c.unresolvedSince(a).Compare(c.unresolvedSince(b)), cmp.Compare(a.task.name, b.task.name))
	})
	for _, r := range runs[:min(len(runs), maxUnresolvedReports)] {
		r.unresolvedReportedAt = now
		reports = append(reports, UnresolvedRun{
			Task: r.task.name, Run: r.number, Endpoint: r.endpoint.ID,
			State: r.describe(), EndpointState: r.endpoint.exclusionReason(now),
			UnresolvedFor: now.Sub(c.unresolvedSince(r)), ExpiresIn: c.latestRunEnd(r).Sub(now),
		})
	}
	return reports, len(runs)
}

// isUnresolvedReportDue reports whether a run has kept its long-running task from being
// placed for unresolvedReportDelay and was not reported lately.
func (c *Cell) isUnresolvedReportDue(now time.Time, r *run) bool {
	t := r.task
	isRelevant := t.run == r && t.step.LongRunning && r.phase != placed && !t.step.occurrence.job.isOver()
	return isRelevant && now.Sub(c.unresolvedSince(r)) >= unresolvedReportDelay && now.Sub(r.unresolvedReportedAt) >= unresolvedRepeatInterval
}

// unresolvedSince returns since when it has not been known whether a run exists: the last
// answer of the endpoint for a run that was confirmed, else the order to start it. A run that
// is being stopped counts from the first order to stop it.
func (c *Cell) unresolvedSince(r *run) time.Time {
	switch {
	case r.isStopping && !r.firstStopSentAt.IsZero():
		return r.firstStopSentAt
	case r.phase == inherited:
		return c.config.Inherited
	case r.phase == running:
		return r.endpoint.lastContact
	default:
		return r.orderedAt
	}
}

// describe returns what is known about a run, for logs.
func (r *run) describe() string {
	switch {
	case r.isStopping:
		return "stopping: " + r.stopReason
	case r.phase == ordered:
		return "start not answered yet"
	case r.phase == unconfirmed:
		return "start not confirmed"
	case r.phase == inherited:
		return "placed by an earlier owner"
	default:
		return "endpoint is silent"
	}
}
