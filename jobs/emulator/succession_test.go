package emulator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// A run of an earlier owner counted as over at once if the store went down as its endpoint had just answered the first poll of the
// next owner, and the endpoint was cut off before the second one.
func TestNextOwnerForgetsGrantOfListedRun(t *testing.T) {
	for name, changeOwner := range ownerChanges {
		Convey("A task runs once if its endpoint is cut off while nothing can be stored after the owner changed: "+name, t, func() {
			for wait := 10 * time.Millisecond; wait < 3*time.Second; wait += 20 * time.Millisecond {
				w, job := newServingWorld()
				w.Submit(job)
				w.Advance(7 * time.Second)
				e := runningEndpoint(w)
				changeOwner(w, e)
				w.Advance(wait)
				w.StopStore(1500 * time.Millisecond)
				w.Advance(500 * time.Millisecond)
				e.Partition(20 * time.Second)
				w.Advance(14 * time.Second)
				SoMsg(wait.String(), w.Violations(), ShouldBeEmpty)
			}
		})
	}
}

// Of a speculative task that had been started again because its endpoint was silent, the state for the next owner named the copy only, so that the next
// owner did not count the first run against the limit of the client account.
func TestNextOwnerForgetsRunBesideCopy(t *testing.T) {
	for name, changeOwner := range ownerChanges {
		Convey("The runs of an account stay within its limit if its speculative tasks have copies as the owner changes: "+name, t, func() {
			w := New(Config{
				Endpoints: 3, Capacity: jobs.Size{CPU: 8000, Memory: 8000}, Limits: map[string]jobs.Size{"red": {CPU: 8000, Memory: 8000}},
				Work: func(*World, string) (time.Duration, bool) { return 20 * time.Second, false },
			})
			w.Advance(time.Second)
			job := jobs.Job{
				ID: "0000000000000001", Queue: "q", Account: "red", Attempts: 3, Stretch: 30,
				Steps: []jobs.Step{{Count: 4, Each: jobs.Size{CPU: 1000, Memory: 100}, Speculative: true}},
			}
			w.Submit(job)
			w.Advance(2 * time.Second)
			e := w.endpoints[0]
			So(e.runs, ShouldHaveLength, 4)
			e.Partition(20 * time.Second)
			w.Advance(1610 * time.Millisecond)
			So(w.endpoints[1].runs, ShouldHaveLength, 4)
			changeOwner(w, e)
			job.ID = "0000000000000002"
			for range 60 {
				w.Submit(job)
				w.Advance(50 * time.Millisecond)
			}
			w.Advance(14 * time.Second)
			So(w.Violations(), ShouldBeEmpty)
		})
	}
}

// findings holds what the owner of a cell finds out before it is followed by another one. Each returns a world and the endpoint in question.
var findings = map[string]func() (*World, *Endpoint){
	"a grant": func() (*World, *Endpoint) { return newSuccession(3, nil, 3*time.Second) },
	"the incarnation of a restarted endpoint": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 3*time.Second)
		e.Crash(30 * time.Millisecond)
		w.Advance(600 * time.Millisecond)
		return w, e
	},
	"an end that was done": func() (*World, *Endpoint) {
		return newSuccession(3, func(config *Config) { config.Work = worksFor(300*time.Millisecond, false) }, 300*time.Millisecond)
	},
	"ends of which the listing omits some": func() (*World, *Endpoint) {
		return newSuccession(3, func(config *Config) {
			config.Work, config.MaxListedEnds = worksFor(300*time.Millisecond, false), 1
		}, 200*time.Millisecond)
	},
	"an end that failed": func() (*World, *Endpoint) {
		// The end is acknowledged two seconds later, while the next run goes on.
		return newSuccession(1, func(config *Config) { config.Work = worksFor(3*time.Second, true) }, 5300*time.Millisecond)
	},
	"a stop that is accepted": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 3*time.Second)
		e.Drain()
		w.Advance(200 * time.Millisecond)
		return w, e
	},
	"a stop that is not answered": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 3*time.Second)
		e.Drain()
		e.LoseAnswers(600 * time.Millisecond)
		w.Advance(300 * time.Millisecond)
		return w, e
	},
	"a start that is not answered": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 0)
		e.LoseAnswers(600 * time.Millisecond)
		return w, e
	},
	"a cancelled job": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 3*time.Second)
		w.Cancel(successionID)
		return w, e
	},
	"silence": func() (*World, *Endpoint) {
		w, e := newSuccession(3, nil, 3*time.Second)
		e.Partition(1900 * time.Millisecond)
		w.Advance(1500 * time.Millisecond)
		return w, e
	},
}

// successionID is the job of newSuccession.
const successionID = "0000000000000001"

// worksFor returns a Config.Work.
func worksFor(duration time.Duration, fails bool) func(*World, string) (time.Duration, bool) {
	return func(*World, string) (time.Duration, bool) { return duration, fails }
}

// newSuccession returns a world some time after a job with a number of tasks was submitted, and the endpoint that gets all of them. They are long-running unless
// change says how long they work.
func newSuccession(count int, change func(config *Config), wait time.Duration) (*World, *Endpoint) {
	config := Config{
		Endpoints: 3, Capacity: jobs.Size{CPU: 8000, Memory: 8000}, MaxGrant: maxGrant, Work: worksFor(0, false),
		Limits: map[string]jobs.Size{"red": {CPU: 3000, Memory: 8000}},
	}
	if change != nil {
		change(&config)
	}
	w := New(config)
	w.Advance(10 * time.Second)
	w.Submit(jobs.Job{ID: successionID, Queue: "q", Account: "red", Attempts: 2, Stretch: 30, Steps: []jobs.Step{{
		Count: count, LongRunning: change == nil, Each: jobs.Size{CPU: 1000, Memory: 100}, MaxUnavailable: 3,
	}}})
	// No batch is being written then, so that the owner can hand over at once.
	w.Advance(wait + 7*time.Millisecond)
	return w, w.endpoints[0]
}

// fates holds what becomes of the endpoint as the owner changes.
var fates = map[string]func(w *World, e *Endpoint){
	"goes on":           func(*World, *Endpoint) {},
	"is silent":         func(_ *World, e *Endpoint) { e.Partition(20 * time.Second) },
	"loses its answers": func(_ *World, e *Endpoint) { e.LoseAnswers(4 * time.Second) },
	"restarts":          func(_ *World, e *Endpoint) { e.Crash(30 * time.Millisecond) },
	"restarts twice":    restartTwice,
	"restarts and is silent": func(w *World, e *Endpoint) {
		e.Crash(30 * time.Millisecond)
		w.After(400*time.Millisecond, func() { e.Partition(20 * time.Second) })
	},
	"restarts while cut off": func(_ *World, e *Endpoint) { e.Partition(3 * time.Second); e.Crash(30 * time.Millisecond) },
	"is cut off after takeover": func(w *World, e *Endpoint) {
		w.After(ownerLease+80*time.Millisecond, func() { e.Partition(20 * time.Second) })
	},
}

func restartTwice(w *World, e *Endpoint) {
	e.Crash(30 * time.Millisecond)
	w.After(2300*time.Millisecond, func() { e.Crash(30 * time.Millisecond) })
}

// TestSuccession guards against rules that are broken because the next owner does not know what the one before has found out. docs/notes/succession.md
// lists what that is.
func TestSuccession(t *testing.T) {
	for finding, find := range findings {
		Convey("No rule is broken if the owner changes after it has found out "+finding, t, func() {
			for change, changeOwner := range ownerChanges {
				for fate, meet := range fates {
					for wait := time.Duration(0); wait < 420*time.Millisecond; wait += 70 * time.Millisecond {
						w, e := find()
						w.Advance(wait)
						meet(w, e)
						changeOwner(w, e)
						w.Advance(16 * time.Second)
						SoMsg(fmt.Sprintf("%s, the endpoint %s, %s later", change, fate, wait), w.Violations(), ShouldBeEmpty)
					}
				}
			}
		})
	}
}
