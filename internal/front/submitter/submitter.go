// Package submitter implements the HTTP interface through which clients submit jobs,
// query their state and cancel them. It determines the queue and the client account of
// a request, and forwards the request to the owners of the cells with the queue's jobs.
package submitter

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// Errors of the functions of a Backend.
var (
	// ErrUnavailable means that no owner can be reached now. The request was not
	// carried out.
	ErrUnavailable = errors.New("the owner of the queue cannot be reached")
	// ErrIndeterminate means that the request may or may not have been carried out.
	ErrIndeterminate = errors.New("the owner of the queue did not answer")
	// ErrTaken means that the ID is that of a job which the caller may not ask for. The request was
	// not carried out.
	ErrTaken = errors.New("the ID is taken")
)

const (
	// defaultTimeout applies to submitters that do not state how long they wait.
	defaultTimeout = 3 * time.Second
	// maxWait is the longest time for which a request is worked on, whatever its submitter states.
	maxWait = 30 * time.Second
	// responseMargin is subtracted from the time that a submitter waits, so that the
	// response arrives in time.
	responseMargin = 60 * time.Millisecond
	// unavailableRetry is the Retry-After while a cell has no owner. A takeover takes
	// at most the length of a lease, and mostly less.
	unavailableRetry = time.Second
	// overloadRetry is the Retry-After of a request that there was no room for.
	overloadRetry = time.Second
	// defaultMaxBody is the maximum size of a body in bytes if the configuration sets
	// none.
	defaultMaxBody = 1 << 20
)

// Backend calls the owners of the cells that hold the jobs of a queue. An error that wraps
// ErrUnavailable or ErrTaken means that the request was not carried out; after any other error it
// may have been. isKnown is false if no cell has such a job of the caller.
type Backend struct {
	Submit  func(ctx context.Context, target Target, job jobs.Job) (jobs.Verdict, error)
	Status  func(ctx context.Context, target Target, id string) (state jobs.State, isKnown bool, err error)
	Cancel  func(ctx context.Context, target Target, id string) (isKnown bool, err error)
	Pending func(ctx context.Context, target Target) (int, error)
}

// Target is the queue of a request and who makes it.
type Target struct {
	Queue *setup.Queue
	// Revision is the store revision of the configuration that has the queue.
	Revision int64
	// Account is the client account of the key, empty for an open queue.
	Account string
}

// Codec converts requests and responses from and to their format on the wire.
type Codec struct {
	// Job parses the body of a submission. Its error is sent to the submitter.
	Job func(body []byte) (jobs.Job, error)
	// State, Pending and Error return the body of a response.
	State   func(state jobs.State) []byte
	Pending func(count int) []byte
	Error   func(reason string) []byte
	// Key returns the key of a request, empty if it has none.
	Key func(r *http.Request) string
	// Wait returns how long the submitter waits, 0 if the request does not state it.
	Wait func(r *http.Request) time.Duration
}

// Config configures a Handler.
type Config struct {
	Backend Backend
	Codec   Codec
	// Setup returns the configuration in force, nil if none has been loaded.
	Setup func() *setup.Setup
	// Bodies receives the bodies of submissions, Decoder limits their decoding.
	Bodies  *intake.Bodies
	Decoder *intake.Decoder
	Log     *logrus.Entry
	Scope   tally.Scope
}

// Handler serves the requests of submitters. It implements http.Handler.
type Handler struct {
	config         Config
	latency        tally.Histogram
	statusCounters map[int]tally.Counter
}

// New returns a Handler.
func New(config Config) *Handler {
	h := &Handler{config: config, statusCounters: make(map[int]tally.Counter)}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	h.latency = config.Scope.Histogram("request", buckets)
	for _, status := range []int{200, 400, 401, 404, 405, 409, 410, 413, 429, 503, 504} {
		h.statusCounters[status] = config.Scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("answers")
	}
	return h
}

// queueRequest is a request for a queue or one of its jobs.
type queueRequest struct {
	Target
	// id is the id of the job, empty if the path names the queue itself.
	id string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startTime := boot.Now()
	wait := h.config.Codec.Wait(r)
	if wait <= 0 {
		wait = defaultTimeout
	}
	wait = min(wait, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), max(wait-responseMargin, responseMargin))
	defer cancel()
	resp := h.respond(ctx, w, r)
	if resp.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((resp.retry+time.Second-1)/time.Second)))
	}
	if len(resp.body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(resp.status)
	// A write error means that the submitter has disconnected.
	_, _ = w.Write(resp.body)
	if counter := h.statusCounters[resp.status]; counter != nil {
		counter.Inc(1)
	}
	h.latency.RecordDuration(boot.Now().Sub(startTime))
}

// response is the response to a submitter. If retry is not zero, it is sent as
// Retry-After, in seconds rounded up.
type response struct {
	status int
	body   []byte
	retry  time.Duration
}

func (h *Handler) refuse(status int, reason string, retry time.Duration) response {
	return response{status: status, body: h.config.Codec.Error(reason), retry: retry}
}

// respond authenticates a request and dispatches it by its method and path.
func (h *Handler) respond(ctx context.Context, w http.ResponseWriter, r *http.Request) response {
	s := h.config.Setup()
	if s == nil {
		return h.refuse(http.StatusServiceUnavailable, "there is no configuration yet", unavailableRetry)
	}
	queue := s.FindQueue(r.Host, r.URL.Path)
	if queue == nil {
		return h.refuse(http.StatusNotFound, "there is no such queue", 0)
	}
	request := queueRequest{Target: Target{Queue: queue, Revision: s.Revision}, id: strings.TrimPrefix(r.URL.Path, queue.Prefix)}
	if !queue.IsAnonymous {
		account, isKnown := s.Account(h.config.Codec.Key(r))
		if !isKnown {
			return h.refuse(http.StatusUnauthorized, "the key is not valid", 0)
		}
		request.Account = account
	}
	switch {
	case r.Method == http.MethodGet && request.id == "":
		return h.pending(ctx, request)
	case !jobs.IsID(request.id):
		return h.refuse(http.StatusNotFound, "the path names no job", 0)
	case r.Method == http.MethodPost:
		return h.receive(ctx, w, r, s, request)
	case r.Method == http.MethodGet:
		return h.status(ctx, request)
	case r.Method == http.MethodDelete:
		return h.cancel(ctx, request)
	}
	return h.refuse(http.StatusMethodNotAllowed, "the method is not known", 0)
}

// receive receives and decodes the body of a submission, and submits the job.
func (h *Handler) receive(ctx context.Context, w http.ResponseWriter, r *http.Request, s *setup.Setup, request queueRequest) response {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	deadline, _ := ctx.Deadline()
	body, releaseBody, err := h.config.Bodies.Read(w, r, limit, time.Until(deadline))
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return h.refuse(http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, intake.ErrGivenUp), errors.Is(err, intake.ErrTimeout):
		return h.refuse(http.StatusServiceUnavailable, err.Error(), overloadRetry)
	case err != nil:
		return h.refuse(http.StatusBadRequest, "the body was not received whole", 0)
	}
	defer releaseBody()
	var job jobs.Job
	releaseJob, err := h.config.Decoder.Decode(ctx, int64(len(body)), func() (err error) {
		job, err = h.config.Codec.Job(body)
		return err
	})
	defer releaseJob()
	releaseBody()
	switch {
	case errors.Is(err, intake.ErrBusy):
		return h.refuse(http.StatusServiceUnavailable, err.Error(), overloadRetry)
	case err != nil:
		return h.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	return h.submit(ctx, request, job)
}

// submit completes a job by what its queue sets, and submits it to the owner.
func (h *Handler) submit(ctx context.Context, request queueRequest, job jobs.Job) response {
	q := request.Queue
	job.ID, job.Queue, job.Path, job.Account = request.id, q.Name, q.Path(), request.Account
	job.Priority, job.Attempts, job.Stretch, job.Target = q.Priority, q.MaxAttempts, q.Stretch, q.Target
	job.Advised = q.Advice != nil
	if err := job.Check(); err != nil {
		return h.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	verdict, err := h.config.Backend.Submit(ctx, request.Target, job)
	switch {
	case errors.Is(err, ErrTaken):
		return h.logFailure("submit", request, err, h.refuse(http.StatusConflict, err.Error(), 0))
	case errors.Is(err, ErrUnavailable):
		return h.logFailure("submit", request, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	case err != nil:
		return h.logFailure("submit", request, err, h.refuse(http.StatusGatewayTimeout, err.Error(), unavailableRetry))
	case !verdict.IsAccepted:
		return h.refuse(http.StatusTooManyRequests, verdict.Reason, verdict.RetryAfter)
	}
	return response{status: http.StatusOK, body: h.config.Codec.State(jobs.Queued)}
}

// logFailure logs a request that the owner did not answer, and returns resp.
func (h *Handler) logFailure(verb string, request queueRequest, err error, resp response) response {
	event.JobRequestUnanswered.Log(h.config.Log, logrus.Fields{
		"request": verb, "job": request.id, "queue": request.Queue.Name, "status": resp.status, "error": err.Error(),
	})
	return resp
}

func (h *Handler) status(ctx context.Context, request queueRequest) response {
	state, isKnown, err := h.config.Backend.Status(ctx, request.Target, request.id)
	if err != nil {
		return h.logFailure("status", request, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	}
	if !isKnown {
		return h.refuse(http.StatusGone, "there is no such job", 0)
	}
	return response{status: http.StatusOK, body: h.config.Codec.State(state)}
}

func (h *Handler) cancel(ctx context.Context, request queueRequest) response {
	isKnown, err := h.config.Backend.Cancel(ctx, request.Target, request.id)
	switch {
	case errors.Is(err, ErrUnavailable):
		return h.logFailure("cancel", request, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	case err != nil:
		return h.logFailure("cancel", request, err, h.refuse(http.StatusGatewayTimeout, err.Error(), unavailableRetry))
	case !isKnown:
		return h.refuse(http.StatusGone, "there is no such job", 0)
	}
	return response{status: http.StatusOK, body: h.config.Codec.State(jobs.Cancelled)}
}

func (h *Handler) pending(ctx context.Context, request queueRequest) response {
	count, err := h.config.Backend.Pending(ctx, request.Target)
	if err != nil {
		return h.logFailure("pending", request, err, h.refuse(http.StatusServiceUnavailable, err.Error(), unavailableRetry))
	}
	return response{status: http.StatusOK, body: h.config.Codec.Pending(count)}
}
