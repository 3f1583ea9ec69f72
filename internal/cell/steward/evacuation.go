package steward

import (
	"slices"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// isEvacuated reports whether the data centre of a machine is evacuated.
func (s *Steward) isEvacuated(m cloud.Machine) bool {
	return s.config.Evacuated != nil && m.Centre != "" && slices.Contains(s.config.Evacuated(), m.Centre)
}

// isWithdrawn reports whether an operation is given up because the data centre of its
// machine was evacuated after it was planned: a move into a pool that is not the standby
// pool, unless its order was carried out or its answer is awaited.
func (s *Steward) isWithdrawn(op *operation, m cloud.Machine) bool {
	if op.targetPool == "" || op.phase == phaseOrdered || op.phase == phaseReturning || !s.isEvacuated(m) {
		return false
	}
	for _, p := range s.config.Pools() {
		if p.Name == op.targetPool {
			return !p.IsStandby
		}
	}
	return true
}
