package pools

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Wave is a maintenance wave.
type Wave struct {
	Number int
	// MaxDown is the number of machines that may be down for the wave at once, Down
	// the number of those that are.
	MaxDown, Down int
	// Elapsed is the time since the wave was requested, Duration the time within
	// which it is to be completed.
	Elapsed, Duration time.Duration
}

// Maintenance is a proposal to maintain a machine for the wave of the given number.
type Maintenance struct {
	Machine Machine
	Wave    int
}

// Pacing constants of waves.
const (
	// maintenanceTime is how long the maintenance of a machine takes, including the
	// time to free it from work.
	maintenanceTime = 4500 * time.Millisecond
	// finishFraction is the fraction of a wave's time within which the wave should be
	// completed; the rest is a reserve for failures.
	finishFraction = 0.6
	// rushFraction is the fraction of a wave's time after which busy machines of
	// busy pools are maintained as well.
	rushFraction = 0.45
	// busyThreshold is the ratio of demand to capacity above which a pool counts as
	// busy.
	busyThreshold = 0.6
)

// PlanMaintenance chooses the machines to maintain now, for waves that coincide with
// peaks of demand. Machines that are switched off or idle are maintained at once, up
// to the bound of the wave. Busy machines are maintained no faster than the time left
// for the wave requires, and those of busy pools only late in the wave.
func PlanMaintenance(v View) []Maintenance {
	var planned []Maintenance
	busy := busyPools(v)
	for _, w := range v.Waves {
		var due []Machine
		for _, m := range v.Machines {
			if m.Wave == w.Number && !m.IsEngaged && m.State == "up" {
				due = append(due, m)
			}
		}
		allowed := w.MaxDown - w.Down
		slices.SortFunc(due, func(a, b Machine) int {
			return cmp.Or(cmp.Compare(maintenanceRank(a, v), maintenanceRank(b, v)), cmp.Compare(a.LongRunningRuns, b.LongRunningRuns),
				cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
		})
		targetDown := w.targetDown(len(due) + w.Down)
		isLate := float64(w.Elapsed) > rushFraction*float64(w.Duration)
		for _, m := range due {
			if allowed <= 0 {
				break
			}
			isUnused := maintenanceRank(m, v) < rankBusy
			if !isUnused && (w.Down >= targetDown || busy[m.Pool] && !isLate) {
				continue
			}
			planned = append(planned, Maintenance{Machine: m, Wave: w.Number})
			w.Down++
			allowed--
		}
	}
	return planned
}

// targetDown returns how many machines should be down at once for the wave to be
// completed within finishFraction of its time, or MaxDown if too little of that time
// is left. remaining is the number of machines that are not yet maintained, including
// those that are down.
func (w *Wave) targetDown(remaining int) int {
	timeLeft := finishFraction*float64(w.Duration) - float64(w.Elapsed)
	if timeLeft <= float64(maintenanceTime) {
		return w.MaxDown
	}
	return min(w.MaxDown, int(math.Ceil(float64(remaining)*float64(maintenanceTime)/timeLeft)))
}

// Ranks of machines in the order in which they are maintained.
const (
	// rankEvacuated is for machines of evacuated data centres without runs, off or idle:
	// nothing is started on them.
	rankEvacuated = iota
	rankOff
	rankIdle
	rankBusy
)

func maintenanceRank(m Machine, v View) int {
	if m.IsEvacuated && (m.isIdle() || m.Endpoint == "") {
		return rankEvacuated
	}
	for _, p := range v.Pools {
		if p.Name == m.Pool && p.IsStandby {
			return rankOff
		}
	}
	if m.isIdle() {
		return rankIdle
	}
	return rankBusy
}

// busyPools returns the pools whose demand exceeds busyThreshold of the capacity of
// their machines that are up.
func busyPools(v View) map[string]bool {
	capacity := make(map[string]int64)
	for _, m := range v.Machines {
		if m.State == "up" && !m.IsEvacuated {
			capacity[m.Pool] += m.CPU
		}
	}
	busy := make(map[string]bool)
	for _, p := range v.Pools {
		demand := max(p.Present, p.Arriving) + p.LongRunningCPU
		busy[p.Name] = float64(demand) > busyThreshold*float64(capacity[p.Name])
	}
	return busy
}
