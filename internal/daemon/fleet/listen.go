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
	"gitlab.com/chicorypin/chicorypin/internal/front/submitter"
)

const (
	// headerTimeout bounds the time of a request's header, idleTimeout that of an
	// unused connection.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// closeTimeout bounds the end of requests when the entry stops.
	closeTimeout = time.Second
)

// listeners are the HTTP servers of an entry.
type listeners struct{ servers []*http.Server }

// listen opens all listeners.
func (d *Daemon) listen() (l *listeners, err error) {
	l = &listeners{}
	handler := submitter.New(submitter.Config{
		Backend: d.desk(), Codec: d.platform.Codec, Setup: d.setup.Load, Log: d.log, Scope: d.config.Scope,
	})
	ready := httprouter.New()
	ready.HandlerFunc(http.MethodGet, d.platform.ReadyPath, d.answerReady)
	s := d.config.Settings
	for _, each := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{s.Submitters, d.closing(handler)}, {s.Ready, ready}} {
		if err := l.open(each.address, each.handler, d.log); err != nil {
			l.close(0)
			return nil, err
		}
	}
	return l, nil
}

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

// close ends the listeners after a time in which they still answer.
func (l *listeners) close(linger time.Duration) {
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range l.servers {
		// Requests that outlast the time are cut when the process ends.
		_ = server.Shutdown(ctx)
	}
}

// closing asks callers to close their connections once the entry leaves.
func (d *Daemon) closing(next http.Handler) http.Handler {
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

func (d *Daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !d.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
