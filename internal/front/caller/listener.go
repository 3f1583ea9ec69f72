// Package caller is the listener for callers: it finds the team of a request's
// key, lets the request wait its turn, has it run by a minion, and gives a true
// and whole answer.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// bodyMemory bounds the request bodies held at once, in bytes.
	bodyMemory = 256 << 20
	// DefaultBodyTimeout is the default of Config.BodyTimeout.
	DefaultBodyTimeout = 10 * time.Second
	// MaxHeader bounds the header of a request, in bytes.
	MaxHeader = 32 << 10
	// HeaderTimeout bounds how long a caller may take to send its header.
	HeaderTimeout = 5 * time.Second
)

// Config sets up a Listener.
type Config struct {
	// Entry is the unique name of this process; attempt ids start with it.
	Entry string
	// Centre is its data centre.
	Centre string
	// Index returns the document in force; its Revision is 0 before the first.
	Index func() *document.Index
	// IsIsolated returns whether only open queues may be served.
	IsIsolated func() bool
	// Teams holds the units of the teams' limits.
	Teams  *units.Ledger
	Roster *minion.Roster
	Client *minion.Client
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout time.Duration
	Timer       *timer.Service
	Log         *logrus.Entry
	Scope       tally.Scope
}

// Listener is an http.Handler.
type Listener struct {
	config     Config
	dispatcher *Dispatcher
	budget     retryBudget
	bodies     *semaphore.Weighted
	attempts   atomic.Uint64
	open       atomic.Int64
	// wait is for attempts that go on without their callers.
	wait conc.WaitGroup

	answered tally.Counter
	retried  tally.Counter
}

// NewListener returns a Listener that uses the dispatcher.
func NewListener(config Config, dispatcher *Dispatcher) *Listener {
	if config.BodyTimeout == 0 {
		config.BodyTimeout = DefaultBodyTimeout
	}
	return &Listener{
		config:     config,
		dispatcher: dispatcher,
		bodies:     semaphore.NewWeighted(bodyMemory),
		answered:   config.Scope.Counter("answered"),
		retried:    config.Scope.Counter("retried"),
	}
}

// Open returns the number of requests being served.
func (l *Listener) Open() int64 { return l.open.Load() }

// request is a checked request.
type request struct {
	service *document.Service
	team    string
	raw     *http.Request
	body    []byte
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.open.Add(1)
	defer l.open.Add(-1)
	checked, refusal := l.check(r)
	if refusal != nil {
		l.refuse(w, refusal)
		return
	}
	body, free, refusal := l.readBody(w, r, checked.service)
	if refusal != nil {
		l.refuse(w, refusal)
		return
	}
	defer free()
	checked.body = body
	l.serve(w, checked)
}

func (l *Listener) refuse(w http.ResponseWriter, refusal *RefusalError) {
	l.config.Scope.Tagged(map[string]string{
		"status": strconv.Itoa(refusal.Status), "outcome": string(refusal.Outcome),
	}).Counter("refused").Inc(1)
	if refusal.Status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", strings.Join(methods, ", "))
	}
	refusal.write(w)
}

// methods are the methods that are passed on.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// isIdempotent follows RFC 9110, section 9.2.2.
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

// check finds the service and the team of a request.
func (l *Listener) check(r *http.Request) (checked request, refusal *RefusalError) {
	index := l.config.Index()
	if index.Revision == 0 {
		return request{}, notRun(503, "no document is in force yet", retrySoon)
	}
	if !isKnownMethod(r.Method) {
		return request{}, notRun(405, "the method is not served", 0)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service := index.Service(name)
	if service == nil {
		return request{}, notRun(404, "no service has this name", 0)
	}
	team, refusal := l.authenticate(index, service, r)
	if refusal != nil {
		return request{}, refusal
	}
	return request{service: service, team: team, raw: r}, nil
}

func isKnownMethod(method string) bool {
	for _, known := range methods {
		if method == known {
			return true
		}
	}
	return false
}

func (l *Listener) authenticate(index *document.Index, service *document.Service, r *http.Request) (team string, refusal *RefusalError) {
	key := bearer(r)
	if key == "" {
		if service.AnonymousTeam == "" {
			return "", notRun(401, "the request has no key", 0)
		}
		return service.AnonymousTeam, nil
	}
	if l.config.IsIsolated() && service.AnonymousTeam == "" {
		return "", notRun(503, "this entry has been isolated for too long to trust a key", retryLater)
	}
	owner := index.Authenticate(key)
	if owner == nil {
		return "", notRun(401, "the key is not valid", 0)
	}
	return owner.Name, nil
}

func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// readBody reads the body whole. The memory of all bodies together is bounded;
// free gives it back.
func (l *Listener) readBody(w http.ResponseWriter, r *http.Request, service *document.Service) (body []byte, free func(), refusal *RefusalError) {
	if r.ContentLength > service.MaxBody {
		return nil, nil, notRun(413, "the body is larger than the service takes", 0)
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = service.MaxBody
	}
	if !l.bodies.TryAcquire(size) {
		return nil, nil, notRun(503, "too many bodies are held", retrySoon)
	}
	free = func() { l.bodies.Release(size) }
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(l.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.MaxBody))
	if err != nil {
		free()
		return nil, nil, bodyRefusal(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, free, nil
}

func bodyRefusal(err error) *RefusalError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(413, "the body is larger than the service takes", 0)
	}
	return notRun(408, "the body did not arrive whole in time", 0)
}

// serve waits, runs attempts and answers.
func (l *Listener) serve(w http.ResponseWriter, r request) {
	answer, err := l.run(r)
	if err != nil {
		var refusal *RefusalError
		if !errors.As(err, &refusal) {
			// The caller has gone; nobody reads this.
			refusal = notRun(499, "the caller went away", 0)
		}
		l.refuse(w, refusal)
		return
	}
	l.answer(w, r, answer)
}

// context returns the context of an attempt. It ends when the caller goes away
// if the minions stop their work then.
func (l *Listener) context(r request) (context.Context, context.CancelFunc) {
	parent := r.raw.Context()
	if !r.service.IsCancellable {
		parent = context.WithoutCancel(parent)
	}
	return withDeadline(parent, time.Duration(r.service.MaxRunTime), l.config.Timer.Now)
}
