package caller

import (
	"maps"
	"sync"
	"time"
)

// usage adds up the slot time that the teams used here.
type usage struct {
	mu  sync.Mutex
	own map[string]time.Duration
}

func (u *usage) add(team string, used time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own[team] += used
}

func (u *usage) snapshot() map[string]time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.own)
}
