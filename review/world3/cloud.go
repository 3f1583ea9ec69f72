package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is maintenanceS, moveTime migrateS of the site sheets.
const (
	upkeepTime = 2 * time.Second
	moveTime   = 1500 * time.Millisecond
)

// cloud is a stand-in for the platform's service for machines: PROTOCOL.md, "Machines".
type cloud struct {
	world *world
	mu    sync.Mutex
	// machines by ID; waves by number.
	machines map[string]*machine
	waves    map[int]*wave
	count    int
	// late decides how long after its arrival an order is carried out without an answer, 0 for at once and
	// answered.
	late func(holder, id string, number int) time.Duration
	// onUpkeep is called when the upkeep of a machine begins while down others of its wave are down.
	onUpkeep func(id string, down int)
}

type machine struct {
	id, pool, state string
	fence           int64
	minion          *minion
	maintained      map[int]bool
}

type wave struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	WithinS  float64  `json:"withinS"`
	Cap      int      `json:"cap"`
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, machines: make(map[string]*machine), waves: make(map[int]*wave)}
}

func (c *cloud) add(id string, n *minion) {
	c.machines[id] = &machine{id: id, pool: n.pool, state: "up", minion: n, maintained: make(map[int]bool)}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/machines":
		c.list(w)
	case "/api/machine-move", "/api/machine-upkeep":
		c.order(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	list := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": "zone-a", "labels": []string{},
			"capacity": map[string]int{"cpu": 16000, "memMb": 64000}, "id": "",
		}
		if m.minion != nil {
			row["id"], row["labels"], row["zone"] = m.minion.id, m.minion.labels, m.minion.zone
		}
		list = append(list, row)
	}
	c.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a]["machine"].(string) < list[b]["machine"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseInt(r.Header.Get("X-Chicorypin-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Chicorypin-Lease-Holder")
	c.mu.Lock()
	late := time.Duration(0)
	if c.late != nil {
		late = c.late(holder, body.Machine, body.Wave)
	}
	c.mu.Unlock()
	c.world.record.row("order", "machine", body.Machine, "wave", body.Wave, "pool", body.Pool, "holder", holder, "token", token, "late", late.Milliseconds())
	if late > 0 {
		time.AfterFunc(late, func() { c.apply(body.Machine, body.Pool, body.Wave, token, true) })
		// No answer: the caller gives up.
		<-r.Context().Done()
		return
	}
	status, reason := c.apply(body.Machine, body.Pool, body.Wave, token, false)
	if reason != "" {
		writeJSON(w, status, map[string]any{"reason": reason})
		return
	}
	writeJSON(w, status, struct{}{})
}

// apply carries an order out.
func (c *cloud) apply(id, pool string, number int, token int64, isLate bool) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	defer func() {
		c.world.record.row("order applied", "machine", id, "wave", number, "token", token, "late", isLate, "status", status, "reason", reason)
	}()
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = token
	duration := moveTime
	if number != 0 {
		wv := c.waves[number]
		switch {
		case wv == nil || !slices.Contains(wv.Machines, id):
			return http.StatusConflict, "wave"
		case m.maintained[number]:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		down := 0
		for _, other := range wv.Machines {
			if c.machines[other].state == "upkeep" {
				down++
			}
		}
		m.state, duration = "upkeep", upkeepTime
		m.maintained[number] = true
		c.world.record.row("upkeep begins", "machine", id, "wave", number, "down", down, "cap", wv.Cap, "token", token)
		if c.onUpkeep != nil {
			c.onUpkeep(id, down)
		}
	} else {
		switch {
		case m.pool == pool:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		m.state, m.pool = "moving", pool
	}
	old := m.minion
	m.minion = nil
	if old != nil {
		go old.leave()
	}
	time.AfterFunc(duration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		if old != nil {
			c.count++
			n := *old
			next := minion{id: n.id + "-" + strconv.Itoa(c.count), machine: id, pool: m.pool, zone: n.zone, labels: n.labels, cpu: n.cpu, address: "127.0.0.1:0"}
			m.minion = c.world.fleet.start(next)
		}
	})
	return http.StatusOK, ""
}
