package emulator

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// load is a replayed load: turns of some seconds that ask for more than the cell
// holds, and a twentieth between. Declared run times are off by up to ten times.
type load struct {
	seed uint64
	// turn is how many jobs a second a turn brings, for turnLength in each period.
	turn               float64
	turnLength, period time.Duration
	length             time.Duration
	// troubles are set up at the start.
	troubles func(w *World)
	// isOpenDoor lets every job in, as a simple baseline.
	isOpenDoor bool
	// retries is how many times a submitter comes back, in whole seconds as
	// Retry-After has them.
	retries int
}

// outcome is what came of a load.
type outcome struct {
	asked, refused, inTime, late, open int
	// waste is how many refused jobs had been accepted before; always 0.
	violations []string
}

const objectiveStretch = 1.6

// play replays a load on twelve endpoints of 16 cores.
func (l load) play() (o outcome) {
	ended := make(map[string]time.Time)
	var w *World
	w = New(Config{
		Seed: l.seed, Endpoints: 12, PerRack: 4, Capacity: jobs.Size{CPU: 16000, Memory: 64000},
		Work: func(w *World, task string) (time.Duration, bool) {
			name, _ := jobs.ParseTaskName(task)
			job, _ := w.oracle.job(name.Job)
			return trueTime(job), w.chance(0.002)
		},
		Ended: func(id string, _ jobs.State) { ended[id] = w.Now() },
	})
	if l.troubles != nil {
		l.troubles(w)
	}
	w.Advance(time.Second)
	sent := make(map[string]time.Time)
	due := make(map[string]time.Duration)
	end := w.Now().Add(l.length)
	for number := 0; w.Now().Before(end); number++ {
		rate := l.turn
		if w.Now().Sub(time.Unix(1000, 0))%l.period > l.turnLength {
			rate = l.turn / 20
		}
		w.Advance(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
		job := drawnJob(w, number)
		o.asked++
		chain := time.Duration(len(job.Steps)) * trueTime(job)
		sent[job.ID], due[job.ID] = w.Now(), time.Duration(objectiveStretch*float64(chain))+job.Target
		if l.isOpenDoor {
			w.oracle.sent[job.ID] = true
			w.owner.cell.Submit(w.Now(), job)
			continue
		}
		l.submit(w, job, l.retries, func() {
			o.refused++
			delete(sent, job.ID)
		})
	}
	w.Advance(60 * time.Second)
	for id, at := range sent {
		done, isOver := ended[id]
		switch {
		case !isOver:
			o.open++
		case done.Sub(at) <= due[id]:
			o.inTime++
		default:
			o.late++
		}
	}
	o.violations = w.Violations()
	return o
}

// answerLimit is when a submitter takes a request for lost.
const answerLimit = 1500 * time.Millisecond

// submit hands a job in, and again when its submitter is told to come back.
func (l load) submit(w *World, job jobs.Job, retries int, refused func()) {
	verdict := w.Submit(job)
	switch {
	case verdict.IsAccepted:
		// An owner that ends before the job is stored gives no answer.
		w.After(answerLimit, func() {
			if _, isAccepted := w.Accepted()[job.ID]; !isAccepted {
				l.submit(w, job, retries, refused)
			}
		})
	case retries == 0:
		refused()
	default:
		wait := time.Duration(math.Ceil(verdict.RetryAfter.Seconds())) * time.Second
		w.After(wait, func() { l.submit(w, job, retries-1, refused) })
	}
}

// trueTime is how long the tasks of a job run; the spec carries it, which the
// cell does not read.
func trueTime(job jobs.Job) time.Duration {
	length, err := time.ParseDuration(job.Spec)
	if err != nil {
		return time.Second
	}
	return length
}

func drawnJob(w *World, number int) jobs.Job {
	length := time.Duration(math.Min(0.8*math.Exp(0.5*w.random.NormFloat64()), 2) * float64(time.Second))
	off := math.Pow(10, 2*w.random.Float64()-1)
	job := jobs.Job{
		ID: fmt.Sprintf("%016x", number+1), Queue: "q", Attempts: 3, Stretch: objectiveStretch, Target: 600 * time.Millisecond,
		Spec: length.String(),
	}
	for i := range 1 + w.random.IntN(2) {
		step := jobs.Step{
			Count: 3 + w.random.IntN(7), Each: jobs.Size{CPU: 500 + int64(w.random.IntN(800)), Memory: 1800},
			Estimate: time.Duration(float64(length) * off),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// turns ask for some 1.7 times what the cell holds for 4.5 s in each 18 s.
func turns(seed uint64) load {
	return load{seed: seed, turn: 60, turnLength: 4500 * time.Millisecond, period: 18 * time.Second, length: 36 * time.Second}
}

// TestAdmissionInTurns compares the admission with letting every job in, first
// come first served at the door, on the same turns.
func TestAdmissionInTurns(t *testing.T) {
	for name, seed := range map[string]uint64{"first seed": 1, "second seed": 2, "third seed": 3} {
		t.Run(name, func(t *testing.T) {
			chosen := turns(seed).play()
			baseline := turns(seed)
			baseline.isOpenDoor = true
			open := baseline.play()
			t.Logf("admission %+v, open door %+v", chosen, open)
			if len(chosen.violations) > 0 {
				t.Fatal(chosen.violations)
			}
			if chosen.open > 0 || open.open > 0 {
				t.Errorf("accepted jobs did not end: %d, %d", chosen.open, open.open)
			}
			// Turning away what cannot be in time must not cost what can.
			if float64(chosen.inTime) < 0.97*float64(open.inTime) {
				t.Errorf("%d in time, %d with an open door", chosen.inTime, open.inTime)
			}
			if chosen.late >= open.late {
				t.Errorf("%d late, %d with an open door", chosen.late, open.late)
			}
		})
	}
}

// TestReturnsAfterAGap plays turns in which the cell has no owner for two seconds,
// as when its owner was cut off. Those that were refused come back while others
// arrive.
func TestReturnsAfterAGap(t *testing.T) {
	for name, seed := range map[string]uint64{"first seed": 21, "second seed": 22, "third seed": 23} {
		t.Run(name, func(t *testing.T) {
			l := load{
				seed: seed, turn: 30, turnLength: 12 * time.Second, period: 30 * time.Second, length: 20 * time.Second, retries: 4,
				troubles: func(w *World) { w.After(4*time.Second, w.Kill) },
			}
			o := l.play()
			t.Logf("%+v", o)
			if len(o.violations) > 0 {
				t.Fatal(o.violations)
			}
			if o.open > 0 {
				t.Errorf("%d jobs did not end", o.open)
			}
		})
	}
}

// TestBadEndpointsUnderLoad plays endpoints that fail, stall or slow what they
// start: most of the work still ends in time elsewhere.
func TestBadEndpointsUnderLoad(t *testing.T) {
	const calm = 8 // Jobs a second, a quarter of what the cell holds.
	for name, trouble := range map[string]func(w *World){
		"one fails everything": func(w *World) { w.endpoints[0].Grey(time.Minute) },
		"one hangs everything": func(w *World) { w.endpoints[0].Hang(time.Minute) },
		"a rack is lost":       func(w *World) { loseRack(w) },
	} {
		t.Run(name, func(t *testing.T) {
			l := load{seed: 7, turn: calm, turnLength: time.Hour, period: 2 * time.Hour, length: 30 * time.Second, troubles: trouble}
			o := l.play()
			t.Logf("%+v", o)
			if len(o.violations) > 0 {
				t.Fatal(o.violations)
			}
			if o.open > 0 {
				t.Errorf("%d jobs did not end", o.open)
			}
			if share := float64(o.inTime) / float64(o.asked); share < 0.85 {
				t.Errorf("%.2f in time", share)
			}
		})
	}
}

// TestCutInATurn cuts a third of the endpoints off in the middle of a turn that
// fills the cell. What is placed on them before the cut shows is stuck, so the
// bound is the share of the jobs that the other two thirds can serve in time.
func TestCutInATurn(t *testing.T) {
	for name, seed := range map[string]uint64{"first seed": 11, "second seed": 12, "third seed": 13} {
		t.Run(name, func(t *testing.T) {
			l := load{seed: seed, turn: 10, turnLength: time.Hour, period: 2 * time.Hour, length: 20 * time.Second}
			whole := l.play()
			l.troubles = cutThird
			cut := l.play()
			t.Logf("whole %+v, with a cut %+v", whole, cut)
			if len(cut.violations) > 0 {
				t.Fatal(cut.violations)
			}
			if cut.open > 0 {
				t.Errorf("%d jobs did not end", cut.open)
			}
			// Some 16 jobs a second are handed in for the 6 s of the cut. At most those
			// that had tasks on the cut endpoints when it began, a second's worth, and a
			// third of the others are lost.
			if most := 16 + 16*6/3; whole.inTime-cut.inTime > most {
				t.Errorf("%d jobs fewer in time, more than %d", whole.inTime-cut.inTime, most)
			}
		})
	}
}

// cutThird cuts four of twelve endpoints off for six seconds.
func cutThird(w *World) {
	w.After(8*time.Second, func() {
		for _, e := range w.endpoints[:4] {
			e.Cut(6 * time.Second)
		}
	})
}

// loseRack takes the four endpoints of a rack in the middle of the load.
func loseRack(w *World) {
	w.After(15*time.Second, func() {
		for _, e := range w.endpoints[:4] {
			e.Crash(time.Hour)
		}
	})
}
