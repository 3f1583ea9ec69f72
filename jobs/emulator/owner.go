package emulator

import (
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// owner emulates one owner of the cell, from its takeover until it is stopped.
type owner struct {
	world *World
	epoch int64
	cell  *jobs.Cell
	// isStopped reports that the owner has stopped; its orders may still be under
	// way.
	isStopped bool
	// isCommitting reports that a batch is being written; only one is at a time.
	isCommitting bool
	// isHandingOver reports that the owner has stopped planning, isFinalStored that its final
	// snapshot is stored.
	isHandingOver, isFinalStored bool
	// onStored holds callbacks to be called once the next batch is stored.
	onStored []func()
	// connections holds the open connections by endpoint ID.
	connections map[string]connection
}

// connection is an open connection to an incarnation of an endpoint.
type connection struct {
	incarnation int
	openedAt    time.Time
}

// Takeover stops the current owner at once and starts a new one. Orders of the old
// owner that are under way may still be carried out.
func (w *World) Takeover() {
	if w.owner != nil {
		w.owner.isStopped = true
	}
	w.epoch++
	o := &owner{world: w, epoch: w.epoch, connections: make(map[string]connection)}
	o.cell = jobs.New(jobs.Config{Bounds: jobs.DefaultBounds(), Inherited: w.now, AccountLimit: func(account string) (jobs.Size, bool) {
		limit, ok := w.config.Limits[account]
		return limit, ok
	}})
	o.restore(w.now)
	// What the final snapshot says of grants is valid only for the first owner after it.
	w.journal = append(w.journal, jobs.Record{Owner: w.epoch})
	w.owner = o
	o.discover()
	for _, e := range w.endpoints {
		o.pollLoop(e)
	}
	o.cycle()
}

// KillOwner stops the owner. A new one takes over when the lease has expired.
func (w *World) KillOwner() {
	if w.owner == nil || w.owner.isStopped {
		return
	}
	w.owner.isStopped, w.owner.isHandingOver = true, false
	w.takeOverIn(ownerLease)
}

// takeOverIn starts a new owner after delay, unless another one has started by then.
func (w *World) takeOverIn(delay time.Duration) {
	epoch := w.epoch
	w.after(delay, func() {
		if w.epoch == epoch {
			w.Takeover()
		}
	})
}

// HandOver makes the owner hand the cell over as planned. It stops planning and stores a
// final snapshot, which the next owner restores. Until it ends, a little later, it goes on
// polling and sends the last starts.
func (w *World) HandOver() {
	if o := w.owner; o != nil && !o.isStopped {
		o.isHandingOver = true
	}
}

// endHandover ends the owner, whose final snapshot is stored, and starts the next one.
func (o *owner) endHandover() {
	if o.isStopped {
		return
	}
	o.isStopped = true
	o.world.takeOverIn(handoverDelay)
}

// restore restores the cell from the last final snapshot and the journal since. Without
// one, in half of the cases it replaces a random prefix of the journal by a snapshot.
func (o *owner) restore(now time.Time) {
	journal := o.world.journal
	if final := o.world.finalSnapshot; final != nil {
		o.cell.Restore(now, roundTrip(*final))
		journal = journal[o.world.finalRecords:]
	} else if len(journal) > 0 && o.world.chance(0.5) {
		earlier := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
		split := o.world.random.IntN(len(journal) + 1)
		for _, record := range journal[:split] {
			earlier.Apply(now, record)
		}
		earlier.FinishRestore()
		o.cell.Restore(now, roundTrip(earlier.Snapshot()))
		journal = journal[split:]
	}
	for _, record := range journal {
		o.cell.Apply(now, roundTrip(record))
	}
	o.cell.FinishRestore()
	if final := o.world.finalSnapshot; final != nil && len(journal) == 0 {
		o.cell.InheritGrants(now, roundTrip(final.Silent))
	}
}

// roundTrip encodes and decodes a value as the store does.
func roundTrip[T any](value T) (result T) {
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, &result)
	}
	if err != nil {
		panic(err) // Records and snapshots are plain data.
	}
	return result
}

// discover passes the list from service discovery to the cell, periodically.
func (o *owner) discover() {
	if o.isStopped {
		return
	}
	var profiles []jobs.Profile
	for _, e := range o.world.endpoints {
		if e.isDiscovered() {
			profiles = append(profiles, e.profile())
		}
	}
	o.cell.SetEndpoints(profiles)
	o.world.after(pollInterval*4, o.discover)
}

// cycle plans, sends stops and commits a batch, periodically. It skips a turn while
// the last batch is being committed.
func (o *owner) cycle() {
	if o.isStopped {
		return
	}
	w := o.world
	w.after(planInterval, o.cycle)
	if o.isCommitting {
		return
	}
	if !o.isHandingOver {
		o.cell.Plan(w.now, w.now)
		w.oracle.recordReports(o.cell)
	}
	for _, stop := range o.cell.Stops(w.now) {
		o.sendStop(stop)
	}
	batch := o.cell.TakeBatch()
	callbacks := o.onStored
	o.onStored = nil
	o.isCommitting = true
	var final *jobs.Snapshot
	if o.isHandingOver && !o.isFinalStored {
		snapshot := o.cell.HandoverSnapshot(w.now)
		final = &snapshot
	}
	w.after(commitDelay, func() {
		// Writes are conditional on ownership, so a deposed owner writes nothing.
		if o.epoch != w.epoch || o.isStopped {
			return
		}
		w.journal = append(w.journal, batch.Records...)
		if final != nil {
			o.isFinalStored = true
			w.finalSnapshot, w.finalRecords = final, len(w.journal)
			w.after(time.Duration(w.random.Int64N(int64(maxHandoverEnd))), o.endHandover)
		}
		if w.chance(w.faults.LostCommits) {
			w.oracle.disrupt(w.now.Add(orderTimeout))
			// The owner retries the write, which is already stored, and learns of
			// that after a delay.
			w.after(orderTimeout, func() { o.stored(batch, callbacks) })
			return
		}
		o.stored(batch, callbacks)
	})
}

// stored continues after a batch was stored: it calls the callbacks, sends the
// starts and reports the finished jobs.
func (o *owner) stored(batch jobs.Batch, callbacks []func()) {
	if o.isStopped {
		return
	}
	o.isCommitting = false
	for _, callback := range callbacks {
		callback()
	}
	for _, start := range o.cell.ConfirmStored(o.world.now, batch) {
		o.sendStart(start)
	}
	for _, id := range batch.Finished() {
		state, _ := o.cell.Status(id)
		o.world.oracle.checkVisibleState(id, state)
		if o.world.config.Ended != nil {
			o.world.config.Ended(id, state)
		}
	}
}

// connect returns when the connection for the next call to an endpoint was opened. It opens
// one if there is none to the present incarnation, and sometimes although there is.
func (o *owner) connect(e *Endpoint) (openedAt time.Time, isConnected bool) {
	w := o.world
	open, isOpen := o.connections[e.id]
	if isOpen && open.incarnation == e.incarnation && !w.chance(w.faults.NewConnections) {
		return open.openedAt, true
	}
	if !e.isUp || e.isPartitioned() {
		return time.Time{}, false
	}
	o.connections[e.id] = connection{incarnation: e.incarnation, openedAt: w.now}
	return w.now, true
}

// send delivers an order to an endpoint and its reply to onReply, subject to the
// configured faults. handle carries the order out at the endpoint. onReply is called at
// most once, with jobs.Unanswered after orderTimeout, or jobs.Refused if the endpoint could
// not be connected to.
func (o *owner) send(id string, handle func(e *Endpoint) (jobs.Answer, int64), onReply func(reply jobs.Reply)) {
	w := o.world
	e := w.endpoint(id)
	isAnswered := false
	answer := func(reply jobs.Reply) {
		if isAnswered || o.isStopped {
			return
		}
		isAnswered = true
		onReply(reply)
	}
	incarnation := e.incarnation
	connectedAt, isConnected := o.connect(e)
	if !isConnected {
		w.after(orderTimeout, func() { answer(jobs.Reply{Answer: jobs.Refused}) })
		return
	}
	w.after(orderTimeout, func() {
		if open := o.connections[id]; !isAnswered && open.openedAt.Equal(connectedAt) {
			delete(o.connections, id)
		}
		answer(jobs.Reply{Answer: jobs.Unanswered, ConnectedAt: connectedAt})
	})
	deliver := func(isAnswerReceived bool) {
		// A delayed order is lost if its endpoint is down, has restarted or is
		// unreachable.
		if !e.isUp || e.isPartitioned() || e.incarnation != incarnation {
			return
		}
		a, clock := handle(e)
		if isAnswerReceived && !e.isAnswerLost() {
			w.after(linkDelay, func() { answer(jobs.Reply{Answer: a, Clock: clock, ConnectedAt: connectedAt}) })
		}
	}
	switch {
	case w.chance(w.faults.LateOrders):
		w.oracle.disrupt(w.now.Add(maxOrderDelay))
		delay := minOrderDelay + time.Duration(w.random.Int64N(int64(maxOrderDelay-minOrderDelay)))
		w.after(delay, func() { deliver(false) })
	case w.chance(w.faults.LostAnswers):
		w.oracle.disrupt(w.now)
		w.after(linkDelay, func() { deliver(false) })
	default:
		w.after(linkDelay, func() { deliver(true) })
	}
}

func (o *owner) sendStart(start jobs.Start) {
	o.send(start.Endpoint, func(e *Endpoint) (jobs.Answer, int64) {
		return e.start(o.epoch, start)
	}, func(reply jobs.Reply) {
		o.cell.StartAnswered(o.world.now, start, reply)
	})
}

func (o *owner) sendStop(stop jobs.Stop) {
	o.send(stop.Endpoint, func(e *Endpoint) (jobs.Answer, int64) {
		return e.stop(o.epoch, stop)
	}, func(reply jobs.Reply) {
		o.cell.StopAnswered(o.world.now, stop, reply.Answer, reply.Clock)
	})
}

// pollLoop polls one endpoint, one poll at a time.
func (o *owner) pollLoop(e *Endpoint) {
	w := o.world
	if o.isStopped {
		return
	}
	poll, isKnown := o.cell.NextPoll(w.now, e.id)
	if !isKnown || !poll.IsNeeded {
		w.after(pollInterval, func() { o.pollLoop(e) })
		return
	}
	var listing jobs.Listing
	askedAt := w.now
	o.send(e.id, func(e *Endpoint) (jobs.Answer, int64) {
		received, answer := e.poll(o.epoch, poll.Seen, poll.Until)
		listing = received
		listing.AskedAt = askedAt
		return answer, received.Clock
	}, func(reply jobs.Reply) {
		if reply.Answer == jobs.Accepted {
			for _, orphan := range o.cell.ApplyListing(w.now, listing) {
				o.sendStop(orphan)
			}
		} else {
			o.cell.MarkUnresponsive(e.id)
		}
		// The next poll acknowledges the listed ends once they are stored.
		o.onStored = append(o.onStored, func() {
			w.after(pollInterval, func() { o.pollLoop(e) })
		})
	})
}
