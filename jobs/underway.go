package jobs

import "time"

// Limits on the orders under way. Each order takes memory with its record, its request and its goroutine,
// and a single job may have more tasks than an owner has room for orders.
const (
	// maxStartsUnderWay is how many starts of a cell may be placed or without an answer at a time, or
	// startsPerEndpoint for each endpoint if that is more.
	maxStartsUnderWay = 1000
	startsPerEndpoint = 16
	// maxStopsUnderWay is how many stops on one endpoint may be without an answer at a time. Those on
	// silent endpoints hold up no others.
	maxStopsUnderWay = 100
)

// countStarts counts the runs that are placed or have no answer to their start yet, and sets how many
// starts may be added.
func (p *placer) countStarts() {
	p.startsLeft = max(maxStartsUnderWay, startsPerEndpoint*len(p.cell.endpoints))
	p.hasNoStarts = true
	for _, e := range p.cell.endpoints {
		for _, r := range e.runs {
			if r.phase == placed || r.phase == ordered {
				p.startsLeft--
				p.hasNoStarts = false
			}
		}
	}
}

// hasStartsLeft reports whether a number of starts may be added to those under way. A gang that is larger
// than all that may be under way is started if nothing else is.
func (p *placer) hasStartsLeft(count int) bool { return count <= p.startsLeft || p.hasNoStarts }

// stopsUnderWay returns how many runs on the endpoint have a stop that may still be answered.
func (e *Endpoint) stopsUnderWay(now time.Time) (count int) {
	for _, r := range e.runs {
		if r.stopSentAt.After(r.stoppedAt) && now.Sub(r.stopSentAt) < stopRetryInterval {
			count++
		}
	}
	return count
}
