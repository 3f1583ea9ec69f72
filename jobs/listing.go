package jobs

import (
	"slices"
	"time"
)

// stopRetryInterval is the time after which a stop is ordered again if its run has
// not ended. A lost order delays the end of the run by that much.
const stopRetryInterval = 450 * time.Millisecond

// ApplyListing applies an endpoint's listing of its runs and returns the stops to order
// now for runs that the cell does not have. Their tasks are not started until they have
// ended. The listing must be the answer to a poll under this owner's epoch, because that
// poll also makes the endpoint refuse the orders of earlier owners. Listings older than
// the last one applied are ignored, and those of another incarnation of the endpoint than
// the current one that may be older.
func (c *Cell) ApplyListing(now time.Time, l Listing) (orphans []Stop) {
	e := c.endpoints[l.Endpoint]
	if e == nil {
		return nil
	}
	if l.Born != e.born {
		if l.Born == 0 || l.AskedAt.Before(e.bornSeenAt) {
			return nil
		}
		// An incarnation that was up later than the current one cannot be an earlier one.
		c.handleRestart(now, e, l)
	} else if l.isForwarded() {
		c.recordForwarder(now, e)
	}
	if l.Clock < e.listedClock || l.AskedAt.Before(e.listedSince) {
		return nil
	}
	e.bornSeenAt = now
	isFirst := !e.isReached
	if isFirst {
		e.reachedAt = now
	}
	e.listedClock, e.listedSince, e.isReached, e.isUnresponsive = l.Clock, l.AskedAt, true, false
	// An endpoint that answers again as the same incarnation has not crashed.
	e.hasCrashed, e.isCrashUnexplained, e.isRefusing = false, false, false
	e.recordContact(now, l.Clock)
	if !l.AskedAt.Before(e.registeredRestartAt) {
		e.mayHaveRestarted, e.registeredRestartAt = false, time.Time{}
	}
	if isFirst {
		c.dropReplaced(now, e)
	}
	present := make(map[*run]bool, len(l.Running))
	var unknown []ListedRun
	for _, row := range l.Running {
		if r := c.applyListedRun(now, e, row); r != nil {
			present[r] = true
		} else {
			unknown = append(unknown, row)
		}
	}
	e.mayOmitEnds = l.MayOmitEnds
	c.applyEnds(now, e, l.Ended)
	c.clearSettled(e)
	// A run that is not listed may be among the ends that were omitted.
	if !l.MayOmitEnds {
		c.checkAbsent(now, e, l.AskedAt, present)
	}
	return c.replaceOrphans(now, e, unknown)
}

// checkAbsent handles the runs of an endpoint that a listing without omissions contains
// neither as running nor as ended. asked is when the listing was asked for, present holds
// the runs that it lists as running.
func (c *Cell) checkAbsent(now time.Time, e *Endpoint, asked time.Time, present map[*run]bool) {
	for _, r := range sortedRuns(e) {
		switch {
		case present[r]:
		case r.isAbsent(asked):
			rule := LostAbsent
			if r.orderedBorn != e.born {
				rule = LostRestarted
			}
			c.loseRun(now, r, rule)
		case r.phase == unconfirmed && r.acceptedAt.IsZero() && asked.After(r.orderedAt) && !r.isStopping:
			c.stopRun(r, "start was not answered and has not been carried out")
			r.isStopRevocable = true
		}
	}
}

// applyEnds applies the listed ends that have not been applied yet. The endpoint lists an
// end until it is acknowledged, which is possible once the next batch is stored.
func (c *Cell) applyEnds(now time.Time, e *Endpoint, ends []ListedEnd) {
	isNew := false
	e.listedEnd = 0
	for _, row := range ends {
		e.listedEnd = row.Number
		if row.Number <= e.appliedEnd {
			continue
		}
		e.appliedEnd, isNew = row.Number, true
		c.recordEnd(now, e, row.End)
	}
	if isNew {
		c.applied = append(c.applied, endMark{endpoint: e, born: e.born, number: e.appliedEnd})
	}
}

// isAbsent reports whether a run that a listing without omissions, asked for at a time,
// contains neither as running nor as ended can be neither running on the endpoint nor
// started later. It is if the endpoint had carried out the start, or a stop of the run,
// before the listing was asked for. Starts of earlier owners are not accepted once the
// endpoint has answered a poll, but one that was accepted just before may have begun
// after the list for that poll was copied.
func (r *run) isAbsent(asked time.Time) bool {
	isSettledBefore := func(at time.Time) bool { return !at.IsZero() && asked.After(at) }
	switch r.phase {
	case running, unconfirmed:
		return isSettledBefore(r.acceptedAt) || isSettledBefore(r.stoppedAt)
	case inherited:
		return isSettledBefore(r.endpoint.reachedAt)
	default:
		return false
	}
}

// mayHaveOmittedEnd reports whether the run is missing from the last listing of its endpoint as its
// end is among those that the listing omits, as far as is known.
func (r *run) mayHaveOmittedEnd() bool {
	e := r.endpoint
	return e.mayOmitEnds && r.listedSince.Before(e.listedSince)
}

// applyListedRun updates a run from its row in a listing. It returns nil if the cell has
// no such run.
func (c *Cell) applyListedRun(now time.Time, e *Endpoint, row ListedRun) *run {
	r := e.runs[row.Task]
	if r == nil || r.number != row.Run {
		return nil
	}
	c.recordListedIncarnation(now, e, r)
	if r.phase != running {
		r.phase, r.acceptedAt = running, now
		if r.confirmedAt.IsZero() {
			r.confirmedAt, r.progressedAt = now, now
		}
	}
	if row.Percent != r.percent {
		r.progressedAt = now
	}
	r.percent, r.measurement = row.Percent, row.Measurement
	if row.Saved != "" {
		r.task.checkpoint = row.Saved
	}
	switch {
	case r.task.run != r && !r.isOriginal() || !r.task.needsRun():
		c.stopRun(r, "superseded")
	case r.isStopRevocable && r.stoppedAt.IsZero():
		// The start has been carried out, so its run is the current one of the task.
		r.isStopping, r.isStopRevocable, r.firstStopSentAt = false, false, time.Time{}
	}
	if r.task.step.LongRunning && row.Percent >= 100 {
		r.task.lastServing = now
	}
	return r
}

// recordEnd applies the end of a run that an endpoint listed. Only ends that affect
// later decisions are added to the records.
func (c *Cell) recordEnd(now time.Time, e *Endpoint, end End) {
	t := c.findTask(end.Task)
	if t == nil {
		return
	}
	r := e.runs[end.Task]
	if r != nil && r.number == end.Run {
		runEnd := RunEnd{End: end, Endpoint: e.ID}
		if !r.confirmedAt.IsZero() {
			runEnd.RunTime = now.Sub(r.confirmedAt)
		}
		c.ends = append(c.ends, runEnd)
		c.recordPerformance(now, r, end.Outcome)
		c.recordOutcome(now, r, end.Outcome)
		t.forgetCrashes()
		if end.Outcome == Failed {
			t.avoidEndpoint = e.ID
		}
		defer c.removeRun(r)
	}
	t.lastRun = max(t.lastRun, end.Run)
	if end.Saved != "" {
		t.checkpoint = end.Saved
	}
	c.applyEndToTask(now, t, end, true)
}

// applyEndToTask applies the end of a run to its task and job. isNew is false while
// the cell is being restored; only new ends are counted and added to the records.
func (c *Cell) applyEndToTask(now time.Time, t *task, end End, isNew bool) {
	j := t.step.occurrence.job
	if t.isDone || j.isOver() {
		return
	}
	switch {
	case end.Outcome == Done && !t.step.LongRunning:
		if isNew {
			c.records = append(c.records, Record{End: &end})
			c.counts.Done++
		}
		if t.step.Gang {
			for _, member := range t.step.tasks {
				c.complete(now, member)
			}
			return
		}
		c.complete(now, t)
	case end.Outcome == Failed && !t.step.LongRunning:
		if t.step.Gang {
			// The failures of all members count against the first task of the gang.
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
			c.finishJob(now, j, JobFailed)
		}
	}
}

// complete marks a task as done and updates its step, occurrence and job.
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
	c.observeStep(s)
	o := s.occurrence
	o.stepsLeft--
	o.updateReady()
	if o.stepsLeft == 0 {
		j := o.job
		j.occurrencesLeft--
		if j.Times > 0 {
			delete(j.occurrences, o.number)
			c.heldTasks -= j.tasksPerOccurrence()
		}
		if j.occurrencesLeft == 0 {
			c.finishJob(now, j, Completed)
		}
	}
}

// StartAnswered applies the reply to a start.
func (c *Cell) StartAnswered(now time.Time, s Start, reply Reply) {
	answer := reply.Answer
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	isPresent := s.Born == e.born
	e.recordStartAnswer(now, reply, isPresent)
	switch {
	case !isPresent && answer.mayHaveGranted():
		c.recordStrayStart(now, e, reply)
	case isPresent && reply.IsSilent:
		e.silentAt = now
	}
	r := e.runs[s.Task]
	if r == nil || r.number != s.Run || r.phase != ordered {
		return
	}
	r.connectedAt = reply.ConnectedAt
	switch {
	case answer == Accepted && isPresent:
		r.phase, r.acceptedAt, r.confirmedAt, r.progressedAt = running, now, now, now
		r.isIncarnationKnown = e.isListedIncarnation(now, reply.Clock)
		r.task.step.advice.countCall(-1)
	case answer == Accepted:
		// Either incarnation may have accepted the start; the next listing decides.
		r.phase, r.acceptedAt = unconfirmed, now
	case answer == Unanswered:
		// The start may have been carried out and only its answer lost; the next
		// listing decides.
		r.phase = unconfirmed
		e.isUnresponsive = true
	default:
		c.recordRefusal(now, r, answer)
	}
}

// recordRefusal removes a run whose start was refused, and delays the next start of its task
// or on its endpoint.
func (c *Cell) recordRefusal(now time.Time, r *run, answer Answer) {
	e := r.endpoint
	r.task.notBefore = now.Add(refusalDelay)
	if answer == Unhealthy {
		e.recordFailure(now, r.task)
	}
	if answer == BadTicket {
		r.task.step.recordBadTicket(e)
	}
	switch answer {
	case NoRoom, Refused, ConnectionRefused, OtherIncarnation:
		e.cordonUntil = later(e.cordonUntil, now.Add(fullEndpointDelay))
	}
	if answer == OtherIncarnation && r.orderedBorn == e.born {
		// Its next listing shows which one it is. Until then any start would be for the same one.
		e.mayHaveRestarted = true
	}
	c.removeRun(r)
}

// Delays after a refused start.
const (
	// refusalDelay is the time before the task is placed again. Without it, the
	// task would be ordered and refused in a tight loop.
	refusalDelay = 50 * time.Millisecond
	// fullEndpointDelay is the time for which an endpoint gets no work after it
	// refused a start as having no room, or the order could not be delivered to it.
	fullEndpointDelay = 300 * time.Millisecond
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StopAnswered applies the answer to a stop. clock is the endpoint's clock in the
// answer, in milliseconds, 0 if there is none. An answer to a stop that was given before
// the endpoint restarted is ignored; the stop is given again.
func (c *Cell) StopAnswered(now time.Time, s Stop, answer Answer, clock int64) {
	e := c.endpoints[s.Endpoint]
	if e == nil || s.Born != e.born {
		return
	}
	if clock > 0 {
		e.recordContact(now, clock)
	}
	if answer == Accepted {
		c.recordLateStop(s)
	}
	r := e.runs[s.Task]
	if r == nil || r.number != s.Run {
		return
	}
	if answer == Accepted {
		// The run ends even if its stop was revoked in the meantime.
		r.isStopping, r.stoppedAt = true, now
		return
	}
	if answer == OtherIncarnation {
		c.loseRun(now, r, LostMisdirected)
	}
}

// Stops returns the stops to order now: the new ones, and again those ordered and accepted at
// least stopRetryInterval ago whose runs have not ended. Endpoints that have crashed get none, and
// each gets a few at a time.
func (c *Cell) Stops(now time.Time) []Stop {
	var stops []Stop
	for _, e := range c.endpoints {
		if e.hasCrashed {
			continue
		}
		left := maxStopsUnderWay - e.stopsUnderWay(now)
		for _, r := range e.runs {
			if left <= 0 {
				break
			}
			if !r.isStopNeeded() || r.phase == placed || r.phase == ordered || now.Sub(later(r.stopSentAt, r.stoppedAt)) < stopRetryInterval {
				continue
			}
			// A stop that was sent is not repeated for a run that has probably ended.
			if !r.stopSentAt.IsZero() && r.mayHaveOmittedEnd() {
				continue
			}
			r.stopSentAt = now
			if r.firstStopSentAt.IsZero() {
				r.firstStopSentAt = now
			}
			left--
			stops = append(stops, Stop{Endpoint: e.ID, Task: r.task.name, Run: r.number, Born: e.born, Reason: r.stopReason})
		}
	}
	return append(stops, c.lateStops(now, func(*lateStart) bool { return true })...)
}

// IsStopCurrent reports whether a stop that is queued for sending is still needed. It is not
// if it was ordered because the run had not been started, and the run may have been since.
func (c *Cell) IsStopCurrent(s Stop) bool {
	e := c.endpoints[s.Endpoint]
	if e == nil {
		return true
	}
	r := e.runs[s.Task]
	return r == nil || r.number != s.Run || r.isStopNeeded()
}

// isStopNeeded reports whether a stop of the run may be sent now. The revocable stop of a
// long-running task is sent only while the last listing of the endpoint can be relied on:
// otherwise the task may be at work.
func (r *run) isStopNeeded() bool {
	mayBeAtWork := r.isStopRevocable && r.task.step.LongRunning && r.endpoint.isListingDue()
	return r.isStopping && !mayBeAtWork
}
