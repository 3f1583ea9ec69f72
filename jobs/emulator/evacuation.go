package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of evacuations.
const (
	// evacuationReadInterval is how often an owner reads which data centres are evacuated,
	// maxEvacuationAge the age of its last read from which it starts nothing while the store
	// answers.
	evacuationReadInterval = time.Second
	maxEvacuationAge       = 3 * time.Second
	// evacuationTime is the time after the acknowledgement of a request from which nothing
	// may start in the data centre. It is extended by the time in which the store was down,
	// up to maxEvacuationExtension.
	evacuationTime         = 5 * time.Second
	maxEvacuationExtension = 6 * time.Second
)

// operator holds the keys that the operator has written, and the faults of the store.
type operator struct {
	// random is the source of the ages of what new owners know, apart from World.random.
	random *rand.Rand
	// changes holds the acknowledged changes, oldest first.
	changes []evacuationChange
	// downSince and downUntil are the beginning and end of the last outage of the store.
	downSince, downUntil time.Time
	// watchSilentUntil and readsFailUntil are the ends of the last times in which owners saw
	// no changes, and could not read the keys although the store answered.
	watchSilentUntil, readsFailUntil time.Time
}

// evacuationChange is the request or the end of an evacuation.
type evacuationChange struct {
	at          time.Time
	centre      string
	isRequested bool
}

// evacuatedAt returns the evacuated data centres as of a time.
func (o *operator) evacuatedAt(at time.Time) (centres []string) {
	for _, change := range o.changes {
		if change.at.After(at) {
			break
		}
		centres = slices.DeleteFunc(centres, func(c string) bool { return c == change.centre })
		if change.isRequested {
			centres = append(centres, change.centre)
		}
	}
	return centres
}

// evacuatedSince returns since when a data centre has been evacuated.
func (o *operator) evacuatedSince(centre string) (since time.Time, isEvacuated bool) {
	for _, change := range o.changes {
		switch {
		case change.centre != centre:
		case !change.isRequested:
			isEvacuated = false
		case !isEvacuated:
			since, isEvacuated = change.at, true
		}
	}
	return since, isEvacuated
}

// Evacuate requests the evacuation of a data centre. While the store is down, the request is
// acknowledged once it is up.
func (w *World) Evacuate(centre string) { w.changeEvacuation(centre, true) }

// EndEvacuation ends the evacuation of a data centre, as Evacuate requests it.
func (w *World) EndEvacuation(centre string) { w.changeEvacuation(centre, false) }

func (w *World) changeEvacuation(centre string, isRequested bool) {
	w.after(w.storeDelay(), func() {
		w.operator.changes = append(w.operator.changes, evacuationChange{w.now, centre, isRequested})
		if o := w.owner; o != nil && !w.now.Before(w.operator.watchSilentUntil) {
			w.after(linkDelay, o.readEvacuations)
		}
	})
}

// StopStore makes the store unavailable for duration: nothing is written or read.
func (w *World) StopStore(duration time.Duration) {
	if !w.isStoreDown() {
		w.operator.downSince = w.now
	}
	if until := w.now.Add(duration); until.After(w.operator.downUntil) {
		w.operator.downUntil = until
	}
	w.oracle.disrupt(w.operator.downUntil)
}

func (w *World) isStoreDown() bool { return w.now.Before(w.operator.downUntil) }

// storeDelay returns the time until the store is up, 0 if it is.
func (w *World) storeDelay() time.Duration { return max(w.operator.downUntil.Sub(w.now), 0) }

// SilenceWatch makes owners see no changes of the operator's keys for duration.
func (w *World) SilenceWatch(duration time.Duration) {
	w.operator.watchSilentUntil = w.now.Add(duration)
}

// FailReads makes reads of the operator's keys fail for duration, while the store answers
// other calls.
func (w *World) FailReads(duration time.Duration) {
	w.operator.readsFailUntil = w.now.Add(duration)
	w.oracle.disrupt(w.operator.readsFailUntil)
}

// PartitionCentre disconnects the endpoints of a data centre from the owner for duration.
func (w *World) PartitionCentre(centre string, duration time.Duration) {
	for _, e := range w.endpoints {
		if e.centre == centre {
			e.Partition(duration)
		}
	}
}

// beginEvacuations gives a new owner what its entry knows of evacuations, which may be as old
// as the read interval, and begins to read them.
func (o *owner) beginEvacuations() {
	w := o.world
	if w.config.PerCentre == 0 {
		return
	}
	o.evacuationsReadAt = w.now.Add(-time.Duration(w.operator.random.Int64N(int64(evacuationReadInterval))))
	o.evacuated = w.operator.evacuatedAt(o.evacuationsReadAt)
	o.updateEvacuated()
	w.after(evacuationReadInterval-w.now.Sub(o.evacuationsReadAt), o.readEvacuationsLoop)
}

func (o *owner) readEvacuationsLoop() {
	if o.isStopped {
		return
	}
	o.readEvacuations()
	o.world.after(evacuationReadInterval, o.readEvacuationsLoop)
}

// readEvacuations reads which data centres are evacuated.
func (o *owner) readEvacuations() {
	w := o.world
	if !w.isStoreDown() && !w.now.Before(w.operator.readsFailUntil) {
		o.evacuated, o.evacuationsReadAt = w.operator.evacuatedAt(w.now), w.now
	}
}

// updateEvacuated passes what the owner knows of evacuations to its cell.
func (o *owner) updateEvacuated() {
	w := o.world
	if w.config.PerCentre == 0 {
		return
	}
	o.cell.SetEvacuated(w.now, o.evacuated)
	o.cell.SuspendStarts(w.now.Sub(o.evacuationsReadAt) > maxEvacuationAge && !w.isStoreDown())
}

// checkEvacuated checks that a start is not too late for the evacuation of the endpoint's
// data centre. An order that the endpoint carries out seconds late does not count.
func (o *oracle) checkEvacuated(r *emulatedRun) {
	e := r.endpoint
	since, isEvacuated := o.world.operator.evacuatedSince(e.centre)
	if !isEvacuated || o.world.isCarriedOutLate {
		return
	}
	limit := evacuationTime + min(o.outage(since), maxEvacuationExtension)
	if elapsed := o.world.now.Sub(since); elapsed > limit {
		o.report("EVACUATED", "%s started on %s %s after the evacuation of %s was acknowledged", r.task, e.id, elapsed, e.centre)
	}
}

// outage returns how long the store has been down in the last outage since a time.
func (o *oracle) outage(since time.Time) time.Duration {
	operator := &o.world.operator
	begin, end := operator.downSince, operator.downUntil
	if begin.Before(since) {
		begin = since
	}
	if end.After(o.world.now) {
		end = o.world.now
	}
	return max(end.Sub(begin), 0)
}
