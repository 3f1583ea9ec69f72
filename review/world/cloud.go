package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Durations of the deployment, as in the settings of the site rotavert.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a machine of the platform.
type machine struct {
	id, pool, zone, state string
	labels                []string
	minion                *minion
	lives                 int
	fence                 int64
}

// order is a call of the system that concerns a machine.
type order struct {
	kind, machine, pool, holder string
	wave                        int
	token                       int64
}

func (o order) String() string {
	if o.kind == "move" {
		return fmt.Sprintf("move of %s to %s by %s, token %d", o.machine, o.pool, o.holder, o.token)
	}
	return fmt.Sprintf("upkeep of %s for wave %d by %s, token %d", o.machine, o.wave, o.holder, o.token)
}

// cloud is a stand-in for the platform's service for machines.
type cloud struct {
	w *world

	mu       sync.Mutex
	machines []*machine
	standby  map[string]bool
	waves    map[int][]string
	caps     map[int]int
	// maintained holds the machines that have begun their upkeep, by wave.
	maintained map[int][]string
	// late returns how long a call waits without an answer until it is carried out, zero for a
	// call that is carried out and answered at once. One with a delay of a minute or more is
	// carried out by the case. It is called with mu held.
	late func(o order) time.Duration
	// onUpkeep is called when an upkeep begins, with mu held. down is how many machines of the
	// wave were down for theirs.
	onUpkeep func(o order, down int)
}

func newCloud(w *world) *cloud {
	return &cloud{
		w: w, standby: make(map[string]bool), waves: make(map[int][]string), caps: make(map[int]int),
		maintained: make(map[int][]string),
	}
}

// add adds a machine that is up.
func (c *cloud) add(id, pool, zone string, labels ...string) *machine {
	m := &machine{id: id, pool: pool, zone: zone, state: "up", labels: labels}
	c.machines = append(c.machines, m)
	c.startMinion(m)
	return m
}

// startMinion starts a new minion on a machine, unless its pool is on standby. The caller holds mu,
// or is alone.
func (c *cloud) startMinion(m *machine) {
	m.minion = nil
	if c.standby[m.pool] {
		return
	}
	m.lives++
	m.minion = &minion{
		w: c.w, id: fmt.Sprintf("i-%s-%d", m.id, m.lives), service: m.pool, machine: m.id, zone: m.zone, labels: m.labels,
	}
	m.minion.up()
	c.w.addMinion(m.minion)
}

// wave has the operator ask for a wave.
func (c *cloud) wave(number int, seconds float64, most int, machines ...string) {
	c.mu.Lock()
	c.waves[number], c.caps[number] = machines, most
	c.mu.Unlock()
	c.w.rec("operator: op/wave/%d asks for the upkeep of %v within %v s, %d at once", number, machines, seconds, most)
	c.w.store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "withinS": seconds, "cap": most,
	})
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if r.Method == http.MethodGet && r.URL.Path == "/api/machines" {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := []map[string]any{}
		for _, m := range c.machines {
			row := map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": capacity, "id": "",
			}
			if m.minion != nil {
				row["id"] = m.minion.id
			}
			list = append(list, row)
		}
		reply(w, 200, map[string]any{"machines": list, "nextToken": nil})
		return
	}
	o := order{holder: r.Header.Get("X-Chicorypin-Lease-Holder")}
	o.token, _ = strconv.ParseInt(r.Header.Get("X-Chicorypin-Fencing-Token"), 10, 64)
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, 400, nil)
		return
	}
	o.machine, o.pool, o.wave = body.Machine, body.Pool, body.Wave
	switch r.URL.Path {
	case "/api/machine-move":
		o.kind = "move"
	case "/api/machine-upkeep":
		o.kind = "upkeep"
	default:
		reply(w, 404, nil)
		return
	}
	c.mu.Lock()
	delay := time.Duration(0)
	if c.late != nil {
		delay = c.late(o)
	}
	if delay == 0 {
		status, reason := c.carryOut(o)
		c.w.rec("cloud: %s: answered %d %s", o, status, reason)
		c.mu.Unlock()
		reply(w, status, map[string]any{"reason": reason})
		return
	}
	c.w.rec("cloud: %s: gets no answer", o)
	c.mu.Unlock()
	if delay < time.Minute {
		time.AfterFunc(delay, func() { c.carryOutLate(o) })
	}
	// No answer: the connection stays open until the caller closes it.
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
	panic(http.ErrAbortHandler)
}

func (c *cloud) carryOutLate(o order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, reason := c.carryOut(o)
	c.w.rec("cloud: %s: carried out late, result %d %s", o, status, reason)
}

// carryOut carries an order out. The caller holds mu.
func (c *cloud) carryOut(o order) (status int, reason string) {
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == o.machine })
	if i < 0 {
		return 400, ""
	}
	m := c.machines[i]
	if o.token < m.fence {
		return 409, "fence"
	}
	m.fence = o.token
	if o.kind == "move" {
		switch {
		case m.pool == o.pool:
			return 200, ""
		case m.state != "up":
			return 409, "busy"
		}
		c.leave(m, "moving", moveTime, o.pool)
		return 200, ""
	}
	switch {
	case !slices.Contains(c.waves[o.wave], m.id):
		return 409, "wave"
	case slices.Contains(c.maintained[o.wave], m.id):
		return 200, ""
	case m.state != "up":
		return 409, "busy"
	}
	down := 0
	for _, other := range c.machines {
		if other.state == "upkeep" && slices.Contains(c.waves[o.wave], other.id) {
			down++
		}
	}
	c.maintained[o.wave] = append(c.maintained[o.wave], m.id)
	c.w.rec("cloud: the upkeep of %s for wave %d begins, %d other machines of the wave are down for theirs, cap %d", m.id, o.wave, down, c.caps[o.wave])
	if c.onUpkeep != nil {
		c.onUpkeep(o, down)
	}
	c.leave(m, "upkeep", upkeepTime, m.pool)
	return 200, ""
}

// leave ends the minion of a machine and starts a new one after a time. The caller holds mu.
func (c *cloud) leave(m *machine, state string, duration time.Duration, pool string) {
	m.state = state
	if old := m.minion; old != nil {
		m.minion = nil
		old.down(state)
		c.w.store.Remove("servers/" + old.id)
	}
	time.AfterFunc(duration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state, m.pool = "up", pool
		c.startMinion(m)
		c.w.rec("cloud: machine %s is up again in pool %s", m.id, m.pool)
	})
}
