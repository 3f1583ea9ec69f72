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

// list reads the machines if it is time to.
func (s *Steward) list(now time.Time) (isKnown bool) {
	s.mu.Lock()
	every := listEvery
	if len(s.duties) > 0 {
		every = listSoon
	}
	isFresh := now.Sub(s.listed) < every && s.machines != nil
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
		if !s.isLost {
			s.isLost = true
			event.MachineListUnavailable.Log(s.config.Log, logrus.Fields{"error": err.Error()})
		}
		return false
	}
	if s.isLost {
		s.isLost = false
		event.MachineListAvailable.Log(s.config.Log, nil)
	}
	s.machines, s.listed = machines, now
	return true
}

// view puts together what the planner goes by.
func (s *Steward) view(now time.Time) pools.View {
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
			ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
			defer cancel()
			demand, found, err := s.config.Cells.Survey(ctx, p.Name)
			if err != nil {
				// The pool stays without a survey, and so keeps its machines.
				event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "survey", "cell": p.Name, "error": err.Error()})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.IsSurveyed = true
			p.Present, p.Arriving, p.Lasting, p.MinEndpoints = demand.Present, demand.Arriving, demand.Lasting, demand.Least
			for _, load := range found {
				loads[load.Endpoint] = load
			}
		})
	}
	wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	waves := s.config.Waves()
	for _, m := range s.machines {
		v.Machines = append(v.Machines, s.describe(now, m, loads, waves))
	}
	for _, w := range waves {
		v.Waves = append(v.Waves, s.describeWave(now, w, v.Machines))
	}
	return v
}

func (s *Steward) describe(now time.Time, m cloud.Machine, loads map[string]jobs.Load, waves []Wave) pools.Machine {
	described := pools.Machine{Machine: m, CPU: s.config.CPU(m.Endpoint), IsEngaged: s.isEngaged(now, m.ID)}
	if described.CPU == 0 {
		described.CPU = s.cpu
	}
	s.cpu = max(s.cpu, described.CPU)
	if load, ok := loads[m.Endpoint]; ok && load.IsKnown {
		described.IsSurveyed, described.Runs, described.Lasting = true, load.Runs, load.Lasting
	}
	if described.IsSurveyed && described.Runs == 0 {
		if s.idle[m.ID].IsZero() {
			s.idle[m.ID] = now
		}
		described.Idle = now.Sub(s.idle[m.ID])
	} else {
		delete(s.idle, m.ID)
	}
	for _, w := range waves {
		if slices.Contains(w.Machines, m.ID) && !slices.Contains(s.done[w.Number], m.ID) {
			described.Wave = w.Number
		}
	}
	return described
}

// isEngaged tells whether a machine has a duty or is left alone for now.
func (s *Steward) isEngaged(now time.Time, machine string) bool {
	return s.duties[machine] != nil || now.Before(s.quiet[machine])
}

func (s *Steward) describeWave(now time.Time, w Wave, machines []pools.Machine) pools.Wave {
	described := pools.Wave{
		Number: w.Number, MaxDown: w.Most, Elapsed: now.Sub(w.Seen), Duration: time.Duration(w.Seconds * float64(time.Second)),
	}
	for _, m := range machines {
		d := s.duties[m.ID]
		isDown := d != nil && d.wave == w.Number
		// A machine that an earlier holder has sent away counts too.
		isDown = isDown || d == nil && m.State == cloud.Upkeep && slices.Contains(w.Machines, m.ID)
		if isDown {
			described.Down++
		}
	}
	return described
}

// logSizes logs what a plan went by: for each pool the machines it has and
// needs, and the demand behind that.
func (s *Steward) logSizes(v pools.View, moves int) {
	fields := logrus.Fields{"moves": moves, "listed": boot.Now().Sub(s.listed).Milliseconds()}
	for _, size := range pools.Sizes(v) {
		fields[size.Pool] = fmt.Sprintf("have %d need %d", size.Have, size.Need)
	}
	for _, p := range v.Pools {
		if !p.IsStandby {
			fields[p.Name+".demand"] = fmt.Sprintf("present %d arriving %d lasting %d", p.Present, p.Arriving, p.Lasting)
		}
	}
	event.PoolMovesPlanned.Log(s.config.Log, fields)
}
