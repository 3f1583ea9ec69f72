package minion

import "fmt"

// NotRunError reports an attempt that the minion cannot have run.
type NotRunError struct {
	// Reason is one word: dial, connection, refused or authority.
	Reason string
	Err    error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run (%s): %s", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// BrokenError reports an attempt that the minion may have run, without a whole
// answer to it.
type BrokenError struct {
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string { return "no whole answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// CrossedError reports an answer to another attempt.
type CrossedError struct {
	Sent     string
	Received string
}

// Error implements error.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("the answer is to attempt %q, not to %q", e.Received, e.Sent)
}

// LengthError reports an answer whose end cannot be told from a broken
// connection.
type LengthError struct{}

// Error implements error.
func (e *LengthError) Error() string { return "the answer has no length" }
