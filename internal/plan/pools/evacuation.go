package pools

import "gitlab.com/chicorypin/chicorypin/internal/back/cloud"

// switchOffEvacuated plans to switch off the idle machines in evacuated data centres of
// those pools that have other machines. The pools do not count them, so they need not keep
// any for their demand.
func switchOffEvacuated(v View, sizes map[string]*poolSize, standby string) (moves []Move) {
	for _, m := range v.Machines {
		s := sizes[m.Pool]
		if !m.IsEvacuated || s == nil || s.IsStandby || s.have == 0 {
			continue
		}
		if m.State == cloud.Up && !m.IsEngaged && m.isIdle() && m.Idle >= switchOffDelay {
			moves = append(moves, Move{Machine: m, Pool: standby})
		}
	}
	return moves
}
