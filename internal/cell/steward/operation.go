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

// phase is the progress of an operation.
type phase int

const (
	// phaseDraining means that new work is kept off the machine until the order may
	// be sent.
	phaseDraining phase = iota
	// phaseOrdered means that the order has been sent and its answer is awaited.
	phaseOrdered
	// phaseUnanswered means that the order had no answer and has to be sent again.
	phaseUnanswered
	// phaseReturning means that the order was carried out and the machine is expected
	// back.
	phaseReturning
)

// operation is a move of a machine to another pool, or its maintenance.
type operation struct {
	machine string
	// endpoint is the machine's endpoint when the operation was planned, empty if the
	// machine was off.
	endpoint   string
	sourcePool string
	// targetPool is the destination of a move, empty for maintenance.
	targetPool string
	// wave is the wave that the machine is maintained for, 0 for a move.
	wave      int
	phase     phase
	createdAt time.Time
	// orderedAt is when the order was last sent, startedAt when it was found to have
	// been carried out.
	orderedAt, startedAt time.Time
}

// planOperations adds the maintenance and then the moves that the planner selects.
// Machines chosen for maintenance are marked as engaged, so that they are not moved
// too.
func (s *Steward) planOperations(now time.Time, v pools.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range pools.PlanMaintenance(v) {
		s.addOperation(now, &operation{machine: m.Machine.ID, endpoint: m.Machine.Endpoint, sourcePool: m.Machine.Pool, wave: m.Wave})
	}
	for i := range v.Machines {
		v.Machines[i].IsEngaged = s.isEngaged(now, v.Machines[i].ID)
	}
	moves := pools.PlanMoves(v)
	if len(moves) > 0 {
		s.logSizes(v, len(moves))
	}
	for _, m := range moves {
		s.addOperation(now, &operation{machine: m.Machine.ID, endpoint: m.Machine.Endpoint, sourcePool: m.Machine.Pool, targetPool: m.Pool})
	}
}

// addOperation adds an operation unless the machine already has one. The caller holds
// s.mu.
func (s *Steward) addOperation(now time.Time, op *operation) {
	if s.operations[op.machine] == nil {
		op.createdAt = now
		s.operations[op.machine] = op
	}
}

// updateOperations removes the operations that are finished or given up, by the last
// list of machines. An unanswered order counts as carried out if the machine has
// since been listed as moving or in maintenance.
func (s *Steward) updateOperations(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	machines := make(map[string]cloud.Machine, len(s.machines))
	for _, m := range s.machines {
		machines[m.ID] = m
	}
	for id, op := range s.operations {
		m, isListed := machines[id]
		switch {
		case !isListed || m.State == cloud.Down || op.isFinished(now, m, s.listedAt):
			if op.phase == phaseDraining && op.targetPool == "" {
				s.quietUntil[id] = now.Add(maintenanceRetryDelay)
			}
			delete(s.operations, id)
		case s.isWithdrawn(op, m):
			delete(s.operations, id)
		case op.phase == phaseUnanswered && s.listedAt.After(op.orderedAt) && (m.State == cloud.Maintenance || m.State == cloud.Moving):
			s.markStarted(op)
		}
	}
}

// isFinished reports whether an operation is complete or has to be given up, for a
// machine as it was listed at listedAt.
func (op *operation) isFinished(now time.Time, m cloud.Machine, listedAt time.Time) bool {
	switch op.phase {
	case phaseDraining:
		return m.Endpoint != op.endpoint || now.Sub(op.createdAt) > op.drainLimit()
	case phaseReturning:
		// A machine that is off has no endpoint, neither before nor after.
		isNewEndpoint := m.Endpoint != op.endpoint || op.endpoint == ""
		return listedAt.After(op.startedAt) && m.State == cloud.Up && isNewEndpoint || now.Sub(op.orderedAt) > returnLimit
	default:
		return false
	}
}

// drainLimit returns how long the machine may be kept free of new work before the
// operation is given up.
func (op *operation) drainLimit() time.Duration {
	if op.targetPool != "" {
		return moveDrainLimit
	}
	return maintenanceDrainLimit
}

// isLeaving reports whether the machine is being emptied or its order is in progress.
func (op *operation) isLeaving() bool { return op.phase != phaseReturning }

// markStarted records that the order for a machine has been carried out. The caller
// holds s.mu.
func (s *Steward) markStarted(op *operation) {
	op.phase, op.startedAt = phaseReturning, boot.Now()
	if op.wave != 0 && !slices.Contains(s.maintained[op.wave], op.machine) {
		s.maintained[op.wave] = append(s.maintained[op.wave], op.machine)
		s.isStateChanged = true
	}
}

// cordonMachines renews the cordons of all machines that are to be moved or
// maintained, and sends the orders for those that are ready. The orders are stored
// before any is sent.
func (s *Steward) cordonMachines(now time.Time) {
	s.mu.Lock()
	var leaving []*operation
	for _, op := range s.operations {
		if op.isLeaving() {
			leaving = append(leaving, op)
		}
	}
	s.mu.Unlock()
	ready := slices.DeleteFunc(s.cordonPools(now, leaving), func(op *operation) bool { return !s.isOrderDue(now, op) })
	if len(ready) == 0 || !s.saveState(now, ready) {
		return
	}
	// An owner that has answered may have lost its pool since to one that read the state before. That
	// one has to answer, too; owners after it read the orders.
	ready = s.cordonPools(now, ready)
	if !s.config.IsValid() {
		return
	}
	for _, op := range ready {
		s.sendOrder(op)
	}
}

// cordonPools renews the cordons of operations and returns those whose orders may be sent.
// Machines in standby pools run nothing and need no cordon.
func (s *Steward) cordonPools(now time.Time, operations []*operation) (ready []*operation) {
	byPool := make(map[string][]*operation)
	isStandby := make(map[string]bool)
	for _, p := range s.config.Pools() {
		isStandby[p.Name] = p.IsStandby
	}
	for _, op := range operations {
		if isStandby[op.sourcePool] {
			ready = append(ready, op)
		} else {
			byPool[op.sourcePool] = append(byPool[op.sourcePool], op)
		}
	}
	var mu sync.Mutex
	var wait conc.WaitGroup
	for pool, operations := range byPool {
		wait.Go(func() {
			found := s.cordonPool(now, pool, operations)
			mu.Lock()
			ready = append(ready, found...)
			mu.Unlock()
		})
	}
	wait.Wait()
	return ready
}

// cordonPool renews the cordons in one pool and returns the operations whose orders
// may be sent: those on machines without runs and, for maintenance, those on machines
// without long-running tasks whose short-lived work has not ended within forceAfter.
func (s *Steward) cordonPool(now time.Time, pool string, operations []*operation) (ready []*operation) {
	ids := make([]string, len(operations))
	for i, op := range operations {
		ids[i] = op.endpoint
	}
	ctx, cancel := context.WithTimeout(s.ctx, ownerTimeout)
	defer cancel()
	loads, err := s.config.Cells.Cordon(ctx, pool, ids, CordonDuration, true)
	if err != nil {
		// It is unknown whether the machines still run work, so no orders are sent.
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "cordon", "cell": pool, "error": err.Error()})
		return nil
	}
	for _, load := range loads {
		for _, op := range operations {
			if op.endpoint != load.Endpoint || !load.IsKnown {
				continue
			}
			isForced := op.wave != 0 && load.LongRunningRuns == 0 && now.Sub(op.createdAt) > forceAfter
			if load.Runs == 0 || isForced {
				ready = append(ready, op)
			}
		}
	}
	return ready
}

// isOrderDue reports whether the order of an operation may be sent now, for the first
// time or again.
func (s *Steward) isOrderDue(now time.Time, op *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.quietUntil[op.machine]) {
		return false
	}
	return op.phase == phaseDraining || op.phase == phaseUnanswered && now.Sub(op.orderedAt) >= callTimeout
}

// sendOrder sends the order of an operation in the background. Stop does not cancel
// it.
func (s *Steward) sendOrder(op *operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	op.phase, op.orderedAt = phaseOrdered, boot.Now()
	machine, pool, wave := op.machine, op.targetPool, op.wave
	s.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		if pool != "" {
			err = s.config.Cloud.Move(ctx, s.config.Holder, machine, pool)
		} else {
			err = s.config.Cloud.Maintain(ctx, s.config.Holder, machine, wave)
		}
		s.handleAnswer(op, err)
	})
}

// handleAnswer applies the answer to an order. A refused operation is dropped and its
// machine left alone for refusalBackoff; a fenced one also ends the steward.
func (s *Steward) handleAnswer(op *operation, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{
		"machine": op.machine, "endpoint": op.endpoint, "from": op.sourcePool, "pool": op.targetPool, "wave": op.wave,
		"epoch": s.config.Holder.Epoch, "waited": boot.Now().Sub(op.createdAt).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	switch {
	case err == nil && op.targetPool != "":
		event.MachineMoved.Log(s.config.Log, fields)
		s.markStarted(op)
	case err == nil:
		event.MaintenanceBegan.Log(s.config.Log, fields)
		s.markStarted(op)
	case errors.Is(err, cloud.ErrIndeterminate):
		event.MachineOrderUnanswered.Log(s.config.Log, fields)
		op.phase = phaseUnanswered
	default:
		event.MachineOrderRefused.Log(s.config.Log, fields)
		s.quietUntil[op.machine] = boot.Now().Add(refusalBackoff)
		s.isStateChanged = true
		s.isOrderFenced = s.isOrderFenced || errors.Is(err, cloud.ErrFenced)
		delete(s.operations, op.machine)
	}
}
