package jobs

import (
	"math"
	"slices"
	"time"
)

// Limits for the comparison of endpoints with their peers.
const (
	// slowFactor is how many times as long as on its peers the runs on an endpoint take
	// from which it is slow.
	slowFactor = 1.5
	// minSpeedSamples is the number of steps of which runs must have been measured on an
	// endpoint, maxSpeedSamples that of the last ones that count. Run times vary by a factor
	// of 1.6 from job to job, so fewer steps show little.
	minSpeedSamples = 4
	maxSpeedSamples = 8
	// minComparedEndpoints is the least number of endpoints that are compared.
	minComparedEndpoints = 3
	// An endpoint is unreliable if more than maxFailureShare of its last runs, at least
	// minOutcomes and at most maxOutcomes, have failed, of at least minFailedJobs jobs, while
	// its peers fail less than maxPeerFailureShare of theirs.
	maxFailureShare     = 0.3
	maxPeerFailureShare = 0.1
	minOutcomes         = 5
	maxOutcomes         = 20
	minFailedJobs       = 2
	// reinstatingProbes is the number of good runs after which an endpoint is reinstated.
	// Two of normal speed show a slow endpoint as normal in one case of five.
	reinstatingProbes = 2
	// maxFailedEndpoints is how many endpoints are remembered on which a task has failed.
	maxFailedEndpoints = 4
)

// performance is what the runs on an endpoint show about it. A new owner measures anew.
type performance struct {
	// samples holds the run times by step, oldest first.
	samples []speedSample
	// outcomes holds the outcomes of the last runs, oldest first.
	outcomes []runOutcome
	// isSlow and isUnreliable report what the comparison with the peers has found. Samples
	// and outcomes are then those since.
	isSlow, isUnreliable bool
	// probeAt is the time from which a probe run is placed, probeDelay the time from one
	// to the next. It doubles with each bad one, up to maxProbeDelay.
	probeAt    time.Time
	probeDelay time.Duration
}

// speedSample is the mean of the logarithms of the run times of a step's tasks, relative to
// the mean of their kind. The tasks of a step are alike, so they are one sample.
type speedSample struct {
	step  *step
	value float64
	runs  int
}

// runOutcome is the outcome of a short-lived run.
type runOutcome struct {
	task     *task
	isFailed bool
}

// isDowngraded reports whether short-lived work is placed on the endpoint only if no other
// has room.
func (p *performance) isDowngraded() bool { return p.isSlow || p.isUnreliable }

// slowness returns the logarithm of the run times on the endpoint relative to the mean. The
// largest sample is left out, as a few runs take several times as long as others anywhere.
func (p *performance) slowness() float64 {
	sum, largest := 0.0, math.Inf(-1)
	for _, s := range p.samples {
		sum, largest = sum+s.value, max(largest, s.value)
	}
	return (sum - largest) / float64(len(p.samples)-1)
}

// addSample adds a run time.
func (p *performance) addSample(s *step, value float64) {
	if last := len(p.samples) - 1; last >= 0 && p.samples[last].step == s {
		sample := &p.samples[last]
		sample.runs++
		sample.value += (value - sample.value) / float64(sample.runs)
		return
	}
	if len(p.samples) == maxSpeedSamples {
		p.samples = slices.Delete(p.samples, 0, 1)
	}
	p.samples = append(p.samples, speedSample{step: s, value: value, runs: 1})
}

// addOutcome adds the outcome of a run.
func (p *performance) addOutcome(o runOutcome) {
	if len(p.outcomes) == maxOutcomes {
		p.outcomes = slices.Delete(p.outcomes, 0, 1)
	}
	p.outcomes = append(p.outcomes, o)
}

// failures returns the number of runs that failed.
func (p *performance) failures() (count int) {
	for _, o := range p.outcomes {
		if o.isFailed {
			count++
		}
	}
	return count
}

// failedJobs returns the number of jobs of which runs failed.
func (p *performance) failedJobs() int {
	failed := make(map[*job]bool)
	for _, o := range p.outcomes {
		if o.isFailed {
			failed[o.task.step.occurrence.job] = true
		}
	}
	return len(failed)
}

// downgrade marks the endpoint as slow or unreliable.
func (p *performance) downgrade(now time.Time, isSlow, isUnreliable bool) {
	*p = performance{isSlow: isSlow, isUnreliable: isUnreliable, probeDelay: initialProbeDelay, probeAt: now.Add(initialProbeDelay)}
}

// recordPerformance records the end of a short-lived run for the comparison of endpoints.
func (c *Cell) recordPerformance(now time.Time, r *run, outcome Outcome) {
	t := r.task
	if t.step.LongRunning || outcome != Done && outcome != Failed {
		return
	}
	p := &r.endpoint.performance
	if outcome == Failed {
		c.recordFailedOn(t, r.endpoint)
	}
	p.addOutcome(runOutcome{task: t, isFailed: outcome == Failed && !t.hasFailedElsewhere(r.endpoint)})
	if outcome == Done && r.isComparable() {
		c.recordSpeed(now, r)
	}
	c.judge(now, r.endpoint)
}

// isComparable reports whether the run time depends on the endpoint and the kind of task
// alone, which a cold start does not change for good.
func (r *run) isComparable() bool {
	s := r.task.step
	isAtData := s.Affinity == "" || s.Affinity == r.endpoint.Rack
	return !r.confirmedAt.IsZero() && !r.hasBegunCold() && !s.Fills && !s.Gang && isAtData && r.task.checkpoint == ""
}

// recordSpeed records the run time of a run that is done. The mean of the kind is that of
// endpoints that are not slow.
func (c *Cell) recordSpeed(now time.Time, r *run) {
	s := r.task.step
	value := math.Log(max(now.Sub(r.confirmedAt).Seconds(), 0.001))
	key := taskKind{s.occurrence.job.Queue, s.number}
	kind := c.kindSpeeds[key]
	if kind == nil {
		kind = &movingAverage{}
		c.kindSpeeds[key] = kind
	}
	if !r.endpoint.performance.isSlow || kind.count == 0 {
		kind.add(value)
	}
	r.endpoint.performance.addSample(s, value-kind.mean)
}

// recordFailedOn records that a task has failed on an endpoint. If it has failed on another
// one as well, the task is the cause, and counts against neither.
func (c *Cell) recordFailedOn(t *task, e *Endpoint) {
	if len(t.failedOn) < maxFailedEndpoints && !slices.Contains(t.failedOn, e) {
		t.failedOn = append(t.failedOn, e)
	}
	if !t.hasFailedElsewhere(e) {
		return
	}
	for _, other := range t.failedOn {
		other.withdrawFailures(t)
	}
}

// withdrawFailures no longer counts the failures of a task against the endpoint.
func (e *Endpoint) withdrawFailures(t *task) {
	for i := range e.performance.outcomes {
		o := &e.performance.outcomes[i]
		if o.task == t && o.isFailed {
			o.isFailed = false
			e.consecutiveFailures = max(e.consecutiveFailures-1, 0)
		}
	}
}

// hasFailedElsewhere reports whether the task has failed on another endpoint that is not
// known as faulty.
func (t *task) hasFailedElsewhere(e *Endpoint) bool {
	return slices.ContainsFunc(t.failedOn, func(other *Endpoint) bool {
		return other != e && other.suspectUntil.IsZero() && !other.performance.isUnreliable
	})
}

// recordFailedRun counts a failed run against the endpoint, unless its task is the cause.
func (e *Endpoint) recordFailedRun(now time.Time, t *task) {
	if !t.step.LongRunning && t.hasFailedElsewhere(e) {
		return
	}
	e.recordFailure(now, t)
}

// judge compares an endpoint with its peers after the end of a run.
func (c *Cell) judge(now time.Time, e *Endpoint) {
	p := &e.performance
	if p.isDowngraded() {
		c.judgeProbe(now, e)
		return
	}
	isSlow, isUnreliable := c.isSlowerThanPeers(e), c.failsMoreThanPeers(e)
	if isSlow || isUnreliable {
		p.downgrade(now, isSlow, isUnreliable)
	}
}

// judgeProbe reinstates a downgraded endpoint after good runs, and delays the next probe
// after a bad one.
func (c *Cell) judgeProbe(now time.Time, e *Endpoint) {
	p := &e.performance
	isBad := p.failures() > 0 || p.isSlow && len(p.samples) >= reinstatingProbes && p.meanValue()-c.peerSlowness(e) > math.Log(slowFactor)
	switch {
	case isBad:
		p.samples, p.outcomes = nil, nil
		p.probeDelay = min(2*p.probeDelay, maxProbeDelay)
	case p.isSlow && len(p.samples) < reinstatingProbes || len(p.outcomes) < reinstatingProbes:
	default:
		e.performance = performance{}
	}
	p.probeAt = now.Add(p.probeDelay)
}

// meanValue returns the mean of the samples.
func (p *performance) meanValue() float64 {
	sum := 0.0
	for _, s := range p.samples {
		sum += s.value
	}
	return sum / float64(len(p.samples))
}

// isSlowerThanPeers reports whether the runs on an endpoint take slowFactor times as long as
// those on its peers.
func (c *Cell) isSlowerThanPeers(e *Endpoint) bool {
	p := &e.performance
	if len(p.samples) < minSpeedSamples || p.slowness() < math.Log(slowFactor) {
		return false
	}
	return p.slowness()-c.peerSlowness(e) > math.Log(slowFactor)
}

// peerSlowness returns the median slowness of an endpoint's peers. It follows a change of all
// run times at once, before the means of the kinds do. Without enough peers, it is infinite,
// so that no endpoint is slow.
func (c *Cell) peerSlowness(e *Endpoint) float64 {
	var values []float64
	for _, other := range c.endpoints {
		if other != e && other.isListed && !other.performance.isSlow && len(other.performance.samples) >= minSpeedSamples {
			values = append(values, other.performance.slowness())
		}
	}
	if len(values) < minComparedEndpoints-1 {
		return math.Inf(1)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// failsMoreThanPeers reports whether an endpoint fails many of its runs and its peers do not.
func (c *Cell) failsMoreThanPeers(e *Endpoint) bool {
	p := &e.performance
	total := len(p.outcomes)
	if total < minOutcomes || float64(p.failures()) <= maxFailureShare*float64(total) || p.failedJobs() < minFailedJobs {
		return false
	}
	peerTotal, peerFailed := 0, 0
	for _, other := range c.endpoints {
		if other == e || !other.isListed || other.performance.isUnreliable {
			continue
		}
		peerTotal, peerFailed = peerTotal+len(other.performance.outcomes), peerFailed+other.performance.failures()
	}
	return peerTotal >= minOutcomes && float64(peerFailed) < maxPeerFailureShare*float64(peerTotal)
}

// downgradedCost returns the placement cost of a downgraded endpoint for a short-lived task: the
// highest, or the lowest if the task is to be a probe run.
func (p *placer) downgradedCost(t *task, e *Endpoint, cost int64) int64 {
	if p.isProbeDue(t, e) {
		return -1
	}
	return cost + costDowngraded
}

// isProbeDue reports whether a task may be the probe run of a downgraded endpoint: one that
// has time to spare for a slow run, unless none was found for long.
func (p *placer) isProbeDue(t *task, e *Endpoint) bool {
	at := e.performance.probeAt
	if p.now.Before(at) || !e.isProbeSlotFree() {
		return false
	}
	j := t.step.occurrence.job
	slack := j.due.Sub(p.now) - p.cell.remainingCriticalPath(j)
	return slack > p.cell.runTime(j, t.step.number) || p.now.Sub(at) >= maxProbeDelay
}
