// Package caller implements the HTTP listener for callers. It authenticates the team
// of a request, queues the request until its team has a free unit and a minion has a
// free slot, and forwards it to the minion. A caller gets the complete response of a
// minion, or a refusal that states whether the request may have run, or, if a large
// response is truncated, an aborted connection.
package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/base/background"
	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/units"
)

const (
	// DefaultBodyTimeout is the default of Config.BodyTimeout.
	DefaultBodyTimeout = 10 * time.Second
	// MaxHeaderBytes is the maximum size of a request header, in bytes.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout is the time limit for a caller to send its header.
	HeaderTimeout = 5 * time.Second
)

// Config configures a Listener and its Dispatcher.
type Config struct {
	// Entry is the unique name of this process. It is the prefix of all attempt ids.
	Entry string
	// Centre is the data centre of this process.
	Centre string
	// Index returns the document in force. Its Revision is 0 until a document has
	// been loaded.
	Index func() *document.Index
	// IsIsolated reports whether this entry has been isolated for too long to trust
	// a key. Only open services, which need no key, are served then.
	IsIsolated func() bool
	// Teams holds the units of the teams' limits.
	Teams  *units.Ledger
	Roster *minion.Roster
	Client *minion.Client
	// Limits bounds what callers may hold; the default is that of a process with the memory
	// of the machine. BodyTimeout takes the place of BodyTime.
	Limits intake.Limits
	// BodyTimeout is the time limit for a caller to send its body; 0 means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	Clock       *timer.Clock
	Log         *logrus.Entry
	Scope       tally.Scope
}

// Listener serves the requests of callers. It implements http.Handler.
type Listener struct {
	config       Config
	dispatcher   *Dispatcher
	budget       retryBudget
	bodies       *intake.Bodies
	attemptCount atomic.Uint64
	openRequests atomic.Int64
	// received counts the requests for a service.
	received           atomic.Uint64
	isKeepAliveStopped atomic.Bool
	// detached tracks attempts that continue after their callers have disconnected.
	detached background.Group

	answered tally.Counter
	retried  tally.Counter
}

// NewListener returns a Listener whose requests are queued by the dispatcher.
func NewListener(config Config, dispatcher *Dispatcher) *Listener {
	if config.BodyTimeout == 0 {
		config.BodyTimeout = DefaultBodyTimeout
	}
	if config.Limits == (intake.Limits{}) {
		config.Limits = intake.DefaultLimits(0, 0)
	}
	config.Limits.BodyTime = config.BodyTimeout
	return &Listener{
		config:     config,
		dispatcher: dispatcher,
		bodies: intake.NewBodies(intake.BodiesConfig{
			Name: "caller", Limits: config.Limits, Log: config.Log, Scope: config.Scope,
		}),
		answered: config.Scope.Counter("answered"),
		retried:  config.Scope.Counter("retried"),
	}
}

// OpenRequests returns the number of requests being served.
func (l *Listener) OpenRequests() int64 { return l.openRequests.Load() }

// Received returns the number of requests for a service since the start. Requests that
// name no service or have no valid key do not count.
func (l *Listener) Received() uint64 { return l.received.Load() }

// StopKeepAlive makes callers open new connections: from now on each response closes its
// connection.
func (l *Listener) StopKeepAlive() { l.isKeepAliveStopped.Store(true) }

// request is an authenticated request to a service.
type request struct {
	service  *document.Service
	team     string
	incoming *http.Request
	body     []byte
	// maxRunTime is the maximum run time of the current attempt.
	maxRunTime time.Duration
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.openRequests.Add(1)
	defer l.openRequests.Add(-1)
	resolved, refusal := l.resolve(r)
	if refusal != nil {
		l.writeRefusal(w, refusal)
		return
	}
	l.received.Add(1)
	body, release, refusal := l.readBody(w, r, resolved.service)
	if refusal != nil {
		l.writeRefusal(w, refusal)
		return
	}
	defer release()
	resolved.body = body
	l.serve(w, resolved)
}

// writeRefusal sends a refusal and counts it.
func (l *Listener) writeRefusal(w http.ResponseWriter, refusal *RefusalError) {
	l.config.Scope.Tagged(map[string]string{
		"status": strconv.Itoa(refusal.Status), "outcome": string(refusal.Outcome),
	}).Counter("refused").Inc(1)
	if refusal.Status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", strings.Join(allowedMethods, ", "))
	}
	l.announceClose(w)
	refusal.write(w)
}

// announceClose sets the header field that closes the connection after the response if
// keep-alive has been stopped.
func (l *Listener) announceClose(w http.ResponseWriter) {
	if l.isKeepAliveStopped.Load() {
		w.Header().Set("Connection", "close")
	}
}

// allowedMethods are the methods that are forwarded to minions.
var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// isIdempotent reports whether a method is idempotent by RFC 9110, section 9.2.2. It
// must only be called with an allowed method.
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

// resolve finds the service and the team of a request. It does not read the body.
func (l *Listener) resolve(r *http.Request) (resolved request, refusal *RefusalError) {
	index := l.config.Index()
	if index.Revision == 0 {
		return request{}, newNotRun(503, "no document is in force yet", retryAfterShort)
	}
	if !isAllowedMethod(r.Method) {
		return request{}, newNotRun(405, "the method is not served", 0)
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service := index.Service(name)
	if service == nil {
		return request{}, newNotRun(404, "no service has this name", 0)
	}
	team, refusal := l.authenticate(index, service, r)
	if refusal != nil {
		return request{}, refusal
	}
	return request{service: service, team: team, incoming: r}, nil
}

func isAllowedMethod(method string) bool {
	for _, known := range allowedMethods {
		if method == known {
			return true
		}
	}
	return false
}

// authenticate returns the team that the request is charged to.
func (l *Listener) authenticate(index *document.Index, service *document.Service, r *http.Request) (team string, refusal *RefusalError) {
	key := bearerToken(r)
	if key == "" {
		if service.AnonymousTeam == "" {
			return "", newNotRun(401, "the request has no key", 0)
		}
		return service.AnonymousTeam, nil
	}
	if l.config.IsIsolated() && service.AnonymousTeam == "" {
		return "", newNotRun(503, "this entry has been isolated for too long to trust a key", retryAfterLong)
	}
	found := index.Authenticate(key)
	if found == nil {
		return "", newNotRun(401, "the key is not valid", 0)
	}
	return found.Name, nil
}

// bearerToken returns the key of a request, empty if it has none.
func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// readBody reads the complete body of a request into the memory for all bodies. Unless
// there is a refusal, release must be called once the body is no longer used.
func (l *Listener) readBody(w http.ResponseWriter, r *http.Request, service *document.Service) (body []byte, release func(), refusal *RefusalError) {
	body, release, err := l.bodies.Read(w, r, service.MaxBody, l.config.BodyTimeout)
	if err != nil {
		return nil, nil, bodyRefusal(err)
	}
	return body, release, nil
}

// bodyRefusal returns the refusal for an error while reading a body.
func bodyRefusal(err error) *RefusalError {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return newNotRun(413, "the body is larger than the service takes", 0)
	case errors.Is(err, intake.ErrGivenUp):
		return newNotRun(503, "too many bodies are held", retryAfterShort)
	default:
		return newNotRun(408, "the body did not arrive whole in time", 0)
	}
}

// serve runs a request and sends the response of the minion, or a refusal.
func (l *Listener) serve(w http.ResponseWriter, r request) {
	response, err := l.run(r)
	if err != nil {
		var refusal *RefusalError
		if !errors.As(err, &refusal) {
			// The caller has disconnected; the refusal is only counted.
			refusal = newNotRun(499, "the caller went away", 0)
		}
		l.writeRefusal(w, refusal)
		return
	}
	l.writeResponse(w, r, response)
}

// attemptContext returns the context of an attempt, which expires after its maximum
// run time. It also ends when the caller disconnects if minions stop
// the work of this service when the connection is closed.
func (l *Listener) attemptContext(r request) (context.Context, context.CancelFunc) {
	parent := r.incoming.Context()
	if !r.service.IsCancellable {
		parent = context.WithoutCancel(parent)
	}
	return withDeadline(parent, r.maxRunTime, l.config.Clock.Now)
}

// maxRunTime returns the maximum run time of an attempt that starts now. A request that
// has waited since an earlier document may not run longer than the current one allows,
// because lenders count the units only for that long.
func (l *Listener) maxRunTime(service *document.Service) time.Duration {
	return time.Duration(min(service.MaxRunTime, l.config.Index().Document.MaxRunTime))
}
