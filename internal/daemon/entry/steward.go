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

// blockedDrainReportInterval is how long a drain is blocked before it is
// reported, and the interval of further reports.
const blockedDrainReportInterval = time.Minute

// stewardDocument names the entry that plans maintenance. Its key belongs to
// the lease of that entry, so that it is removed when the lease lapses.
type stewardDocument struct {
	ID    string `json:"id"`
	Entry string `json:"entry"`
}

// runStewardPass plans and writes the next step of maintenance if this entry is
// the steward. Two stewards at once do no harm: each step is a compare-and-swap
// on the fleet document that it was planned from.
func (e *Entry) runStewardPass(ctx context.Context, now time.Time) {
	if e.isLeaving.Load() || !e.ensureSteward(ctx) {
		return
	}
	e.mu.Lock()
	snapshot := steward.Snapshot{
		Fleet:       e.state.fleet,
		Document:    e.index.Load().Document,
		Live:        e.state.listedInstances,
		BusyEntries: e.busyEntries(now),
	}
	version, config := e.state.storedFleet.version, e.state.config.Revision
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

// planMoves plans moves of instances between pools for sustained demand. The
// demand observed so far is held in memory only: a new steward observes it
// anew.
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

// demand returns the slots in use plus the requests waiting at all members that
// are alive, by pool. Every pool of the document has an entry.
func (e *Entry) demand(now time.Time) map[string]int {
	running := e.dispatcher.Running()
	demand := e.dispatcher.Waiting()
	e.mu.Lock()
	for _, m := range e.state.aliveMembers(now) {
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

// ensureSteward reports whether this entry is the steward. If no entry is, it
// tries to become the steward first.
func (e *Entry) ensureSteward(ctx context.Context) bool {
	e.mu.Lock()
	lease, holder := e.state.lease, e.state.steward
	isReachable := e.state.isReachable
	e.mu.Unlock()
	if holder != "" || lease == 0 || !isReachable {
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
		e.recordSteward(conflict.Current.Data)
	} else if err == nil {
		e.recordSteward(data)
	}
	return e.state.steward == e.id
}

// recordSteward records which entry is the steward and logs a change of this
// entry's role. No data means that there is no steward. The caller holds e.mu.
func (e *Entry) recordSteward(data []byte) {
	var received stewardDocument
	if len(data) > 0 && json.Unmarshal(data, &received) != nil {
		return
	}
	wasSteward := e.state.steward == e.id
	isSteward := received.Entry == e.id
	e.state.steward = received.Entry
	if isSteward && !wasSteward {
		event.StewardAcquired.Log(e.log, nil)
	}
	if wasSteward && !isSteward {
		event.StewardLost.Log(e.log, nil)
	}
}

// busyEntries returns a function that returns the entries that may still run
// work on an instance: those that report it as busy, and those that have not
// yet applied the given fleet revision. The caller holds e.mu.
func (e *Entry) busyEntries(now time.Time) func(instance string, since uint64) []string {
	e.refreshOwnDocument()
	var documents []MemberDocument
	for entry := range e.state.table.Holders {
		if m := e.state.members[entry]; m == nil || !m.isAlive(now) {
			// A holder that is not alive may still run work on any instance.
			documents = append(documents, MemberDocument{Entry: entry})
		}
	}
	for _, m := range e.state.aliveMembers(now) {
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

// reportPlan logs drains that are blocked for long, and pools that have become
// paused.
func (e *Entry) reportPlan(now time.Time, plan steward.Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportBlockedDrains(now, plan.BlockedDrains)
	paused := make(map[string]bool)
	for _, pool := range plan.PausedPools {
		paused[pool] = true
		if !e.state.pausedPools[pool] {
			event.WavePaused.Log(e.log, logrus.Fields{"pool": pool})
		}
	}
	e.state.pausedPools = paused
}

// reportBlockedDrains logs each drain that has been blocked for more than
// blockedDrainReportInterval, and again after each further interval. The caller
// holds e.mu.
func (e *Entry) reportBlockedDrains(now time.Time, drains []steward.BlockedDrain) {
	stillBlocked := make(map[string]time.Time)
	for _, d := range drains {
		since, isKnown := e.state.blockedDrains[d.Instance]
		if !isKnown {
			since = now
		}
		if now.Sub(since) > blockedDrainReportInterval {
			event.DrainBlocked.Log(e.log, logrus.Fields{"instance": d.Instance, "entries": d.Entries})
			since = now
		}
		stillBlocked[d.Instance] = since
	}
	e.state.blockedDrains = stillBlocked
}

// Drain takes an instance out of service if the budget of its pool allows it,
// and returns the fleet revision. The error is a *steward.NameError, a
// *steward.BudgetError or one of the errors of ChangeFleet.
func (e *Entry) Drain(ctx context.Context, name string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		return steward.Drain(next, e.index.Load().Document, name)
	})
}

// Return puts a draining instance back into service and returns the fleet
// revision. The error is a *steward.NameError or one of the errors of
// ChangeFleet.
func (e *Entry) Return(ctx context.Context, name string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		return steward.Return(next, name)
	})
}

// ControlWaves starts a maintenance cycle ("start"), or pauses ("pause") or
// resumes ("resume") the waves, and returns the fleet revision. For any other
// action the error is a *steward.NameError.
func (e *Entry) ControlWaves(ctx context.Context, action string) (revision uint64, err error) {
	return e.ChangeFleet(ctx, func(next *fleet.Fleet) (bool, error) {
		switch action {
		case "start":
			next.Cycle++
		case "pause":
			next.IsPaused = true
		case "resume":
			next.IsPaused = false
		default:
			return false, &steward.NameError{Kind: "action", Name: action}
		}
		return true, nil
	})
}
