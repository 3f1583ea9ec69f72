package jobs

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// CrashEvidence is what shows that an incarnation of an endpoint has ended unplanned. A lack
// of answers does not: the endpoint may be cut off, slow or frozen.
type CrashEvidence string

// The evidence of a crash.
const (
	// NotListening means that a connection to the endpoint was refused.
	NotListening CrashEvidence = "not listening"
	// Restarted means that the endpoint has another incarnation.
	Restarted CrashEvidence = "restarted"
	// Replaced means that another endpoint is up on its machine.
	Replaced CrashEvidence = "replaced"
)

// maxCrashReports is the number of crashes that are kept to be reported, maxReportedRuns
// the number of runs that the report of one names.
const (
	maxCrashReports = 16
	maxReportedRuns = 8
)

// Crash reports that an endpoint has crashed.
type Crash struct {
	Endpoint, Machine string
	Evidence          CrashEvidence
	// SilentFor is the time since the endpoint's last answer.
	SilentFor time.Duration
	// Runs counts the runs that the endpoint had or may have had, Fresh those of them that
	// had started so shortly before that their tasks may be the cause.
	Runs, Fresh int
	// Tasks describes some of the fresh runs.
	Tasks []CrashedTask
}

// CrashedTask is a task that had a run on an endpoint that crashed.
type CrashedTask struct {
	Task string
	Run  int
	// Crashes counts the crashes soon after a start of the task, Evidence is the evidence
	// that it is the cause.
	Crashes   int
	Evidence  float64
	IsGivenUp bool
}

// TakeCrashes returns the crashes that were found since the last call, the first ones if
// there were many.
func (c *Cell) TakeCrashes() []Crash {
	crashes := c.crashes
	c.crashes = nil
	return crashes
}

// recordCrash records that the present incarnation of an endpoint has ended, unless that is
// known, or was planned.
func (c *Cell) recordCrash(now time.Time, e *Endpoint, evidence CrashEvidence) {
	if e.hasCrashed || e.IsDraining || now.Before(e.cordonUntil) {
		return
	}
	e.hasCrashed = true
	runs := e.uncountedRuns()
	fresh := freshRuns(runs)
	if len(runs) == 0 {
		return
	}
	e.isCrashUnexplained = len(fresh) == 0 || e.hasInheritedRuns()
	isAlone := shareFate(fresh) && !c.isPartOfOutage(e)
	if !isAlone || fresh[0].task.evidence == 0 {
		c.crashRate.add(now, fresh)
	}
	for _, r := range runs {
		c.blame(now, r, isAlone)
	}
	if len(c.crashes) < maxCrashReports {
		c.crashes = append(c.crashes, newCrash(now, e, evidence, runs, fresh))
	}
}

// newCrash returns the report on the crash of an endpoint with runs, the fresh ones among them.
func newCrash(now time.Time, e *Endpoint, evidence CrashEvidence, runs, fresh []*run) Crash {
	crash := Crash{
		Endpoint: e.ID, Machine: e.Machine, Evidence: evidence, SilentFor: now.Sub(e.lastContact),
		Runs: len(runs), Fresh: len(fresh),
	}
	for _, r := range fresh[:min(len(fresh), maxReportedRuns)] {
		crash.Tasks = append(crash.Tasks, CrashedTask{
			Task: r.task.name, Run: r.number, Crashes: r.task.crashes(), Evidence: r.task.evidence, IsGivenUp: r.task.isGivenUp,
		})
	}
	return crash
}

// uncountedRuns returns the runs that the endpoint has or may have of tasks that are needed,
// by task name, without those for which an earlier owner has counted the crash.
func (e *Endpoint) uncountedRuns() []*run {
	return slices.DeleteFunc(sortedRuns(e), func(r *run) bool {
		return r.phase == placed || !r.task.needsRun() || slices.Contains(r.task.crashedRuns, r.number)
	})
}

// freshRuns returns those of the runs of an endpoint that have not settled. It is not known
// when inherited ones have started. But nothing is started beside a suspect that has not
// settled, so if there is one, the others had settled before.
func freshRuns(runs []*run) []*run {
	fresh := slices.DeleteFunc(slices.Clone(runs), (*run).hasSettled)
	isSuspect := func(r *run) bool { return r.phase == inherited && r.task.crashes() > 0 }
	if slices.ContainsFunc(fresh, isSuspect) {
		fresh = slices.DeleteFunc(fresh, func(r *run) bool { return r.phase == inherited && !isSuspect(r) })
	}
	return fresh
}

// shareFate reports whether there are runs, and giving one of their tasks up gives all up.
func shareFate(runs []*run) bool {
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(r *run) bool { return !r.task.sharesFate(runs[0].task) })
}

// sharesFate reports whether giving a task up gives the other one up. A job fails as a whole,
// but the tasks of a long-running step are given up one by one.
func (t *task) sharesFate(other *task) bool {
	isWhole := !t.step.LongRunning && !other.step.LongRunning
	return t == other || isWhole && t.step.occurrence.job == other.step.occurrence.job
}

// isPartOfOutage reports whether another endpoint with runs fell silent at the same time that
// none of these has crashed. Then both have probably the same cause, such as a power failure.
// If runs of earlier owners are there it is not known when they started, nor when the
// endpoints fell silent, so any other silent endpoint counts.
func (c *Cell) isPartOfOutage(e *Endpoint) bool {
	hasInherited := e.hasInheritedRuns()
	for _, other := range c.endpoints {
		isAtOnce := other.lastContact.Sub(e.lastContact).Abs() <= outageWindow
		if other != e && (isAtOnce || hasInherited) && other.isSilentUnexplained(hasInherited) {
			return true
		}
	}
	return false
}

// isSilentUnexplained reports whether the endpoint is silent and the start of a run is not
// known to be the cause. isAnyRun makes any run count that has not settled, too.
func (e *Endpoint) isSilentUnexplained(isAnyRun bool) bool {
	if e.hasCrashed {
		return e.isCrashUnexplained
	}
	if e.isReached && !e.isUnresponsive {
		return false
	}
	runs := e.uncountedRuns()
	return len(runs) > 0 && (isAnyRun || len(freshRuns(runs)) == 0)
}

func (e *Endpoint) hasInheritedRuns() bool {
	for _, r := range e.runs {
		if r.phase == inherited {
			return true
		}
	}
	return false
}

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
	// convictingEvidence is the evidence for which a task is given up: the negative decimal
	// logarithm of the probability that its endpoints have crashed by themselves. Less is
	// enough after manyCrashes of any kind.
	convictingEvidence          = 5.8
	convictingEvidenceAfterMany = 4
	manyCrashes                 = 4
	// minCrashRate is the least rate, per second, at which an endpoint is taken to crash by
	// itself.
	minCrashRate = 0.01
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

// evidence returns the evidence of a crash against the task of a run, if only its job can be
// the cause: how unlikely it is that the endpoint crashed by itself just then. The time of
// the crash is known from the last answer on. Before that it counts whether the endpoint
// crashed at the same age of the run as the ones before.
func (c *Cell) evidence(now time.Time, r *run) float64 {
	watched := min(max(now.Sub(c.config.Inherited), minCrashRateWindow), crashRateWindow)
	rate := float64(c.crashRate.count(now)) / (watched.Seconds() * float64(max(len(c.endpoints), 1)))
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

// count returns the number of crashes within crashRateWindow, without those for which a task
// that was given up can be the cause.
func (r *crashRate) count(now time.Time) (count int) {
	for _, c := range r.crashes {
		isExplained := slices.ContainsFunc(c.fresh, func(t *task) bool { return t.isGivenUp })
		if now.Sub(c.at) <= crashRateWindow && !isExplained {
			count++
		}
	}
	return count
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

// String returns the name of the task with the number of the run and what is known of it.
func (t CrashedTask) String() string {
	text := fmt.Sprintf("%s run %d, crash %d, evidence %.1f", t.Task, t.Run, t.Crashes, t.Evidence)
	if t.IsGivenUp {
		text += ", given up"
	}
	return text
}
