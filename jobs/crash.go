package jobs

import (
	"fmt"
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
	crash := Crash{Endpoint: e.ID, Machine: e.Machine, Evidence: evidence, SilentFor: now.Sub(e.lastContact)}
	for _, r := range sortedRuns(e) {
		if r.phase == placed {
			continue
		}
		crash.Runs++
		if r.hasSettled() {
			continue
		}
		crash.Fresh++
		if len(crash.Tasks) < maxReportedRuns {
			crash.Tasks = append(crash.Tasks, CrashedTask{Task: r.task.name, Run: r.number})
		}
	}
	if crash.Runs > 0 && len(c.crashes) < maxCrashReports {
		c.crashes = append(c.crashes, crash)
	}
}

// settleTime is how long an endpoint must answer after the start of a run until a crash
// does not count as caused by the start.
const settleTime = 300 * time.Millisecond

// hasSettled reports whether the endpoint has answered for long enough since the run was
// confirmed.
func (r *run) hasSettled() bool {
	return r.phase == running && r.endpoint.lastContact.Sub(r.confirmedAt) >= settleTime
}

// String returns the name of the task with the number of the run.
func (t CrashedTask) String() string { return fmt.Sprintf("%s run %d", t.Task, t.Run) }
