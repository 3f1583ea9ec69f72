package share

import (
	"math"
	"time"
)

const (
	// maxReserveFraction is the largest fraction of the slots that is kept for quick
	// work.
	maxReserveFraction = 0.25
	// reserveMargin is the size of the reserve relative to the average number of
	// slots that quick work occupies.
	reserveMargin = 1.5
	// activityWindow is the time after the last arrival of quick or of long work
	// during which more of it is expected.
	activityWindow = time.Minute
	// averagingTime is the time constant of the moving average of the slots that
	// quick work occupies.
	averagingTime = 10 * time.Second
)

// Reserve computes how many slots to keep free of long work, so that quick work
// starts without waiting for long work to end. The reserve is 0 if no quick work, or
// no long work, has arrived within the last minute. A Reserve is not safe for
// concurrent use; its zero value is ready for use.
type Reserve struct {
	quickRunning int
	quickAverage float64
	updated      time.Time
	lastQuick    time.Time
	lastLong     time.Time
}

// Arrive records the arrival of work.
func (r *Reserve) Arrive(now time.Time, isQuick bool) {
	if isQuick {
		r.lastQuick = now
	} else {
		r.lastLong = now
	}
}

// Start records that work was started.
func (r *Reserve) Start(now time.Time, isQuick bool) { r.update(now, isQuick, 1) }

// End records that work has ended.
func (r *Reserve) End(now time.Time, isQuick bool) { r.update(now, isQuick, -1) }

// update brings the moving average of running quick work up to date and changes the
// number of running quick items. Long work is ignored.
func (r *Reserve) update(now time.Time, isQuick bool, delta int) {
	if !isQuick {
		return
	}
	elapsed := max(now.Sub(r.updated).Seconds(), 0)
	decay := math.Exp(-elapsed / averagingTime.Seconds())
	r.quickAverage = r.quickAverage*decay + float64(r.quickRunning)*(1-decay)
	r.quickRunning += delta
	r.updated = now
}

// Reserved returns how many free slots are currently kept for quick work; held is the
// number of slots that the process holds, free and occupied. Slots on which quick
// work runs are part of the reserve and reduce the result.
func (r *Reserve) Reserved(now time.Time, held int) int {
	if now.Sub(r.lastQuick) > activityWindow || now.Sub(r.lastLong) > activityWindow {
		return 0
	}
	wanted := max(int(math.Ceil(r.quickAverage*reserveMargin)), 1)
	maximum := max(int(float64(held)*maxReserveFraction), 1)
	return max(min(wanted, maximum)-r.quickRunning, 0)
}
