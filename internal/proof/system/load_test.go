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

// result is what a caller learned of one request.
type result struct {
	id      string
	method  string
	status  int
	outcome string
	body    string
	// isCut tells that the connection broke or no whole answer came.
	isCut bool
}

// load sends requests as a balancer would: only to entries that are ready, and
// to another one where the connection is refused.
type load struct {
	system *system
	key    string
	target string
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	next   atomic.Int64
	client *http.Client
	name   string

	mu      sync.Mutex
	results []result
	targets []*node
}

// startLoad keeps so many requests under way.
func (c *system) startLoad(name, key, target string, count int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{system: c, key: key, target: target, ctx: ctx, cancel: cancel, name: name}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}, Timeout: patience}
	l.probe()
	l.wait.Add(1)
	go l.probeAll()
	for range count {
		l.wait.Add(1)
		go l.sendAll()
	}
	return l
}

// stop ends the load and returns all results.
func (l *load) stop() []result {
	l.cancel()
	l.wait.Wait()
	l.client.CloseIdleConnections()
	return l.results
}

func (l *load) probeAll() {
	defer l.wait.Done()
	for l.ctx.Err() == nil {
		l.probe()
		time.Sleep(poll)
	}
}

func (l *load) probe() {
	var ready []*node
	client := &http.Client{Timeout: time.Second}
	for _, n := range l.system.nodes {
		response, err := client.Get(fmt.Sprintf("http://%s/readyz", n.settings.Operator))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, n)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = ready
}

func (l *load) pick(number int64) *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.targets) == 0 {
		return nil
	}
	return l.targets[number%int64(len(l.targets))]
}

func (l *load) sendAll() {
	defer l.wait.Done()
	for l.ctx.Err() == nil {
		number := l.next.Add(1)
		n := l.pick(number)
		if n == nil {
			time.Sleep(poll)
			continue
		}
		method := http.MethodGet
		if number%2 == 0 {
			method = http.MethodPost
		}
		r, wasSent := l.send(n, method, fmt.Sprintf("%s-%d", l.name, number))
		if !wasSent {
			continue
		}
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	}
}

// send sends one request. A refused connection counts as not sent.
func (l *load) send(n *node, method, id string) (r result, wasSent bool) {
	r = result{id: id, method: method}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("rota of " + id)
	}
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s%s", n.settings.Caller, l.target), body)
	if l.key != "" {
		request.Header.Set("Authorization", "Bearer "+l.key)
	}
	request.Header.Set("Request-Id", id)
	response, err := l.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return r, false
	}
	if err != nil {
		r.isCut = true
		r.body = err.Error()
		return r, true
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.outcome, r.body, r.isCut = response.StatusCode, response.Header.Get("Outcome"), string(data), err != nil
	return r, true
}

// audit holds the results against what the minions ran and returns every
// contradiction.
func (c *system) audit(results []result) (faults []string) {
	runs := c.counts()
	for _, r := range results {
		if fault := auditOne(r, runs[r.id]); fault != "" {
			faults = append(faults, fmt.Sprintf("%s %s: %s; status %d, outcome %q, ran %d times", r.method, r.id, fault, r.status, r.outcome, runs[r.id]))
		}
	}
	return faults
}

func auditOne(r result, runs int) string {
	switch {
	case r.method == http.MethodPost && runs > 1:
		return "a non-idempotent request ran more than once"
	case r.outcome == "not-run" && runs > 0:
		return "a request that was called not run did run"
	case r.status == http.StatusOK && runs == 0:
		return "an answered request never ran"
	case r.status == http.StatusOK && !r.isCut && !strings.Contains(r.body, " for "+r.id+"\n"):
		return "the answer is not that of the request"
	case r.status == 0 && !r.isCut:
		return "a request has no result"
	}
	return ""
}

// tally counts the results by what the caller saw.
func tallyResults(results []result) map[string]int {
	counts := make(map[string]int)
	for _, r := range results {
		switch {
		case r.isCut:
			counts["cut"]++
		case r.outcome != "":
			counts[r.outcome]++
		default:
			counts[fmt.Sprint(r.status)]++
		}
	}
	return counts
}
