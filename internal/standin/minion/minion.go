// Package minion is a small stand-in for the minions: HTTP servers that run
// what they are given and count it. Its faults are switched by hand.
package minion

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeaderAttempt carries the id of an attempt; a minion echoes it.
const HeaderAttempt = "Attempt-Id"

// HeaderRequest carries the caller's own name for its request.
const HeaderRequest = "Request-Id"

// Faults is what is wrong with the stand-in at the moment.
type Faults struct {
	// Fail answers everything with status 500 at once.
	Fail bool `json:"fail"`
	// Refuse answers that nothing was run.
	Refuse bool `json:"refuse"`
	// Cut breaks the connection in the middle of the answer.
	Cut bool `json:"cut"`
	// Cross answers with the id of another attempt.
	Cross bool `json:"cross"`
	// Drop breaks the connection after running, before the answer.
	Drop bool `json:"drop"`
}

// Counts is what a stand-in has run.
type Counts struct {
	// Runs counts by request id.
	Runs map[string]int `json:"runs"`
	// Most is the most that ran at once, for each team.
	Most map[string]int `json:"most"`
	// Peak is the most that ran at once.
	Peak int `json:"peak"`
	// Running is how many run now.
	Running int `json:"running"`
	// Conns is the most connections that were open at once.
	Conns int `json:"conns"`
}

// MaxConns is how many connections a minion takes from all entries together.
const MaxConns = 64

// Meter counts what runs on several minions together. It is an http.Handler that
// serves the most that ran at once, by team.
type Meter struct {
	mu      sync.Mutex
	running map[string]int
	most    map[string]int
}

// NewMeter returns a Meter at zero.
func NewMeter() *Meter {
	return &Meter{running: make(map[string]int), most: make(map[string]int)}
}

// Observe counts a start (+1) or an end (-1) of a team's work.
func (m *Meter) Observe(team string, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[team] += change
	m.most[team] = max(m.most[team], m.running[team])
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = json.NewEncoder(w).Encode(m.most)
}

// Server is one stand-in minion. It is an http.Handler. The query of a request
// gives its run time in milliseconds as "run" and the answer's size as "size".
type Server struct {
	name string
	// Observe, if set, is told of each start (+1) and end (-1) of a team's work.
	Observe func(team string, change int)

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	running map[string]int
	total   int
	conns   int
}

// NoteConn counts connections; it is an http.Server's ConnState.
func (s *Server) NoteConn(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
		s.counts.Conns = max(s.counts.Conns, s.conns)
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
}

// NewServer returns a stand-in without faults.
func NewServer(name string) *Server {
	return &Server{
		name:    name,
		counts:  Counts{Runs: make(map[string]int), Most: make(map[string]int)},
		running: make(map[string]int),
	}
}

// SetFaults switches faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of what was run.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := Counts{Runs: make(map[string]int), Most: make(map[string]int), Peak: s.counts.Peak, Running: s.total, Conns: s.counts.Conns}
	for id, runs := range s.counts.Runs {
		result.Runs[id] = runs
	}
	for team, most := range s.counts.Most {
		result.Most[team] = most
	}
	return result
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/faults":
		s.putFaults(w, r)
	case "/standin/counts":
		_ = json.NewEncoder(w).Encode(s.Counts())
	case "/healthz":
		s.serveHealth(w)
	default:
		s.serveWork(w, r)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Fail || s.faults.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if faults.Cross {
		w.Header().Set(HeaderAttempt, "another")
	}
	if faults.Refuse {
		w.Header().Set("Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(r)
	switch {
	case faults.Drop:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Cut:
		cut(w)
	default:
		s.answer(w, r)
	}
}

func (s *Server) run(r *http.Request) {
	team := r.Header.Get("Team")
	s.start(team, r.Header.Get(HeaderRequest))
	defer s.end(team)
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("run"))
	time.Sleep(time.Duration(milliseconds) * time.Millisecond)
}

func (s *Server) start(team, request string) {
	s.mu.Lock()
	s.counts.Runs[request]++
	s.running[team]++
	s.total++
	s.counts.Most[team] = max(s.counts.Most[team], s.running[team])
	s.counts.Peak = max(s.counts.Peak, s.total)
	s.mu.Unlock()
	if s.Observe != nil {
		s.Observe(team, 1)
	}
}

func (s *Server) end(team string) {
	if s.Observe != nil {
		s.Observe(team, -1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[team]--
	s.total--
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	text := fmt.Sprintf("%s ran %s %s for %s\n", s.name, r.Method, r.URL.Path, r.Header.Get(HeaderRequest))
	body := make([]byte, max(size, len(text)))
	copy(body, text)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) //nolint:gosec // A stand-in for tests, read by no browser.
}

func cut(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte("only a part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
