package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// newCentres returns a world with three data centres of three endpoints each.
func newCentres(seed uint64, coldTime time.Duration) *World {
	return New(Config{
		Seed: seed, Endpoints: 9, PerRack: 3, PerCentre: 3, ColdTime: coldTime, Capacity: jobs.Size{CPU: 8000, Memory: 8000},
		Limits: map[string]jobs.Size{"red": {CPU: 12000, Memory: 20000}},
		Work: func(w *World, task string) (time.Duration, bool) {
			name, _ := jobs.ParseTaskName(task)
			if job, ok := w.oracle.job(name.Job); ok && job.Steps[name.Step].LongRunning {
				return 0, false
			}
			return time.Duration(50+w.Random().IntN(1500)) * time.Millisecond, w.chance(0.05)
		},
	})
}

// playEvacuations runs a random sequence in which an operator evacuates data centres, beside
// hand-overs, lost owners, late orders, outages of the store, silent watches and data centres
// that are cut off, followed by a minute without faults. It returns the world at the end.
func playEvacuations(t *rapid.T) (w *World) {
	w = newCentres(rapid.Uint64().Draw(t, "seed"), time.Duration(rapid.IntRange(0, 4).Draw(t, "cold"))*time.Second)
	w.Advance(500 * time.Millisecond)
	submitted := 0
	drawCentre := func() string { return fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "centre")) }
	drawDuration := func(maxTenths int) time.Duration {
		return time.Duration(rapid.IntRange(1, maxTenths).Draw(t, "length")) * 100 * time.Millisecond
	}
	submit := func(t *rapid.T) {
		w.Submit(drawJob(t, submitted))
		submitted++
	}
	t.Repeat(map[string]func(*rapid.T){
		"submit":       submit,
		"submit again": submit,
		"cancel": func(t *rapid.T) {
			if submitted > 0 {
				w.Cancel(fmt.Sprintf("%016x", rapid.IntRange(1, submitted).Draw(t, "job")))
			}
		},
		"advance":        func(*rapid.T) { w.Advance(drawDuration(60)) },
		"wait":           func(*rapid.T) { w.Advance(drawDuration(3)) },
		"evacuate":       func(*rapid.T) { w.Evacuate(drawCentre()) },
		"evacuate other": func(*rapid.T) { w.Evacuate(drawCentre()) },
		"return":         func(*rapid.T) { w.EndEvacuation(drawCentre()) },
		"evacuate anew": func(*rapid.T) {
			centre := drawCentre()
			w.EndEvacuation(centre)
			w.Evacuate(centre)
		},
		"kill":          func(*rapid.T) { w.KillOwner() },
		"release":       func(*rapid.T) { w.HandOver() },
		"stop store":    func(*rapid.T) { w.StopStore(drawDuration(80)) },
		"silence watch": func(*rapid.T) { w.SilenceWatch(drawDuration(100)) },
		"fail reads":    func(*rapid.T) { w.FailReads(drawDuration(100)) },
		"cut centre":    func(*rapid.T) { w.PartitionCentre(drawCentre(), drawDuration(60)) },
		"crash": func(*rapid.T) {
			w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "endpoint")].Crash(drawDuration(40))
		},
		"faults": func(t *rapid.T) {
			share := func(name string) float64 { return float64(rapid.IntRange(0, 4).Draw(t, name)) / 10 }
			w.SetFaults(Faults{LostAnswers: share("answers"), LateOrders: share("orders"), LostCommits: share("commits"), LateAnswers: share("late")})
		},
		"calm": func(*rapid.T) { w.SetFaults(Faults{}) },
	})
	w.SetFaults(Faults{})
	for i := range 3 {
		w.EndEvacuation(fmt.Sprintf("c%d", i))
	}
	w.Advance(70 * time.Second)
	return w
}

// TestEvacuationInvariants guards against starts in an evacuated data centre later than 5 s
// after the request, and against accepted work that an evacuation leaves undone.
func TestEvacuationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := playEvacuations(t)
		checkOutcome(t, w)
	})
}

// TestRuleOfEvacuation guards against an oracle that overlooks starts: an owner that never
// learns of the evacuation must break the rule.
func TestRuleOfEvacuation(t *testing.T) {
	Convey("An owner that ignores an evacuation breaks the rule after 5 s, and one that knows of it does not", t, func() {
		for name, isIgnored := range map[string]bool{"ignored": true, "known": false} {
			w := newCentres(1, 0)
			w.Advance(500 * time.Millisecond)
			w.Evacuate("c0")
			w.Advance(time.Second)
			if isIgnored {
				w.owner.readEvacuations()
				w.FailReads(time.Hour)
				w.owner.evacuated, w.owner.evacuationsReadAt = nil, w.now.Add(time.Hour)
			}
			for i := range 40 {
				w.Submit(jobs.Job{ID: fmt.Sprintf("%016x", i+1), Queue: "q", Attempts: 3, Stretch: 3, Steps: []jobs.Step{
					{Count: 4, Each: jobs.Size{CPU: 4000, Memory: 100}},
				}})
				w.Advance(300 * time.Millisecond)
			}
			broken := strings.Contains(strings.Join(w.Violations(), "\n"), "EVACUATED")
			SoMsg(name, broken, ShouldEqual, isIgnored)
		}
	})
}

// TestEvacuationsInSeries guards against long-running steps that lose more than MaxUnavailable
// tasks at a time to evacuations, and against tasks that are left in an evacuated data centre.
func TestEvacuationsInSeries(t *testing.T) {
	Convey("One data centre after the other is emptied of long-running tasks within 15 s, one task at a time", t, func() {
		w := newCentres(2, 2*time.Second)
		w.Advance(500 * time.Millisecond)
		const count = 6
		job := jobs.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", Attempts: 3, Steps: []jobs.Step{{
			Count: count, Each: jobs.Size{CPU: 1000, Memory: 100}, LongRunning: true, MaxUnavailable: 1,
		}}}
		w.Submit(job)
		w.Advance(3 * time.Second)
		fewest := count
		for _, centre := range []string{"c0", "c1", "c2", "c0"} {
			w.Evacuate(centre)
			for range 1500 {
				w.Advance(10 * time.Millisecond)
				fewest = min(fewest, w.runningTasks(job, ""))
			}
			SoMsg(centre, w.runningTasks(job, centre), ShouldEqual, 0)
			SoMsg(centre, w.runningTasks(job, ""), ShouldEqual, count)
			w.EndEvacuation(centre)
		}
		So(fewest, ShouldEqual, count-1)
		So(w.Violations(), ShouldBeEmpty)
	})
}

// runningTasks counts the runs of the first step of a job in a data centre; "" stands for all.
func (w *World) runningTasks(job jobs.Job, centre string) (count int) {
	for k := range job.Steps[0].Count {
		for _, r := range w.oracle.running[jobs.TaskName{Job: job.ID, Index: k}.String()] {
			if centre == "" || r.endpoint.centre == centre {
				count++
			}
		}
	}
	return count
}
