package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	maintenance = 2 * time.Second
	// lateness is how late the one unanswered order is carried out; applied_late has 2 to 12 s.
	lateness = 3500 * time.Millisecond
	waveCap  = 1
)

// cloud is a stand-in for the platform's service for machines.
type cloud struct {
	w      *world
	mu     sync.Mutex
	state  map[string]string
	token  map[string]int64
	done   map[string]bool
	isLate bool
	// orders counts the orders for upkeep, holder is who gave the first one.
	orders int
	holder chan string
	down   int
	broken string
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/machines":
		c.list(rw)
	case "/api/machine-upkeep":
		c.upkeep(rw, r)
	default:
		reply(rw, 400, empty{})
	}
}

func (c *cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range c.w.minions {
		if m.isGone {
			continue
		}
		rows = append(rows, map[string]any{
			"machine": m.machine, "pool": m.service, "state": c.state[m.machine], "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpus": 0}, "id": m.id,
		})
	}
	reply(rw, 200, map[string]any{"machines": rows, "nextToken": nil})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseInt(r.Header.Get("X-Chicorypin-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Chicorypin-Lease-Holder")
	c.mu.Lock()
	c.orders++
	isFirst := c.orders == 1
	c.mu.Unlock()
	if isFirst {
		c.holder <- holder
	}
	if isFirst && c.isLate {
		c.w.log.add("cloud: upkeep of %s by %s, token %d, gets no answer and is carried out %s later", body.Machine, holder, token, lateness)
		time.Sleep(lateness)
		status, reason := c.begin(body.Machine, holder, token)
		c.w.log.add("cloud: the late upkeep of %s is carried out: %d %s", body.Machine, status, reason)
		panic(http.ErrAbortHandler)
	}
	status, reason := c.begin(body.Machine, holder, token)
	c.w.log.add("cloud: upkeep of %s by %s, token %d -> %d %s", body.Machine, holder, token, status, reason)
	if reason != "" {
		reply(rw, status, map[string]string{"reason": reason})
		return
	}
	reply(rw, status, empty{})
}

// begin begins the upkeep of a machine.
func (c *cloud) begin(machine, holder string, token int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case token < c.token[machine]:
		return 409, "fence"
	case c.done[machine]:
		c.token[machine] = token
		return 200, ""
	case c.state[machine] != "up":
		return 409, "busy"
	}
	c.token[machine], c.done[machine], c.state[machine] = token, true, "upkeep"
	c.down++
	if c.down > waveCap {
		c.broken = fmt.Sprintf("the upkeep of %s, ordered by %s, begins while %d machine of the wave is down for its own, and the cap is %d", machine, holder, c.down-1, waveCap)
		c.w.log.add("LIMIT: %s", c.broken)
	}
	go c.maintain(machine)
	return 200, ""
}

// maintain takes a machine down and brings it back with a new minion.
func (c *cloud) maintain(machine string) {
	c.w.mu.Lock()
	var old *minion
	for _, m := range c.w.minions {
		if m.machine == machine && !m.isGone {
			old = m
		}
	}
	c.w.mu.Unlock()
	old.crash()
	c.w.store.drop("servers/" + old.id)
	time.Sleep(maintenance)
	next := &minion{w: c.w, id: old.id + "n", machine: machine, service: old.service, zone: old.zone, cpu: old.cpu, memMb: old.memMb, labels: old.labels}
	c.w.mu.Lock()
	old.isGone = true
	c.w.minions = append(c.w.minions, next)
	c.w.mu.Unlock()
	next.start()
	c.mu.Lock()
	c.state[machine] = "up"
	c.down--
	c.mu.Unlock()
	c.w.log.add("cloud: %s is back as %s", machine, next.id)
}

// wave asks for the upkeep of some machines; the answer to an order is lost and the steward
// stopped.
func wave(w *world) {
	c := &cloud{w: w, state: map[string]string{}, token: map[string]int64{}, done: map[string]bool{}, isLate: w.trouble, holder: make(chan string, 1)}
	w.cloudAddr = w.serve(c)
	r := newRoute("queue", "pool-a")
	w.addMinions("pool-a", 7, cores16, mem64, plainLabels)
	for _, m := range w.minions {
		c.state[m.machine] = "up"
	}
	w.configure([]*route{r}, "pool-a")
	w.startDaemons(3)
	w.store.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-pool-a-01", "m-pool-a-02", "m-pool-a-03"}, "withinS": 26, "cap": waveCap})
	w.log.add("operator: wave 1 of 3 machines, cap %d", waveCap)
	select {
	case holder := <-c.holder:
		time.Sleep(200 * time.Millisecond)
		for _, d := range w.daemons {
			if w.trouble && d.name == holder {
				w.log.add("SIGTERM to %s", d.name)
				_ = d.cmd.Process.Signal(syscall.SIGTERM)
				go func() {
					<-d.done
					time.Sleep(restartDelay)
					w.launch(d)
				}()
			}
		}
	case <-time.After(15 * time.Second):
		w.cannotRun("no upkeep is ordered")
	}
	time.Sleep(25 * time.Second)
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken != "" {
		broken = "LIMIT: " + broken
	}
	w.verdict(broken)
}
