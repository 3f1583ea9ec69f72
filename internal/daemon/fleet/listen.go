package fleet

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/front/guard"
	"gitlab.com/chicorypin/chicorypin/internal/front/intake"
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
	"gitlab.com/chicorypin/chicorypin/internal/model/setup"
)

// closeTimeout bounds the wait for requests in progress when the entry stops.
const closeTimeout = time.Second

// listeners holds the HTTP servers of an entry, for submitters and for readiness
// checks.
type listeners struct{ servers []*intake.Server }

// listen opens the listeners and starts to serve on them. After an error none is left
// open.
func (d *Daemon) listen() (l *listeners, err error) {
	l = &listeners{}
	s := d.config.Settings
	const name = "submitter"
	limits := s.intakeLimits()
	handler := submitter.New(submitter.Config{
		Backend: d.backend(), Codec: d.platform.Codec, Setup: d.setup.Load, Log: d.log, Scope: d.config.Scope,
		Bodies:  intake.NewBodies(intake.BodiesConfig{Name: name, Limits: limits, Log: d.log, Scope: d.config.Scope}),
		Decoder: intake.NewDecoder(intake.DecoderConfig{Name: name, Limits: limits, Scope: d.config.Scope}),
	})
	ready := httprouter.New()
	ready.HandlerFunc(http.MethodGet, d.platform.ReadyPath, d.serveReady)
	for _, sv := range []struct {
		name    string
		address netip.AddrPort
		limits  intake.Limits
		handler http.Handler
	}{{name, s.Submitters, limits, d.closeWhenLeaving(handler)}, {"ready", s.Ready, intake.SmallLimits(), ready}} {
		guarded := guard.New(guard.Config{Name: sv.name, Log: d.log, Scope: d.config.Scope}, sv.handler)
		server := intake.New(intake.Config{Name: sv.name, Handler: guarded, Limits: sv.limits, Log: d.log, Scope: d.config.Scope})
		if err := l.open(sv.address, server, d.log); err != nil {
			l.close(0)
			return nil, err
		}
		if sv.name == name {
			d.submitters.Store(server)
		}
	}
	return l, nil
}

// open listens on an address and serves requests in the background.
func (l *listeners) open(address netip.AddrPort, server *intake.Server, log *logrus.Entry) error {
	listener, err := intake.Listen(address.String())
	if err != nil {
		return err
	}
	l.servers = append(l.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.OperationFailed.Log(log, logrus.Fields{"call": "serve", "address": address.String(), "error": err.Error()})
		}
	}()
	return nil
}

// applyHeadLimits has new connections of submitters use a configuration's limits of heads.
func (d *Daemon) applyHeadLimits(s *setup.Setup) {
	if server := d.submitters.Load(); server != nil {
		server.SetHead(s.MaxHeaderBytes, s.HeaderTimeout, s.IdleTimeout)
	}
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
