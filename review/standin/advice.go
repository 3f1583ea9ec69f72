package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// advice is a stand-in for the service that decides which minions may run a step.
type advice struct {
	w                *world
	decision, period time.Duration
	valid            time.Duration
	turn             chan struct{}
	mu               sync.Mutex
	waiting          int
	calls            int
	gone             int
}

func (a *advice) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	arrived := time.Now()
	a.mu.Lock()
	if a.waiting >= 32 {
		a.mu.Unlock()
		reply(rw, 429, empty{})
		return
	}
	a.waiting++
	a.mu.Unlock()
	select {
	case a.turn <- struct{}{}:
	case <-r.Context().Done():
		a.mu.Lock()
		a.waiting--
		a.gone++
		a.mu.Unlock()
		return
	}
	a.mu.Lock()
	a.waiting--
	a.calls++
	a.mu.Unlock()
	time.Sleep(a.decision + time.Duration(len(body.Workers))*a.period)
	<-a.turn
	rows := [][2]string{}
	for _, id := range body.Workers {
		rows = append(rows, [2]string{id, "t-" + id})
	}
	a.w.log.add("advice: step %s, %d workers, answered after %d ms", body.Step, len(body.Workers), time.Since(arrived).Milliseconds())
	reply(rw, 200, map[string]any{"allowed": rows, "validMs": a.valid.Milliseconds()})
}

// Times of the advice service, in a pool of 30 minions, which is what a call names at most:
// 0.1 s and 10 ms for each minion, so 0.4 s a call.
const (
	adviceMinions  = 30
	adviceDecision = 100 * time.Millisecond
	advicePeriod   = 10 * time.Millisecond
	adviceValid    = 2 * time.Second
)

// The traffic: usualRate jobs a second, and burstFactor times as many for burstTime; x = 2.6
// and for_s = 4 are those of burst in the troubles of the site rotavert. The advice service
// can answer 2.5 calls a second.
const (
	usualRate   = 1.5
	usualTime   = 8 * time.Second
	burstFactor = 2.6
	burstTime   = 4 * time.Second
)

// advised plays a burst of jobs of a queue that needs advice.
func advised(w *world) {
	a := &advice{w: w, decision: adviceDecision, period: advicePeriod, valid: adviceValid, turn: make(chan struct{}, 1)}
	if n, err := strconv.Atoi(os.Getenv("VALID")); err == nil {
		a.valid = time.Duration(n) * time.Millisecond
	}
	w.adviceAddr = w.serve(a)
	r := newRoute("advised", "pool-a")
	r.Advice = &routeAdvice{a.decision.Milliseconds(), a.period.Milliseconds(), a.valid.Milliseconds()}
	w.addMinions("pool-a", adviceMinions, cores16, mem64, plainLabels)
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	var jobs []*job
	var mu sync.Mutex
	var wait sync.WaitGroup
	play := func(rate float64, length time.Duration) {
		gap := time.Duration(float64(time.Second) / rate)
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				j := simple(r, 4, time.Second)
				if w.submit(j, 5) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
			}()
		}
	}
	play(usualRate, usualTime)
	if w.trouble {
		w.log.add("burst: %.1f times the traffic for %s", burstFactor, burstTime)
		play(burstFactor*usualRate, burstTime)
	} else {
		play(usualRate, burstTime)
	}
	play(usualRate, usualTime)
	wait.Wait()
	w.log.add("end of the traffic; 40 s pass")
	time.Sleep(40 * time.Second)
	stuck, queued := 0, 0
	for _, j := range jobs {
		_, answer := w.state(j)
		if !strings.Contains(answer, "completed") {
			stuck++
		}
		if strings.Contains(answer, "queued") {
			queued++
		}
	}
	a.mu.Lock()
	w.log.add("%d jobs accepted, %d not completed, %d of them never started; %d calls for advice, %d more were given up by the caller", len(jobs), stuck, queued, a.calls, a.gone)
	a.mu.Unlock()
	if stuck > 0 {
		w.verdict(fmt.Sprintf("LOST: %d of %d accepted jobs are not completed 40 s after the end of the traffic, %d were never started, though the pool is empty", stuck, len(jobs), queued))
	}
	w.verdict("")
}
