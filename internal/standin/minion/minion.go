// Package minion is a stand-in for minions, for tests: an HTTP server that simulates
// work by sleeping and counts its runs. Faults are set by calls or over HTTP, at
// /standin/faults; the counts are served at /standin/counts.
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

// HeaderAttempt carries the id of an attempt. A minion repeats it in its response.
const HeaderAttempt = "Attempt-Id"

// HeaderRequest carries the id that the caller gave to its request.
const HeaderRequest = "Request-Id"

// Faults are the faults that are in effect. Without any, requests succeed.
type Faults struct {
	// Fail runs requests but responds to them with status 500, and fails health checks.
	Fail bool `json:"fail"`
	// Refuse responds that the request was not run, and fails health checks.
	Refuse bool `json:"refuse"`
	// Truncate closes the connection in the middle of the response, after the run.
	Truncate bool `json:"cut"`
	// WrongAttempt responds with the id of another attempt.
	WrongAttempt bool `json:"cross"`
	// DropResponse closes the connection after the run, before the response.
	DropResponse bool `json:"drop"`
}

// Counts are the runs and connections of a stand-in since its start.
type Counts struct {
	// Runs is the number of runs by request id.
	Runs map[string]int `json:"runs"`
	// PeakByTeam is the maximum number of concurrent runs by team.
	PeakByTeam map[string]int `json:"most"`
	// Peak is the maximum number of concurrent runs of all teams together.
	Peak int `json:"peak"`
	// Running is the current number of runs.
	Running int `json:"running"`
	// PeakConns is the maximum number of connections open at the same time.
	PeakConns int `json:"conns"`
}

// MaxConns is how many connections a minion accepts from all entries together. The
// stand-in does not enforce it; tests compare the connections in Counts with it.
const MaxConns = 64

// Meter counts the concurrent runs on several minions together. It is an http.Handler
// that serves the maximum of each team as JSON. It is safe for concurrent use.
type Meter struct {
	mu            sync.Mutex
	runningByTeam map[string]int
	peaks         map[string]int
}

// NewMeter returns a meter that has counted no runs.
func NewMeter() *Meter {
	return &Meter{runningByTeam: make(map[string]int), peaks: make(map[string]int)}
}

// Observe counts the start (+1) or the end (-1) of a run of a team.
func (m *Meter) Observe(team string, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningByTeam[team] += change
	m.peaks[team] = max(m.peaks[team], m.runningByTeam[team])
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = json.NewEncoder(w).Encode(m.peaks)
}

// Server is one stand-in minion. It is an http.Handler and safe for concurrent use.
// The query of a request sets its run time in milliseconds as "run" and the minimum
// size of the response body in bytes as "size".
type Server struct {
	name string
	// Observe, if set, is called at each start (+1) and end (-1) of a run of a team. It
	// must be set before the first request.
	Observe func(team string, change int)

	mu            sync.Mutex
	faults        Faults
	counts        Counts
	runningByTeam map[string]int
	runningTotal  int
	openConns     int
}

// TrackConn counts open connections. It is for the field ConnState of an http.Server.
func (s *Server) TrackConn(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConns++
		s.counts.PeakConns = max(s.counts.PeakConns, s.openConns)
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	}
}

// NewServer returns a stand-in without faults.
func NewServer(name string) *Server {
	return &Server{
		name:          name,
		counts:        Counts{Runs: make(map[string]int), PeakByTeam: make(map[string]int)},
		runningByTeam: make(map[string]int),
	}
}

// SetFaults replaces the faults that are in effect. Requests under way keep theirs.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := Counts{Runs: make(map[string]int), PeakByTeam: make(map[string]int), Peak: s.counts.Peak, Running: s.runningTotal, PeakConns: s.counts.PeakConns}
	for id, runs := range s.counts.Runs {
		result.Runs[id] = runs
	}
	for team, most := range s.counts.PeakByTeam {
		result.PeakByTeam[team] = most
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

// serveWork runs a request and responds as the faults demand.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if faults.WrongAttempt {
		w.Header().Set(HeaderAttempt, "another")
	}
	if faults.Refuse {
		w.Header().Set("Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.simulate(r)
	switch {
	case faults.DropResponse:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Truncate:
		truncate(w)
	default:
		s.respond(w, r)
	}
}

// simulate counts a run and sleeps for its run time.
func (s *Server) simulate(r *http.Request) {
	team := r.Header.Get("Team")
	s.startRun(team, r.Header.Get(HeaderRequest))
	defer s.endRun(team)
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("run"))
	time.Sleep(time.Duration(milliseconds) * time.Millisecond)
}

func (s *Server) startRun(team, request string) {
	s.mu.Lock()
	s.counts.Runs[request]++
	s.runningByTeam[team]++
	s.runningTotal++
	s.counts.PeakByTeam[team] = max(s.counts.PeakByTeam[team], s.runningByTeam[team])
	s.counts.Peak = max(s.counts.Peak, s.runningTotal)
	s.mu.Unlock()
	if s.Observe != nil {
		s.Observe(team, 1)
	}
}

func (s *Server) endRun(team string) {
	if s.Observe != nil {
		s.Observe(team, -1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningByTeam[team]--
	s.runningTotal--
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	line := fmt.Sprintf("%s ran %s %s for %s\n", s.name, r.Method, r.URL.Path, r.Header.Get(HeaderRequest))
	body := make([]byte, max(size, len(line)))
	copy(body, line)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) //nolint:gosec // A stand-in for tests, read by no browser.
}

// truncate sends a part of a response and closes the connection.
func truncate(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte("only a part"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
