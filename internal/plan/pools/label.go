package pools

import (
	"maps"
	"math"
	"slices"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// labelSize is how many machines with a label a pool has and needs.
type labelSize struct{ have, need int }

// give takes a machine out of the pool.
func (s *size) give(m Machine) { s.change(m, -1) }

// get adds a machine to the pool.
func (s *size) get(m Machine) { s.change(m, 1) }

func (s *size) change(m Machine, by int) {
	s.have += by
	for _, label := range m.Labels {
		if s.labels == nil {
			s.labels = make(map[string]*labelSize)
		}
		if s.labels[label] == nil {
			s.labels[label] = &labelSize{}
		}
		s.labels[label].have += by
	}
}

// needLabels works out how many machines with each label the pool should have: as
// many as the demand for them fills, with the headroom of all, and one to spare.
func (s *size) needLabels(cpu int64) {
	if cpu == 0 {
		return
	}
	for label, demand := range s.Labels {
		if s.labels == nil {
			s.labels = make(map[string]*labelSize)
		}
		if s.labels[label] == nil {
			s.labels[label] = &labelSize{}
		}
		s.labels[label].need = int(math.Ceil(headroom*float64(demand)/float64(cpu))) + 1
	}
}

// labelled returns the demand that only machines with a label can serve.
func (p *Pool) labelled() (demand int64) {
	for _, each := range p.Labels {
		demand += each
	}
	return demand
}

// labelNeed returns how many machines the pool needs for their labels, on top of
// those that any machine will do for.
func (s *size) labelNeed() (need int) {
	for _, l := range s.labels {
		need += l.need
	}
	return need
}

// sparesLabels tells whether the pool keeps enough machines of each label without
// one of them.
func (s *size) sparesLabels(m Machine) bool {
	return !slices.ContainsFunc(m.Labels, func(label string) bool {
		l := s.labels[label]
		return l != nil && l.need > 0 && l.have <= l.need
	})
}

// shareLabels cuts the needs for machines with a label down to what there is: each
// pool that needs any gets a part, and one at least.
func shareLabels(sizes map[string]*size) {
	have, asked := make(map[string]int), make(map[string]int)
	for _, s := range sizes {
		for label, l := range s.labels {
			have[label] += l.have
			asked[label] += l.need
		}
	}
	for _, s := range sizes {
		for label, l := range s.labels {
			if l.need > 0 && asked[label] > have[label] {
				l.need = max(1, l.need*have[label]/asked[label])
			}
		}
	}
}

// busyLabelled returns the machines that may leave a pool that has more of them than
// its part, as soon as their short-lived work has ended.
func busyLabelled(v View) []Machine {
	return slices.DeleteFunc(slices.Clone(v.Machines), func(m Machine) bool {
		return m.State != cloud.Up || m.IsEngaged || !m.IsSurveyed || m.Lasting > 0 || m.Runs == 0
	})
}

// isOverPart tells whether the pool has more machines with a label than its part, by
// so many that one goes to a pool that has some, or at all if that has none. Parts
// change with the demand, and a machine that goes to and fro serves nobody.
func (s *size) isOverPart(label string, isFirst bool) bool {
	l := s.labels[label]
	if l == nil || l.need == 0 {
		return false
	}
	return l.have > l.need+fairSlack || isFirst && l.have > l.need
}

// relabel answers steps that need a label which few or no machines of their pool
// have: machines that are off or idle elsewhere come, also beyond the size of the
// pool, and those that are idle there for lack of the label leave in their turn.
func relabel(v View, sizes map[string]*size, free []Machine) (moves []Move, left []Machine) {
	busy := busyLabelled(v)
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		s := sizes[name]
		if s.IsStandby {
			continue
		}
		for _, label := range slices.Sorted(maps.Keys(s.Labels)) {
			for l := s.labels[label]; l != nil && l.have < l.need; {
				at := slices.IndexFunc(free, func(m Machine) bool {
					isSettled := sizes[m.Pool].IsStandby || m.Idle >= idleBefore
					return m.Pool != name && isSettled && slices.Contains(m.Labels, label) && sizes[m.Pool].canGive(m)
				})
				from := &free
				if at < 0 {
					from = &busy
					at = slices.IndexFunc(busy, func(m Machine) bool {
						return m.Pool != name && slices.Contains(m.Labels, label) && sizes[m.Pool] != nil &&
							sizes[m.Pool].isOverPart(label, l.have == 0)
					})
				}
				if at < 0 {
					break
				}
				m := (*from)[at]
				*from = slices.Delete(*from, at, at+1)
				moves = append(moves, Move{Machine: m, Pool: name, Reason: "the pool lacks machines with a label"})
				sizes[m.Pool].give(m)
				s.get(m)
			}
		}
	}
	return moves, free
}
