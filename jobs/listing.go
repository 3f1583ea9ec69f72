package jobs

import (
	"slices"
	"time"
)

// stopAgain is how long to wait for the end of a run before its stop is ordered
// again; a lost order costs that much.
const stopAgain = 450 * time.Millisecond

// Listed takes in what an endpoint says of its runs. The listing was asked for
// under the epoch of this owner, so orders of earlier owners are refused there
// from now on.
func (c *Cell) Listed(now time.Time, l Listing) (strays []Stop) {
	e := c.endpoints[l.Endpoint]
	if e == nil || l.Born < e.born {
		return nil
	}
	if l.Born > e.born {
		c.reborn(e, l.Born)
	}
	if l.Clock < e.listed {
		return nil
	}
	isFirst := !e.isReached
	e.listed, e.isReached, e.isSilent = l.Clock, true, false
	e.heard(now, l.Clock)
	present := make(map[string]bool, len(l.Running))
	e.strays = Size{}
	for _, row := range l.Running {
		present[row.Task] = true
		if !c.listedRun(now, e, l.Clock, row) {
			e.strays = e.strays.Plus(c.strayRoom(e, row.Task))
			strays = append(strays, Stop{Endpoint: e.ID, Task: row.Task, Run: row.Run, Why: "not ordered by this owner"})
		}
	}
	for _, row := range l.Ended {
		if row.Number <= e.seen {
			continue
		}
		e.seen = row.Number
		c.ended(now, e, row.End)
	}
	for _, r := range sortedRuns(e) {
		switch {
		case present[r.task.name]:
		case r.isAbsent(l.Clock, isFirst):
			c.counts.Lost++
			c.removeRun(r)
		case r.phase == unconfirmed && l.Clock > r.phaseClock:
			c.stopRun(r, "start was not answered and has not been carried out")
		}
	}
	return strays
}

// isAbsent tells whether a run that is neither listed as running nor as ended
// can no longer be there.
func (r *run) isAbsent(clock int64, isFirst bool) bool {
	switch r.phase {
	case running:
		return clock > r.phaseClock
	case inherited:
		return isFirst || clock > r.phaseClock
	case unconfirmed:
		return r.stopClock > 0 && clock > r.stopClock
	default:
		return false
	}
}

// strayRoom returns what an unknown run takes: the size of its task, or all of
// the endpoint if the task is not known either.
func (c *Cell) strayRoom(e *Endpoint, task string) Size {
	if t := c.findTask(task); t != nil {
		return t.step.Reserved()
	}
	return e.Capacity
}

// listedRun takes in a run that an endpoint has at work.
func (c *Cell) listedRun(now time.Time, e *Endpoint, clock int64, row Listed) (isOurs bool) {
	r := e.runs[row.Task]
	if r == nil || r.number != row.Run {
		return false
	}
	r.isListed = true
	if r.phase != running {
		r.phase, r.phaseClock = running, clock
		if r.confirmedAt.IsZero() {
			r.confirmedAt, r.progressedAt = now, now
		}
	}
	if row.Percent != r.percent {
		r.progressedAt = now
	}
	r.percent, r.reading = row.Percent, row.Figure
	if row.Saved != "" {
		r.task.checkpoint = row.Saved
	}
	if r.task.run != r || r.task.isDone {
		c.stopRun(r, "superseded")
	}
	if r.task.step.LongRunning && row.Percent >= 100 {
		r.task.lastServing = now
	}
	return true
}

// ended takes in the end of a run. Only ends that change what may happen next
// are stored.
func (c *Cell) ended(now time.Time, e *Endpoint, end End) {
	t := c.findTask(end.Task)
	if t == nil {
		return
	}
	r := e.runs[end.Task]
	if r != nil && r.number == end.Run {
		told := RunEnd{End: end, Endpoint: e.ID}
		if !r.confirmedAt.IsZero() {
			told.RunTime = now.Sub(r.confirmedAt)
		}
		c.ends = append(c.ends, told)
		c.recordOutcome(now, r, end.How)
		if end.How == Failed {
			t.avoidEndpoint = e.ID
		}
		defer c.removeRun(r)
	}
	t.lastRun = max(t.lastRun, end.Run)
	if end.Saved != "" {
		t.checkpoint = end.Saved
	}
	c.settle(now, t, end, true)
}

// settle applies an end to the task and its job. With isNew the end is put on
// record where it has to be.
func (c *Cell) settle(now time.Time, t *task, end End, isNew bool) {
	j := t.step.occurrence.job
	if t.isDone || j.isOver() {
		return
	}
	switch {
	case end.How == Done && !t.step.LongRunning:
		if isNew {
			c.records = append(c.records, Record{End: &end})
			c.counts.Done++
		}
		if t.step.Gang {
			for _, each := range t.step.tasks {
				c.complete(now, each)
			}
			return
		}
		c.complete(now, t)
	case end.How == Failed && !t.step.LongRunning:
		if t.step.Gang {
			// A gang fails as one.
			t = t.step.tasks[0]
		}
		if slices.Contains(t.failedRuns, end.Run) {
			return
		}
		t.failedRuns = append(t.failedRuns, end.Run)
		if isNew {
			c.counts.Failed++
			c.records = append(c.records, Record{End: &end})
		}
		if j.Attempts > 0 && len(t.failedRuns) >= j.Attempts {
			c.finishJob(now, j, Broke)
		}
	}
}

// complete notes that a task is done.
func (c *Cell) complete(now time.Time, t *task) {
	if t.isDone {
		return
	}
	t.isDone = true
	s := t.step
	if t.run != nil {
		c.stopRun(t.run, "done elsewhere")
	} else {
		s.waiting = remove(s.waiting, t)
	}
	s.tasksLeft--
	if s.tasksLeft > 0 {
		return
	}
	o := s.occurrence
	o.stepsLeft--
	o.updateReady()
	if o.stepsLeft == 0 {
		j := o.job
		j.occurrencesLeft--
		if j.Times > 0 {
			delete(j.occurrences, o.number)
		}
		if j.occurrencesLeft == 0 {
			c.finishJob(now, j, Completed)
		}
	}
}

// StartAnswered takes in the answer to a start.
func (c *Cell) StartAnswered(now time.Time, s Start, answer Answer, clock int64) {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	if clock > 0 {
		e.heard(now, clock)
	}
	r := e.runs[s.Task]
	if r == nil || r.number != s.Run || r.phase != ordered {
		return
	}
	switch answer {
	case Accepted:
		r.phase, r.phaseClock, r.confirmedAt, r.progressedAt = running, clock, now, now
	case Unanswered:
		// The answer alone may be lost, so the next look decides.
		r.phase, r.phaseClock = unconfirmed, e.clock
		e.isSilent = true
	default:
		r.task.notBefore = now.Add(refusedWait)
		if answer == Unhealthy {
			e.strike(now)
		}
		if answer == BadTicket {
			delete(r.task.step.tickets, e.ID)
		}
		if answer == NoRoom || answer == Refused {
			e.cordon = later(e.cordon, now.Add(noRoomWait))
		}
		c.removeRun(r)
	}
}

// Waits after a refused start.
const (
	// refusedWait keeps a task from being sent round in circles.
	refusedWait = 50 * time.Millisecond
	// noRoomWait is how long an endpoint that is fuller than known, or cannot be
	// reached, gets no work.
	noRoomWait = 300 * time.Millisecond
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StopAnswered takes in the answer to a stop.
func (c *Cell) StopAnswered(now time.Time, s Stop, answer Answer, clock int64) {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	if clock > 0 {
		e.heard(now, clock)
	}
	r := e.runs[s.Task]
	if r == nil || r.number != s.Run {
		return
	}
	if answer == Accepted {
		r.stopClock = clock
		if r.phase == running || r.phase == inherited {
			r.phaseClock = max(r.phaseClock, clock)
		}
		return
	}
	if answer == OtherLife {
		c.removeRun(r)
	}
}

// Stops returns the stops to order now: those that were decided since the last
// call, and those whose runs are still there.
func (c *Cell) Stops(now time.Time) []Stop {
	var stops []Stop
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			if !r.isStopping || r.phase == placed || r.phase == ordered || now.Sub(r.stopSentAt) < stopAgain {
				continue
			}
			r.stopSentAt = now
			stops = append(stops, Stop{Endpoint: e.ID, Task: r.task.name, Run: r.number, Why: r.stopReason})
		}
	}
	return stops
}
