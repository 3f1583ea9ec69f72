package platform

import "fmt"

// ConflictError reports a compare-and-swap on a version that is no longer the
// newest. Nothing was written.
type ConflictError struct {
	Key string
	// Current is the value that is there now; Version 0 means none.
	Current Value
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed meanwhile, to version %d", e.Key, e.Current.Version)
}

// StatusError reports an HTTP status that is no success.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d", e.Status)
}

// BudgetError reports a call that the call budget did not allow in time.
type BudgetError struct{}

// Error implements error.
func (e *BudgetError) Error() string {
	return "the budget of calls to the platform is used up"
}

// LeaseError reports a lease that has lapsed.
type LeaseError struct {
	Lease Lease
}

// Error implements error.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %d has lapsed", e.Lease)
}

// WatchError reports a watch that the platform ended.
type WatchError struct {
	// Compacted tells that changes were missed: the keys must be read anew.
	Compacted bool
}

// Error implements error.
func (e *WatchError) Error() string {
	if e.Compacted {
		return "the watch has missed changes"
	}
	return "the watch was ended"
}
