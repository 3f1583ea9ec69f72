package emulator

import (
	"encoding/json"
	"time"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// owner is one owner of the cell.
type owner struct {
	world *World
	epoch int64
	cell  *jobs.Cell
	// isGone says that the owner has stopped; its orders may still be under way.
	isGone    bool
	isWriting bool
	waiting   []func()
}

// Takeover puts another owner in place of the present one, which stops at once;
// orders that it gave may still be carried out.
func (w *World) Takeover() {
	if w.owner != nil {
		w.owner.isGone = true
	}
	w.epoch++
	o := &owner{world: w, epoch: w.epoch}
	o.cell = jobs.New(jobs.Config{Bounds: jobs.DefaultBounds(), Inherited: w.now, Entitled: func(account string) (jobs.Size, bool) {
		limit, ok := w.config.Limits[account]
		return limit, ok
	}})
	o.restore(w.now)
	w.owner = o
	o.discover()
	for _, e := range w.endpoints {
		o.lookLoop(e)
	}
	o.cycle()
}

// Kill ends the owner; another takes the cell when its lease has run out.
func (w *World) Kill() {
	if w.owner == nil || w.owner.isGone {
		return
	}
	w.owner.isGone = true
	epoch := w.epoch
	w.after(ownerLease, func() {
		if w.epoch == epoch {
			w.Takeover()
		}
	})
}

// restore reads the journal, one time in two by way of a snapshot.
func (o *owner) restore(now time.Time) {
	log := o.world.log
	if len(log) > 0 && o.world.chance(0.5) {
		half := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
		cut := o.world.random.IntN(len(log) + 1)
		for _, record := range log[:cut] {
			half.Apply(now, record)
		}
		half.Restored()
		o.cell.Restore(now, copied(half.Snapshot()))
		log = log[cut:]
	}
	for _, record := range log {
		o.cell.Apply(now, copied(record))
	}
	o.cell.Restored()
}

// copied returns a value as it comes back from the store.
func copied[T any](value T) (result T) {
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, &result)
	}
	if err != nil {
		panic(err) // Records and snapshots are plain data.
	}
	return result
}

// discover passes on what discovery lists, again and again.
func (o *owner) discover() {
	if o.isGone {
		return
	}
	var profiles []jobs.Profile
	for _, e := range o.world.endpoints {
		if e.isListed && e.isUp {
			profiles = append(profiles, e.profile())
		}
	}
	o.cell.SetEndpoints(profiles)
	o.world.after(lookGap*4, o.discover)
}

func (o *owner) cycle() {
	if o.isGone {
		return
	}
	w := o.world
	w.after(cycleGap, o.cycle)
	if o.isWriting {
		return
	}
	o.cell.Plan(w.now, w.now)
	for _, stop := range o.cell.Stops(w.now) {
		o.sendStop(stop)
	}
	batch := o.cell.TakeBatch()
	waiting := o.waiting
	o.waiting = nil
	o.isWriting = true
	w.after(commitDelay, func() {
		// The condition on the ownership: a deposed owner writes nothing.
		if o.epoch != w.epoch || o.isGone {
			return
		}
		w.log = append(w.log, batch.Records...)
		if w.chance(w.faults.LostCommits) {
			// Tried again until it is known to be stored.
			w.after(orderWait, func() { o.stored(batch, waiting) })
			return
		}
		o.stored(batch, waiting)
	})
}

func (o *owner) stored(batch jobs.Batch, waiting []func()) {
	if o.isGone {
		return
	}
	o.isWriting = false
	for _, f := range waiting {
		f()
	}
	for _, start := range o.cell.ConfirmStored(o.world.now, batch) {
		o.sendStart(start)
	}
	for _, id := range batch.Finished() {
		state, _ := o.cell.Status(id)
		o.world.oracle.shown(id, state)
		if o.world.config.Ended != nil {
			o.world.config.Ended(id, state)
		}
	}
}

// send carries an order to an endpoint and its answer back, or not.
func (o *owner) send(id string, carry func(e *Endpoint) (jobs.Answer, int64), answered func(answer jobs.Answer, clock int64)) {
	w := o.world
	e := w.endpoint(id)
	isAnswered := false
	answer := func(a jobs.Answer, clock int64) {
		if isAnswered || o.isGone {
			return
		}
		isAnswered = true
		answered(a, clock)
	}
	w.after(orderWait, func() { answer(jobs.Unanswered, 0) })
	life := e.life
	deliver := func(isHeard bool) {
		// An order that waits at an endpoint or on its connection ends with it.
		if !e.isUp || e.isCut || e.life != life {
			return
		}
		a, clock := carry(e)
		if isHeard {
			w.after(linkDelay, func() { answer(a, clock) })
		}
	}
	switch {
	case w.chance(w.faults.LateOrders):
		late := lateLeast + time.Duration(w.random.Int64N(int64(lateMost-lateLeast)))
		w.after(late, func() { deliver(false) })
	case w.chance(w.faults.LostAnswers):
		w.after(linkDelay, func() { deliver(false) })
	default:
		w.after(linkDelay, func() { deliver(true) })
	}
}

func (o *owner) sendStart(start jobs.Start) {
	o.send(start.Endpoint, func(e *Endpoint) (jobs.Answer, int64) {
		return e.start(o.epoch, start)
	}, func(answer jobs.Answer, clock int64) {
		o.cell.StartAnswered(o.world.now, start, answer, clock)
	})
}

func (o *owner) sendStop(stop jobs.Stop) {
	o.send(stop.Endpoint, func(e *Endpoint) (jobs.Answer, int64) {
		return e.stop(o.epoch, stop)
	}, func(answer jobs.Answer, clock int64) {
		o.cell.StopAnswered(o.world.now, stop, answer, clock)
	})
}

// lookLoop looks at one endpoint, one look at a time.
func (o *owner) lookLoop(e *Endpoint) {
	w := o.world
	if o.isGone {
		return
	}
	look, isKnown := o.cell.LookAt(w.now, e.id)
	if !isKnown || !look.IsNeeded {
		w.after(lookGap, func() { o.lookLoop(e) })
		return
	}
	var listing jobs.Listing
	o.send(e.id, func(e *Endpoint) (jobs.Answer, int64) {
		l, answer := e.look(o.epoch, look.Seen, look.Until)
		listing = l
		return answer, l.Clock
	}, func(answer jobs.Answer, _ int64) {
		if answer == jobs.Accepted {
			for _, stray := range o.cell.Listed(w.now, listing) {
				o.sendStop(stray)
			}
		} else {
			o.cell.Silent(e.id)
		}
		// What the listing told is stored before the next look acknowledges it.
		o.waiting = append(o.waiting, func() {
			w.after(lookGap, func() { o.lookLoop(e) })
		})
	})
}
