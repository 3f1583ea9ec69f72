package entry

import "time"

// reportMetrics updates the gauges.
func (e *Entry) reportMetrics(now time.Time) {
	scope := e.config.Scope
	e.mu.Lock()
	gauges := map[string]float64{
		"config_revision": float64(e.state.config.Revision),
		"fleet_revision":  float64(e.state.fleet.Revision),
		"table_revision":  float64(e.state.table.Revision()),
		"age_seconds":     now.Sub(e.state.freshAt).Seconds(),
		"entries":         float64(len(e.state.aliveMembers(now))),
		"missing":         float64(len(e.entriesBehind(e.state.config.Revision))),
		"held_drains":     float64(len(e.state.blockedDrains)),
	}
	e.mu.Unlock()
	counts := e.mesh.Counts()
	gauges["open_requests"] = float64(e.listener.OpenRequests())
	gauges["platform_calls"] = float64(e.platform.Calls())
	gauges["peer_bytes"] = float64(counts.Bytes)
	gauges["peer_dropped"] = float64(counts.Dropped)
	gauges["isolated"] = gaugeOf(e.isIsolated.Load())
	gauges["ready"] = gaugeOf(e.IsReady())
	for name, value := range gauges {
		scope.Gauge(name).Update(value)
	}
	for pool, waiting := range e.dispatcher.Waiting() {
		scope.Tagged(map[string]string{"pool": pool}).Gauge("waiting").Update(float64(waiting))
	}
	for _, t := range e.index.Load().Document.Teams {
		account := e.teams.Account(t.Name)
		tagged := scope.Tagged(map[string]string{"team": t.Name})
		tagged.Gauge("units_used").Update(float64(account.Used()))
		tagged.Gauge("units_held").Update(float64(account.Held()))
	}
}

func gaugeOf(isSet bool) float64 {
	if isSet {
		return 1
	}
	return 0
}
