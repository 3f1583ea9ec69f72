package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// moveTime is migrateS of the site sheets.
const moveTime = 1500 * time.Millisecond

// cloud is a stand-in for the platform's service for machines: PROTOCOL.md, "Machines". There are no waves.
type cloud struct {
	fleet    *fleet
	mu       sync.Mutex
	machines map[string]*machine
	// count numbers the minions that come after moves.
	count int
}

type machine struct {
	id, pool, state string
	fence           int64
	// minion is nil while the machine moves.
	minion *minion
}

func newCloud(f *fleet) *cloud { return &cloud{fleet: f, machines: make(map[string]*machine)} }

func (c *cloud) add(n *minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[n.machine] = &machine{id: n.machine, pool: n.pool, state: "up", minion: n}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/machines":
		c.list(w)
	case "/api/machine-move":
		c.move(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": "zone-a", "labels": []string{},
			"capacity": map[string]int{"cpu": cpu, "memMb": memMb}, "id": "",
		}
		if m.minion != nil {
			row["id"], row["labels"], row["zone"] = m.minion.id, m.minion.labels, m.minion.zone
		}
		list = append(list, row)
	}
	sort.Slice(list, func(a, b int) bool { return list[a]["machine"].(string) < list[b]["machine"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseInt(r.Header.Get("X-Chicorypin-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[body.Machine]
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case token < m.fence:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	}
	m.fence = token
	if m.pool != body.Pool {
		if m.minion == nil {
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
			return
		}
		c.begin(m, body.Pool)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// begin moves a machine. The caller holds c.mu.
func (c *cloud) begin(m *machine, pool string) {
	old := m.minion
	m.minion, m.state, m.pool = nil, "moving", pool
	c.fleet.world.record.row("machine moves", "machine", m.id, "pool", pool)
	c.count++
	next := *old
	next.id, next.pool, next.address = m.id+"-"+strconv.Itoa(c.count), pool, "127.0.0.1:0"
	go func() {
		old.crash()
		c.fleet.world.store.set("servers/"+old.id, nil)
		time.Sleep(moveTime)
		started := c.fleet.start(next)
		c.mu.Lock()
		defer c.mu.Unlock()
		m.minion, m.state = started, "up"
	}()
}
