package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/platform"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/internal/plan/steward"
)

// heldReport is how long a drain waits before it is reported.
const heldReport = time.Minute

// stewardDocument names the entry that plans maintenance. It lies under the
// lease of that entry.
type stewardDocument struct {
	ID    string `json:"id"`
	Entry string `json:"entry"`
}

// tendFleet makes one steward pass if this entry holds the steward's lease. A
// second steward would do no harm: every step is a compare-and-swap on the
// fleet that it was planned from.
func (e *Entry) tendFleet(ctx context.Context, now time.Time) {
	if e.leaving.Load() || !e.holdsSteward(ctx) {
		return
	}
	e.mu.Lock()
	snapshot := steward.Snapshot{
		Fleet:       e.state.fleet,
		Document:    e.index.Load().Document,
		Live:        e.state.live,
		BusyEntries: e.busyEntries(now),
	}
	version, config := e.state.fleetStore.version, e.state.config.Revision
	e.mu.Unlock()
	if config == 0 {
		return
	}
	plan := steward.NewPlan(snapshot)
	e.reportPlan(now, plan)
	if plan.Changes == 0 {
		plan = e.planMoves(now, snapshot)
	}
	if plan.Changes == 0 {
		return
	}
	if e.writeFleet(ctx, plan.Next, version) == nil {
		event.StepWritten.Log(e.log, logrus.Fields{"revision": plan.Next.Revision, "changes": plan.Changes})
	}
}

// planMoves plans the moves that lasting demand asks for. The demand that was
// learned goes with the steward: the next one learns it anew.
func (e *Entry) planMoves(now time.Time, s steward.Snapshot) steward.Plan {
	for pool, slots := range e.demand(now) {
		e.mover.Observe(now, pool, slots)
	}
	plan := steward.Plan{Next: s.Fleet.Next()}
	for _, m := range e.mover.Plan(now, s.Fleet, s.Document) {
		isChanged, err := steward.Move(&plan.Next, s.Document, m.Instance, m.Target)
		if err == nil && isChanged {
			plan.Changes++
			event.MovePlanned.Log(e.log, logrus.Fields{"instance": m.Instance, "target": m.Target})
		}
	}
	return plan
}

// demand returns the slots that run or wait for each pool in the whole fleet.
func (e *Entry) demand(now time.Time) map[string]int {
	running := e.dispatcher.Running()
	demand := e.dispatcher.Waiting()
	e.mu.Lock()
	for _, m := range e.state.there(now) {
		if m.Entry != e.id {
			running.Add(m.running)
			for pool, waiting := range m.waiting {
				demand[pool] += waiting
			}
		}
	}
	e.mu.Unlock()
	for pool, teams := range running {
		for _, slots := range teams {
			demand[pool] += slots
		}
	}
	for _, p := range e.index.Load().Document.Pools {
		demand[p.Name] += 0
	}
	return demand
}

// holdsSteward returns whether this entry is the steward, taking the role if
// nobody has it.
func (e *Entry) holdsSteward(ctx context.Context) bool {
	e.mu.Lock()
	lease, holder := e.state.lease, e.state.steward
	isReached := e.state.reached
	e.mu.Unlock()
	if holder != "" || lease == 0 || !isReached {
		return holder == e.id
	}
	data, err := json.Marshal(stewardDocument{ID: uuid.NewString(), Entry: e.id})
	if err != nil {
		return false
	}
	_, err = e.platform.CompareAndSwap(ctx, keySteward, 0, data, lease)
	var conflict *platform.ConflictError
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.As(err, &conflict) {
		e.takeSteward(conflict.Current.Data)
	} else if err == nil {
		e.takeSteward(data)
	}
	return e.state.steward == e.id
}

func (e *Entry) takeSteward(data []byte) {
	var received stewardDocument
	if len(data) > 0 && json.Unmarshal(data, &received) != nil {
		return
	}
	was := e.state.steward == e.id
	is := received.Entry == e.id
	e.state.steward = received.Entry
	if is && !was {
		event.StewardTaken.Log(e.log, nil)
	}
	if was && !is {
		event.StewardLost.Log(e.log, nil)
	}
}

// busyEntries returns the function that tells which entries may still run work
// on an instance.
func (e *Entry) busyEntries(now time.Time) func(instance string, since uint64) []string {
	e.ownDocument()
	var documents []MemberDocument
	for entry := range e.state.table.Holders {
		if m := e.state.members[entry]; m == nil || !m.isThere(now) {
			// A holder that cannot be reached may be running anything.
			documents = append(documents, MemberDocument{Entry: entry})
		}
	}
	for _, m := range e.state.there(now) {
		documents = append(documents, m.MemberDocument)
	}
	return func(instance string, since uint64) (entries []string) {
		for _, d := range documents {
			if d.Fleet < since || slices.Contains(d.Busy, instance) {
				entries = append(entries, d.Entry)
			}
		}
		return entries
	}
}

// reportPlan reports drains that take long, and pools that have been paused.
func (e *Entry) reportPlan(now time.Time, plan steward.Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportHeld(now, plan.BlockedDrains)
	paused := make(map[string]bool)
	for _, pool := range plan.PausedPools {
		paused[pool] = true
		if !e.state.paused[pool] {
			event.WavePaused.Log(e.log, logrus.Fields{"pool": pool})
		}
	}
	e.state.paused = paused
}

func (e *Entry) reportHeld(now time.Time, held []steward.BlockedDrain) {
	current := make(map[string]time.Time)
	for _, h := range held {
		since, known := e.state.held[h.Instance]
		if !known {
			since = now
		}
		if now.Sub(since) > heldReport {
			event.DrainStuck.Log(e.log, logrus.Fields{"instance": h.Instance, "entries": h.Entries})
			since = now
		}
		current[h.Instance] = since
	}
	e.state.held = current
}

// Drain takes an instance out of service if the budget of its pool allows it.
func (e *Entry) Drain(ctx context.Context, name string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		return steward.Drain(next, e.index.Load().Document, name)
	})
}

// Return puts an instance back into service.
func (e *Entry) Return(ctx context.Context, name string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		return steward.Return(next, name)
	})
}

// Wave starts a maintenance cycle, or pauses or resumes the waves. The error is a
// *steward.NameError for any other word.
func (e *Entry) Wave(ctx context.Context, do string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		switch do {
		case "start":
			next.Cycle++
		case "pause":
			next.IsPaused = true
		case "resume":
			next.IsPaused = false
		default:
			return false, &steward.NameError{Kind: "action", Name: do}
		}
		return true, nil
	})
}
