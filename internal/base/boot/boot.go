// Package boot reads CLOCK_BOOTTIME, the monotonic clock that starts when the
// machine boots and keeps running while the machine is suspended.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time, so that values can be compared
// and subtracted. The result does not represent the time of day and is meaningful
// on this machine only.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// On kernels without CLOCK_BOOTTIME, fall back to the monotonic clock that
		// time.Since reads. It counts from the start of the process.
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(now.Sec, now.Nsec)
}

var processStart = time.Now()
