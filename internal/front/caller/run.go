package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// maxAttempts is the maximum number of attempts for one request.
const maxAttempts = 3

// minionResponse is the response of a minion whose attempt is not finished yet.
type minionResponse struct {
	*minion.Response
	// finish ends the attempt and releases its unit and slot. It must be called once,
	// after the response has been forwarded or discarded.
	finish func(result attemptResult)
}

// run sends a request to minions until one responds. It gives up when the caller
// disconnects, when a request that is not idempotent may have run, or when the attempts
// or the retry budget are used up. The error is a *RefusalError, or the error of the
// caller's context.
func (l *Listener) run(r request) (minionResponse, error) {
	l.budget.deposit()
	var lastErr error
	avoid := ""
	mayHaveRun := false
	for attempt := range maxAttempts {
		if attempt > 0 && !l.budget.withdraw() {
			break
		}
		if attempt > 0 {
			l.retried.Inc(1)
		}
		admitted, err := l.dispatcher.admit(r.incoming.Context(), r, avoid)
		if err != nil {
			return minionResponse{}, correctOutcome(err, mayHaveRun)
		}
		r.maxRunTime = l.maxRunTime(r.service)
		response, err := l.attempt(r, admitted)
		if err == nil {
			return response, nil
		}
		lastErr, avoid = err, admitted.minion.Name
		var unknownErr *minion.UnknownOutcomeError
		mayHaveRun = mayHaveRun || errors.As(err, &unknownErr)
		if mayHaveRun && !isIdempotent(r.incoming.Method) {
			break
		}
		if r.incoming.Context().Err() != nil {
			break
		}
	}
	return minionResponse{}, l.newRefusal(r, lastErr, mayHaveRun)
}

// correctOutcome changes the outcome of a refusal to Unknown if an earlier attempt may
// have run. Other errors are returned unchanged.
func correctOutcome(err error, mayHaveRun bool) error {
	var refusal *RefusalError
	if mayHaveRun && errors.As(err, &refusal) {
		return &RefusalError{Status: http.StatusBadGateway, Outcome: Unknown, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return err
}

// newRefusal returns the refusal after the last attempt has failed with lastErr. If an
// attempt may have run, it suggests a retry only for idempotent requests.
func (l *Listener) newRefusal(r request, lastErr error, mayHaveRun bool) *RefusalError {
	if !mayHaveRun {
		return newNotRun(http.StatusServiceUnavailable, "no minion could be reached", retryAfterShort)
	}
	if errors.Is(lastErr, context.DeadlineExceeded) {
		return newUnknown(http.StatusGatewayTimeout, "the minion took longer than the service allows")
	}
	refusal := newUnknown(http.StatusBadGateway, "the minion gave no whole answer")
	if isIdempotent(r.incoming.Method) {
		refusal.RetryAfter = retryAfterShort
	}
	return refusal
}

// attempt sends the request to the admitted minion.
func (l *Listener) attempt(r request, admitted admission) (minionResponse, error) {
	if !r.service.IsCancellable {
		return l.attemptDetached(r, admitted)
	}
	ctx, cancel := l.attemptContext(r)
	response, err := l.send(ctx, cancel, r, admitted)
	return response, err
}

// attemptDetached sends the request. If the caller disconnects, the attempt continues
// in the background and its response is discarded, because closing the connection
// would not stop the work on the minion.
func (l *Listener) attemptDetached(r request, admitted admission) (minionResponse, error) {
	type result struct {
		response minionResponse
		err      error
	}
	done := make(chan result, 1)
	ctx, cancel := l.attemptContext(r)
	l.detached.Go(func() {
		response, err := l.send(ctx, cancel, r, admitted)
		done <- result{response, err}
	})
	select {
	case got := <-done:
		return got.response, got.err
	case <-r.incoming.Context().Done():
		l.detached.Go(func() {
			if got := <-done; got.err == nil {
				got.response.discard()
			}
		})
		return minionResponse{}, &minion.UnknownOutcomeError{Err: r.incoming.Context().Err()}
	}
}

// discard reads a response to its end and finishes the attempt.
func (m minionResponse) discard() {
	var err error
	if m.Stream != nil {
		_, err = io.Copy(io.Discard, m.Stream)
		_ = m.Stream.Close()
	}
	m.finish(resultOfRead(err))
}

// resultOfRead returns the result of an attempt whose response body was read with the
// error err.
func resultOfRead(err error) attemptResult {
	if err != nil {
		return attemptLost
	}
	return attemptCompleted
}

// send sends one attempt to the admitted minion. If it fails or panics, send finishes the
// attempt and calls cancel; else finish of the response does both.
func (l *Listener) send(ctx context.Context, cancel context.CancelFunc, r request, admitted admission) (result minionResponse, err error) {
	startTime := l.config.Clock.Now()
	finish := func(result attemptResult) {
		cancel()
		if result == attemptLost && r.service.IsCancellable {
			result = attemptCompleted
		}
		l.dispatcher.finishAttempt(admitted, r, startTime, result)
	}
	failure, isRecorded := attemptLost, false
	defer func() {
		if !isRecorded {
			// After a panic the attempt may be a probe without a result.
			admitted.minion.CancelPick(admitted.pickedAt)
		}
		if result.finish == nil {
			finish(failure)
		}
	}()
	response, err := l.config.Client.Do(ctx, admitted.minion.Address, minion.Attempt{
		ID:     l.newAttemptID(),
		Team:   r.team,
		Method: r.incoming.Method,
		Target: r.incoming.URL,
		Header: forwardHeader(r.incoming.Header),
		Body:   r.body,
		IsAllowed: func() bool {
			now := l.config.Clock.Now()
			return admitted.unit.IsValid(now, r.maxRunTime) && admitted.slot.IsValid(now, r.maxRunTime)
		},
	})
	if err != nil {
		var notRunErr *minion.NotRunError
		if errors.As(err, &notRunErr) {
			failure = attemptNotRun
		}
		l.recordFailure(r, admitted, err)
		isRecorded = true
		return minionResponse{}, err
	}
	admitted.minion.RecordResult(l.config.Clock.Now(), admitted.pickedAt, response.Status >= http.StatusInternalServerError)
	isRecorded = true
	return minionResponse{Response: response, finish: finish}, nil
}

// recordFailure counts a failed attempt in the failure rate of the minion, unless the
// caller or this entry ended the attempt.
func (l *Listener) recordFailure(r request, admitted admission, err error) {
	var mismatchErr *minion.AttemptMismatchError
	if errors.As(err, &mismatchErr) {
		event.ResponseMismatched.Log(l.config.Log, logrus.Fields{
			"minion": admitted.minion.Name, "sent": mismatchErr.Sent, "received": mismatchErr.Received,
		})
	}
	var notRunErr *minion.NotRunError
	isAuthorityLost := errors.As(err, &notRunErr) && notRunErr.Reason == "authority"
	if isAuthorityLost || r.service.IsCancellable && r.incoming.Context().Err() != nil {
		admitted.minion.CancelPick(admitted.pickedAt)
		return
	}
	admitted.minion.RecordResult(l.config.Clock.Now(), admitted.pickedAt, true)
}

// newAttemptID returns an id that is unique among all entries.
func (l *Listener) newAttemptID() string {
	return l.config.Entry + "-" + strconv.FormatUint(l.attemptCount.Add(1), 36)
}

// writeResponse forwards the response of a minion to the caller. If a large response
// is truncated, it panics with http.ErrAbortHandler, which aborts the caller's
// connection, so that the caller does not take the response for complete.
func (l *Listener) writeResponse(w http.ResponseWriter, r request, response minionResponse) {
	if response.Stream == nil {
		response.finish(attemptCompleted)
		l.writeHeader(w, r, response)
		_, _ = w.Write(response.Body)
		return
	}
	result := attemptLost
	defer func() {
		_ = response.Stream.Close()
		response.finish(result)
	}()
	l.writeHeader(w, r, response)
	_, err := io.Copy(w, response.Stream)
	result = resultOfRead(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeHeader forwards the status and the header of a minion's response.
func (l *Listener) writeHeader(w http.ResponseWriter, r request, response minionResponse) {
	l.answered.Inc(1)
	header := w.Header()
	for name, values := range response.Header {
		// The outcome is the entry's own statement about a request that it did not answer
		// with a minion's response.
		if !isHopByHop(name) && name != minion.HeaderAttempt && name != HeaderOutcome {
			header[name] = values
		}
	}
	l.announceClose(w)
	if response.Stream == nil {
		header.Set("Content-Length", contentLength(r, response))
	}
	w.WriteHeader(response.Status)
}

// contentLength returns the Content-Length of a response. For a HEAD request it is the
// one that the minion has sent.
func contentLength(r request, response minionResponse) string {
	if minionLength := response.Header.Get("Content-Length"); r.incoming.Method == http.MethodHead && minionLength != "" {
		return minionLength
	}
	return strconv.Itoa(len(response.Body))
}

// forwardHeader returns the fields of a caller's header that are sent to the minion.
// Authorization is left out to keep the key from the minions, and Expect because the
// listener has already met the expectation.
func forwardHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !isHopByHop(name) && name != "Authorization" && name != "Expect" {
			forwarded[name] = values
		}
	}
	return forwarded
}

// isHopByHop reports whether a header field applies to a single connection only
// (RFC 9110, section 7.6.1) and must not be forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Proxy-Authenticate", "Proxy-Authorization":
		return true
	}
	return false
}
