package jobs

import (
	"slices"
	"strings"
	"time"
)

// Dump is the state of a cell as an operator reads it.
type Dump struct {
	Jobs int `json:"jobs"`
	// Queues counts jobs and waiting tasks by queue.
	Queues map[string]QueueDump `json:"queues"`
	// Accounts are what client accounts run and could run more.
	Accounts  map[string]Need `json:"accounts"`
	Endpoints []EndpointDump  `json:"endpoints"`
	Counts    Counts          `json:"counts"`
}

// QueueDump is the state of a queue.
type QueueDump struct {
	Jobs    int `json:"jobs"`
	Pending int `json:"pending"`
	Waiting int `json:"waiting"`
}

// EndpointDump is the state of an endpoint.
type EndpointDump struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	Used Size   `json:"used"`
	// State is why nothing is placed there, empty if work is.
	State string `json:"state,omitempty"`
	// Strikes are the runs that failed there in a row.
	Strikes int `json:"strikes,omitempty"`
}

// Dump returns the state of the cell.
func (c *Cell) Dump(now time.Time) Dump {
	d := Dump{Jobs: c.Active(), Queues: make(map[string]QueueDump), Accounts: c.Needs(), Counts: c.counts}
	for _, j := range c.active {
		if j.isOver() {
			continue
		}
		q := d.Queues[j.Queue]
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
		d.Queues[j.Queue] = q
	}
	for _, e := range c.endpoints {
		d.Endpoints = append(d.Endpoints, EndpointDump{
			ID: e.ID, Runs: len(e.runs), Used: e.used, State: e.state(now), Strikes: e.consecutiveFailures,
		})
	}
	slices.SortFunc(d.Endpoints, func(a, b EndpointDump) int { return strings.Compare(a.ID, b.ID) })
	return d
}

// state says why nothing is placed on the endpoint.
func (e *Endpoint) state(now time.Time) string {
	switch {
	case !e.isListed:
		return "not listed"
	case e.IsDraining:
		return "draining"
	case !e.isReached:
		return "not reached by this owner"
	case e.isUnresponsive || now.Sub(e.lastContact) >= maxContactAge:
		return "silent"
	case now.Before(e.cordonUntil):
		return "cordoned"
	case !e.suspectUntil.IsZero():
		return "suspect: runs failed or stood still"
	default:
		return ""
	}
}
