package jobs

import (
	"math"
	"time"
)

// AdviceTerms describes the advice service for a queue: a call takes DecisionTime, and TimePerEndpoint
// for each endpoint that it names. Its tickets are valid for Validity. Zero is not known.
type AdviceTerms struct {
	DecisionTime, TimePerEndpoint, Validity time.Duration
}

// Defaults of AdviceTerms without a DecisionTime and a TimePerEndpoint.
const (
	defaultDecisionTime    = 100 * time.Millisecond
	defaultTimePerEndpoint = 10 * time.Millisecond
)

// adviceModel predicts the calls for advice of a queue from the terms of the service and from the
// calls that were made.
type adviceModel struct {
	terms AdviceTerms
	// slowdown is the measured duration of calls relative to the terms, measuredAt when it was last
	// measured, zero if it never was.
	slowdown   float64
	measuredAt time.Time
	// validity is that of the last tickets, 0 before.
	validity time.Duration
	// typical is the mean duration of calls, recent ones above all, 0 before the first.
	typical time.Duration
	// named and allowed are the endpoints in past calls, with weights that fade with each call. Calls
	// that repeat one in vain are left out: the steps that are denied most are asked for most.
	named, allowed float64
}

const (
	// slowdownAge is the age from which a measured slowdown counts for nothing.
	slowdownAge = 30 * time.Second
	// slowdownWeight is the weight of a call in the typical duration, and in the slowdown if it is faster
	// than expected. Slower ones count at once there.
	slowdownWeight = 0.25
	// allowedFading is the weight of past calls in the allowed share of endpoints after each call.
	allowedFading = 0.9
	// maxAdviceMargin is the time for which tickets should be valid when they arrive, to store
	// the placement and to order the start; for short validities it is marginShare of them.
	maxAdviceMargin = 500 * time.Millisecond
	marginShare     = 4
	// minAdviceTimeout is the least Timeout of a request, maxAdviceTimeout the longest one unless the
	// terms ask for more.
	minAdviceTimeout = 3 * time.Second
	maxAdviceTimeout = 6 * time.Second
)

// adviceModel returns the model of a queue, with the terms in force.
func (c *Cell) adviceModel(queue string) *adviceModel {
	m := c.adviceModels[queue]
	if m == nil {
		m = &adviceModel{slowdown: 1}
		c.adviceModels[queue] = m
	}
	m.terms = c.config.AdviceTerms(queue)
	if m.terms.DecisionTime <= 0 && m.terms.TimePerEndpoint <= 0 {
		m.terms.DecisionTime, m.terms.TimePerEndpoint = defaultDecisionTime, defaultTimePerEndpoint
	}
	return m
}

// nominal returns how long a call takes by the terms.
func (m *adviceModel) nominal(endpoints int) time.Duration {
	return m.terms.DecisionTime + time.Duration(endpoints)*m.terms.TimePerEndpoint
}

// currentSlowdown returns the slowdown to expect now.
func (m *adviceModel) currentSlowdown(now time.Time) float64 {
	if now.Sub(m.measuredAt) > slowdownAge {
		return 1
	}
	return m.slowdown
}

// duration returns how long a call is expected to take.
func (m *adviceModel) duration(now time.Time, endpoints int) time.Duration {
	return time.Duration(m.currentSlowdown(now) * float64(m.nominal(endpoints)))
}

// ticketValidity returns how long tickets are valid, 0 if that is not known.
func (m *adviceModel) ticketValidity() time.Duration {
	if m.validity > 0 {
		return m.validity
	}
	return m.terms.Validity
}

// margin returns for how long tickets should be valid when they arrive.
func (m *adviceModel) margin() time.Duration {
	return min(m.ticketValidity()/marginShare, maxAdviceMargin)
}

// maxEndpoints returns the most endpoints that a call may name whose tickets can be used when they
// arrive, at least 1.
func (m *adviceModel) maxEndpoints(now time.Time) int {
	return min(m.maxUsable(m.currentSlowdown(now)), maxAdviceEndpoints)
}

// maxUsable is maxEndpoints for a slowdown, without the limit of a single call.
func (m *adviceModel) maxUsable(slowdown float64) int {
	validity := m.ticketValidity()
	if validity <= 0 || m.terms.TimePerEndpoint <= 0 {
		return math.MaxInt
	}
	count := (float64(validity-m.margin())/slowdown - float64(m.terms.DecisionTime)) / float64(m.terms.TimePerEndpoint)
	return int(max(count, 1))
}

// typicalDuration returns how long the calls of the queue take on average, or longer after calls that were
// not answered.
func (m *adviceModel) typicalDuration(now time.Time) time.Duration {
	return max(m.typical, m.duration(now, 1))
}

// endpoints returns how many endpoints a call should name to get tickets for a number of them, after
// misses calls that allowed none. Further endpoints take up to the time of another call, which
// they may save, and more after each miss.
func (m *adviceModel) endpoints(now time.Time, needed, misses int) int {
	allowedShare := (m.allowed + 1) / (m.named + 2)
	count := max(int(math.Round(float64(needed)/allowedShare)), needed)
	if m.terms.TimePerEndpoint > 0 {
		count = min(count, needed+int(m.terms.DecisionTime/m.terms.TimePerEndpoint)+1)
	}
	for range min(misses, maxAdviceMisses) {
		count *= 2
	}
	return min(count, m.maxEndpoints(now))
}

// maxAdviceMisses is the number of misses after which a call names maxAdviceEndpoints.
const maxAdviceMisses = 7

// timeout returns how long to wait for the answer to a call. It allows for a service that has become
// slower.
func (m *adviceModel) timeout(now time.Time, endpoints int) time.Duration {
	longest := max(maxAdviceTimeout, m.ticketValidity(), 2*m.nominal(endpoints))
	return min(max(2*m.duration(now, endpoints), minAdviceTimeout), longest)
}

// record learns from the answer to a request.
func (m *adviceModel) record(now time.Time, q AdviceRequest, allowed int, validity time.Duration) {
	if validity > 0 {
		m.validity = validity
	}
	if !q.isRepeated {
		m.named, m.allowed = m.named*allowedFading+float64(len(q.Endpoints)), m.allowed*allowedFading+float64(allowed)
	}
	nominal := m.nominal(len(q.Endpoints))
	elapsed := now.Sub(q.requestedAt)
	if nominal <= 0 || elapsed <= 0 {
		return
	}
	typical := m.typicalDuration(now)
	m.typical = typical + time.Duration(slowdownWeight*float64(elapsed-typical))
	measured, slowdown := float64(elapsed)/float64(nominal), m.currentSlowdown(now)
	if measured < slowdown {
		measured = slowdown + (measured-slowdown)*slowdownWeight
	}
	m.slowdown, m.measuredAt = measured, now
}

// recordFailure learns from a request without an answer: one that was not answered in the time
// expected takes longer than it has taken so far.
func (m *adviceModel) recordFailure(now time.Time, q AdviceRequest) {
	nominal := m.nominal(len(q.Endpoints))
	if elapsed := now.Sub(q.requestedAt); nominal > 0 && elapsed >= m.duration(now, len(q.Endpoints)) {
		m.slowdown, m.measuredAt = 2*float64(elapsed)/float64(nominal), now
	}
}
