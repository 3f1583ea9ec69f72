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

// maxAttempts bounds the attempts at one request.
const maxAttempts = 3

// finished is the answer of a minion together with what ends its attempt.
type finished struct {
	*minion.Response
	// end is called once, when the answer was passed on or left.
	end func(how ending)
}

// run makes attempts until one is answered or none is left. The error is a
// *RefusalError, or that of the caller's context.
func (l *Listener) run(r request) (finished, error) {
	l.budget.earn()
	var last error
	avoid := ""
	mayHaveRun := false
	for attempt := range maxAttempts {
		if attempt > 0 && !l.budget.spend() {
			break
		}
		if attempt > 0 {
			l.retried.Inc(1)
		}
		begun, err := l.dispatcher.await(r.raw.Context(), r, avoid)
		if err != nil {
			return finished{}, settle(err, mayHaveRun)
		}
		answer, err := l.attempt(r, begun)
		if err == nil {
			return answer, nil
		}
		last, avoid = err, begun.minion.Name
		var broken *minion.UnknownOutcomeError
		mayHaveRun = mayHaveRun || errors.As(err, &broken)
		if mayHaveRun && !isIdempotent(r.raw.Method) {
			break
		}
		if r.raw.Context().Err() != nil {
			break
		}
	}
	return finished{}, l.refusal(r, last, mayHaveRun)
}

// settle keeps a refusal true that follows an attempt which may have run.
func settle(err error, mayHaveRun bool) error {
	var refusal *RefusalError
	if mayHaveRun && errors.As(err, &refusal) {
		return &RefusalError{Status: http.StatusBadGateway, Outcome: Unknown, Reason: refusal.Reason, Retry: refusal.Retry}
	}
	return err
}

func (l *Listener) refusal(r request, last error, mayHaveRun bool) *RefusalError {
	if !mayHaveRun {
		return notRun(http.StatusServiceUnavailable, "no minion could be reached", retrySoon)
	}
	if errors.Is(last, context.DeadlineExceeded) {
		return unknown(http.StatusGatewayTimeout, "the minion took longer than the service allows")
	}
	refusal := unknown(http.StatusBadGateway, "the minion gave no whole answer")
	if isIdempotent(r.raw.Method) {
		refusal.Retry = retrySoon
	}
	return refusal
}

// attempt sends the request to one minion.
func (l *Listener) attempt(r request, begun start) (finished, error) {
	if !r.service.IsCancellable {
		return l.attemptDetached(r, begun)
	}
	ctx, cancel := l.context(r)
	answer, err := l.send(ctx, cancel, r, begun)
	return answer, err
}

// attemptDetached sends the request and, if the caller goes away, leaves the
// attempt to finish by itself.
func (l *Listener) attemptDetached(r request, begun start) (finished, error) {
	type result struct {
		answer finished
		err    error
	}
	done := make(chan result, 1)
	ctx, cancel := l.context(r)
	l.wait.Go(func() {
		answer, err := l.send(ctx, cancel, r, begun)
		done <- result{answer, err}
	})
	select {
	case got := <-done:
		return got.answer, got.err
	case <-r.raw.Context().Done():
		l.wait.Go(func() {
			if got := <-done; got.err == nil {
				got.answer.discard()
			}
		})
		return finished{}, &minion.UnknownOutcomeError{Err: r.raw.Context().Err()}
	}
}

// discard reads an answer that nobody waits for to its end.
func (f finished) discard() {
	var err error
	if f.Stream != nil {
		_, err = io.Copy(io.Discard, f.Stream)
		_ = f.Stream.Close()
	}
	f.end(endingOf(err))
}

// endingOf tells how an attempt ended whose answer was read with the error.
func endingOf(err error) ending {
	if err != nil {
		return lost
	}
	return ran
}

func (l *Listener) send(ctx context.Context, cancel context.CancelFunc, r request, begun start) (finished, error) {
	since := l.config.Timer.Now()
	answer, err := l.config.Client.Do(ctx, begun.minion.Address, minion.Attempt{
		ID:     l.nextAttempt(),
		Team:   r.team,
		Method: r.raw.Method,
		Target: r.raw.URL,
		Header: forwardHeader(r.raw.Header),
		Body:   r.body,
		IsAllowed: func() bool {
			now := l.config.Timer.Now()
			return begun.unit.IsValid(now) && begun.slot.IsValid(now)
		},
	})
	end := func(how ending) {
		cancel()
		if how == lost && r.service.IsCancellable {
			how = ran
		}
		l.dispatcher.finish(begun, r, since, how)
	}
	if err != nil {
		l.noteError(r, begun, err)
		var notRun *minion.NotRunError
		if errors.As(err, &notRun) {
			end(skipped)
		} else {
			end(lost)
		}
		return finished{}, err
	}
	begun.minion.RecordResult(l.config.Timer.Now(), answer.Status >= http.StatusInternalServerError)
	return finished{Response: answer, end: end}, nil
}

// noteError counts a failed attempt against the minion, unless the caller or
// this entry ended it.
func (l *Listener) noteError(r request, begun start, err error) {
	var crossed *minion.AttemptMismatchError
	if errors.As(err, &crossed) {
		event.AnswerCrossed.Log(l.config.Log, logrus.Fields{
			"minion": begun.minion.Name, "sent": crossed.Sent, "received": crossed.Received,
		})
	}
	var notRun *minion.NotRunError
	isOwn := errors.As(err, &notRun) && notRun.Reason == "authority"
	if isOwn || r.service.IsCancellable && r.raw.Context().Err() != nil {
		begun.minion.CancelPick()
		return
	}
	begun.minion.RecordResult(l.config.Timer.Now(), true)
}

func (l *Listener) nextAttempt() string {
	return l.config.Entry + "-" + strconv.FormatUint(l.attempts.Add(1), 36)
}

// answer passes a minion's answer on. A large answer that breaks off ends the
// caller's connection, so that it cannot pass for a whole one.
func (l *Listener) answer(w http.ResponseWriter, r request, f finished) {
	l.answered.Inc(1)
	header := w.Header()
	for name, values := range f.Header {
		if !isHopByHop(name) && name != minion.HeaderAttempt {
			header[name] = values
		}
	}
	if f.Stream == nil {
		f.end(ran)
		header.Set("Content-Length", wholeLength(r, f))
		w.WriteHeader(f.Status)
		_, _ = w.Write(f.Body)
		return
	}
	w.WriteHeader(f.Status)
	_, err := io.Copy(w, f.Stream)
	_ = f.Stream.Close()
	f.end(endingOf(err))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// wholeLength is the length to announce: a HEAD request keeps the minion's.
func wholeLength(r request, f finished) string {
	if announced := f.Header.Get("Content-Length"); r.raw.Method == http.MethodHead && announced != "" {
		return announced
	}
	return strconv.Itoa(len(f.Body))
}

// forwardHeader returns what of a caller's header goes to the minion. The key
// stays here, and so does an expectation, which the listener has met.
func forwardHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !isHopByHop(name) && name != "Authorization" && name != "Expect" {
			forwarded[name] = values
		}
	}
	return forwarded
}

// isHopByHop returns whether a header field is for one connection only
// (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Proxy-Authenticate", "Proxy-Authorization":
		return true
	}
	return false
}
