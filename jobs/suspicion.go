package jobs

import (
	"slices"
	"time"
)

// blame counts the crash of the endpoint against the task of a run, and gives the task up if
// it is the cause beyond doubt. isAlone reports that only the job of the task can be the
// cause. A crash long after the start does not count.
func (c *Cell) blame(now time.Time, r *run, isAlone bool) {
	t := r.task
	if !t.needsRun() || slices.Contains(t.crashedRuns, r.number) {
		return
	}
	hadSettled, age := r.hasSettled(), r.provenAge()
	if hadSettled {
		age = max(age, t.settleTime())
	}
	if age > maxCrashAge {
		t.forgetCrashes()
		return
	}
	weight := c.evidence(now, r)
	t.crashedRuns = append(t.crashedRuns, r.number)
	t.crashAge = max(t.crashAge, age)
	if hadSettled {
		return
	}
	t.isSuspect = true
	if !t.step.LongRunning {
		t.notBefore = later(t.notBefore, now.Add(t.crashDelay()))
	}
	if !isAlone {
		return
	}
	t.evidence += weight
	c.records = append(c.records, Record{Suspect: &Suspect{Task: t.name, Suspicion: *t.suspicion()}})
	if t.evidence >= t.requiredEvidence() {
		c.records = append(c.records, Record{GivenUp: t.name})
		c.giveUp(now, t)
	}
}

// Suspect is a task with what is known against it.
type Suspect struct {
	Task      string    `json:"t"`
	Suspicion Suspicion `json:"c"`
}

// Suspicion is what is known against a task under which endpoints have crashed. It is stored
// with each placement, so that the next owner knows it before the task is started again, and
// by itself once the task is probably the cause.
type Suspicion struct {
	// Runs are the numbers of the runs soon after whose start the endpoint crashed: each
	// owner finds a crash anew until the endpoint is gone. Evidence is the evidence that the
	// task is the cause.
	Runs     []int   `json:"runs"`
	Evidence float64 `json:"weight,omitempty"`
	// AgeMilliseconds is the longest time from a start to one of these crashes.
	AgeMilliseconds int64 `json:"age,omitempty"`
	// IsSettled reports that the endpoint has survived the start of the present run. It is
	// set in snapshots only.
	IsSettled bool `json:"settled,omitempty"`
}

// suspicion returns what is known against the task, nil if nothing.
func (t *task) suspicion() *Suspicion {
	if t.crashes() == 0 {
		return nil
	}
	return &Suspicion{
		Runs: slices.Clone(t.crashedRuns), Evidence: t.evidence, AgeMilliseconds: t.crashAge.Milliseconds(),
		IsSettled: t.run != nil && t.run.isKnownSettled,
	}
}

// restoreSuspicion restores what is known against a task. It is a suspect then, unless the
// endpoint has survived the start of its present run.
func (t *task) restoreSuspicion(s *Suspicion) {
	if s == nil {
		s = &Suspicion{}
	}
	t.crashedRuns, t.evidence, t.isSuspect = s.Runs, s.Evidence, len(s.Runs) > 0 && !s.IsSettled
	t.crashAge = time.Duration(s.AgeMilliseconds) * time.Millisecond
}

// suspectInherited makes a task a suspect whose run, of an earlier owner, has ended on an
// endpoint that is gone: it may have crashed before this owner could see it.
func (c *Cell) suspectInherited(now time.Time, r *run) {
	e := r.endpoint
	switch {
	case r.phase != inherited || e.hasCrashed:
	case e.isRefusing:
		c.recordCrash(now, e, NotListening)
	case !e.isListed && (!r.task.step.LongRunning || r.task.crashes() > 0):
		// Most runs of long-running tasks had settled long before.
		c.blame(now, r, false)
	}
}

// Limits on tasks under which endpoints crash.
const (
	// maxCrashAge is how long after a start a crash can still be caused by it.
	maxCrashAge = 2 * time.Second
	// minSettleTime is how long an endpoint must answer after the start of a task until a
	// crash does not count as caused by the start. settleFactor times the age at which
	// endpoints have crashed under the task before is added.
	minSettleTime = 300 * time.Millisecond
	settleFactor  = 1.5
	// takeoverTime is how long a new owner only looks which endpoints have crashed.
	takeoverTime = time.Second
	// outageWindow is the time within which endpoints fall silent that fail together. The
	// last answers before are as far apart.
	outageWindow = time.Second
)

// crashDelays holds how long a suspect task waits for its next start, by the number of
// crashes. The first one costs tasks that merely stood beside the cause no time. Long-running
// tasks do not wait, as they must be back soon.
var crashDelays = [...]time.Duration{0, 0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

func (t *task) crashDelay() time.Duration { return crashDelays[min(t.crashes(), len(crashDelays)-1)] }

// crashes counts the endpoints that crashed soon after a start of the task.
func (t *task) crashes() int { return len(t.crashedRuns) }

// settleTime is how long an endpoint must answer after a start of the task until a crash does
// not count as caused by the start.
func (t *task) settleTime() time.Duration {
	return minSettleTime + time.Duration(settleFactor*float64(t.crashAge))
}

// provenAge returns how long the endpoint has certainly been up since the run was confirmed.
func (r *run) provenAge() time.Duration {
	if r.phase != running {
		return 0
	}
	return max(r.endpoint.lastContact.Sub(r.confirmedAt), 0)
}

// hasSettled reports whether the endpoint has answered for long enough since the run was
// confirmed, so that its start has not crashed the endpoint.
func (r *run) hasSettled() bool { return r.isKnownSettled || r.provenAge() >= r.task.settleTime() }

// clearSettled ends the suspicion against the tasks whose runs have settled. What was counted
// is forgotten later, as a crash may still follow.
func (c *Cell) clearSettled(e *Endpoint) {
	for _, r := range e.runs {
		t := r.task
		if t.run != r || t.crashes() == 0 {
			continue
		}
		isCleared := r.provenAge() > maxCrashAge
		if r.hasSettled() && !r.isKnownSettled || isCleared {
			r.isKnownSettled = true
			survival := Survival{Task: t.name, Run: r.number, IsCleared: isCleared}
			t.applySurvival(survival)
			c.records = append(c.records, Record{Survival: &survival})
		}
	}
}

// Survival states that an endpoint has survived the start of a suspect task.
type Survival struct {
	Task string `json:"t"`
	Run  int    `json:"r"`
	// IsCleared reports that the run went on for so long that the crashes before were not
	// caused by the task.
	IsCleared bool `json:"clear,omitempty"`
}

func (t *task) applySurvival(s Survival) {
	t.isSuspect = false
	if s.IsCleared {
		t.forgetCrashes()
	}
}

// forgetCrashes ends the suspicion against a task that an endpoint has survived.
func (t *task) forgetCrashes() {
	t.isSuspect, t.crashedRuns, t.evidence, t.crashAge = false, nil, 0, 0
}

// giveUp ends the attempts to run a task that crashes its endpoints. Its job fails, unless the
// step is long-running: then its other tasks go on, as long as there are any.
func (c *Cell) giveUp(now time.Time, t *task) {
	if t.isGivenUp {
		return
	}
	t.isGivenUp = true
	s := t.step
	s.givenUp++
	s.waiting = remove(s.waiting, t)
	if t.run != nil {
		c.stopRun(t.run, "given up")
	}
	if !s.LongRunning || s.givenUp == len(s.tasks) {
		c.finishJob(now, s.occurrence.job, JobFailed)
	}
}
