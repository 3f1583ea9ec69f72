package steward

import (
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
)

// arrivalLimit is how long a machine may be up before the owner of its pool knows its
// endpoint. Discovery takes 0.3 s, more while the store is disturbed.
const arrivalLimit = 4 * time.Second

// isLost reports whether a machine has vanished, although the cloud may list it as up for
// seconds: the owner of its pool answers and no longer knows its endpoint. The caller holds
// s.mu.
func (s *Steward) isLost(now time.Time, m pools.Machine, list []pools.Pool) bool {
	isExpected := m.State == cloud.Up && !m.IsEngaged && slices.ContainsFunc(list, func(p pools.Pool) bool {
		return p.Name == m.Pool && p.IsSurveyed && !p.IsStandby
	})
	if !isExpected || m.IsSurveyed {
		delete(s.unservedSince, m.ID)
		if m.IsSurveyed {
			s.served[m.ID] = m.Endpoint
		}
		return false
	}
	if s.unservedSince[m.ID].IsZero() {
		s.unservedSince[m.ID] = now
	}
	// A new owner may not have read the list of endpoints yet.
	isArriving := s.served[m.ID] != m.Endpoint || !s.hasEndpoints[m.Pool]
	return !isArriving || now.Sub(s.unservedSince[m.ID]) >= arrivalLimit
}
