package share

import (
	"math"
	"time"
)

const (
	// reserveMost is the largest part of the slots that is kept for quick work.
	reserveMost = 0.25
	// reserveMargin is how many times the usual quick work the reserve holds.
	reserveMargin = 1.5
	// reserveMemory is how long quick work is expected to come again.
	reserveMemory = time.Minute
	// reserveSmoothing is the time over which running quick work is averaged.
	reserveSmoothing = 10 * time.Second
)

// Reserve learns how many slots to keep free of long work, so that quick work
// starts soon while long work fills the rest. Without quick work in the last
// minute, or without long work, it is 0. It is not safe for concurrent use.
type Reserve struct {
	running  int
	average  float64
	updated  time.Time
	lastSeen time.Time
	lastLong time.Time
}

// See notes that work has come.
func (r *Reserve) See(now time.Time, isQuick bool) {
	if isQuick {
		r.lastSeen = now
	} else {
		r.lastLong = now
	}
}

// Start notes that work was started.
func (r *Reserve) Start(now time.Time, isQuick bool) { r.change(now, isQuick, 1) }

// End notes that work has ended.
func (r *Reserve) End(now time.Time, isQuick bool) { r.change(now, isQuick, -1) }

func (r *Reserve) change(now time.Time, isQuick bool, change int) {
	if !isQuick {
		return
	}
	elapsed := max(now.Sub(r.updated).Seconds(), 0)
	keep := math.Exp(-elapsed / reserveSmoothing.Seconds())
	r.average = r.average*keep + float64(r.running)*(1-keep)
	r.running += change
	r.updated = now
}

// Spare returns how many free slots are kept from long work, out of the slots
// that are held. Slots on which quick work runs are part of the reserve.
func (r *Reserve) Spare(now time.Time, held int) int {
	if now.Sub(r.lastSeen) > reserveMemory || now.Sub(r.lastLong) > reserveMemory {
		return 0
	}
	wanted := max(int(math.Ceil(r.average*reserveMargin)), 1)
	most := max(int(float64(held)*reserveMost), 1)
	return max(min(wanted, most)-r.running, 0)
}
