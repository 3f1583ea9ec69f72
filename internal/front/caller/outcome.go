package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome says what became of a request that has no answer of a minion.
type Outcome string

// Outcomes.
const (
	// NotRun tells that no minion ran the request.
	NotRun Outcome = "not-run"
	// Unknown tells that a minion may have run the request.
	Unknown Outcome = "unknown"
)

// HeaderOutcome carries the outcome of an answer that is not a minion's own.
const HeaderOutcome = "Outcome"

// RefusalError is the answer to a request that got none from a minion.
type RefusalError struct {
	Status  int
	Outcome Outcome
	// Reason is a few words for the caller.
	Reason string
	// Retry is when to come back; 0 if that would not help.
	Retry time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string { return string(r.Outcome) + ": " + r.Reason }

// Times after which callers are told to come back.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

func notRun(status int, reason string, retry time.Duration) *RefusalError {
	return &RefusalError{Status: status, Outcome: NotRun, Reason: reason, Retry: retry}
}

func unknown(status int, reason string) *RefusalError {
	return &RefusalError{Status: status, Outcome: Unknown, Reason: reason}
}

// write sends the refusal.
func (r *RefusalError) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.Retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Retry.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Outcome Outcome `json:"outcome"`
		Reason  string  `json:"reason"`
	}{r.Outcome, r.Reason})
}
