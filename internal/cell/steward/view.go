package steward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// listMachines reads the machines from the cloud unless the last list is recent
// enough. It returns false if that fails.
func (s *Steward) listMachines(now time.Time) (isKnown bool) {
	s.mu.Lock()
	interval := idleListInterval
	if len(s.operations) > 0 {
		interval = busyListInterval
	}
	isFresh := now.Sub(s.listedAt) < interval && s.machines != nil
	s.mu.Unlock()
	if isFresh {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	machines, err := s.config.Cloud.Machines(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !s.isCloudLost {
			s.isCloudLost = true
			event.MachineListUnavailable.Log(s.config.Log, logrus.Fields{"error": err.Error()})
		}
		return false
	}
	if s.isCloudLost {
		s.isCloudLost = false
		event.MachineListAvailable.Log(s.config.Log, nil)
	}
	s.machines, s.listedAt = machines, now
	return true
}

// buildView collects the input of the planner: the demand and loads of the pools that
// are on, the machines and the waves.
func (s *Steward) buildView(now time.Time) pools.View {
	v := pools.View{Pools: s.config.Pools()}
	loads := make(map[string]jobs.Load)
	var mu sync.Mutex
	var wait conc.WaitGroup
	for i := range v.Pools {
		p := &v.Pools[i]
		if p.IsStandby {
			continue
		}
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, ownerTimeout)
			defer cancel()
			demand, poolLoads, err := s.config.Cells.Survey(ctx, p.Name)
			if err != nil {
				// A pool without a survey keeps its machines.
				event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "survey", "cell": p.Name, "error": err.Error()})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.IsSurveyed = true
			s.hasEndpoints[p.Name] = len(poolLoads) > 0
			p.Present, p.Arriving, p.LongRunningCPU, p.MinEndpoints = demand.Present, demand.Arriving, demand.LongRunningCPU, demand.MinEndpoints
			p.LabelCPU = s.labels.Update(now, p.Name, demand.LabelCPU)
			for _, load := range poolLoads {
				loads[load.Endpoint] = load
			}
		})
	}
	wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	waves := s.config.Waves()
	for _, m := range s.machines {
		described := s.describeMachine(now, m, loads, waves)
		described.IsLost = s.isLost(now, described, v.Pools)
		v.Machines = append(v.Machines, described)
	}
	for _, w := range waves {
		v.Waves = append(v.Waves, s.describeWave(now, w, v.Machines))
	}
	return v
}

// describeMachine returns a machine as input for the planner and updates its idle
// time. The caller holds s.mu.
func (s *Steward) describeMachine(now time.Time, m cloud.Machine, loads map[string]jobs.Load, waves []Wave) pools.Machine {
	described := pools.Machine{
		Machine: m, CPU: s.config.CPU(m.Endpoint), IsEngaged: s.isEngaged(now, m.ID), IsEvacuated: s.isEvacuated(m),
	}
	if op := s.operations[m.ID]; op != nil {
		described.IsLeaving = op.isLeaving()
	}
	if described.CPU == 0 {
		described.CPU = s.maxCPU
	}
	s.maxCPU = max(s.maxCPU, described.CPU)
	if load, ok := loads[m.Endpoint]; ok && load.IsKnown {
		described.IsSurveyed, described.Runs, described.LongRunningRuns, described.ReservedCPU = true, load.Runs, load.LongRunningRuns, load.CPU
	}
	if described.IsSurveyed && described.Runs == 0 {
		if s.idleSince[m.ID].IsZero() {
			s.idleSince[m.ID] = now
		}
		described.Idle = now.Sub(s.idleSince[m.ID])
	} else {
		delete(s.idleSince, m.ID)
	}
	for _, w := range waves {
		if slices.Contains(w.Machines, m.ID) && !slices.Contains(s.maintained[w.Number], m.ID) {
			described.Wave = w.Number
		}
	}
	return described
}

// isEngaged reports whether a machine has an operation in progress or must get no
// orders for now. The caller holds s.mu.
func (s *Steward) isEngaged(now time.Time, machine string) bool {
	return s.operations[machine] != nil || now.Before(s.quietUntil[machine])
}

// describeWave returns a wave as input for the planner. The caller holds s.mu.
func (s *Steward) describeWave(now time.Time, w Wave, machines []pools.Machine) pools.Wave {
	described := pools.Wave{
		Number: w.Number, MaxDown: w.MaxDown, Elapsed: s.elapsed(now, w), Duration: time.Duration(w.Seconds * float64(time.Second)),
	}
	for _, m := range machines {
		op := s.operations[m.ID]
		isDown := op != nil && op.wave == w.Number
		// Machines that an earlier holder sent to maintenance count too.
		isDown = isDown || op == nil && m.State == cloud.Maintenance && slices.Contains(w.Machines, m.ID)
		if isDown {
			described.Down++
		}
	}
	return described
}

// logSizes logs the input of a plan with moves: the current and required machines of
// each pool and its demand. The caller holds s.mu.
func (s *Steward) logSizes(v pools.View, moves int) {
	fields := logrus.Fields{"moves": moves, "listed": boot.Now().Sub(s.listedAt).Milliseconds()}
	for _, size := range pools.Sizes(v) {
		fields[size.Pool] = fmt.Sprintf("have %d need %d", size.Have, size.Need)
	}
	for _, p := range v.Pools {
		if !p.IsStandby {
			fields[p.Name+".demand"] = fmt.Sprintf("present %d arriving %d lasting %d", p.Present, p.Arriving, p.LongRunningCPU)
			if len(p.LabelCPU) > 0 {
				fields[p.Name+".labels"] = fmt.Sprint(p.LabelCPU)
			}
		}
	}
	event.PoolMovesPlanned.Log(s.config.Log, fields)
}
