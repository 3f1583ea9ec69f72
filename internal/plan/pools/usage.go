package pools

import (
	"math"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
)

// Cause is what the time of a machine in a pool is spent on.
type Cause string

// The causes of machine time. Each machine that is on is divided among them.
const (
	// Work is the part that short-lived runs reserve.
	Work Cause = "work"
	// LongRunning is the part that long-running tasks reserve, the larger one of
	// processors and memory.
	LongRunning Cause = "long_running"
	// Spread is the rest of the machines that run long-running tasks alone.
	Spread Cause = "spread"
	// Headroom is what is free within the need of the pool: the rest of machines with
	// short-lived runs, and idle machines.
	Headroom Cause = "headroom"
	// Surplus is the rest of machines with short-lived runs beyond the need of the pool,
	// which cannot leave it before the runs end.
	Surplus Cause = "surplus"
	// Idle is machines without runs beyond the need of the pool, before they are switched
	// off or leave.
	Idle Cause = "idle"
	// Maintaining and Moving are machines that are kept free for maintenance or a move, or
	// are on their way.
	Maintaining Cause = "maintenance"
	Moving      Cause = "moves"
	// Unknown is machines whose load is not known.
	Unknown Cause = "unknown"
)

// Causes lists all causes in the order of reports.
var Causes = []Cause{Work, LongRunning, Spread, Headroom, Surplus, Idle, Maintaining, Moving, Unknown}

// Usage is a number of machines, or of machine-seconds, by cause.
type Usage map[Cause]float64

// Total returns the sum over all causes.
func (u Usage) Total() (total float64) {
	for _, value := range u {
		total += value
	}
	return total
}

// add adds another usage, multiplied by a factor.
func (u Usage) add(other Usage, factor float64) {
	for cause, value := range other {
		u[cause] += factor * value
	}
}

// MeasureUsage returns by pool what its machines are used for now, in machines. Machines
// of the standby pool and those that are down cost nothing and are left out.
func MeasureUsage(v View) map[string]Usage {
	sizes := measurePools(v)
	longRunning := longRunningCPUPerRun(v)
	usage := make(map[string]Usage, len(sizes))
	surplus := make(map[string]int, len(sizes))
	for name, s := range sizes {
		if !s.IsStandby {
			usage[name], surplus[name] = make(Usage), max(s.have-s.need, 0)
		}
	}
	// Idle machines leave a pool before busy ones, so they are surplus first.
	for _, isIdle := range []bool{true, false} {
		for _, m := range v.Machines {
			if usage[m.Pool] == nil || m.isIdle() != isIdle || m.State == cloud.Down {
				continue
			}
			isSurplus := m.isServing() && m.LongRunningRuns == 0 && surplus[m.Pool] > 0
			if isSurplus {
				surplus[m.Pool]--
			}
			m.addUsage(usage[m.Pool], longRunning[m.Pool], isSurplus)
		}
	}
	return usage
}

// isServing reports whether the machine serves its pool: it is on, known and not to leave.
func (m *Machine) isServing() bool {
	return m.State == cloud.Up && m.IsSurveyed && !m.IsLeaving
}

// longRunningCPUPerRun returns for each pool the processor time that one run of a
// long-running task keeps others from using.
func longRunningCPUPerRun(v View) map[string]int64 {
	runs := make(map[string]int64)
	for _, m := range v.Machines {
		runs[m.Pool] += int64(m.LongRunningRuns)
	}
	perRun := make(map[string]int64)
	for _, p := range v.Pools {
		perRun[p.Name] = p.LongRunningCPU / max(runs[p.Name], 1)
	}
	return perRun
}

// addUsage divides the machine among the causes. longRunningCPU is that of one run.
func (m *Machine) addUsage(u Usage, longRunningCPU int64, isSurplus bool) {
	switch {
	case m.State == cloud.Maintenance:
		u[Maintaining]++
		return
	case m.State == cloud.Moving:
		u[Moving]++
		return
	case !m.IsSurveyed || m.CPU == 0:
		u[Unknown]++
		return
	}
	longRunning := min(float64(int64(m.LongRunningRuns)*longRunningCPU)/float64(m.CPU), 1)
	shortLived := 0.0
	if m.Runs > m.LongRunningRuns {
		shortLived = math.Min(max(float64(m.ReservedCPU)/float64(m.CPU)-longRunning, 0), 1-longRunning)
	}
	u[LongRunning] += longRunning
	u[Work] += shortLived
	u[m.freeCause(isSurplus)] += 1 - longRunning - shortLived
}

// freeCause returns the cause of the part of a machine that nothing reserves.
func (m *Machine) freeCause(isSurplus bool) Cause {
	switch {
	case m.IsLeaving && m.Wave != 0:
		return Maintaining
	case m.IsLeaving:
		return Moving
	case isSurplus && m.Runs == 0:
		return Idle
	case isSurplus:
		return Surplus
	case m.LongRunningRuns > 0 && m.Runs == m.LongRunningRuns:
		return Spread
	default:
		return Headroom
	}
}

// maxUsageStep is the longest time between two views for which the later one counts. The
// steward may have been without a list of machines in between.
const maxUsageStep = 2 * time.Second

// UsageTable adds up machine-seconds by pool and cause.
type UsageTable struct {
	// Pools holds the machine-seconds by pool.
	Pools map[string]Usage
	// countedAt is the time of the last view.
	countedAt time.Time
}

// Add counts the time since the last view as it is now. The first view only sets the time.
func (t *UsageTable) Add(now time.Time, v View) {
	elapsed := min(now.Sub(t.countedAt), maxUsageStep).Seconds()
	isFirst := t.countedAt.IsZero()
	t.countedAt = now
	if isFirst {
		return
	}
	if t.Pools == nil {
		t.Pools = make(map[string]Usage)
	}
	for name, usage := range MeasureUsage(v) {
		if t.Pools[name] == nil {
			t.Pools[name] = make(Usage)
		}
		t.Pools[name].add(usage, elapsed)
	}
}

// Take returns the machine-seconds counted since the last call.
func (t *UsageTable) Take() map[string]Usage {
	taken := t.Pools
	t.Pools = nil
	return taken
}
