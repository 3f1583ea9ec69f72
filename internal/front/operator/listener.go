// Package operator implements the HTTP listener for operators: the API of the command
// line client, and the console in the browser.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/plan/steward"
)

// maxDocumentBytes is the maximum size of a document. The platform stores it as one
// value, which can hold a megabyte.
const maxDocumentBytes = 900 << 10

// Config configures a Listener.
type Config struct {
	Entry *entry.Entry
	// Metrics handles GET /metrics.
	Metrics http.Handler
}

// Listener serves operators. It implements http.Handler.
type Listener struct {
	config Config
	router *httprouter.Router
	// keyDigests are the SHA-256 digests of the operators' keys.
	keyDigests map[[sha256.Size]byte]bool
}

// NewListener returns a Listener that accepts the operators' keys of the settings.
// Digests that are not hexadecimal are ignored.
func NewListener(config Config) *Listener {
	l := &Listener{config: config, router: httprouter.New(), keyDigests: make(map[[sha256.Size]byte]bool)}
	for _, hexDigest := range config.Entry.Settings().Operators {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(hexDigest)); err == nil {
			l.keyDigests[digest] = true
		}
	}
	l.route()
	return l
}

func (l *Listener) route() {
	l.router.GET("/livez", l.live)
	l.router.GET("/readyz", l.ready)
	l.router.Handler(http.MethodGet, "/metrics", l.config.Metrics)
	l.router.GET("/dump", l.requireKey(l.dump))
	l.router.GET("/profile", l.requireKey(profile))
	l.router.GET("/status", l.requireKey(l.status))
	l.router.GET("/config", l.requireKey(l.getConfig))
	l.router.PUT("/config", l.requireKey(l.putConfig))
	l.router.POST("/check", l.requireKey(l.check))
	l.router.POST("/diff", l.requireKey(l.diff))
	l.router.GET("/force/:revision", l.requireKey(l.force))
	l.router.PUT("/teams/:team/keys/:digest", l.requireKey(l.grantKey))
	l.router.DELETE("/teams/:team/keys/:digest", l.requireKey(l.withdrawKey))
	l.router.POST("/instances/:name/drain", l.requireKey(l.drainInstance))
	l.router.POST("/instances/:name/return", l.requireKey(l.returnInstance))
	l.router.POST("/wave", l.requireKey(l.wave))
	l.routeConsole()
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.router.ServeHTTP(w, r) }

// isOperator reports whether key is the key of an operator.
func (l *Listener) isOperator(key string) bool {
	digest := sha256.Sum256([]byte(key))
	for operatorDigest := range l.keyDigests {
		if subtle.ConstantTimeCompare(operatorDigest[:], digest[:]) == 1 {
			return true
		}
	}
	return false
}

// requireKey returns a handler that calls next only for requests with an operator's
// key, and bounds their bodies.
func (l *Listener) requireKey(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || !l.isOperator(key) {
			writeError(w, http.StatusUnauthorized, "the operator key is missing or not valid", nil)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
		next(w, r, p)
	}
}

func (l *Listener) live(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = io.WriteString(w, "live\n")
}

func (l *Listener) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !l.config.Entry.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (l *Listener) dump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, l.config.Entry.Dump())
}

// profile serves a CPU profile over ?seconds=N.
func profile(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { pprof.Profile(w, r) }

func (l *Listener) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	parsed, revision := l.config.Entry.Document()
	writeJSON(w, http.StatusOK, struct {
		Revision uint64            `json:"revision"`
		Document document.Document `json:"document"`
	}{revision, parsed})
}

// putConfig applies a document that was made from ?revision=N.
func (l *Listener) putConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	baseRevision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the revision that was read is missing: /config?revision=N", nil)
		return
	}
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := entry.WithApplyTimeout(r.Context())
	defer cancel()
	applied, err := l.config.Entry.Apply(ctx, baseRevision, data)
	writeApplied(w, applied, err)
}

func (l *Listener) check(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	if _, err := l.config.Entry.CheckDocument(data); err != nil {
		writeChangeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Valid bool `json:"valid"`
	}{true})
}

func (l *Listener) diff(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	parsed, err := l.config.Entry.CheckDocument(data)
	if err != nil {
		writeChangeError(w, err)
		return
	}
	current, revision := l.config.Entry.Document()
	writeJSON(w, http.StatusOK, struct {
		Revision uint64            `json:"revision"`
		Changes  []document.Change `json:"changes"`
	}{revision, document.Diff(current, parsed)})
}

// force waits until a revision is in force at every entry, or is reported as pending.
func (l *Listener) force(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := strconv.ParseUint(p.ByName("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the revision is not a number", nil)
		return
	}
	ctx, cancel := entry.WithApplyTimeout(r.Context())
	defer cancel()
	writeApplied(w, l.config.Entry.AwaitInForce(ctx, revision), nil)
}

func (l *Listener) grantKey(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	l.changeTeam(w, r, p, func(t *document.Team, digest string) {
		t.KeyDigests = append(removeDigest(t.KeyDigests, digest), digest)
	})
}

func (l *Listener) withdrawKey(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	l.changeTeam(w, r, p, func(t *document.Team, digest string) {
		t.KeyDigests = removeDigest(t.KeyDigests, digest)
	})
}

func removeDigest(keys []string, digest string) (rest []string) {
	for _, key := range keys {
		if key != digest {
			rest = append(rest, key)
		}
	}
	return rest
}

// changeTeam applies the document with a change to the team and digest of the path.
func (l *Listener) changeTeam(w http.ResponseWriter, r *http.Request, p httprouter.Params, change func(t *document.Team, digest string)) {
	ctx, cancel := entry.WithApplyTimeout(r.Context())
	defer cancel()
	applied, err := l.config.Entry.ChangeDocument(ctx, func(d *document.Document) error {
		for i := range d.Teams {
			if d.Teams[i].Name == p.ByName("team") {
				change(&d.Teams[i], p.ByName("digest"))
				return nil
			}
		}
		return &steward.NameError{Kind: "team", Name: p.ByName("team")}
	})
	writeApplied(w, applied, err)
}

func (l *Listener) drainInstance(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := l.config.Entry.Drain(r.Context(), p.ByName("name"))
	writeRevision(w, revision, err)
}

func (l *Listener) returnInstance(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := l.config.Entry.Return(r.Context(), p.ByName("name"))
	writeRevision(w, revision, err)
}

// writeRevision responds with the fleet revision of a change, or with its error.
func writeRevision(w http.ResponseWriter, revision uint64, err error) {
	if err != nil {
		writeChangeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

// wave starts, pauses or resumes maintenance according to ?do=start|pause|resume.
func (l *Listener) wave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	revision, err := l.config.Entry.ControlWaves(r.Context(), r.URL.Query().Get("do"))
	writeRevision(w, revision, err)
}

// readBody reads the body of a request. If it is too large or incomplete, readBody
// responds with an error and returns false.
func readBody(w http.ResponseWriter, r *http.Request) (data []byte, ok bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "the document is too large or did not arrive whole", nil)
		return nil, false
	}
	return data, true
}

// writeApplied responds with status 200 for an accepted change, 202 for a pending one,
// and an error status for a failed one.
func writeApplied(w http.ResponseWriter, applied entry.Applied, err error) {
	switch {
	case err != nil:
		writeChangeError(w, err)
	case applied.State == entry.Pending:
		writeJSON(w, http.StatusAccepted, applied)
	default:
		writeJSON(w, http.StatusOK, applied)
	}
}

// writeChangeError responds with the status for an error of a change.
func writeChangeError(w http.ResponseWriter, err error) {
	var (
		validationErr  *fault.ValidationError
		staleErr       *entry.StaleRevisionError
		pendingErr     *entry.PendingRevisionsError
		unreachableErr *entry.UnreachableError
		nameErr        *steward.NameError
		budgetErr      *steward.BudgetError
	)
	switch {
	case errors.As(err, &validationErr):
		writeError(w, http.StatusUnprocessableEntity, "the document has faults", validationErr.Faults)
	case errors.As(err, &staleErr), errors.As(err, &pendingErr), errors.As(err, &budgetErr):
		writeError(w, http.StatusConflict, err.Error(), nil)
	case errors.As(err, &nameErr):
		writeError(w, http.StatusNotFound, err.Error(), nil)
	case errors.As(err, &unreachableErr):
		writeError(w, http.StatusServiceUnavailable, err.Error(), nil)
	default:
		writeError(w, http.StatusInternalServerError, err.Error(), nil)
	}
}

func writeError(w http.ResponseWriter, status int, reason string, faults []fault.Fault) {
	writeJSON(w, status, struct {
		Error  string        `json:"error"`
		Faults []fault.Fault `json:"faults,omitempty"`
	}{reason, faults})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}
