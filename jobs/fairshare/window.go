package fairshare

import "time"

const (
	// Window is the contended time over which usage is recorded.
	Window = 5 * time.Second
	// slotLength is the resolution of the record.
	slotLength = 100 * time.Millisecond
	slotCount  = int(Window / slotLength)
	// maxStep is the longest time that one observation stands for. Cells are planned at
	// least every 200 ms, except while their owner is paused, when nothing is known.
	maxStep = 400 * time.Millisecond
)

// window records the work of an account over the last Window of contention, in shares times
// seconds.
type window struct {
	// used is the work that was served, rejected that of jobs that were rejected, by slot of
	// contended time.
	used, rejected [slotCount]float64
	// totalUsed and totalRejected are their sums.
	totalUsed, totalRejected float64
	// slot is the number of the last slot that was written, counted from the first one.
	slot int64
}

// add records work in a slot.
func (w *window) add(slot int64, used, rejected float64) {
	w.advance(slot)
	i := slot % int64(slotCount)
	w.used[i] += used
	w.rejected[i] += rejected
	w.totalUsed += used
	w.totalRejected += rejected
}

// advance deletes the slots that have left the window.
func (w *window) advance(slot int64) {
	if slot-w.slot >= int64(slotCount) {
		*w = window{slot: slot}
		return
	}
	for w.slot < slot {
		w.slot++
		i := w.slot % int64(slotCount)
		w.totalUsed -= w.used[i]
		w.totalRejected -= w.rejected[i]
		w.used[i], w.rejected[i] = 0, 0
	}
}
