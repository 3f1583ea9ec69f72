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
	machine  string
	rack     string
	centre   string
	capacity jobs.Size
	// formerCapacity is the capacity before resizedAt.
	formerCapacity jobs.Size
	resizedAt      time.Time
	// clockRate is the rate of the endpoint's clock; 1 is exact, less is slow.
	clockRate float64
	// slowdown is the factor by which the run times of new runs are multiplied.
	slowdown float64
	// isFailing makes new runs fail; isHanging makes them never end.
	isFailing, isHanging bool
	// failureShare is the probability that a new run fails.
	failureShare float64
	isUp         bool
	// isGone reports that the endpoint has ended for good, isVanishing that it will.
	isGone      bool
	isVanishing bool
	isDraining  bool
	// registerDelay is how long after its next start service discovery lists the endpoint.
	registerDelay time.Duration
	// downSince is when the endpoint last stopped.
	downSince time.Time
	// partitionedUntil and answersLostUntil are the ends of the last partitions: one that
	// cuts both directions, and one that cuts only the direction of the answers.
	partitionedUntil, answersLostUntil time.Time
	// cutEpoch is the epoch of an owner that does not reach the endpoint, 0 if there is
	// none.
	cutEpoch int64
	// incarnation counts the starts of the endpoint; born identifies the current
	// one to owners.
	incarnation int
	born        int64
	bootedAt    time.Time
	// clockSince is when the clock was 0.
	clockSince time.Time
	// epoch is the highest epoch of an owner seen since the start.
	epoch int64
	// grantUntil is the expiry of the grant on the endpoint's clock, in
	// milliseconds.
	grantUntil int64
	// runs holds the current runs in the order of their starts. A task may have several: one
	// that is being stopped beside one with a higher number.
	runs []*emulatedRun
	// endedRuns holds the ends that no owner has acknowledged; endCount counts all
	// ends since the start.
	endedRuns []endedRun
	endCount  int64
	// highestRun holds, by task, the highest run number that ended or was to be
	// stopped here. Starts up to it are refused.
	highestRun map[string]int
	// lapsedAt is when the grant last expired.
	lapsedAt time.Time
}

// emulatedRun is a run on an endpoint. A duration of 0 is that of a long-running task.
type emulatedRun struct {
	endpoint   *Endpoint
	task       string
	number     int
	began      time.Time
	duration   time.Duration
	isFailing  bool
	isStopping bool
	size       jobs.Size
}

// endedRun is the end of a run and when it was.
type endedRun struct {
	jobs.ListedEnd
	at time.Time
}

// ID returns the endpoint's ID.
func (e *Endpoint) ID() string { return e.id }

// boot starts a new incarnation of the endpoint. It has no runs, and all faults except
// partitions are over.
func (e *Endpoint) boot() {
	e.incarnation++
	e.isUp, e.isDraining = true, false
	e.bootedAt = e.world.now
	if e.incarnation == 1 || !e.world.config.ClockGoesOn {
		e.clockSince = e.world.now
	}
	e.born = e.world.now.UnixMilli() + int64(e.incarnation)
	if step := e.world.config.ClockStep.Milliseconds(); step > 0 {
		e.born += e.world.random.Int64N(step)
	}
	e.epoch, e.grantUntil, e.endCount, e.slowdown = 0, 0, 0, 1
	e.isFailing, e.isHanging, e.failureShare = false, false, 0
	e.runs, e.endedRuns, e.highestRun = nil, nil, make(map[string]int)
}

// Crash stops the endpoint and all its runs. It starts again under the same ID after
// downtime.
func (e *Endpoint) Crash(downtime time.Duration) {
	if e.isGone {
		return
	}
	e.shutDown()
	e.world.oracle.disrupt(e.world.now)
	incarnation := e.incarnation
	e.world.after(downtime, func() {
		if e.incarnation == incarnation && !e.isUp && !e.isGone {
			e.boot()
		}
	})
}

// CrashAndReplace stops the endpoint and all its runs. After downtime another endpoint
// starts on its machine.
func (e *Endpoint) CrashAndReplace(downtime time.Duration) {
	if e.isGone {
		return
	}
	e.CrashForGood()
	e.world.after(downtime, func() { e.world.replace(e) })
}

// CrashForGood stops the endpoint and all its runs. It is never heard of again.
func (e *Endpoint) CrashForGood() {
	if e.isGone {
		return
	}
	e.shutDown()
	e.world.oracle.disrupt(e.world.now)
	e.isGone = true
}

// RestartAndVanish restarts the endpoint under the same ID, cut off from the owner, and
// stops the new incarnation for good after uptime. Only service discovery has then seen it.
func (e *Endpoint) RestartAndVanish(downtime, uptime time.Duration) {
	e.isVanishing = true
	e.Partition(downtime + uptime)
	e.Crash(downtime)
	e.world.after(downtime+uptime, e.CrashForGood)
}

// shutDown ends the present incarnation and all its runs.
func (e *Endpoint) shutDown() {
	for _, r := range e.runs {
		e.world.oracle.removeRun(r)
	}
	if e.isUp {
		e.downSince = e.world.now
	}
	e.isUp, e.runs = false, nil
}

// isDiscovered reports whether service discovery lists the endpoint.
func (e *Endpoint) isDiscovered() bool {
	isRegistered := e.isUp && e.world.now.Sub(e.bootedAt) >= e.registerDelay
	return isRegistered || e.world.now.Sub(e.downSince) < delistDelay
}

// isPartitioned reports whether no order reaches the endpoint, isAnswerLost whether none of
// its answers reaches the owner.
func (e *Endpoint) isPartitioned() bool { return e.world.now.Before(e.partitionedUntil) }

func (e *Endpoint) isAnswerLost() bool {
	return e.isPartitioned() || e.world.now.Before(e.answersLostUntil)
}

// isRefusing reports whether the endpoint's machine refuses the connections of the owner with
// an epoch, as nothing listens there.
func (e *Endpoint) isRefusing(epoch int64) bool {
	return !e.isUp && !e.isPartitioned() && e.cutEpoch != epoch
}

// isDisrupted reports whether the endpoint is affected by a fault. One that is gone for good
// is not: nothing about it will change.
func (e *Endpoint) isDisrupted() bool {
	isCut := e.isAnswerLost() || e.cutEpoch == e.world.epoch
	return !e.isGone && (!e.isUp || isCut || e.isFailing || e.isHanging || e.slowdown != 1)
}

// Partition disconnects the endpoint from the owner for duration. Its runs go on
// until its grant expires.
func (e *Endpoint) Partition(duration time.Duration) {
	if until := e.world.now.Add(duration); until.After(e.partitionedUntil) {
		e.partitionedUntil = until
	}
}

// LoseAnswers makes the answers of the endpoint to the owner get lost for duration. Orders
// are carried out.
func (e *Endpoint) LoseAnswers(duration time.Duration) {
	if until := e.world.now.Add(duration); until.After(e.answersLostUntil) {
		e.answersLostUntil = until
	}
}

// PartitionOwner disconnects the endpoint from the present owner, but not from later ones.
func (e *Endpoint) PartitionOwner() { e.cutEpoch = e.world.epoch }

// Drain marks the endpoint as leaving, so that it should get no new work.
func (e *Endpoint) Drain() { e.isDraining = true }

// Leave marks the endpoint as leaving and stops it for good after remaining, as planned.
func (e *Endpoint) Leave(remaining time.Duration) {
	e.Drain()
	incarnation := e.incarnation
	e.world.after(remaining, func() {
		if e.incarnation == incarnation && e.isUp {
			e.shutDown()
			e.isGone = true
		}
	})
}

// Resize changes the capacity of the endpoint. What runs there goes on.
func (e *Endpoint) Resize(capacity jobs.Size) {
	e.formerCapacity = e.countedCapacity()
	e.capacity, e.resizedAt = capacity, e.world.now
}

// countedCapacity returns the capacity up to which runs may be started, in which a former one
// counts for a while.
func (e *Endpoint) countedCapacity() jobs.Size {
	if e.resizedAt.IsZero() || e.world.now.Sub(e.resizedAt) > shrinkNotice {
		return e.capacity
	}
	return jobs.Size{
		CPU:    max(e.capacity.CPU, e.formerCapacity.CPU),
		Memory: max(e.capacity.Memory, e.formerCapacity.Memory),
		GPUs:   max(e.capacity.GPUs, e.formerCapacity.GPUs),
	}
}

// FailRuns makes all runs that start on the endpoint within duration fail.
func (e *Endpoint) FailRuns(duration time.Duration) {
	e.isFailing = true
	e.world.after(duration, func() { e.isFailing = false })
}

// FailSomeRuns makes a share of the runs that start on the endpoint within duration fail.
func (e *Endpoint) FailSomeRuns(share float64, duration time.Duration) {
	e.failureShare = share
	e.world.after(duration, func() { e.failureShare = 0 })
}

// HangRuns makes all runs that start on the endpoint within duration never complete.
// During that time the endpoint lists its runs without progress, except those of
// long-running tasks.
func (e *Endpoint) HangRuns(duration time.Duration) {
	e.isHanging = true
	e.world.after(duration, func() { e.isHanging = false })
}

// SlowRuns multiplies the run time of all runs that start on the endpoint within
// duration by factor.
func (e *Endpoint) SlowRuns(factor float64, duration time.Duration) {
	e.slowdown = factor
	e.world.after(duration, func() { e.slowdown = 1 })
}

// isCold reports whether the endpoint is still slow after its start.
func (e *Endpoint) isCold() bool { return e.clock() < e.warmAt() }

// warmAt returns when the endpoint is no longer slow after its start, on its clock.
func (e *Endpoint) warmAt() int64 {
	return e.clockAt(e.bootedAt) + e.world.config.ColdTime.Milliseconds()
}

// clock returns the endpoint's clock, in milliseconds since its start, or since its first
// start with Config.ClockGoesOn.
func (e *Endpoint) clock() int64 { return e.clockAt(e.world.now) }

func (e *Endpoint) clockAt(at time.Time) int64 {
	return int64(float64(at.Sub(e.clockSince).Milliseconds()) * e.clockRate)
}

func (e *Endpoint) used() (sum jobs.Size) {
	for _, r := range e.runs {
		sum = sum.Plus(r.size)
	}
	return sum
}

// extendGrant moves the expiry of the grant to a later time on the endpoint's clock.
// An earlier time is ignored, and one that is too far away brought nearer.
func (e *Endpoint) extendGrant(until int64) {
	until = min(until, e.clock()+e.world.config.MaxGrant.Milliseconds())
	if until <= e.grantUntil {
		return
	}
	e.grantUntil = until
	incarnation := e.incarnation
	left := time.Duration(float64(until-e.clock())/e.clockRate+1) * time.Millisecond
	e.world.after(left, func() { e.expireGrant(incarnation) })
}

// expireGrant kills all runs if the grant has not been extended meanwhile.
func (e *Endpoint) expireGrant(incarnation int) {
	if e.incarnation != incarnation || !e.isUp || e.clock() < e.grantUntil {
		return
	}
	for _, r := range slices.Clone(e.runs) {
		e.end(r, jobs.Lapsed)
	}
	e.lapsedAt = e.world.now
}

// end ends a run and adds it to the list of ends to be acknowledged.
func (e *Endpoint) end(r *emulatedRun, outcome jobs.Outcome) {
	e.runs = slices.DeleteFunc(e.runs, func(other *emulatedRun) bool { return other == r })
	e.highestRun[r.task] = max(e.highestRun[r.task], r.number)
	e.endCount++
	end := jobs.End{Task: r.task, Run: r.number, Outcome: outcome}
	e.endedRuns = append(e.endedRuns, endedRun{ListedEnd: jobs.ListedEnd{Number: e.endCount, End: end}, at: e.world.now})
	e.world.oracle.recordEnd(r, outcome)
}

// isPresent reports whether a run is still there.
func (r *emulatedRun) isPresent() bool { return slices.Contains(r.endpoint.runs, r) }

// start carries out an order to start a run and returns the answer with the
// endpoint's clock. Another run of the task is no obstacle, unless a run with the same or
// a higher number was stopped or has ended.
func (e *Endpoint) start(epoch int64, order jobs.Start) (jobs.Answer, int64) {
	if epoch < e.epoch {
		return jobs.Fenced, e.clock()
	}
	e.epoch = epoch
	if order.Until <= e.clock() {
		return jobs.Expired, e.clock()
	}
	e.extendGrant(order.Until)
	isThere := func(r *emulatedRun) bool { return r.task == order.Task && r.number == order.Run }
	if slices.ContainsFunc(e.runs, isThere) {
		return jobs.Accepted, e.clock()
	}
	if order.Run <= e.highestRun[order.Task] {
		return jobs.StaleRun, e.clock()
	}
	e.begin(order)
	return jobs.Accepted, e.clock()
}

func (e *Endpoint) begin(order jobs.Start) {
	w := e.world
	length, fails := w.config.Work(w, order.Task)
	r := &emulatedRun{
		endpoint: e, task: order.Task, number: order.Run, began: w.now,
		duration: time.Duration(float64(length) * e.slowdown), isFailing: fails || e.isFailing || e.failureShare > 0 && w.chance(e.failureShare),
	}
	if e.isCold() {
		r.duration *= coldSlowdown
	}
	r.size = w.oracle.checkStart(r)
	e.runs = append(e.runs, r)
	e.crashUnder(r)
	if length == 0 || e.isHanging {
		return
	}
	w.after(r.duration, func() {
		if !r.isPresent() {
			return
		}
		outcome := jobs.Done
		if r.isFailing {
			outcome = jobs.Failed
		}
		e.end(r, outcome)
	})
}

// crashUnder crashes the endpoint if the task of a run that has just started is one of those
// that do so and the run has not ended before. Half of the endpoints come back under their ID.
func (e *Endpoint) crashUnder(r *emulatedRun) {
	w := e.world
	if w.config.CrashAfter == nil || w.config.CrashAfter(r.task) == 0 {
		return
	}
	w.after(w.config.CrashAfter(r.task), func() {
		if !r.isPresent() {
			return
		}
		w.oracle.recordCrash(r.task)
		if w.chance(0.5) {
			e.Crash(crashDowntime)
		} else {
			e.CrashAndReplace(crashDowntime)
		}
	})
}

// stop carries out an order to stop a run and those of the task with lower numbers, which
// end after stopGrace. It returns the answer with the endpoint's clock.
func (e *Endpoint) stop(epoch int64, order jobs.Stop) (jobs.Answer, int64) {
	if epoch < e.epoch {
		return jobs.Fenced, e.clock()
	}
	e.epoch = epoch
	e.highestRun[order.Task] = max(e.highestRun[order.Task], order.Run)
	for _, r := range e.runs {
		if r.task != order.Task || r.number > order.Run || r.isStopping {
			continue
		}
		r.isStopping = true
		e.world.after(stopGrace, func() {
			if r.isPresent() {
				e.end(r, jobs.Stopped)
			}
		})
	}
	return jobs.Accepted, e.clock()
}

// poll lists the endpoint's runs and extends its grant. Ends up to the number seen
// are acknowledged by it and discarded.
func (e *Endpoint) poll(epoch, seen, until int64) (jobs.Listing, jobs.Answer) {
	if epoch < e.epoch {
		return jobs.Listing{}, jobs.Fenced
	}
	e.epoch = epoch
	e.extendGrant(until)
	e.endedRuns = slices.DeleteFunc(e.endedRuns, func(r endedRun) bool {
		if r.Number > seen {
			return false
		}
		e.world.oracle.acknowledge(r, e)
		return true
	})
	l := jobs.Listing{Endpoint: e.id, Born: e.born, Clock: e.clock()}
	for _, r := range e.runs {
		percent := 0
		if r.duration > 0 && !e.isHanging {
			percent = int(100 * e.world.now.Sub(r.began) / r.duration)
		} else if r.duration == 0 && e.world.now.Sub(r.began) > 500*time.Millisecond {
			percent = 100
		}
		l.Running = append(l.Running, jobs.ListedRun{Task: r.task, Run: r.number, Percent: min(percent, 100)})
	}
	ended := e.endedRuns
	if limit := e.world.config.MaxListedEnds; limit > 0 && len(ended) >= limit {
		ended, l.MayOmitEnds = ended[:limit], true
	}
	for _, r := range ended {
		l.Ended = append(l.Ended, r.ListedEnd)
	}
	return l, jobs.Accepted
}

// afterListing calls respond with the clock for the answer to a poll once the listing has been
// made, unless the endpoint has ended by then.
func (e *Endpoint) afterListing(respond func(clock int64)) {
	longest := e.world.config.MaxListingDelay
	if longest == 0 {
		respond(e.clock())
		return
	}
	incarnation := e.incarnation
	delay := time.Duration(e.world.listingRandom.Int64N(int64(longest + 1)))
	e.world.after(delay, func() {
		if e.incarnation == incarnation && e.isUp {
			respond(e.clock())
		}
	})
}

// profile returns the endpoint as service discovery lists it.
func (e *Endpoint) profile() jobs.Profile {
	p := jobs.Profile{
		ID: e.id, Machine: e.machine, Rack: e.rack, Centre: e.centre, Labels: []string{"a", e.rack},
		Capacity: e.capacity, IsDraining: e.isDraining, Born: e.born,
	}
	if e.isCold() {
		p.WarmAt = time.Duration(e.warmAt()) * time.Millisecond
	}
	return p
}
