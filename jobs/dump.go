package jobs

import (
	"slices"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs/forecast"
)

// Dump is the state of a cell for operators, as the dump command prints it.
type Dump struct {
	// Jobs counts the jobs that are not over.
	Jobs int `json:"jobs"`
	// Queues counts jobs and waiting tasks by queue.
	Queues map[string]QueueDump `json:"queues"`
	// Accounts holds, by client account, what it runs and what it could run if
	// its limit allowed.
	Accounts map[string]Need `json:"accounts"`
	// Shares holds the accounts' shares of the cell, by client account. It is empty if no
	// account has a weight.
	Shares    map[string]ShareDump `json:"shares,omitempty"`
	Endpoints []EndpointDump       `json:"endpoints"`
	Counts    Counts               `json:"counts"`
	// Evacuated holds the evacuated data centres with the number of runs that are left on
	// the cell's endpoints there.
	Evacuated map[string]int `json:"evacuated,omitempty"`
	// RunTimes are the expected run times by queue and step, with Config.IsForecasting.
	RunTimes []forecast.Report `json:"runTimes,omitempty"`
}

// QueueDump is the state of a queue.
type QueueDump struct {
	// Jobs counts the jobs that are not over, Pending those of them of which no
	// task has started.
	Jobs    int `json:"jobs"`
	Pending int `json:"pending"`
	// Waiting counts the tasks that could start and have not been placed.
	Waiting int `json:"waiting"`
}

// EndpointDump is the state of an endpoint.
type EndpointDump struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	Used Size   `json:"used"`
	// State is why no new work, or only a probe run, is placed there; empty if
	// work is placed without restriction.
	State string `json:"state,omitempty"`
	// IsCold is set while the endpoint is slow after its start.
	IsCold bool `json:"cold,omitempty"`
	// ConsecutiveFailures counts the runs that failed or stalled since the last success.
	ConsecutiveFailures int `json:"strikes,omitempty"`
}

// Dump returns the state of the cell.
func (c *Cell) Dump(now time.Time) Dump {
	dump := Dump{
		Jobs: c.Active(), Queues: make(map[string]QueueDump), Accounts: c.Needs(), Shares: c.dumpShares(), Counts: c.counts,
		Evacuated: c.EvacuatedRuns(), RunTimes: c.RunTimes(),
	}
	for _, j := range c.active {
		if j.isOver() {
			continue
		}
		q := dump.Queues[j.Queue]
		q.Jobs++
		if !j.hasBegun {
			q.Pending++
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.isReady {
					q.Waiting += len(s.waiting)
				}
			}
		}
		dump.Queues[j.Queue] = q
	}
	for _, e := range c.endpoints {
		dump.Endpoints = append(dump.Endpoints, EndpointDump{
			ID: e.ID, Runs: len(e.runs), Used: e.used, State: e.exclusionReason(now), ConsecutiveFailures: e.consecutiveFailures,
			IsCold: e.isCold(now),
		})
	}
	slices.SortFunc(dump.Endpoints, func(a, b EndpointDump) int { return strings.Compare(a.ID, b.ID) })
	return dump
}

// exclusionReason returns why no new work, or for a suspect endpoint at most a probe
// run, is placed on the endpoint; empty if work is placed without restriction.
func (e *Endpoint) exclusionReason(now time.Time) string {
	switch {
	case !e.isListed:
		return "not listed"
	case e.IsDraining:
		return "draining"
	case e.isEvacuated:
		return "data centre is evacuated"
	case e.isSuspended:
		return "evacuations are not known"
	case !e.isReached:
		return "not reached by this owner"
	case !e.registeredRestartAt.IsZero():
		return "restarted, runs not listed yet"
	case e.isUnresponsive || now.Sub(e.lastContact) >= maxContactAge:
		return "silent"
	case now.Before(e.cordonUntil):
		return "cordoned"
	case e.isAcknowledgementOverdue(now):
		return "ends wait to be acknowledged"
	case !e.suspectUntil.IsZero():
		return "suspect: runs failed or stood still"
	case e.performance.isSlow:
		return "slow: runs take longer than on others"
	case e.performance.isUnreliable:
		return "unreliable: runs fail more often than on others"
	default:
		return ""
	}
}
