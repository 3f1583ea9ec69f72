package steward

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// stateKey holds the state that a steward passes on to its successor.
const stateKey = "steward/state"

// state is the stored state of the stewardship.
type state struct {
	// Maintained lists the machines that each wave has maintained, by wave number.
	Maintained map[int][]string `json:"done,omitempty"`
	// Ordered lists the machines that were recently ordered. It is written before the
	// orders are sent.
	Ordered []string `json:"ordered,omitempty"`
	// Leaving lists by pool the endpoints of machines whose orders may be carried out, for later
	// owners of the pools. It is written before the orders are sent.
	Leaving map[string][]string `json:"leaving,omitempty"`
	// Elapsed is how long each wave that is not completed has been known, in milliseconds, by
	// wave number.
	Elapsed map[int]int64 `json:"elapsed,omitempty"`
}

// Leaving returns the endpoints of a pool that are to get no work since orders for their machines may
// be carried out. An owner that takes the pool over reads it once it is the owner, and cordons them
// for CordonDuration: the owner before, which the steward has asked, passes no cordons on.
func Leaving(ctx context.Context, client *store.Client, pool string) (endpoints []string, err error) {
	item, err := client.Get(ctx, stateKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var saved state
	// Stewards that cannot decode the state send no orders.
	_ = json.Unmarshal(item.Value, &saved)
	return saved.Leaving[pool], nil
}

// elapsedSaveInterval is how often the state is saved while a wave is not completed, so that
// the next holder knows how much of its time has passed.
const elapsedSaveInterval = time.Second

// maxCommitAttempts is the number of times a write is tried when the steward does not know
// the revisions of the keys, because an earlier attempt got no answer.
const maxCommitAttempts = 3

// commit writes keys, provided that the stewardship is held and that each key has its last
// known revision. Without the latter, an attempt that got no answer and is carried out late
// could bring an older value back. After a conflict the revisions are known.
func (s *Steward) commit(ctx context.Context, puts []store.Put) error {
	change := store.Change{If: []store.Condition{s.config.Condition}, Puts: puts}
	for _, put := range puts {
		change.If = append(change.If, store.Condition{Key: put.Key, Revision: s.revisions[put.Key]})
	}
	revision, err := s.config.Store.Commit(ctx, change)
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		for _, put := range puts {
			if item, isFound := conflict.Item(put.Key); isFound {
				s.revisions[put.Key] = item.Revision
			}
		}
	}
	if err != nil {
		return err
	}
	for _, put := range puts {
		s.revisions[put.Key] = revision
	}
	return nil
}

// isOutdated reports whether a commit failed although the stewardship is held, since a key
// had another revision than the last known one.
func (s *Steward) isOutdated(err error) bool {
	conflict, ok := errors.AsType[*store.ConflictError](err)
	if !ok {
		return false
	}
	held, isFound := conflict.Item(s.config.Condition.Key)
	return isFound && held.Revision == s.config.Condition.Revision
}

// loadState reads the state left by earlier holders of the stewardship. Machines that
// they ordered recently get no orders for Config.QuietPeriod. It returns false if the
// state cannot be read.
func (s *Steward) loadState() bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	item, err := s.config.Store.Get(ctx, stateKey)
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	var saved state
	if err == nil {
		err = json.Unmarshal(item.Value, &saved)
	}
	if err != nil {
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
		return false
	}
	s.revisions[stateKey] = item.Revision
	if saved.Maintained != nil {
		s.maintained = saved.Maintained
	}
	now := boot.Now()
	for _, machine := range saved.Ordered {
		s.quietUntil[machine] = now.Add(s.config.QuietPeriod)
		s.lastOrdered[machine] = now
	}
	s.inheritedLeaving, s.inheritedUntil = saved.Leaving, now.Add(s.config.QuietPeriod)
	for number, elapsed := range saved.Elapsed {
		s.knownSince[number] = now.Add(-time.Duration(elapsed) * time.Millisecond)
	}
	return true
}

// elapsed returns how long a wave has been known to this entry or to an earlier holder. The
// caller holds s.mu.
func (s *Steward) elapsed(now time.Time, w Wave) time.Duration {
	since := w.FirstSeen
	if earlier, isKnown := s.knownSince[w.Number]; isKnown && earlier.Before(since) {
		since = earlier
	}
	return now.Sub(since)
}

// openWaves returns how long each wave that is not completed has been known, in milliseconds,
// by number. The caller holds s.mu.
func (s *Steward) openWaves(now time.Time) map[int]int64 {
	open := make(map[int]int64)
	for _, w := range s.config.Waves() {
		if !s.published[w.Number] {
			open[w.Number] = s.elapsed(now, w).Milliseconds()
		}
	}
	return open
}

// leaving returns the endpoints for state.Leaving. The caller holds s.mu.
func (s *Steward) leaving(now time.Time, pending []*operation) map[string][]string {
	leaving := make(map[string][]string)
	add := func(pool, endpoint string) {
		if endpoint != "" && !slices.Contains(leaving[pool], endpoint) {
			leaving[pool] = append(leaving[pool], endpoint)
		}
	}
	for _, op := range pending {
		add(op.sourcePool, op.endpoint)
	}
	for _, op := range s.operations {
		if op.phase == phaseOrdered || op.phase == phaseUnanswered {
			add(op.sourcePool, op.endpoint)
		}
	}
	if now.Before(s.inheritedUntil) {
		for pool, endpoints := range s.inheritedLeaving {
			for _, endpoint := range endpoints {
				add(pool, endpoint)
			}
		}
	}
	return leaving
}

// saveState stores the state for the next holder, including the machines of
// operations whose orders are about to be sent. Orders may be sent only if it returns
// true.
func (s *Steward) saveState(now time.Time, pending []*operation) bool {
	s.mu.Lock()
	for _, op := range pending {
		s.lastOrdered[op.machine] = now
	}
	current := state{Maintained: s.maintained, Elapsed: s.openWaves(now), Leaving: s.leaving(now, pending)}
	for machine, orderedAt := range s.lastOrdered {
		if now.Sub(orderedAt) < orderRetention {
			current.Ordered = append(current.Ordered, machine)
		} else {
			delete(s.lastOrdered, machine)
		}
	}
	slices.Sort(current.Ordered)
	value, err := json.Marshal(current)
	s.isStateChanged, s.savedAt = false, now
	s.mu.Unlock()
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		// Only this steward writes under its stewardship, so its state is newer than any
		// that an earlier attempt has stored.
		for range maxCommitAttempts {
			if err = s.commit(ctx, []store.Put{{Key: stateKey, Value: value}}); !s.isOutdated(err) {
				break
			}
		}
	}
	if err != nil {
		s.mu.Lock()
		s.isStateChanged = true
		s.mu.Unlock()
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
	}
	return err == nil
}

// publishWaveStatus saves the state if it has changed or is too old, and then writes the status of
// each wave whose completion has changed. A wave is complete when each of its
// machines that is still listed has been maintained; it does not become incomplete
// again.
func (s *Steward) publishWaveStatus() {
	now := boot.Now()
	s.mu.Lock()
	isDue := s.isStateChanged || now.Sub(s.savedAt) >= elapsedSaveInterval && len(s.openWaves(now)) > 0
	s.mu.Unlock()
	if isDue && !s.saveState(now, nil) {
		return
	}
	due := s.dueWaveStatuses()
	for chunk := range slices.Chunk(due, maxStatusesPerChange) {
		if !s.writeWaveStatuses(chunk) {
			return
		}
	}
}

// maxStatusesPerChange is the number of statuses that fit into a change beside the condition
// of the stewardship. Each takes a condition and a write.
const maxStatusesPerChange = (store.MaxChangeSize - 1) / 2

// waveStatus is the completion of a wave that has not been published yet.
type waveStatus struct {
	number      int
	isCompleted bool
}

// dueWaveStatuses returns the waves whose completion has changed since it was last
// published, sorted by number.
func (s *Steward) dueWaveStatuses() (due []waveStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(s.machines))
	for _, m := range s.machines {
		present[m.ID] = true
	}
	for _, w := range s.config.Waves() {
		isCompleted := !slices.ContainsFunc(w.Machines, func(id string) bool {
			return present[id] && !slices.Contains(s.maintained[w.Number], id)
		})
		isCompletedBefore, isPublished := s.published[w.Number]
		if isPublished && isCompletedBefore == isCompleted || isCompletedBefore {
			continue
		}
		due = append(due, waveStatus{w.Number, isCompleted})
	}
	slices.SortFunc(due, func(a, b waveStatus) int { return cmp.Compare(a.number, b.number) })
	return due
}

// writeWaveStatuses writes statuses in one change; there must be at most
// maxStatusesPerChange. A status that the store holds as completed, perhaps from an earlier
// holder, stays so. It returns false if that fails.
func (s *Steward) writeWaveStatuses(statuses []waveStatus) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	for range maxCommitAttempts {
		puts := make([]store.Put, 0, len(statuses))
		for _, status := range statuses {
			key, value := s.config.EncodeStatus(status.number, status.isCompleted)
			puts = append(puts, store.Put{Key: key, Value: value})
		}
		err := s.commit(ctx, puts)
		if err == nil {
			s.recordPublished(statuses)
			return true
		}
		if !s.isOutdated(err) {
			event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "wave status", "error": err.Error()})
			return false
		}
		if statuses = s.skipCompleted(statuses, err); len(statuses) == 0 {
			return true
		}
	}
	event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "wave status", "error": "the statuses changed at each attempt"})
	return false
}

// skipCompleted records the statuses that the store holds as completed, according to the
// conflict err, as published and returns the others.
func (s *Steward) skipCompleted(statuses []waveStatus, err error) (others []waveStatus) {
	conflict, ok := errors.AsType[*store.ConflictError](err)
	if !ok {
		return statuses
	}
	for _, status := range statuses {
		key, value := s.config.EncodeStatus(status.number, true)
		if item, isFound := conflict.Item(key); isFound && bytes.Equal(item.Value, value) {
			s.recordPublished([]waveStatus{{status.number, true}})
		} else {
			others = append(others, status)
		}
	}
	return others
}

// recordPublished records statuses that the store holds.
func (s *Steward) recordPublished(statuses []waveStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range statuses {
		s.published[status.number] = status.isCompleted
		if status.isCompleted {
			event.WaveCompleted.Log(s.config.Log, logrus.Fields{"wave": status.number})
		}
	}
}
