package steward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
)

// phase is how far a duty is.
type phase int

const (
	// freeing duties keep work off the machine.
	freeing phase = iota
	// ordered duties wait for the answer to the order.
	ordered
	// open duties had no answer; the order is given again.
	open
	// settling duties wait for the machine to come back.
	settling
)

// duty is one thing to do with a machine.
type duty struct {
	machine  string
	endpoint string
	from     string
	// pool is where the machine moves, empty for an upkeep.
	pool  string
	wave  int
	phase phase
	since time.Time
	// tried is when the order was last given, began when it was known to be
	// carried out.
	tried, began time.Time
}

// plan takes on new duties.
func (s *Steward) plan(now time.Time, v pools.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range pools.PlanMaintenance(v) {
		s.take(now, &duty{machine: u.Machine.ID, endpoint: u.Machine.Endpoint, from: u.Machine.Pool, wave: u.Wave})
	}
	for i := range v.Machines {
		v.Machines[i].IsEngaged = s.isEngaged(now, v.Machines[i].ID)
	}
	moves := pools.PlanMoves(v)
	if len(moves) > 0 {
		s.logSizes(v, len(moves))
	}
	for _, m := range moves {
		s.take(now, &duty{machine: m.Machine.ID, endpoint: m.Machine.Endpoint, from: m.Machine.Pool, pool: m.Pool})
	}
}

func (s *Steward) take(now time.Time, d *duty) {
	if s.duties[d.machine] == nil {
		d.since = now
		s.duties[d.machine] = d
	}
}

// advance looks at the duties whose machines were to come back.
func (s *Steward) advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]cloud.Machine, len(s.machines))
	for _, m := range s.machines {
		known[m.ID] = m
	}
	for id, d := range s.duties {
		m, isListed := known[id]
		switch {
		case !isListed || m.State == cloud.Down || d.isOver(now, m, s.listed):
			delete(s.duties, id)
		case d.phase == open && s.listed.After(d.tried) && (m.State == cloud.Upkeep || m.State == cloud.Moving):
			s.began(d)
		}
	}
}

// isOver tells whether a duty is done or to be given up, by a machine as it was
// listed at a time.
func (d *duty) isOver(now time.Time, m cloud.Machine, listed time.Time) bool {
	switch d.phase {
	case freeing:
		return m.Endpoint != d.endpoint || d.pool != "" && now.Sub(d.since) > giveUpAfter
	case settling:
		// A machine that is off has no endpoint, before and after.
		isOther := m.Endpoint != d.endpoint || d.endpoint == ""
		return listed.After(d.began) && m.State == cloud.Up && isOther || now.Sub(d.tried) > settleLimit
	default:
		return false
	}
}

// began notes that a machine has been taken down for its duty.
func (s *Steward) began(d *duty) {
	d.phase, d.began = settling, boot.Now()
	if d.wave != 0 && !slices.Contains(s.done[d.wave], d.machine) {
		s.done[d.wave] = append(s.done[d.wave], d.machine)
		s.changed = true
	}
}

// cordon keeps work off the machines with duties and gives the orders for those
// that are free.
func (s *Steward) cordon(now time.Time) {
	s.mu.Lock()
	byPool := make(map[string][]*duty)
	standby := make(map[string]bool)
	for _, p := range s.config.Pools() {
		standby[p.Name] = p.IsStandby
	}
	var free []*duty
	for _, d := range s.duties {
		switch {
		case d.phase == settling:
		case standby[d.from]:
			free = append(free, d)
		default:
			byPool[d.from] = append(byPool[d.from], d)
		}
	}
	s.mu.Unlock()
	var mu sync.Mutex
	var wait conc.WaitGroup
	for pool, duties := range byPool {
		wait.Go(func() {
			found := s.cordonPool(now, pool, duties)
			mu.Lock()
			free = append(free, found...)
			mu.Unlock()
		})
	}
	wait.Wait()
	free = slices.DeleteFunc(free, func(d *duty) bool { return !s.mayOrder(now, d) })
	if len(free) == 0 || !s.note(now, free) || !s.config.IsValid() {
		return
	}
	for _, d := range free {
		s.order(d)
	}
}

// cordonPool returns the duties whose machines are free.
func (s *Steward) cordonPool(now time.Time, pool string, duties []*duty) (free []*duty) {
	ids := make([]string, len(duties))
	for i, d := range duties {
		ids[i] = d.endpoint
	}
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	loads, err := s.config.Cells.Cordon(ctx, pool, ids, cordonLength, true)
	if err != nil {
		// The machines are not known to be free, so they wait.
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "cordon", "cell": pool, "error": err.Error()})
		return nil
	}
	for _, load := range loads {
		for _, d := range duties {
			if d.endpoint != load.Endpoint || !load.IsKnown {
				continue
			}
			isOver := d.wave != 0 && load.Lasting == 0 && now.Sub(d.since) > forceAfter
			if load.Runs == 0 || isOver {
				free = append(free, d)
			}
		}
	}
	return free
}

// mayOrder tells whether it is time to give the order of a duty.
func (s *Steward) mayOrder(now time.Time, d *duty) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.quiet[d.machine]) {
		return false
	}
	return d.phase == freeing || d.phase == open && now.Sub(d.tried) >= callTimeout
}

// order gives the order of a duty in the background.
func (s *Steward) order(d *duty) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.phase, d.tried = ordered, boot.Now()
	machine, pool, wave := d.machine, d.pool, d.wave
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		if pool != "" {
			err = s.config.Cloud.Move(ctx, s.config.Holder, machine, pool)
		} else {
			err = s.config.Cloud.Maintain(ctx, s.config.Holder, machine, wave)
		}
		s.answered(d, err)
	})
}

func (s *Steward) answered(d *duty, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{
		"machine": d.machine, "endpoint": d.endpoint, "from": d.from, "pool": d.pool, "wave": d.wave,
		"epoch": s.config.Holder.Epoch, "waited": boot.Now().Sub(d.since).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	switch {
	case err == nil && d.pool != "":
		event.MachineMoved.Log(s.config.Log, fields)
		s.began(d)
	case err == nil:
		event.MaintenanceBegan.Log(s.config.Log, fields)
		s.began(d)
	case errors.Is(err, cloud.ErrOpen):
		event.MachineOrderUnanswered.Log(s.config.Log, fields)
		d.phase = open
	default:
		event.MachineOrderRefused.Log(s.config.Log, fields)
		s.quiet[d.machine] = boot.Now().Add(refusedWait)
		s.fenced = s.fenced || errors.Is(err, cloud.ErrFenced)
		delete(s.duties, d.machine)
	}
}
