package minion

import "fmt"

// NotRunError reports an attempt that the minion cannot have run. It may be tried on
// another minion.
type NotRunError struct {
	// Reason is the cause in one word:
	//   - dial: no connection could be established
	//   - connection: the connection failed before any byte was written
	//   - refused: the minion refused the request
	//   - authority: Attempt.IsAllowed returned false
	Reason string
	Err    error
}

// Error implements error.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run (%s): %s", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports an attempt without a complete response. The minion may
// have run it.
type UnknownOutcomeError struct {
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return "no whole answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// AttemptMismatchError reports a response that carries the ID of another attempt.
type AttemptMismatchError struct {
	Sent     string
	Received string
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("the answer is to attempt %q, not to %q", e.Received, e.Sent)
}

// MissingLengthError reports a response that declares no length for its body, so that a
// broken connection cannot be distinguished from the end of the body.
type MissingLengthError struct{}

// Error implements error.
func (e *MissingLengthError) Error() string { return "the answer has no length" }

// InvalidStatusError reports a response whose status is not that of a final response.
type InvalidStatusError struct {
	Status int
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the answer has status %d, which is not final", e.Status)
}
