package pools

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// labelRetention is how long a pool keeps machines for a label after the last tasks
// that required it. A move takes some two seconds each way, so machines given away in
// every short gap between such tasks would be on their way most of the time.
const labelRetention = 8 * time.Second

// LabelHistory remembers the recent demand for labels. It answers a load in which few
// tasks of a queue require a label, in bursts with gaps of seconds between them.
type LabelHistory struct {
	// peaks holds the recent peak of each label's demand by pool and label.
	peaks map[string]map[string]labelPeak
}

// labelPeak is a demand in thousandths of a core and the time when it was last reached.
type labelPeak struct {
	cpu int64
	at  time.Time
}

// NewLabelHistory returns an empty history.
func NewLabelHistory() *LabelHistory {
	return &LabelHistory{peaks: make(map[string]map[string]labelPeak)}
}

// Update records the demand of a pool by label, in thousandths of a core, and returns
// the demand to plan with: for each label the largest one within labelRetention.
func (h *LabelHistory) Update(now time.Time, pool string, demand map[string]int64) map[string]int64 {
	peaks := h.peaks[pool]
	if peaks == nil {
		peaks = make(map[string]labelPeak)
		h.peaks[pool] = peaks
	}
	for label, cpu := range demand {
		if peak, isKnown := peaks[label]; !isKnown || cpu >= peak.cpu {
			peaks[label] = labelPeak{cpu, now}
		}
	}
	retained := make(map[string]int64, len(peaks))
	for label, peak := range peaks {
		if now.Sub(peak.at) > labelRetention {
			peak = labelPeak{demand[label], now}
			peaks[label] = peak
			if peak.cpu == 0 {
				delete(peaks, label)
				continue
			}
		}
		retained[label] = peak.cpu
	}
	return retained
}

// labelSize is the number of machines with a label that a pool has and needs.
type labelSize struct {
	have, need int
}

// measureLabels fills in the label sizes of the pools. A demand that needs at least
// some processor time needs at least one machine. Needs are not scaled down when all
// pools together need more machines with a label than exist.
func measureLabels(v View, sizes map[string]*poolSize, cpuPerMachine int64) {
	for _, s := range sizes {
		s.labels = make(map[string]*labelSize, len(s.LabelCPU))
		for label, cpu := range s.LabelCPU {
			need := 1
			if cpuPerMachine > 0 {
				need = max(need, int(math.Ceil(headroomFactor*float64(cpu)/float64(cpuPerMachine))))
			}
			s.labels[label] = &labelSize{need: need}
		}
	}
	for _, m := range v.Machines {
		if s := sizes[m.Pool]; s != nil && !m.IsEvacuated && !m.IsLost && (m.State == cloud.Up && !m.IsLeaving || m.State == cloud.Moving) {
			s.addLabels(m, 1)
		}
	}
}

// addLabels adds count machines with the labels of m to the label sizes.
func (s *poolSize) addLabels(m Machine, count int) {
	for _, label := range m.Labels {
		if size := s.labels[label]; size != nil {
			size.have += count
		}
	}
}

// canSpareLabels reports whether the pool has more machines than it needs of each
// label of m that its tasks require.
func (s *poolSize) canSpareLabels(m Machine) bool {
	return !slices.ContainsFunc(m.Labels, func(label string) bool {
		size := s.labels[label]
		return size != nil && size.have <= size.need
	})
}

// labelShortage is a label of which a pool has too few machines.
type labelShortage struct {
	pool  *poolSize
	label string
	size  *labelSize
}

// labelShortages returns the shortages of all pools, those that lack the largest part
// of their need first.
func labelShortages(sizes map[string]*poolSize) (list []labelShortage) {
	for _, s := range sizes {
		if s.IsStandby {
			continue
		}
		for label, size := range s.labels {
			if size.have < size.need {
				list = append(list, labelShortage{s, label, size})
			}
		}
	}
	slices.SortFunc(list, func(a, b labelShortage) int {
		return cmp.Or(cmp.Compare(float64(a.size.have)/float64(a.size.need), float64(b.size.have)/float64(b.size.need)),
			cmp.Compare(a.pool.Name, b.pool.Name), cmp.Compare(a.label, b.label))
	})
	return list
}

// planLabelMoves plans moves of machines with a label to pools whose tasks require the
// label and that have too few of them, whatever their total number of machines: first
// machines of movable, which are off or idle, and then busy ones of pools that do not
// need them for the label. It takes them out of the lists.
func planLabelMoves(v View, sizes map[string]*poolSize, movable, busy *machineList) (moves []Move) {
	leaving := leavingMachines(v)
	for _, shortage := range labelShortages(sizes) {
		isMovable := func(m Machine) bool {
			source := sizes[m.Pool]
			isFree := source.IsStandby || m.isIdle() && source.canSpareLabels(m)
			return isFree && source != shortage.pool && slices.Contains(m.Labels, shortage.label)
		}
		canLeave := func(m Machine) bool {
			source := sizes[m.Pool]
			isSpare := source != shortage.pool && !source.IsStandby && source.canSpareLabels(m) && leaving[m.Pool]*leavingDivisor < source.have
			return isSpare && slices.Contains(m.Labels, shortage.label)
		}
		for shortage.size.have < shortage.size.need {
			m, isFound := movable.takeFirst(isMovable)
			if !isFound {
				if m, isFound = busy.takeFirst(canLeave); !isFound {
					break
				}
				leaving[m.Pool]++
			}
			moves = append(moves, Move{Machine: m, Pool: shortage.pool.Name})
			sizes[m.Pool].transfer(m, shortage.pool)
		}
	}
	return moves
}
