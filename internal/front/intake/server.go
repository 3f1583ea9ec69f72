package intake

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// acceptPause is the pause after a failed accept, for instance while all descriptors are in use.
const acceptPause = 50 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Name is the name of the listener in the log and in the metrics.
	Name    string
	Handler http.Handler
	Limits  Limits
	Log     *logrus.Entry
	Scope   tally.Scope
}

// Server is an HTTP server that bounds its connections, and the time for which each may be occupied
// by a client. It is safe for concurrent use.
type Server struct {
	config      Config
	connections *connections
	acceptEvent *limitedEvent
	done        chan struct{}

	mu       sync.Mutex
	isClosed bool
	// listeners holds the listeners of the calls of Serve in progress.
	listeners map[net.Listener]struct{}
	// current gets the new connections. generations holds it and those that have connections.
	current     *generation
	generations map[*generation]struct{}
}

// generation is an HTTP server with the limits of heads that were in force when its connections
// were accepted.
type generation struct {
	server *http.Server
	accept *handoff
	// connections is the number of open connections. The mutex of the Server guards it.
	connections int
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// New returns a Server.
func New(config Config) *Server {
	s := &Server{
		config: config, connections: newConnections(config), acceptEvent: newLimitedEvent(event.OperationFailed, config.Log),
		done: make(chan struct{}), listeners: make(map[net.Listener]struct{}), generations: make(map[*generation]struct{}),
	}
	s.SetHead(config.Limits.MaxHeaderBytes, config.Limits.HeaderTimeout, config.Limits.IdleTimeout)
	return s
}

// SetHead sets the limits of heads and of unused connections, for connections that are accepted
// from now on. A value of 0 stands for that of Config.Limits.
func (s *Server) SetHead(maxHeaderBytes int, headerTimeout, idleTimeout time.Duration) {
	limits := s.config.Limits
	if maxHeaderBytes <= 0 {
		maxHeaderBytes = limits.MaxHeaderBytes
	}
	if headerTimeout <= 0 {
		headerTimeout = limits.HeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = limits.IdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	if s.current != nil {
		current := s.current.server
		if current.MaxHeaderBytes == maxHeaderBytes && current.ReadHeaderTimeout == headerTimeout && current.IdleTimeout == idleTimeout {
			return
		}
		_ = s.current.accept.Close()
		if s.current.connections == 0 {
			delete(s.generations, s.current)
		}
	}
	g := &generation{accept: newHandoff()}
	scope := s.config.Scope.Tagged(map[string]string{"listener": s.config.Name})
	g.server = &http.Server{
		Handler:        &answering{next: s.config.Handler, limits: limits, refusedUnread: scope.Counter("refused_unread")},
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		// It also applies to answers that net/http writes by itself. answerWriter sets it anew.
		WriteTimeout: limits.AnswerTime,
		ErrorLog:     stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
		ConnState: s.trackState,
	}
	s.current, s.generations[g] = g, struct{}{}
	go func() {
		// It returns when the generation is replaced or the Server is closed.
		_ = g.server.Serve(g.accept)
	}()
}

// Serve accepts connections until the Server is closed or the listener fails for good. It closes
// the listener. The error is never nil; it is http.ErrServerClosed if the Server was closed.
func (s *Server) Serve(listener net.Listener) error {
	defer func() { _ = listener.Close() }()
	if !s.addListener(listener) {
		return http.ErrServerClosed
	}
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.serveConn(conn)
			continue
		}
		select {
		case <-s.done:
			return http.ErrServerClosed
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.acceptEvent.add(logrus.Fields{"call": "accept", "listener": s.config.Name, "error": err.Error()})
		select {
		case <-s.done:
		case <-time.After(acceptPause):
		}
	}
}

// addListener adds a listener that is closed with the Server. It returns false if that has happened.
func (s *Server) addListener(listener net.Listener) (isAdded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// serveConn hands a new connection to the current generation, if there is room for it.
func (s *Server) serveConn(conn net.Conn) {
	c := s.connections.add(conn)
	if c == nil {
		return
	}
	for {
		s.mu.Lock()
		g, isClosed := s.current, s.isClosed
		if !isClosed {
			g.connections++
			c.generation = g
		}
		s.mu.Unlock()
		if isClosed {
			s.connections.remove(c)
			drop(conn)
			return
		}
		if g.accept.give(c) {
			return
		}
		s.leave(g)
	}
}

// leave notes that a connection of a generation has ended.
func (s *Server) leave(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.connections--
	if g.connections == 0 && g != s.current {
		delete(s.generations, g)
	}
}

// trackState is called by net/http when the state of a connection changes.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*connection)
	switch state {
	case http.StateIdle:
		c.endServing()
	case http.StateClosed:
		s.connections.remove(c)
		s.leave(c.generation)
	default:
	}
}

// Shutdown closes the listeners and unused connections, and waits until requests in progress are
// answered. It returns the error of ctx if that ends before.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	var mu sync.Mutex
	var waits conc.WaitGroup
	for _, server := range s.close() {
		waits.Go(func() {
			serverErr := server.Shutdown(ctx)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, serverErr)
		})
	}
	waits.Wait()
	return err
}

// Close closes the listeners and all connections.
func (s *Server) Close() (err error) {
	for _, server := range s.close() {
		err = errors.Join(err, server.Close())
	}
	return err
}

// close closes the listeners, and returns the HTTP servers, whose connections are left open.
func (s *Server) close() (servers []*http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed {
		s.isClosed = true
		close(s.done)
		for listener := range s.listeners {
			_ = listener.Close()
		}
	}
	for g := range s.generations {
		servers = append(servers, g.server)
	}
	return servers
}

// handoff is a listener whose connections are given to it.
type handoff struct {
	connections chan net.Conn
	closed      chan struct{}
	close       func()
}

func newHandoff() *handoff {
	h := &handoff{connections: make(chan net.Conn), closed: make(chan struct{})}
	h.close = sync.OnceFunc(func() { close(h.closed) })
	return h
}

// give has Accept return a connection. It returns false if the listener is closed.
func (h *handoff) give(conn net.Conn) (isGiven bool) {
	select {
	case h.connections <- conn:
		return true
	case <-h.closed:
		return false
	}
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.connections:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return &net.TCPAddr{} }
