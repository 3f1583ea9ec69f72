package minion

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
)

// endpointVariable is the environment variable that holds the configuration of an endpoint.
const endpointVariable = "CHICORYPIN_ENDPOINT"

// Times of the endpoints; the bounds are those of the platform's protocol.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxGrant          = 10 * time.Second
	maxPollWait       = 2 * time.Second
	// runTime is how long a run is at work, longRunTime one whose job has the spec longSpec. stopTime is
	// how long a stop takes, at most 200 ms by the protocol.
	runTime       = time.Second
	longRunTime   = 15 * time.Second
	stopTime      = 180 * time.Millisecond
	lapseInterval = 10 * time.Millisecond
	maxListedEnds = 500
	longSpec      = "long"
	// capacityCPU is the usual capacity in thousandths of a core, for 16 runs.
	capacityCPU = 8000
)

// endpointConfig configures the process of an endpoint.
type endpointConfig struct {
	ID, Pool, Centre string
	// Listen is the address that the endpoint listens on, Registered the one that it registers.
	Listen, Registered, Store netip.AddrPort
	// ListingDelay is the time from copying the runs for a listing to reading the clock for it.
	ListingDelay time.Duration
	// CPU is the capacity in thousandths of a core.
	CPU int64
	// Clock is what the clock shows at the start.
	Clock time.Duration
	// RegisterDelay is the time from the start to the first registration.
	RegisterDelay time.Duration
}

// endpointProcess is an incarnation of an endpoint. It writes a row to standard output for each
// start, stop and end of a run and for each end that was acknowledged.
type endpointProcess struct {
	config endpointConfig
	born   time.Time
	rows   *json.Encoder

	mu    sync.Mutex
	epoch int64
	// grantUntil is when all runs lapse, on the clock of the endpoint.
	grantUntil time.Duration
	// isLapsed reports that it has expired.
	isLapsed bool
	runs     map[runID]*endpointRun
	// highest holds the highest run of each task that was stopped or has ended.
	highest  map[string]int
	ends     []endpointEnd
	lastEnd  int64
	sequence int
	// changed is closed when a run ends.
	changed chan struct{}
}

// runID identifies a run.
type runID struct {
	Task string
	Run  int
}

type endpointRun struct {
	runID
	startedAt  time.Time
	takes      time.Duration
	isStopping bool
}

type endpointEnd struct {
	runID
	number  int64
	outcome string
}

// runEndpoint runs an endpoint until standard input ends, which it does with the test.
func runEndpoint(text []byte) {
	e := &endpointProcess{
		born: time.Now(), rows: json.NewEncoder(os.Stdout), runs: make(map[runID]*endpointRun),
		highest: make(map[string]int), changed: make(chan struct{}),
	}
	if err := json.Unmarshal(text, &e.config); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", e.config.Listen.String())
	if err != nil {
		panic(err)
	}
	e.write(row{Kind: rowUp})
	go e.registerForever()
	go e.lapseForever()
	go func() { panic(http.Serve(listener, e.handler())) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

func (e *endpointProcess) clock() time.Duration { return e.config.Clock + time.Since(e.born) }

// write writes a row with the time and the incarnation.
func (e *endpointProcess) write(r row) {
	r.At, r.Born = boot.Now(), e.born.UnixMilli()
	if err := e.rows.Encode(r); err != nil {
		panic(err)
	}
}

func (e *endpointProcess) registerForever() {
	time.Sleep(e.config.RegisterDelay)
	for ; ; time.Sleep(heartbeatInterval) {
		e.register()
	}
}

func (e *endpointProcess) register() {
	e.mu.Lock()
	e.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": e.config.Pool, "address": e.config.Registered, "zone": e.config.Centre, "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int64{"cpu": e.config.CPU, "memMb": 65536, "gpus": 0},
		"labels": []string{"a", "r1-1"}, "clockMs": e.clock().Milliseconds(), "seq": e.sequence,
		"born": e.born.UnixMilli(), "machine": "m-" + e.config.ID,
	})
	e.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s%s%s", e.config.Store, registrationPath, e.config.ID), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

// lapseForever ends all runs when the grant has expired.
func (e *endpointProcess) lapseForever() {
	for ; ; time.Sleep(lapseInterval) {
		e.mu.Lock()
		e.lapse()
		e.mu.Unlock()
	}
}

// lapse ends all runs if the grant has expired.
func (e *endpointProcess) lapse() {
	if e.isLapsed || e.clock() <= e.grantUntil {
		return
	}
	e.isLapsed = true
	for _, r := range e.runs {
		e.end(r, "lapsed")
	}
	e.write(row{Kind: rowLapsed})
}

// endpointOrder holds the fields of all requests to an endpoint.
type endpointOrder struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

type endpointReceipt struct {
	ClockMs int64  `json:"clockMs"`
	Reason  string `json:"reason,omitempty"`
}

// handler returns the handler of the endpoint's protocol. It refuses requests that are meant for
// another ID.
func (e *endpointProcess) handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(w http.ResponseWriter, r *http.Request, order endpointOrder){
		"POST /api/run-start": e.serveOrder(e.start),
		"POST /api/run-stop":  e.serveOrder(e.stop),
		"POST /api/pace":      e.serveOrder(func(endpointOrder) string { return "" }),
		"POST /api/hold":      e.servePoll,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			var order endpointOrder
			expected := r.Header.Get("X-Chicorypin-Expect-Instance")
			switch {
			case expected != "" && expected != e.config.ID:
				writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
			case json.NewDecoder(r.Body).Decode(&order) != nil:
				writeJSON(w, http.StatusBadRequest, struct{}{})
			default:
				serve(w, r, order)
			}
		})
	}
	return mux
}

// serveOrder serves an order that apply carries out, or refuses with a reason.
func (e *endpointProcess) serveOrder(apply func(order endpointOrder) (reason string)) func(w http.ResponseWriter, r *http.Request, order endpointOrder) {
	return func(w http.ResponseWriter, _ *http.Request, order endpointOrder) {
		e.mu.Lock()
		reason := "fence"
		if e.isCurrent(order) {
			reason = apply(order)
		}
		receipt := endpointReceipt{ClockMs: e.clock().Milliseconds(), Reason: reason}
		e.mu.Unlock()
		writeReceipt(w, receipt)
	}
}

func writeReceipt(w http.ResponseWriter, receipt endpointReceipt) {
	if receipt.Reason == "" {
		writeJSON(w, http.StatusOK, receipt)
		return
	}
	writeJSON(w, http.StatusConflict, receipt)
}

// isCurrent reports whether no request with a higher epoch has arrived, and keeps the epoch.
func (e *endpointProcess) isCurrent(order endpointOrder) bool {
	if order.FencingToken < e.epoch {
		return false
	}
	e.epoch = order.FencingToken
	return true
}

// extendGrant extends the lease of all runs. It never shortens it.
func (e *endpointProcess) extendGrant(untilMs int64) {
	e.lapse()
	until := time.Duration(untilMs) * time.Millisecond
	e.grantUntil = max(e.grantUntil, min(until, e.clock()+maxGrant))
	e.isLapsed = e.clock() > e.grantUntil
}

// start starts a run, even beside a lower run of its task, as endpoints without an admission check do.
func (e *endpointProcess) start(order endpointOrder) (reason string) {
	id := runID{order.Task, order.RunID}
	isLate := time.Duration(order.UntilMs)*time.Millisecond <= e.clock()
	switch {
	case e.runs[id] != nil && !e.runs[id].isStopping:
		e.extendGrant(order.UntilMs)
		return ""
	case order.RunID <= e.highest[order.Task]:
		e.extendGrant(order.UntilMs)
		return "old"
	case isLate:
		return "late"
	}
	e.extendGrant(order.UntilMs)
	r := &endpointRun{runID: id, startedAt: time.Now(), takes: runTime}
	if order.Spec == longSpec {
		r.takes = longRunTime
	}
	e.runs[id] = r
	e.write(row{Kind: rowStarted, runID: id, Epoch: order.FencingToken})
	time.AfterFunc(r.takes, func() { e.endLater(r, "done") })
	return ""
}

// stop stops a run, and keeps it from being started if it is not there.
func (e *endpointProcess) stop(order endpointOrder) (reason string) {
	e.highest[order.Task] = max(e.highest[order.Task], order.RunID)
	for id, r := range e.runs {
		if id.Task == order.Task && id.Run <= order.RunID && !r.isStopping {
			r.isStopping = true
			e.write(row{Kind: rowStopped, runID: id, Epoch: order.FencingToken})
			time.AfterFunc(stopTime, func() { e.endLater(r, "stopped") })
		}
	}
	return ""
}

// endLater ends a run unless it has ended.
func (e *endpointProcess) endLater(r *endpointRun, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.runID] == r && (outcome != "done" || !r.isStopping) {
		e.end(r, outcome)
	}
}

func (e *endpointProcess) end(r *endpointRun, outcome string) {
	delete(e.runs, r.runID)
	e.highest[r.Task] = max(e.highest[r.Task], r.Run)
	e.lastEnd++
	e.ends = append(e.ends, endpointEnd{runID: r.runID, number: e.lastEnd, outcome: outcome})
	e.write(row{Kind: rowEnded, runID: r.runID, Outcome: outcome, Number: e.lastEnd})
	close(e.changed)
	e.changed = make(chan struct{})
}

// servePoll answers a poll when there are ends that are not acknowledged, or after its wait.
func (e *endpointProcess) servePoll(w http.ResponseWriter, r *http.Request, order endpointOrder) {
	deadline := time.After(min(time.Duration(order.WaitMs)*time.Millisecond, maxPollWait))
	for isOver := order.WaitMs == 0; ; {
		e.mu.Lock()
		if !e.isCurrent(order) {
			receipt := endpointReceipt{ClockMs: e.clock().Milliseconds(), Reason: "fence"}
			e.mu.Unlock()
			writeReceipt(w, receipt)
			return
		}
		e.extendGrant(order.UntilMs)
		e.acknowledge(order.LastSeen)
		if isOver || len(e.ends) > 0 {
			break
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
	running, ended := e.list()
	clock := e.clock()
	e.mu.Unlock()
	if e.config.ListingDelay > 0 {
		time.Sleep(e.config.ListingDelay)
		clock = e.clock()
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": clock.Milliseconds(), "born": e.born.UnixMilli(), "running": running, "ended": ended,
	})
}

// acknowledge forgets the ends up to a number.
func (e *endpointProcess) acknowledge(number int64) {
	e.ends = slices.DeleteFunc(e.ends, func(end endpointEnd) bool {
		if end.number > number {
			return false
		}
		e.write(row{Kind: rowAcknowledged, runID: end.runID, Number: end.number})
		return true
	})
}

// list returns the rows of a listing.
func (e *endpointProcess) list() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for id, r := range e.runs {
		percent := min(99, int(100*time.Since(r.startedAt)/r.takes))
		running = append(running, []any{id.Task, id.Run, "", percent})
	}
	for _, end := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{end.number, end.Task, end.Run, end.outcome, ""})
	}
	return running, ended
}
