// Package await lets tests wait for conditions that other goroutines bring about.
package await

import "time"

// checkInterval is the time between two checks of a condition.
const checkInterval = 5 * time.Millisecond

// Until waits until a condition is met. It returns false if that is not so within limit.
func Until(limit time.Duration, isMet func() bool) (isInTime bool) {
	deadline := time.Now().Add(limit)
	for !isMet() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(checkInterval)
	}
	return true
}
