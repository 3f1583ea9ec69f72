package jobs

import (
	"fmt"
	"slices"
	"time"
)

// CrashSymptom is what shows that an incarnation of an endpoint has ended unplanned. A lack
// of answers does not: the endpoint may be cut off, slow or frozen.
type CrashSymptom string

// The symptoms of a crash.
const (
	// NotListening means that a connection to the endpoint was refused.
	NotListening CrashSymptom = "not listening"
	// Restarted means that the endpoint has another incarnation.
	Restarted CrashSymptom = "restarted"
	// Replaced means that another endpoint is up on its machine.
	Replaced CrashSymptom = "replaced"
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
	Symptom           CrashSymptom
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
func (c *Cell) recordCrash(now time.Time, e *Endpoint, symptom CrashSymptom) {
	if e.hasCrashed || e.IsDraining || now.Before(e.cordonUntil) {
		return
	}
	e.hasCrashed = true
	runs := e.uncountedRuns()
	if len(runs) == 0 {
		return
	}
	fresh := freshRuns(runs)
	e.isCrashUnexplained = len(fresh) == 0 || e.hasInheritedRuns()
	isAlone := shareFate(fresh) && !c.isPartOfOutage(e)
	if !isAlone || fresh[0].task.evidence == 0 {
		c.crashRate.add(now, fresh)
	}
	for _, r := range runs {
		c.blame(now, r, isAlone)
	}
	if len(c.crashes) < maxCrashReports {
		c.crashes = append(c.crashes, newCrash(now, e, symptom, runs, fresh))
	}
}

// newCrash returns the report on the crash of an endpoint with runs, the fresh ones among them.
func newCrash(now time.Time, e *Endpoint, symptom CrashSymptom, runs, fresh []*run) Crash {
	crash := Crash{
		Endpoint: e.ID, Machine: e.Machine, Symptom: symptom, SilentFor: now.Sub(e.lastContact),
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

// String returns the name of the task with the number of the run and what is known of it.
func (t CrashedTask) String() string {
	text := fmt.Sprintf("%s run %d, crash %d, evidence %.1f", t.Task, t.Run, t.Crashes, t.Evidence)
	if t.IsGivenUp {
		text += ", given up"
	}
	return text
}
