package steward

import (
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

// stateKey is where a holder notes what the next one has to know.
const stateKey = "steward/state"

// state is what outlasts a holder.
type state struct {
	// Done are the machines that each wave has maintained.
	Done map[int][]string `json:"done,omitempty"`
	// Ordered are the machines for which orders were given lately. It is written
	// before they are given.
	Ordered []string `json:"ordered,omitempty"`
}

// load reads what earlier holders have done.
func (s *Steward) load() bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	item, err := s.config.Store.Get(ctx, stateKey)
	if errors.Is(err, store.ErrAbsent) {
		return true
	}
	var last state
	if err == nil {
		err = json.Unmarshal(item.Value, &last)
	}
	if err != nil {
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
		return false
	}
	if last.Done != nil {
		s.done = last.Done
	}
	now := boot.Now()
	for _, machine := range last.Ordered {
		s.quiet[machine] = now.Add(s.config.Quiet)
		s.ordered[machine] = now
	}
	return true
}

// note stores what the next holder has to know, with the machines that are to
// be ordered now. Nothing may be ordered before it has succeeded.
func (s *Steward) note(now time.Time, next []*duty) bool {
	s.mu.Lock()
	for _, d := range next {
		s.ordered[d.machine] = now
	}
	current := state{Done: s.done}
	for machine, at := range s.ordered {
		if now.Sub(at) < noteFor {
			current.Ordered = append(current.Ordered, machine)
		} else {
			delete(s.ordered, machine)
		}
	}
	slices.Sort(current.Ordered)
	value, err := json.Marshal(current)
	s.changed = false
	s.mu.Unlock()
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		_, err = s.config.Store.Commit(ctx, store.Change{
			If: []store.Condition{s.config.Condition}, Puts: []store.Put{{Key: stateKey, Value: value}},
		})
	}
	if err != nil {
		s.mu.Lock()
		s.changed = true
		s.mu.Unlock()
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "steward state", "error": err.Error()})
	}
	return err == nil
}

// tell writes the state of waves.
func (s *Steward) tell() {
	s.mu.Lock()
	isChanged := s.changed
	s.mu.Unlock()
	if isChanged && !s.note(boot.Now(), nil) {
		return
	}
	s.mu.Lock()
	change := store.Change{If: []store.Condition{s.config.Condition}}
	told := make(map[int]bool)
	present := make(map[string]bool, len(s.machines))
	for _, m := range s.machines {
		present[m.ID] = true
	}
	for _, w := range s.config.Waves() {
		isCompleted := !slices.ContainsFunc(w.Machines, func(id string) bool {
			return present[id] && !slices.Contains(s.done[w.Number], id)
		})
		before, isTold := s.told[w.Number]
		if isTold && before == isCompleted || before {
			continue
		}
		key, value := s.config.EncodeStatus(w.Number, isCompleted)
		change.Puts = append(change.Puts, store.Put{Key: key, Value: value})
		told[w.Number] = isCompleted
	}
	s.mu.Unlock()
	if len(change.Puts) == 0 || len(change.Puts) >= store.MaxChange {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if _, err := s.config.Store.Commit(ctx, change); err != nil {
		event.OperationFailed.Log(s.config.Log, logrus.Fields{"call": "wave status", "error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, isCompleted := range told {
		s.told[number] = isCompleted
		if isCompleted {
			event.WaveCompleted.Log(s.config.Log, logrus.Fields{"wave": number})
		}
	}
}
