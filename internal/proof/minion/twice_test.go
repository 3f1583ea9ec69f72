package minion

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

const (
	// playTime is how long jobs are submitted and endpoints restart.
	playTime = 20 * time.Second
	// Each of the submitters submits a job at this interval, so that starts are under way all the
	// time.
	submitterCount = 4
	submitInterval = 40 * time.Millisecond
	// minRestartGap and maxRestartGap are bounds of the time between two restarts.
	minRestartGap = 100 * time.Millisecond
	maxRestartGap = 300 * time.Millisecond
	// finishTime is how long accepted jobs may take after the traffic: finish_s of the platform.
	finishTime = 14 * time.Second
	// minCrashes is the number of crashes of endpoints under the runs of a task for which the
	// platform permits that it is given up.
	minCrashes = 2
	// printedViolations is the number of violations that are printed with the lines of the logs.
	printedViolations = 4
)

// A task whose start reached the next incarnation of its endpoint over a connection that outlived
// the restart was started again beside that run.
func TestRestartBehindForwarderStartsTaskTwice(t *testing.T) {
	Convey("No task runs twice while endpoints restart behind their forwarders, and all jobs complete", t, FailureContinues, func() {
		s := newSystem(t, systemConfig{entries: 3, endpoints: 16, seed: 40})
		s.play(s.restartEndpoints)
		s.expectRunsOnce()
		s.expectCompleted()
	})
}

// Tasks that were started while a poll stayed unanswered after a restart of its endpoint were started
// again beside those runs.
func TestRestartDuringSilentPollStartsTasksTwice(t *testing.T) {
	Convey("No task runs twice while endpoints restart and polls stay unanswered, and all jobs complete", t, FailureContinues, func() {
		s := newSystem(t, systemConfig{entries: 3, endpoints: 16, seed: 40, isSilent: true})
		s.play(s.restartEndpoints)
		s.expectRunsOnce()
		s.expectCompleted()
	})
}

// A task whose run began between the list and the clock of a listing was started again beside
// that run.
func TestListingOlderThanItsClockStartsTaskTwice(t *testing.T) {
	Convey("No task runs twice while endpoints read the clock of a listing after its runs, and all jobs complete", t, FailureContinues, func() {
		s := newSystem(t, systemConfig{entries: 3, endpoints: 16, seed: 40, listingDelay: 20 * time.Millisecond})
		s.play(func(time.Time) {})
		s.expectRunsOnce()
		s.expectCompleted()
	})
}

// play submits jobs for playTime. Beside that it runs disturb, until that returns.
func (s *system) play(disturb func(end time.Time)) {
	end := time.Now().Add(playTime)
	var workers conc.WaitGroup
	workers.Go(func() { disturb(end) })
	for number := range submitterCount {
		random := rand.New(rand.NewPCG(s.config.seed, uint64(number)))
		workers.Go(func() {
			for ; time.Now().Before(end); time.Sleep(submitInterval) {
				s.submit(random.IntN(len(s.entries)), random.Uint64())
			}
		})
	}
	workers.Wait()
}

// restartEndpoints kills random endpoints until a time, and starts each again at once under its ID.
func (s *system) restartEndpoints(end time.Time) {
	random := rand.New(rand.NewPCG(s.config.seed, submitterCount))
	for time.Now().Before(end) {
		time.Sleep(minRestartGap + time.Duration(random.Int64N(int64(maxRestartGap-minRestartGap))))
		host := s.endpoints[random.IntN(len(s.endpoints))]
		host.kill()
		host.start()
	}
}

// expectRunsOnce checks that no task had two runs at work, or a run after its acknowledged end. It
// prints the runs of the tasks for which that is not so, and what the entries logged of the first.
func (s *system) expectRunsOnce() {
	violations, runs := s.record.violations()
	total, ofRecord := 0, 0
	for _, list := range runs {
		total += len(list)
	}
	for i, v := range violations {
		if v.isOfRecord() {
			ofRecord++
		}
		lines := ""
		if i < printedViolations {
			lines = s.logLines(`"` + v.later.Task + `"`)
		}
		s.t.Logf("runs %d and %d of %s:\n%s%s", v.earlier.Run, v.later.Run, v.later.Task, describeRuns(runs[v.later.Task]), lines)
	}
	s.t.Logf("%d jobs accepted, %d runs of %d tasks, %d violations, %d of them as in issue 40", len(s.jobs), total, len(runs), len(violations), ofRecord)
	So(len(violations), ShouldEqual, 0)
}

// expectCompleted checks that all accepted jobs complete within finishTime. A job may also be shown
// as failed if one of its tasks was given up, as endpoints crashed under its runs.
func (s *system) expectCompleted() {
	pending := s.jobs
	states := map[string]string{}
	givenUp := 0
	await.Until(finishTime, func() bool {
		var left []string
		for _, id := range pending {
			states[id] = s.state(id)
			switch {
			case states[id] == "completed":
			case states[id] == "failed" && s.record.maxCrashes(id) >= minCrashes:
				givenUp++
			default:
				left = append(left, id)
			}
		}
		pending = left
		return len(pending) == 0
	})
	for _, id := range pending[:min(len(pending), printedViolations)] {
		s.t.Logf("job %s is %q:\n%s", id, states[id], s.logLines(id))
	}
	s.t.Logf("%d of %d jobs are not completed, %d were given up after crashes of endpoints", len(pending), len(s.jobs), givenUp)
	So(len(pending), ShouldEqual, 0)
}
