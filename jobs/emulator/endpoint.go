package emulator

import (
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Endpoint is an emulated endpoint.
type Endpoint struct {
	world    *World
	id       string
	rack     string
	capacity jobs.Size
	// slow is how fast its clock runs.
	slow float64
	// speed divides the run times of what starts there; fails makes all runs
	// fail, hangs makes them stand still.
	speed        float64
	fails, hangs bool
	isUp         bool
	isCut        bool
	isDraining   bool
	// isListed tells whether discovery has it.
	isListed bool
	life     int
	born     int64
	booted   time.Time
	epoch    int64
	until    int64
	runs     map[string]*emulatedRun
	ended    []endedRun
	count    int64
	highest  map[string]int
	lapsed   time.Time
}

type emulatedRun struct {
	task   string
	number int
	life   int
	began  time.Time
	length time.Duration
	fails  bool
	stops  bool
	size   jobs.Size
}

type endedRun struct {
	jobs.ListedEnd
	at time.Time
}

// ID returns the endpoint's ID.
func (e *Endpoint) ID() string { return e.id }

func (e *Endpoint) boot() {
	e.life++
	e.isUp, e.isListed, e.isDraining = true, true, false
	e.booted = e.world.now
	e.born = e.world.now.UnixMilli() + int64(e.life)
	e.epoch, e.until, e.count, e.speed = 0, 0, 0, 1
	e.fails, e.hangs = false, false
	e.runs, e.ended, e.highest = make(map[string]*emulatedRun), nil, make(map[string]int)
}

// Crash ends the endpoint; it starts again under the same ID after a time.
func (e *Endpoint) Crash(down time.Duration) {
	for _, r := range e.runs {
		e.world.oracle.left(r.task, e)
	}
	e.isUp = false
	e.runs = make(map[string]*emulatedRun)
	life := e.life
	e.world.after(down, func() {
		if e.life == life && !e.isUp {
			e.boot()
		}
	})
}

// Cut cuts the endpoint off from the owner for a time; it runs on.
func (e *Endpoint) Cut(length time.Duration) {
	e.isCut = true
	e.world.after(length, func() { e.isCut = false })
}

// Drain lets the endpoint leave: no new work is welcome.
func (e *Endpoint) Drain() { e.isDraining = true }

// Grey makes everything that starts on the endpoint fail for a time.
func (e *Endpoint) Grey(length time.Duration) {
	e.fails = true
	e.world.after(length, func() { e.fails = false })
}

// Hang makes everything that starts on the endpoint stand still for a time.
func (e *Endpoint) Hang(length time.Duration) {
	e.hangs = true
	e.world.after(length, func() { e.hangs = false })
}

// Slow makes everything that starts on the endpoint take longer for a time.
func (e *Endpoint) Slow(factor float64, length time.Duration) {
	e.speed = factor
	e.world.after(length, func() { e.speed = 1 })
}

func (e *Endpoint) clock() int64 {
	return int64(float64(e.world.now.Sub(e.booted).Milliseconds()) * e.slow)
}

func (e *Endpoint) used() (sum jobs.Size) {
	for _, r := range e.runs {
		sum = sum.Plus(r.size)
	}
	return sum
}

// extend moves the end of the grant; it never moves back.
func (e *Endpoint) extend(until int64) {
	if until <= e.until {
		return
	}
	e.until = until
	life := e.life
	left := time.Duration(float64(until-e.clock())/e.slow+1) * time.Millisecond
	e.world.after(left, func() { e.lapse(life) })
}

func (e *Endpoint) lapse(life int) {
	if e.life != life || !e.isUp || e.clock() < e.until {
		return
	}
	for _, r := range e.runs {
		e.end(r, jobs.Lapsed)
	}
	e.lapsed = e.world.now
}

func (e *Endpoint) end(r *emulatedRun, how jobs.How) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.count++
	end := jobs.End{Task: r.task, Run: r.number, How: how}
	e.ended = append(e.ended, endedRun{ListedEnd: jobs.ListedEnd{Number: e.count, End: end}, at: e.world.now})
	e.world.oracle.ended(r.task, how, e)
}

// start carries out an order to start a run.
func (e *Endpoint) start(epoch int64, order jobs.Start) (jobs.Answer, int64) {
	if epoch < e.epoch {
		return jobs.Fenced, e.clock()
	}
	e.epoch = epoch
	if order.Until <= e.clock() {
		return jobs.Expired, e.clock()
	}
	if r := e.runs[order.Task]; r != nil && r.number == order.Run {
		e.extend(order.Until)
		return jobs.Accepted, e.clock()
	}
	e.extend(order.Until)
	if order.Run <= e.highest[order.Task] || e.runs[order.Task] != nil {
		return jobs.Outrun, e.clock()
	}
	e.begin(order)
	return jobs.Accepted, e.clock()
}

func (e *Endpoint) begin(order jobs.Start) {
	w := e.world
	length, fails := w.config.Work(w, order.Task)
	r := &emulatedRun{
		task: order.Task, number: order.Run, life: e.life, began: w.now,
		length: time.Duration(float64(length) * e.speed), fails: fails || e.fails,
	}
	r.size = w.oracle.started(order, e)
	e.runs[order.Task] = r
	if length == 0 || e.hangs {
		return
	}
	w.after(r.length, func() {
		if e.life != r.life || e.runs[r.task] != r || !e.isUp {
			return
		}
		how := jobs.Done
		if r.fails {
			how = jobs.Failed
		}
		e.end(r, how)
	})
}

// stop carries out an order to stop a run.
func (e *Endpoint) stop(epoch int64, order jobs.Stop) (jobs.Answer, int64) {
	if epoch < e.epoch {
		return jobs.Fenced, e.clock()
	}
	e.epoch = epoch
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	r := e.runs[order.Task]
	if r != nil && r.number <= order.Run && !r.stops {
		r.stops = true
		e.world.after(stopGrace, func() {
			if e.life == r.life && e.runs[r.task] == r && e.isUp {
				e.end(r, jobs.Stopped)
			}
		})
	}
	return jobs.Accepted, e.clock()
}

// look answers what runs; ends up to the one seen are noted and forgotten.
func (e *Endpoint) look(epoch, seen, until int64) (jobs.Listing, jobs.Answer) {
	if epoch < e.epoch {
		return jobs.Listing{}, jobs.Fenced
	}
	e.epoch = epoch
	e.extend(until)
	e.ended = slices.DeleteFunc(e.ended, func(r endedRun) bool {
		if r.Number > seen {
			return false
		}
		e.world.oracle.noted(r, e)
		return true
	})
	l := jobs.Listing{Endpoint: e.id, Born: e.born, Clock: e.clock()}
	for _, r := range e.runs {
		percent := 0
		if r.length > 0 && !e.hangs {
			percent = int(100 * e.world.now.Sub(r.began) / r.length)
		} else if r.length == 0 && e.world.now.Sub(r.began) > 500*time.Millisecond {
			percent = 100
		}
		l.Running = append(l.Running, jobs.Listed{Task: r.task, Run: r.number, Percent: min(percent, 100)})
	}
	for _, r := range e.ended {
		l.Ended = append(l.Ended, r.ListedEnd)
	}
	return l, jobs.Accepted
}

// profile is what discovery says of the endpoint.
func (e *Endpoint) profile() jobs.Profile {
	return jobs.Profile{
		ID: e.id, Machine: "m-" + e.id, Rack: e.rack, Labels: []string{"a", e.rack},
		Capacity: e.capacity, IsDraining: e.isDraining, Born: e.born,
	}
}
