package forecast

import (
	"cmp"
	"fmt"
	"slices"
)

// stateVersion is the version of State.
const stateVersion = 1

// State is what a Forecaster has learned, in a form that can be stored. The measured coverage
// and changes under detection are not part of it.
type State struct {
	Version int         `json:"v"`
	Kinds   []KindState `json:"kinds,omitempty"`
}

// KindState is what was learned about a kind of task.
type KindState struct {
	Source Source `json:"by"`
	Image  string `json:"image,omitempty"`
	// Account is the client account of the kind, or the one that brought it about.
	Account string      `json:"account,omitempty"`
	Queue   string      `json:"queue"`
	Step    int         `json:"step,omitempty"`
	Times   ModelState  `json:"times"`
	Ratios  *ModelState `json:"ratios,omitempty"`
	// Spread are buckets of deviations of tasks from their step.
	Spread []byte `json:"spread,omitempty"`
}

// ModelState is the distribution of run times, or of their ratios to the declared ones.
type ModelState struct {
	// Runs is the number of values, Buckets evenly spaced quantiles of them.
	Runs    int    `json:"n"`
	Buckets []byte `json:"q"`
	// Mean, Typical and Unit are as in totals, Loss and Independent as in model.
	Mean        float64 `json:"mean"`
	Typical     float64 `json:"typical"`
	Unit        float64 `json:"unit"`
	Loss        float32 `json:"loss"`
	Independent float64 `json:"ind"`
}

const (
	// storedQuantiles is the number of quantiles in ModelState.
	storedQuantiles = 32
	// storedKinds bounds the kinds by image and account in State, of which those observed
	// last are stored. With them, State takes some 30 KB of a snapshot.
	storedKinds = 64
)

// Export returns what was learned.
func (f *Forecaster) Export() State {
	state := State{Version: stateVersion}
	for k, learned := range f.queues {
		state.Kinds = append(state.Kinds, learned.export(k, ByQueue))
	}
	sortKinds(state.Kinds)
	var fine []KindState
	for _, k := range f.lastObserved() {
		source := ByAccount
		if k.image != "" {
			source = ByImage
		}
		fine = append(fine, f.kinds[k].export(k, source))
	}
	sortKinds(fine)
	state.Kinds = append(state.Kinds, fine...)
	return state
}

// lastObserved returns the keys of the kinds that were observed last.
func (f *Forecaster) lastObserved() []key {
	keys := make([]key, 0, len(f.kinds))
	for k := range f.kinds {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Compare(f.kinds[b].usedAt, f.kinds[a].usedAt) })
	return keys[:min(len(keys), storedKinds)]
}

func sortKinds(kinds []KindState) {
	slices.SortFunc(kinds, func(a, b KindState) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step),
			cmp.Compare(a.Image, b.Image), cmp.Compare(a.Account, b.Account))
	})
}

func (k *kind) export(id key, source Source) KindState {
	state := KindState{
		Source: source, Image: id.image, Account: k.account, Queue: id.queue, Step: id.step,
		Times: k.times.export(), Spread: slices.Clone(k.spread.ring[:k.spread.count]),
	}
	if k.ratios != nil {
		ratios := k.ratios.export()
		state.Ratios = &ratios
	}
	return state
}

func (m *model) export() ModelState {
	state := ModelState{Runs: m.window.count, Loss: m.loss, Independent: m.independent, Unit: m.totals.unit}
	state.Mean, state.Typical = m.totals.means()
	var sorted []byte
	for bucket, n := range m.window.counts {
		sorted = append(sorted, slices.Repeat([]byte{byte(bucket)}, int(n))...)
	}
	kept := min(len(sorted), storedQuantiles)
	for i := range kept {
		state.Buckets = append(state.Buckets, sorted[(2*i+1)*len(sorted)/(2*kept)])
	}
	return state
}

// Restore loads what was learned into an empty Forecaster. It loads nothing and returns an
// error if the state is not valid.
func (f *Forecaster) Restore(state State) (err error) {
	if state.Version != stateVersion {
		return fmt.Errorf("version %d of learned run times, not %d", state.Version, stateVersion)
	}
	restored := New()
	for i := range state.Kinds {
		if err := restored.restoreKind(&state.Kinds[i]); err != nil {
			return err
		}
	}
	*f = *restored
	return nil
}

func (f *Forecaster) restoreKind(state *KindState) (err error) {
	if state.Source < ByQueue || state.Source > ByImage {
		return fmt.Errorf("kind of queue %s has the source %d", state.Queue, state.Source)
	}
	t := Task{Image: state.Image, Account: state.Account, Queue: state.Queue, Step: state.Step}
	k := f.kindOf(t, state.Source)
	if k == nil {
		return fmt.Errorf("kind of queue %s has no name, or there are too many", state.Queue)
	}
	if err := k.times.restore(&state.Times); err != nil {
		return err
	}
	if state.Ratios != nil {
		ratios := newModel()
		k.ratios = &ratios
		if err := k.ratios.restore(state.Ratios); err != nil {
			return err
		}
	}
	return k.spread.restore(state.Spread)
}

func (m *model) restore(state *ModelState) (err error) {
	isValid := state.Runs >= len(state.Buckets) && state.Runs <= windowSize && len(state.Buckets) > 0 == (state.Runs > 0) &&
		state.Mean > 0 && state.Typical > 0 && state.Unit > 0 && state.Independent >= 0 && state.Independent <= 1
	if state.Runs == 0 || !isValid {
		return fmt.Errorf("model of %d runs is not valid", state.Runs)
	}
	for i := range state.Runs {
		// The quantiles are interleaved, so that the oldest values are of all sizes.
		bucket := state.Buckets[i*37%state.Runs*len(state.Buckets)/state.Runs]
		if bucket >= bucketCount {
			return fmt.Errorf("bucket %d is not valid", bucket)
		}
		m.window.add(bucket)
	}
	m.loss, m.independent, m.isOutdated = state.Loss, state.Independent, true
	m.totals = totals{
		runTime: state.Mean * state.Unit, unit: state.Unit, typicalRunTime: state.Typical * state.Unit, typicalUnit: state.Unit,
		count: state.Runs,
	}
	return nil
}

func (s *spread) restore(buckets []byte) (err error) {
	if len(buckets) > spreadSize {
		return fmt.Errorf("%d deviations are too many", len(buckets))
	}
	for _, bucket := range buckets {
		if bucket >= spreadBuckets {
			return fmt.Errorf("deviation %d is not valid", bucket)
		}
		s.addBucket(bucket)
	}
	if s.count > 0 {
		s.refresh()
	}
	return nil
}
