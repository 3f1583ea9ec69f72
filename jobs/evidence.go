package jobs

import (
	"math"
	"slices"
	"time"
)

// Limits of the evidence against a task.
const (
	// convictingEvidence is the evidence for which a task is given up: the negative decimal
	// logarithm of the probability that its endpoints have crashed by themselves. Less is
	// enough after manyCrashes of any kind.
	convictingEvidence          = 5.8
	convictingEvidenceAfterMany = 4
	manyCrashes                 = 4
	// minCrashRate is the least rate, per second, at which an endpoint is taken to crash by
	// itself.
	minCrashRate = 0.01
	// freshCrashShare is the part of the crashes soon after starts that counts as crashes by
	// themselves.
	freshCrashShare = 0.4
)

// evidence returns the evidence of a crash against the task of a run, if only its job can be
// the cause: the negative decimal logarithm of the probability that the endpoint crashed by
// itself within the time in which it would have been counted. That is the time until the run
// would have settled, or less if the run was as old as at the crashes before, and the time
// that it took to find the crash.
func (c *Cell) evidence(now time.Time, r *run) float64 {
	watched := min(max(now.Sub(c.config.Inherited), minCrashRateWindow), crashRateWindow)
	rate := c.crashRate.sum(now) / (watched.Seconds() * float64(max(len(c.endpoints), 1)))
	window := r.task.settleTime()
	if (r.provenAge() - r.task.crashAge).Abs() <= minSettleTime {
		window = minSettleTime
	}
	window += min(max(now.Sub(r.endpoint.lastContact), 0), maxCrashAge)
	return -math.Log10(1 - math.Exp(-max(rate, minCrashRate)*window.Seconds()))
}

// requiredEvidence returns the evidence for which the task is given up.
func (t *task) requiredEvidence() float64 {
	if t.crashes() >= manyCrashes {
		return convictingEvidenceAfterMany
	}
	return convictingEvidence
}

// crashRate records the crashes of endpoints, but for those that confirm a suspicion, to tell
// how often they crash by themselves.
type crashRate struct{ crashes []recordedCrash }

// recordedCrash is a crash and the tasks of the fresh runs.
type recordedCrash struct {
	at    time.Time
	fresh []*task
}

// crashRateWindow is the time over which crashes are averaged, minCrashRateWindow the least
// that counts for a new owner.
const (
	crashRateWindow    = 30 * time.Second
	minCrashRateWindow = 3 * time.Second
)

func (r *crashRate) add(now time.Time, fresh []*run) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c recordedCrash) bool { return now.Sub(c.at) > crashRateWindow })
	crash := recordedCrash{at: now}
	for _, f := range fresh {
		crash.fresh = append(crash.fresh, f.task)
	}
	r.crashes = append(r.crashes, crash)
}

// sum returns the number of crashes within crashRateWindow that are taken to have happened by
// themselves. Those for which a task that was given up can be the cause are left out, and
// those soon after a start count in part, as it may be the cause.
func (r *crashRate) sum(now time.Time) (sum float64) {
	for _, c := range r.crashes {
		isExplained := slices.ContainsFunc(c.fresh, func(t *task) bool { return t.isGivenUp })
		switch {
		case now.Sub(c.at) > crashRateWindow || isExplained:
		case len(c.fresh) > 0:
			sum += freshCrashShare
		default:
			sum++
		}
	}
	return sum
}
