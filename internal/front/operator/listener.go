// Package operator is the listener for operators: the API that the command line
// uses, and the console of forms.
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

// maxDocument is the largest document that is taken, in bytes: a value of the
// platform holds a megabyte.
const maxDocument = 900 << 10

// Config sets up a Listener.
type Config struct {
	Entry *entry.Entry
	// Metrics serves the metrics.
	Metrics http.Handler
}

// Listener is an http.Handler.
type Listener struct {
	config Config
	router *httprouter.Router
	keys   map[[sha256.Size]byte]bool
}

// NewListener returns a Listener that takes the operators' keys of the settings.
func NewListener(config Config) *Listener {
	l := &Listener{config: config, router: httprouter.New(), keys: make(map[[sha256.Size]byte]bool)}
	for _, text := range config.Entry.Settings().Operators {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(text)); err == nil {
			l.keys[digest] = true
		}
	}
	l.route()
	return l
}

func (l *Listener) route() {
	l.router.GET("/livez", l.live)
	l.router.GET("/readyz", l.ready)
	l.router.Handler(http.MethodGet, "/metrics", l.config.Metrics)
	l.router.GET("/dump", l.guard(l.dump))
	l.router.GET("/profile", l.guard(profile))
	l.router.GET("/status", l.guard(l.status))
	l.router.GET("/config", l.guard(l.getConfig))
	l.router.PUT("/config", l.guard(l.putConfig))
	l.router.POST("/check", l.guard(l.check))
	l.router.POST("/diff", l.guard(l.diff))
	l.router.GET("/force/:revision", l.guard(l.force))
	l.router.PUT("/teams/:team/keys/:digest", l.guard(l.grantKey))
	l.router.DELETE("/teams/:team/keys/:digest", l.guard(l.withdrawKey))
	l.router.POST("/instances/:name/drain", l.guard(l.drain))
	l.router.POST("/instances/:name/return", l.guard(l.giveBack))
	l.router.POST("/wave", l.guard(l.wave))
	l.routeConsole()
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.router.ServeHTTP(w, r) }

// isOperator returns whether a key is that of an operator.
func (l *Listener) isOperator(key string) bool {
	digest := sha256.Sum256([]byte(key))
	for known := range l.keys {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			return true
		}
	}
	return false
}

// guard lets only requests with an operator's key through.
func (l *Listener) guard(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || !l.isOperator(key) {
			writeError(w, http.StatusUnauthorized, "the operator key is missing or not valid", nil)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxDocument)
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
	write(w, http.StatusOK, l.config.Entry.Dump())
}

// profile serves a processor profile of ?seconds=N.
func profile(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { pprof.Profile(w, r) }

func (l *Listener) getConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	parsed, revision := l.config.Entry.Document()
	write(w, http.StatusOK, struct {
		Revision uint64            `json:"revision"`
		Document document.Document `json:"document"`
	}{revision, parsed})
}

func (l *Listener) putConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	read, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the revision that was read is missing: /config?revision=N", nil)
		return
	}
	data, ok := readAll(w, r)
	if !ok {
		return
	}
	ctx, cancel := entry.WithWait(r.Context())
	defer cancel()
	applied, err := l.config.Entry.Apply(ctx, read, data)
	writeApplied(w, applied, err)
}

func (l *Listener) check(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, ok := readAll(w, r)
	if !ok {
		return
	}
	if _, err := l.config.Entry.CheckDocument(data); err != nil {
		writeChangeError(w, err)
		return
	}
	write(w, http.StatusOK, struct {
		Valid bool `json:"valid"`
	}{true})
}

func (l *Listener) diff(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, ok := readAll(w, r)
	if !ok {
		return
	}
	parsed, err := l.config.Entry.CheckDocument(data)
	if err != nil {
		writeChangeError(w, err)
		return
	}
	current, revision := l.config.Entry.Document()
	write(w, http.StatusOK, struct {
		Revision uint64            `json:"revision"`
		Changes  []document.Change `json:"changes"`
	}{revision, document.Diff(current, parsed)})
}

func (l *Listener) force(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := strconv.ParseUint(p.ByName("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the revision is not a number", nil)
		return
	}
	ctx, cancel := entry.WithWait(r.Context())
	defer cancel()
	writeApplied(w, l.config.Entry.AwaitForce(ctx, revision), nil)
}

func (l *Listener) grantKey(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	l.changeKey(w, r, p, func(t *document.Team, digest string) {
		t.KeyDigests = append(without(t.KeyDigests, digest), digest)
	})
}

func (l *Listener) withdrawKey(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	l.changeKey(w, r, p, func(t *document.Team, digest string) {
		t.KeyDigests = without(t.KeyDigests, digest)
	})
}

func without(keys []string, digest string) (rest []string) {
	for _, key := range keys {
		if key != digest {
			rest = append(rest, key)
		}
	}
	return rest
}

func (l *Listener) changeKey(w http.ResponseWriter, r *http.Request, p httprouter.Params, change func(t *document.Team, digest string)) {
	ctx, cancel := entry.WithWait(r.Context())
	defer cancel()
	applied, err := l.config.Entry.Change(ctx, func(d *document.Document) error {
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

func (l *Listener) drain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := l.config.Entry.Drain(r.Context(), p.ByName("name"))
	writeRevision(w, revision, err)
}

func (l *Listener) giveBack(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	revision, err := l.config.Entry.Return(r.Context(), p.ByName("name"))
	writeRevision(w, revision, err)
}

// writeRevision answers with the fleet revision of a change.
func writeRevision(w http.ResponseWriter, revision uint64, err error) {
	if err != nil {
		writeChangeError(w, err)
		return
	}
	write(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

// wave starts, pauses or resumes maintenance by ?do=start|pause|resume.
func (l *Listener) wave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	revision, err := l.config.Entry.Wave(r.Context(), r.URL.Query().Get("do"))
	writeRevision(w, revision, err)
}

func readAll(w http.ResponseWriter, r *http.Request) (data []byte, ok bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "the document is too large or did not arrive whole", nil)
		return nil, false
	}
	return data, true
}

// writeApplied answers 200 for an accepted change and 202 for a pending one.
func writeApplied(w http.ResponseWriter, applied entry.Applied, err error) {
	switch {
	case err != nil:
		writeChangeError(w, err)
	case applied.State == entry.Pending:
		write(w, http.StatusAccepted, applied)
	default:
		write(w, http.StatusOK, applied)
	}
}

func writeChangeError(w http.ResponseWriter, err error) {
	var (
		list        *fault.ListError
		race        *entry.RaceError
		unsettled   *entry.UnsettledError
		unreachable *entry.UnreachableError
		name        *steward.NameError
		budget      *steward.BudgetError
	)
	switch {
	case errors.As(err, &list):
		writeError(w, http.StatusUnprocessableEntity, "the document has faults", list.Faults)
	case errors.As(err, &race), errors.As(err, &unsettled), errors.As(err, &budget):
		writeError(w, http.StatusConflict, err.Error(), nil)
	case errors.As(err, &name):
		writeError(w, http.StatusNotFound, err.Error(), nil)
	case errors.As(err, &unreachable):
		writeError(w, http.StatusServiceUnavailable, err.Error(), nil)
	default:
		writeError(w, http.StatusInternalServerError, err.Error(), nil)
	}
}

func writeError(w http.ResponseWriter, status int, text string, faults []fault.Fault) {
	write(w, status, struct {
		Error  string        `json:"error"`
		Faults []fault.Fault `json:"faults,omitempty"`
	}{text, faults})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}
