package platform

import "fmt"

// ConflictError reports a compare-and-swap that found another version than expected.
// Nothing was written.
type ConflictError struct {
	Key string
	// Current is the value found; its Version is 0 if the key does not exist.
	Current Value
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed meanwhile, to version %d", e.Key, e.Current.Version)
}

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d", e.Status)
}

// RateLimitError reports a call that was not made because the rate limit did not allow it
// before its deadline.
type RateLimitError struct{}

// Error implements error.
func (e *RateLimitError) Error() string {
	return "the budget of calls to the platform is used up"
}

// LeaseExpiredError reports a lease that has expired.
type LeaseExpiredError struct {
	Lease Lease
}

// Error implements error.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d has expired", e.Lease)
}

// WatchError reports a watch that the platform cancelled.
type WatchError struct {
	// IsCompacted reports that the requested revisions are no longer available. Changes
	// were missed, so the keys must be read again.
	IsCompacted bool
}

// Error implements error.
func (e *WatchError) Error() string {
	if e.IsCompacted {
		return "watch cancelled by the platform: changes were missed because their revisions were compacted"
	}
	return "watch cancelled by the platform"
}
