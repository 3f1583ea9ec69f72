package caller

import (
	"maps"
	"sync"
	"time"
)

// usage sums the slot time that each team has used through this entry. It is safe
// for concurrent use.
type usage struct {
	mu       sync.Mutex
	slotTime map[string]time.Duration
}

func (u *usage) add(team string, used time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slotTime[team] += used
}

func (u *usage) snapshot() map[string]time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.slotTime)
}
