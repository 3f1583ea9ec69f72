// Package submitter answers those who hand in jobs, ask for their state and
// cancel them. It finds the queue and the client account of a request, and has
// the owner of the queue's cell answer it.
package submitter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Errors of a Desk.
var (
	// ErrUnavailable says that the owner cannot be asked now; nothing was done.
	ErrUnavailable = errors.New("the owner of the queue cannot be reached")
	// ErrOpen says that the request may have been carried out.
	ErrOpen = errors.New("the owner of the queue did not answer")
)

const (
	// defaultTimeout is for callers that do not say how long they wait.
	defaultTimeout = 3 * time.Second
	// answerMargin is left of the caller's time for the answer to arrive.
	answerMargin = 60 * time.Millisecond
	// unavailableRetry is when to come back while a cell has no owner; a takeover
	// takes a lease's length at most, mostly less.
	unavailableRetry = time.Second
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 1 << 20
)

// Desk reaches the owners of cells.
type Desk struct {
	Submit  func(ctx context.Context, cell string, job jobs.Job) (jobs.Verdict, error)
	Status  func(ctx context.Context, cell, id string) (state jobs.State, isKnown bool, err error)
	Cancel  func(ctx context.Context, cell, id string) (isKnown bool, err error)
	Pending func(ctx context.Context, cell, queue string) (int, error)
}

// Codec is the form of requests and answers.
type Codec struct {
	Job     func(body []byte) (jobs.Job, error)
	State   func(state jobs.State) []byte
	Pending func(count int) []byte
	Error   func(reason string) []byte
	// Key returns the key that came with a request, empty if none did.
	Key func(r *http.Request) string
	// Wait returns how long the caller waits, 0 if it does not say.
	Wait func(r *http.Request) time.Duration
}

// Config sets up a Handler.
type Config struct {
	Desk  Desk
	Codec Codec
	// Setup returns the configuration in force, nil if there is none yet.
	Setup func() *setup.Setup
	Log   *logrus.Entry
	Scope tally.Scope
}

// Handler serves submitters.
type Handler struct {
	config  Config
	latency tally.Histogram
	answers map[int]tally.Counter
}

// New returns a handler.
func New(config Config) *Handler {
	h := &Handler{config: config, answers: make(map[int]tally.Counter)}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	h.latency = config.Scope.Histogram("request", buckets)
	for _, status := range []int{200, 400, 401, 404, 405, 410, 413, 429, 503, 504} {
		h.answers[status] = config.Scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answers")
	}
	return h
}

// request is a request whose queue is known.
type request struct {
	queue   *setup.Queue
	account string
	id      string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := boot.Now()
	wait := h.config.Codec.Wait(r)
	if wait <= 0 {
		wait = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), max(wait-answerMargin, answerMargin))
	defer cancel()
	a := h.answer(ctx, r)
	if a.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.retry+time.Second-1)/time.Second)))
	}
	if len(a.body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(a.status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(a.body)
	if counter := h.answers[a.status]; counter != nil {
		counter.Inc(1)
	}
	h.latency.RecordDuration(boot.Now().Sub(began))
}

// answer is what a caller gets.
type answer struct {
	status int
	body   []byte
	retry  time.Duration
}

func (h *Handler) refuse(status int, reason string, retry time.Duration) answer {
	return answer{status: status, body: h.config.Codec.Error(reason), retry: retry}
}

func (h *Handler) answer(ctx context.Context, r *http.Request) answer {
	s := h.config.Setup()
	if s == nil {
		return h.refuse(http.StatusServiceUnavailable, "there is no configuration yet", unavailableRetry)
	}
	queue := s.FindQueue(r.Host, r.URL.Path)
	if queue == nil {
		return h.refuse(http.StatusNotFound, "there is no such queue", 0)
	}
	call := request{queue: queue, id: strings.TrimPrefix(r.URL.Path, queue.Prefix)}
	if !queue.IsAnonymous {
		account, isKnown := s.Account(h.config.Codec.Key(r))
		if !isKnown {
			return h.refuse(http.StatusUnauthorized, "the key is not valid", 0)
		}
		call.account = account
	}
	switch {
	case r.Method == http.MethodGet && call.id == "":
		return h.pending(ctx, call)
	case !jobs.IsID(call.id):
		return h.refuse(http.StatusNotFound, "the path names no job", 0)
	case r.Method == http.MethodPost:
		return h.submit(ctx, s, call, r)
	case r.Method == http.MethodGet:
		return h.status(ctx, call)
	case r.Method == http.MethodDelete:
		return h.cancel(ctx, call)
	}
	return h.refuse(http.StatusMethodNotAllowed, "the method is not known", 0)
}

func (h *Handler) submit(ctx context.Context, s *setup.Setup, call request, r *http.Request) answer {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return h.refuse(http.StatusBadRequest, "the body was not received whole", 0)
	}
	if int64(len(body)) > limit {
		return h.refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
	}
	job, err := h.config.Codec.Job(body)
	if err != nil {
		return h.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	q := call.queue
	job.ID, job.Queue, job.Account = call.id, q.Name, call.account
	job.Priority, job.Attempts, job.Stretch, job.Target = q.Priority, q.MaxAttempts, q.Stretch, q.Target
	job.Advised = q.Advice != nil
	if err := job.Check(); err != nil {
		return h.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	verdict, err := h.config.Desk.Submit(ctx, q.Pool, job)
	switch {
	case errors.Is(err, ErrUnavailable):
		return h.fail("submit", call, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	case err != nil:
		return h.fail("submit", call, err, h.refuse(http.StatusGatewayTimeout, err.Error(), unavailableRetry))
	case !verdict.IsAccepted:
		return h.refuse(http.StatusTooManyRequests, verdict.Reason, verdict.RetryAfter)
	}
	return answer{status: http.StatusOK, body: h.config.Codec.State(jobs.Queued)}
}

// fail logs a request whose owner could not answer.
func (h *Handler) fail(verb string, call request, err error, a answer) answer {
	event.JobOpen.Log(h.config.Log, logrus.Fields{
		"request": verb, "job": call.id, "queue": call.queue.Name, "status": a.status, "error": err.Error(),
	})
	return a
}

func (h *Handler) status(ctx context.Context, call request) answer {
	state, isKnown, err := h.config.Desk.Status(ctx, call.queue.Pool, call.id)
	if err != nil {
		return h.fail("status", call, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	}
	if !isKnown {
		return h.refuse(http.StatusGone, "there is no such job", 0)
	}
	return answer{status: http.StatusOK, body: h.config.Codec.State(state)}
}

func (h *Handler) cancel(ctx context.Context, call request) answer {
	isKnown, err := h.config.Desk.Cancel(ctx, call.queue.Pool, call.id)
	switch {
	case errors.Is(err, ErrUnavailable):
		return h.fail("cancel", call, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	case err != nil:
		return h.fail("cancel", call, err, h.refuse(http.StatusGatewayTimeout, err.Error(), unavailableRetry))
	case !isKnown:
		return h.refuse(http.StatusGone, "there is no such job", 0)
	}
	return answer{status: http.StatusOK, body: h.config.Codec.State(jobs.Cancelled)}
}

func (h *Handler) pending(ctx context.Context, call request) answer {
	count, err := h.config.Desk.Pending(ctx, call.queue.Pool, call.queue.Name)
	if err != nil {
		return h.fail("pending", call, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	}
	return answer{status: http.StatusOK, body: h.config.Codec.Pending(count)}
}
