package main

import (
	"net/http"
	"sort"
	"sync"
)

// cloud is a stand-in for the platform's service for machines: PROTOCOL.md, "Machines". The deployments of these
// cases have one service without a standby, and no waves, so no machine is ordered.
type cloud struct {
	mu       sync.Mutex
	machines map[string]*minion
}

func newCloud() *cloud { return &cloud{machines: make(map[string]*minion)} }

func (c *cloud) add(n *minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[n.machine] = n
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, n := range c.machines {
		list = append(list, map[string]any{
			"machine": n.machine, "pool": n.pool, "state": "up", "zone": n.zone, "labels": n.labels,
			"capacity": map[string]int{"cpu": n.cpu, "memMb": memMb}, "id": n.id,
		})
	}
	sort.Slice(list, func(a, b int) bool { return list[a]["machine"].(string) < list[b]["machine"].(string) })
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}
