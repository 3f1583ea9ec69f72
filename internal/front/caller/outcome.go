package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells the caller of a request without a complete response from a minion
// whether the request may have run.
type Outcome string

// The outcomes, as they are sent to callers.
const (
	// NotRun means that no minion ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a minion may have run the request.
	Unknown Outcome = "unknown"
)

// HeaderOutcome is the response header with the Outcome. The entry sets it on the
// responses that it generates itself.
const HeaderOutcome = "Outcome"

// RefusalError is the response to a request that has no complete response from a
// minion.
type RefusalError struct {
	Status  int
	Outcome Outcome
	// Reason is a short explanation for the caller.
	Reason string
	// RetryAfter is the delay after which a retry may succeed, 0 if a retry is useless.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string { return string(r.Outcome) + ": " + r.Reason }

// Values of the Retry-After header.
const (
	retryAfterShort = time.Second
	retryAfterLong  = 5 * time.Second
)

func newNotRun(status int, reason string, retry time.Duration) *RefusalError {
	return &RefusalError{Status: status, Outcome: NotRun, Reason: reason, RetryAfter: retry}
}

func newUnknown(status int, reason string) *RefusalError {
	return &RefusalError{Status: status, Outcome: Unknown, Reason: reason}
}

// write sends the refusal as JSON, with its outcome and Retry-After as headers.
func (r *RefusalError) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Outcome Outcome `json:"outcome"`
		Reason  string  `json:"reason"`
	}{r.Outcome, r.Reason})
}
