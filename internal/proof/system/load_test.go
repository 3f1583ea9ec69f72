package system

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// result is the outcome of one request as its caller saw it.
type result struct {
	id      string
	method  string
	status  int
	outcome string
	body    string
	// cut is the error if the connection broke or the response was incomplete.
	cut error
}

// loadGenerator sends requests like a load balancer: only to ready entries, and to the
// next one if a connection is refused.
type loadGenerator struct {
	cluster    *cluster
	key        string
	requestURI string
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	lastNumber atomic.Int64
	client     *http.Client
	idPrefix   string

	mu           sync.Mutex
	results      []result
	readyEntries []*entryProcess
	// keepUntil is when readyEntries may be replaced again.
	keepUntil time.Time
}

// startLoad starts a load generator that keeps the given number of requests open. The
// IDs of its requests start with idPrefix.
func (c *cluster) startLoad(idPrefix, key, requestURI string, concurrency int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cluster: c, key: key, requestURI: requestURI, ctx: ctx, cancel: cancel, idPrefix: idPrefix}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}, Timeout: timeout}
	l.probe()
	l.group.Add(1)
	go l.probeLoop()
	for range concurrency {
		l.group.Add(1)
		go l.sendLoop()
	}
	return l
}

// stop ends the load and returns all results.
func (l *loadGenerator) stop() []result {
	l.cancel()
	l.group.Wait()
	l.client.CloseIdleConnections()
	return l.results
}

// probeLoop repeats probe until the load ends.
func (l *loadGenerator) probeLoop() {
	defer l.group.Done()
	for l.ctx.Err() == nil {
		l.probe()
		time.Sleep(pollInterval)
	}
}

// probe replaces the list of ready entries.
func (l *loadGenerator) probe() {
	var ready []*entryProcess
	client := &http.Client{Timeout: time.Second}
	for _, e := range l.cluster.entries {
		response, err := client.Get(fmt.Sprintf("http://%s/readyz", e.settings.Operator))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, e)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.keepUntil) {
		l.readyEntries = ready
	}
}

// keepEntries keeps the list of ready entries for the given time, like a load balancer
// that is late to notice a change.
func (l *loadGenerator) keepEntries(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keepUntil = time.Now().Add(duration)
}

// pickEntry returns the entry for a request in round-robin order, or nil if none is
// ready.
func (l *loadGenerator) pickEntry(number int64) *entryProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.readyEntries) == 0 {
		return nil
	}
	return l.readyEntries[number%int64(len(l.readyEntries))]
}

// sendLoop sends one request after another until the load ends, GET and POST in turn.
func (l *loadGenerator) sendLoop() {
	defer l.group.Done()
	for l.ctx.Err() == nil {
		number := l.lastNumber.Add(1)
		e := l.pickEntry(number)
		if e == nil {
			time.Sleep(pollInterval)
			continue
		}
		method := http.MethodGet
		if number%2 == 0 {
			method = http.MethodPost
		}
		r, wasSent := l.send(e, method, fmt.Sprintf("%s-%d", l.idPrefix, number))
		if !wasSent {
			continue
		}
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	}
}

// send sends one request and returns its result. wasSent is false if the connection
// was refused.
func (l *loadGenerator) send(e *entryProcess, method, id string) (r result, wasSent bool) {
	r = result{id: id, method: method}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("rota of " + id)
	}
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s%s", e.settings.Caller, l.requestURI), body)
	if l.key != "" {
		request.Header.Set("Authorization", "Bearer "+l.key)
	}
	request.Header.Set("Request-Id", id)
	response, err := l.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return r, false
	}
	if err != nil {
		r.cut = err
		return r, true
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.outcome, r.body, r.cut = response.StatusCode, response.Header.Get("Outcome"), string(data), err
	return r, true
}

// audit compares the results with the requests that the minions ran and describes
// every contradiction.
func (c *cluster) audit(results []result) (contradictions []string) {
	runs := c.counts()
	for _, r := range results {
		if contradiction := contradictionOf(r, runs[r.id]); contradiction != "" {
			contradictions = append(contradictions, fmt.Sprintf("%s %s: %s; status %d, outcome %q, ran %d times", r.method, r.id, contradiction, r.status, r.outcome, runs[r.id]))
		}
	}
	return contradictions
}

// contradictionOf describes the contradiction between a result and the number of runs
// of its request. It returns an empty string if there is none.
func contradictionOf(r result, runs int) string {
	switch {
	case r.method == http.MethodPost && runs > 1:
		return "a non-idempotent request ran more than once"
	case r.outcome == "not-run" && runs > 0:
		return "a request with the outcome not-run did run"
	case r.status == http.StatusOK && runs == 0:
		return "a request with status 200 never ran"
	case r.status == http.StatusOK && r.cut == nil && !strings.Contains(r.body, " for "+r.id+"\n"):
		return "the response belongs to another request"
	case r.status == 0 && r.cut == nil:
		return "a request has no result"
	}
	return ""
}

// cutRequests describes the requests whose connection broke.
func cutRequests(results []result) (cut []string) {
	for _, r := range results {
		if r.cut != nil {
			cut = append(cut, fmt.Sprintf("%s %s: %v", r.method, r.id, r.cut))
		}
	}
	return cut
}

// tallyResults counts the results: those of broken connections under "cut", others by
// outcome or else by status code.
func tallyResults(results []result) map[string]int {
	counts := make(map[string]int)
	for _, r := range results {
		switch {
		case r.cut != nil:
			counts["cut"]++
		case r.outcome != "":
			counts[r.outcome]++
		default:
			counts[fmt.Sprint(r.status)]++
		}
	}
	return counts
}
