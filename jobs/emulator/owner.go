package emulator

import (
	"cmp"
	"encoding/json"
	"slices"
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
	// isHandingOver reports that the owner places nothing more.
	isHandingOver bool
	// connections holds the open connection to each endpoint.
	connections map[*Endpoint]*connection
	// isCommitting reports that a batch is being written; only one is at a time.
	isCommitting bool
	// evacuated holds the evacuated data centres as of evacuationsReadAt.
	evacuated         []string
	evacuationsReadAt time.Time
	// onStored holds callbacks to be called once the next batch is stored.
	onStored []func()
}

// connection is an open connection that was opened to an incarnation of an endpoint.
type connection struct {
	openedAt    time.Time
	incarnation int
	// listedBorn is the incarnation that has listed its runs on the connection, 0 if none has.
	listedBorn int64
	// formerBorn is the first incarnation that has listed its runs on the connection, from the last poll on.
	formerBorn int64
}

// Takeover stops the current owner at once and starts a new one. Orders of the old
// owner that are under way may still be carried out.
func (w *World) Takeover() {
	if w.owner != nil {
		w.owner.isStopped = true
	}
	w.epoch++
	o := &owner{world: w, epoch: w.epoch, connections: make(map[*Endpoint]*connection)}
	o.cell = jobs.New(jobs.Config{Bounds: jobs.DefaultBounds(), Inherited: w.now, AccountWeight: w.config.Weight, AccountTotal: w.config.AccountTotal, AccountReach: w.config.AccountReach, AccountLimit: func(account string) (jobs.Size, bool) {
		if w.config.AccountLimit != nil {
			return w.config.AccountLimit(account)
		}
		limit, ok := w.config.Limits[account]
		if !ok {
			limit, ok = w.config.UncheckedLimits[account]
		}
		return limit, ok
	}, IsForecasting: w.config.IsForecasting})
	o.restore(w.now)
	w.owner = o
	o.beginEvacuations()
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
	w.owner.isStopped = true
	epoch := w.epoch
	w.after(ownerLease, func() { w.takeOverOnceUp(epoch) })
}

// takeOverOnceUp starts a new owner after the one with an epoch, once the store is up.
func (w *World) takeOverOnceUp(epoch int64) {
	switch {
	case w.epoch != epoch:
	case w.isStoreDown():
		w.after(w.storeDelay(), func() { w.takeOverOnceUp(epoch) })
	default:
		w.Takeover()
	}
}

// HandOver makes the owner store a final snapshot and hand the cell over. It may go on
// polling for a while, or be killed before the cell is released.
func (w *World) HandOver() {
	o := w.owner
	if o.isStopped || o.isHandingOver || o.isCommitting {
		return
	}
	o.isHandingOver, o.isCommitting = true, true
	batch, callbacks := o.cell.TakeBatch(), o.onStored
	o.onStored = nil
	final := roundTrip(o.cell.HandoverSnapshot(w.now))
	w.after(commitDelay+w.storeDelay(), func() {
		if o.epoch != w.epoch || o.isStopped {
			return
		}
		w.journal = append(w.journal, batch.Records...)
		w.final, w.finalLength = &final, len(w.journal)
		o.stored(batch, callbacks)
		delay := handoverDelay
		if w.chance(0.2) {
			// Nothing is placed until then, so it counts as a fault.
			delay = time.Duration(w.random.Int64N(int64(ownerLease)))
			w.oracle.disrupt(w.now.Add(delay))
		}
		w.after(delay, func() {
			switch {
			case o.isStopped:
			case w.chance(0.1):
				w.KillOwner()
			default:
				w.takeOverOnceUp(o.epoch)
			}
		})
	})
}

// restore restores the cell from the journal. If the last owner has stored a final snapshot,
// it restores that, the records since and what the snapshot says of grants. In half of the
// other cases it replaces a random prefix of the journal by a snapshot.
func (o *owner) restore(now time.Time) {
	journal := o.world.journal
	if final := o.world.final; final != nil {
		o.world.final = nil
		o.cell.Restore(now, *final)
		for _, record := range journal[o.world.finalLength:] {
			o.cell.Apply(now, roundTrip(record))
		}
		o.cell.FinishRestore()
		o.cell.InheritGrants(now, final.Silent)
		return
	}
	if len(journal) > 0 && o.world.chance(0.5) {
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
	o.cell.SetEndpoints(o.world.now, profiles)
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
	o.updateEvacuated()
	if o.isCommitting {
		return
	}
	if !o.isHandingOver {
		o.cell.Plan(w.now, w.now)
		w.oracle.recordReports(o.cell)
	}
	stops := o.cell.Stops(w.now)
	slices.SortFunc(stops, func(a, b jobs.Stop) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Task, b.Task))
	})
	for _, stop := range stops {
		o.sendStop(stop)
	}
	batch := o.cell.TakeBatch()
	callbacks := o.onStored
	o.onStored = nil
	o.isCommitting = true
	w.after(commitDelay+w.storeDelay(), func() {
		// Writes are conditional on ownership, so a deposed owner writes nothing.
		if o.epoch != w.epoch || o.isStopped {
			return
		}
		w.journal = append(w.journal, batch.Records...)
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
	o.updateEvacuated()
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

// message is an order or a poll that is sent to an endpoint.
type message struct {
	endpoint string
	// handle carries the order out at the endpoint and calls respond once, now or later. c is the
	// connection that carries the order.
	handle func(e *Endpoint, c *connection, respond func(jobs.Answer, int64))
	// onAnswer is called at most once, with jobs.Unanswered after orderTimeout, or jobs.Refused or
	// jobs.ConnectionRefused if no connection could be opened.
	onAnswer func(reply jobs.Reply)
}

// send delivers a message and its answer, subject to the configured faults.
func (o *owner) send(m message) {
	o.sendOn(m, o.connect(o.world.endpoint(m.endpoint)))
}

// sendBound is send for an order that no other incarnation than born may carry out. On a
// connection on which that one has not listed its runs it asks for its incarnation first.
func (o *owner) sendBound(m message, born int64) {
	c := o.connect(o.world.endpoint(m.endpoint))
	if c == nil || c.listedBorn == born || o.world.config.IsUnbound {
		o.sendOn(m, c)
		return
	}
	o.sendOn(message{
		endpoint: m.endpoint,
		handle: func(e *Endpoint, c *connection, respond func(jobs.Answer, int64)) {
			listing, answer := e.poll(o.epoch, 0, 0)
			if answer == jobs.Accepted {
				c.listedBorn, c.formerBorn = listing.Born, cmp.Or(c.formerBorn, listing.Born)
			}
			respond(answer, e.clock())
		},
		onAnswer: func(reply jobs.Reply) {
			switch {
			case reply.Answer == jobs.Accepted && c.listedBorn == born:
				o.sendOn(m, c)
			case reply.Answer == jobs.Accepted:
				m.onAnswer(jobs.Reply{Answer: jobs.OtherIncarnation, ConnectedAt: c.openedAt})
			case reply.Answer == jobs.Unanswered:
				m.onAnswer(jobs.Reply{Answer: jobs.Refused})
			default:
				m.onAnswer(reply)
			}
		},
	}, c)
}

// sendOn sends a message on a connection, nil if none could be opened.
func (o *owner) sendOn(m message, c *connection) {
	w := o.world
	e := w.endpoint(m.endpoint)
	isAnswered := false
	answer := func(a jobs.Answer, clock int64) {
		if isAnswered || o.isStopped {
			return
		}
		isAnswered = true
		reply := jobs.Reply{Answer: a, Clock: clock}
		if a == jobs.Unanswered {
			reply.IsSilent = o.giveUp(e, c)
		}
		if c != nil {
			reply.ConnectedAt = c.openedAt
		}
		m.onAnswer(reply)
	}
	if c == nil {
		if e.isRefusing(o.epoch) {
			w.after(linkDelay, func() { answer(jobs.ConnectionRefused, 0) })
		} else {
			w.after(orderTimeout, func() { answer(jobs.Refused, 0) })
		}
		return
	}
	w.after(orderTimeout, func() { answer(jobs.Unanswered, 0) })
	sentTo := e.incarnation
	deliver := func(isAnswerReceived bool) {
		if o.isLost(e, c, sentTo) {
			return
		}
		m.handle(e, c, func(a jobs.Answer, clock int64) {
			if !isAnswerReceived || e.isAnswerLost() {
				return
			}
			delay := linkDelay
			if w.chance(w.faults.LateAnswers) {
				delay = time.Duration(w.random.Int64N(int64(maxAnswerDelay)))
			}
			w.after(delay, func() { answer(a, clock) })
		})
	}
	switch {
	case w.chance(w.faults.LateOrders):
		w.oracle.disrupt(w.now.Add(maxOrderDelay))
		delay := w.faults.OrderDelay
		if delay == 0 {
			delay = minOrderDelay + time.Duration(w.random.Int64N(int64(maxOrderDelay-minOrderDelay)))
		}
		w.after(delay, func() {
			w.isCarriedOutLate = true
			deliver(false)
			w.isCarriedOutLate = false
		})
	case w.chance(w.faults.LostAnswers):
		w.oracle.disrupt(w.now)
		w.after(linkDelay, func() { deliver(false) })
	default:
		w.after(linkDelay, func() { deliver(true) })
	}
}

// giveUp closes a connection on which an order was not answered, and reports whether it was open: one whose incarnation has
// ended is reset when it is used, unless something forwards it.
func (o *owner) giveUp(e *Endpoint, c *connection) (wasOpen bool) {
	if o.connections[e] == c {
		delete(o.connections, e)
	}
	return o.world.config.HasForwarder || o.world.config.HoldsDirectOrders || c.incarnation == e.incarnation
}

// isLost reports whether an order that arrives now on a connection does not reach the endpoint:
// it is down or unreachable, or has restarted with no forwarder before it. sentTo is the
// incarnation that was up when the order was sent.
func (o *owner) isLost(e *Endpoint, c *connection, sentTo int) bool {
	config := &o.world.config
	isHeld := o.world.isCarriedOutLate && config.HoldsDirectOrders
	hasEnded := e.incarnation != c.incarnation && !config.HasForwarder && !isHeld ||
		o.world.isCarriedOutLate && e.incarnation != sentTo && !config.HoldsLateOrders
	return !e.isUp || e.isPartitioned() || e.cutEpoch == o.epoch || hasEnded
}

// connect returns the connection for an order: mostly one that is kept, also if its
// incarnation has ended unnoticed, else a new one if the endpoint can be reached, or nil. A connection
// to a forwarder ends only if it is used while the endpoint is down.
func (o *owner) connect(e *Endpoint) (c *connection) {
	random := o.world.connectionRandom
	c = o.connections[e]
	hasEnded := c != nil && c.incarnation != e.incarnation && !o.world.config.HasForwarder || !e.isUp
	isNoticed := hasEnded && random.Float64() < 0.7
	if c == nil || isNoticed || random.Float64() < 0.05 {
		if !e.isUp || e.isPartitioned() || e.cutEpoch == o.epoch {
			return nil
		}
		c = &connection{openedAt: o.world.now, incarnation: e.incarnation}
		o.connections[e] = c
	}
	return c
}

func (o *owner) sendStart(start jobs.Start) {
	o.sendBound(message{
		endpoint: start.Endpoint,
		handle: func(e *Endpoint, _ *connection, respond func(jobs.Answer, int64)) {
			respond(e.start(o.epoch, start))
		},
		onAnswer: func(reply jobs.Reply) {
			reply.IsBound = !o.world.config.IsUnbound
			o.cell.StartAnswered(o.world.now, start, reply)
		},
	}, start.Born)
}

func (o *owner) sendStop(stop jobs.Stop) {
	o.send(message{
		endpoint: stop.Endpoint,
		handle: func(e *Endpoint, _ *connection, respond func(jobs.Answer, int64)) {
			respond(e.stop(o.epoch, stop))
		},
		onAnswer: func(reply jobs.Reply) { o.cell.StopAnswered(o.world.now, stop, reply.Answer, reply.Clock) },
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
	o.send(message{endpoint: e.id, handle: func(e *Endpoint, c *connection, respond func(jobs.Answer, int64)) {
		until, seen := poll.Until, poll.Seen
		if c.listedBorn != poll.Born && !w.config.IsUnbound {
			until, seen = 0, 0
		}
		received, answer := e.poll(o.epoch, seen, until)
		e.afterListing(func(clock int64) {
			listing = received
			listing.AskedAt, listing.Clock, listing.IsBound = askedAt, clock, !w.config.IsUnbound
			if listing.IsBound {
				listing.FormerBorn = c.formerBorn
			}
			c.listedBorn, c.formerBorn = listing.Born, listing.Born
			respond(answer, clock)
		})
	}, onAnswer: func(reply jobs.Reply) {
		if reply.Answer == jobs.Accepted {
			for _, orphan := range o.cell.ApplyListing(w.now, listing) {
				o.sendStop(orphan)
			}
			for _, stop := range o.cell.LateStops(w.now, e.id) {
				o.sendStop(stop)
			}
		} else {
			if reply.IsSilent && poll.Until > 0 {
				o.cell.GrantUnanswered(w.now, e.id, poll.Born)
			}
			o.cell.PollFailed(w.now, e.id, reply.Answer)
		}
		// The next poll acknowledges the listed ends once they are stored.
		o.onStored = append(o.onStored, func() {
			w.after(pollInterval, func() { o.pollLoop(e) })
		})
	}})
}
