// Package boot reads the clock that counts from the start of the machine and
// goes on while the machine is suspended.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time, so that it can
// be compared and subtracted. It has nothing to do with the time of day.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Kernels without the clock have the steady one, which time.Since reads.
		return time.Unix(0, 0).Add(time.Since(start))
	}
	return time.Unix(now.Sec, now.Nsec)
}

var start = time.Now()
