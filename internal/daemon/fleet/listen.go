package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/front/guard"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
)

const (
	// headerTimeout bounds the reading of a request's header, idleTimeout the time
	// for which a connection may stay unused.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// closeTimeout bounds the wait for requests in progress when the entry stops.
	closeTimeout = time.Second
)

// listeners holds the HTTP servers of an entry, for submitters and for readiness
// checks.
type listeners struct{ servers []*http.Server }

// listen opens the listeners and starts to serve on them. After an error none is left
// open.
func (d *Daemon) listen() (l *listeners, err error) {
	l = &listeners{}
	limits := d.config.Settings.intakeLimits()
	handler := submitter.New(submitter.Config{
		Backend: d.backend(), Codec: d.platform.Codec, Setup: d.setup.Load, Log: d.log, Scope: d.config.Scope,
		Bodies:  intake.NewBodies(intake.BodiesConfig{Name: "submitter", Limits: limits, Log: d.log, Scope: d.config.Scope}),
		Decoder: intake.NewDecoder(intake.DecoderConfig{Name: "submitter", Limits: limits, Scope: d.config.Scope}),
	})
	ready := httprouter.New()
	ready.HandlerFunc(http.MethodGet, d.platform.ReadyPath, d.serveReady)
	s := d.config.Settings
	for _, sv := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{{"submitter", s.Submitters, d.closeWhenLeaving(handler)}, {"ready", s.Ready, ready}} {
		guarded := guard.New(guard.Config{Name: sv.name, Log: d.log, Scope: d.config.Scope}, sv.handler)
		if err := l.open(sv.address, guarded, d.log); err != nil {
			l.close(0)
			return nil, err
		}
	}
	return l, nil
}

// open listens on an address and serves requests in the background.
func (l *listeners) open(address netip.AddrPort, handler http.Handler, log *logrus.Entry) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	l.servers = append(l.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.OperationFailed.Log(log, logrus.Fields{"call": "serve", "address": address.String(), "error": err.Error()})
		}
	}()
	return nil
}

// close goes on serving for the linger time, then closes the listeners and waits up to
// closeTimeout for requests in progress.
func (l *listeners) close(linger time.Duration) {
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range l.servers {
		// An error means that requests are still in progress; they are aborted when the
		// process exits.
		_ = server.Shutdown(ctx)
	}
}

// closeWhenLeaving has clients close their connections once the entry is leaving, so
// that their next connection reaches another entry.
func (d *Daemon) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		isLeaving := d.isLeaving
		d.mu.Unlock()
		if isLeaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady answers a readiness check with status 200 or 503.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
