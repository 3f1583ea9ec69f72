// Package worker stands in for endpoints that run tasks under grants, on the
// real clock and in memory.
package worker

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// lookEvery is how often a look that waits looks again.
const lookEvery = 5 * time.Millisecond

// Fleet is a set of endpoints.
type Fleet struct {
	// Length is how long a task runs; 0 stands for ever.
	Length func(task string) time.Duration

	mu      sync.Mutex
	workers map[string]*Worker
}

// Worker is one endpoint.
type Worker struct {
	born    time.Time
	epoch   endpoint.Epoch
	until   int64
	runs    map[string]*run
	ended   []jobs.ListedEnd
	count   int64
	highest map[string]int
	// Started counts the starts of each task.
	Started map[string]int
}

type run struct {
	number int
	end    time.Time
}

// NewFleet returns a fleet without endpoints.
func NewFleet(length func(task string) time.Duration) *Fleet {
	return &Fleet{Length: length, workers: make(map[string]*Worker)}
}

// Add adds an endpoint and returns what discovery says of it.
func (f *Fleet) Add(id, pool, rack string, capacity jobs.Size) endpoint.Registration {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int), Started: make(map[string]int)}
	f.workers[id] = w
	return endpoint.Registration{
		Pool: pool, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Profile: jobs.Profile{ID: id, Machine: "m-" + id, Rack: rack, Capacity: capacity, Born: w.born.UnixMilli()},
	}
}

// Starts returns how often each task was started anywhere.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[string]int)
	for _, w := range f.workers {
		for task, count := range w.Started {
			starts[task] += count
		}
	}
	return starts
}

// Running returns how many tasks run.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		w.settle()
		count += len(w.runs)
	}
	return count
}

// Client returns a client of all endpoints.
func (f *Fleet) Client() *endpoint.Client {
	return &endpoint.Client{Start: f.start, Stop: f.stop, Pace: f.pace, Poll: f.look}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// settle ends the runs whose time or grant is over.
func (w *Worker) settle() {
	for task, r := range w.runs {
		switch {
		case w.clock() >= w.until:
			w.end(task, r, jobs.Lapsed)
		case !r.end.IsZero() && time.Now().After(r.end):
			w.end(task, r, jobs.Done)
		}
	}
}

func (w *Worker) end(task string, r *run, how jobs.Outcome) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.count++
	w.ended = append(w.ended, jobs.ListedEnd{Number: w.count, End: jobs.End{Task: task, Run: r.number, Outcome: how}})
}

// enter finds an endpoint and checks the epoch of an order.
func (f *Fleet) enter(id string, epoch endpoint.Epoch) (*Worker, endpoint.Receipt) {
	w := f.workers[id]
	if w == nil {
		return nil, endpoint.Receipt{Answer: jobs.Unanswered, Reason: "no such endpoint"}
	}
	if epoch < w.epoch {
		return nil, endpoint.Receipt{Answer: jobs.Fenced, Clock: w.clock(), Reason: "fenced"}
	}
	w.epoch = epoch
	w.settle()
	return w, endpoint.Receipt{Answer: jobs.Accepted, Clock: w.clock()}
}

func (f *Fleet) start(_ context.Context, target endpoint.Target, epoch endpoint.Epoch, order jobs.Start) endpoint.Receipt {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, receipt := f.enter(target.ID, epoch)
	if w == nil {
		return receipt
	}
	if order.Until <= w.clock() {
		receipt.Answer = jobs.Expired
		return receipt
	}
	w.until = max(w.until, order.Until)
	if r := w.runs[order.Task]; r != nil && r.number == order.Run {
		return receipt
	}
	if order.Run <= w.highest[order.Task] || w.runs[order.Task] != nil {
		receipt.Answer = jobs.StaleRun
		return receipt
	}
	r := &run{number: order.Run}
	if length := f.Length(order.Task); length > 0 {
		r.end = time.Now().Add(length)
	}
	w.runs[order.Task] = r
	w.Started[order.Task]++
	return receipt
}

func (f *Fleet) stop(_ context.Context, target endpoint.Target, epoch endpoint.Epoch, order jobs.Stop) endpoint.Receipt {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, receipt := f.enter(target.ID, epoch)
	if w == nil {
		return receipt
	}
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	if r := w.runs[order.Task]; r != nil && r.number <= order.Run {
		w.end(order.Task, r, jobs.Stopped)
	}
	return receipt
}

func (f *Fleet) pace(_ context.Context, target endpoint.Target, epoch endpoint.Epoch, _ jobs.Pace) endpoint.Receipt {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, receipt := f.enter(target.ID, epoch)
	return receipt
}

func (f *Fleet) look(ctx context.Context, target endpoint.Target, look endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
	end := time.Now().Add(look.Wait)
	for {
		listing, receipt := f.list(target, look)
		if receipt.Answer != jobs.Accepted || len(listing.Ended) > 0 || !time.Now().Before(end) {
			return listing, receipt
		}
		select {
		case <-ctx.Done():
			return jobs.Listing{}, endpoint.Receipt{Answer: jobs.Unanswered, Reason: ctx.Err().Error()}
		case <-time.After(lookEvery):
		}
	}
}

func (f *Fleet) list(target endpoint.Target, look endpoint.Poll) (jobs.Listing, endpoint.Receipt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, receipt := f.enter(target.ID, look.Epoch)
	if w == nil {
		return jobs.Listing{}, receipt
	}
	w.until = max(w.until, look.Until)
	w.ended = slices.DeleteFunc(w.ended, func(e jobs.ListedEnd) bool { return e.Number <= look.Seen })
	listing := jobs.Listing{Endpoint: target.ID, Born: w.born.UnixMilli(), Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for task, r := range w.runs {
		listing.Running = append(listing.Running, jobs.ListedRun{Task: task, Run: r.number, Percent: 100})
	}
	return listing, receipt
}
