package forecast

import "time"

// key identifies a kind of task. Image is empty for kinds by account, both image and
// account for kinds by queue. Kinds by image are shared by the accounts.
type key struct {
	image, account, queue string
	step                  int
}

func keyOf(t Task, source Source) key {
	k := key{queue: t.Queue, step: min(t.Step, maxStep)}
	switch source {
	case ByImage:
		k.image = t.Image
	case ByAccount:
		k.account = t.Account
	}
	return k
}

// kind holds what was learned about a kind of task.
type kind struct {
	// account is the client account that brought the kind about.
	account string
	// times is the distribution of the run times, ratios that of their ratios to the
	// declared run times; it is nil if none was declared.
	times  model
	ratios *model
	spread spread
	// usedAt is the number of the last observation.
	usedAt uint64
}

// find returns a kind, nil if it is not known. Tasks without an image or an account have no
// kinds by these.
func (f *Forecaster) find(t Task, source Source) *kind {
	switch {
	case source == ByQueue:
		return f.queues[keyOf(t, source)]
	case source == ByImage && t.Image == "" || source == ByAccount && t.Account == "":
		return nil
	default:
		return f.kinds[keyOf(t, source)]
	}
}

// kindOf returns a kind and adds it if it is not known. It returns nil if there is none or no
// room for it.
func (f *Forecaster) kindOf(t Task, source Source) *kind {
	if k := f.find(t, source); k != nil {
		return k
	}
	k := &kind{account: t.Account, times: newModel()}
	switch {
	case source == ByQueue:
		if len(f.queues) >= maxQueueKinds {
			return nil
		}
		f.queues[keyOf(t, source)] = k
	case source == ByImage && t.Image == "" || source == ByAccount && t.Account == "":
		return nil
	default:
		f.makeRoom()
		f.kinds[keyOf(t, source)] = k
	}
	return k
}

// makeRoom drops a kind if there are too many: of the client account with the most kinds, the
// one that was not observed for longest. So an account with many images drops its own kinds.
func (f *Forecaster) makeRoom() {
	if len(f.kinds) < maxKinds {
		return
	}
	counts := make(map[string]int)
	for _, k := range f.kinds {
		counts[k.account]++
	}
	var oldest *kind
	var oldestKey key
	for candidate, k := range f.kinds {
		if oldest == nil || counts[k.account] > counts[oldest.account] ||
			counts[k.account] == counts[oldest.account] && k.usedAt < oldest.usedAt {
			oldest, oldestKey = k, candidate
		}
	}
	delete(f.kinds, oldestKey)
}

// observe learns from a run.
func (k *kind) observe(r Run, counter uint64) {
	k.usedAt = counter
	v := value{logarithm: logarithmOf(r.Duration), unit: 1, tasks: r.Tasks, siblings: r.Siblings}
	k.times.observe(v)
	if r.Declared <= 0 {
		return
	}
	if k.ratios == nil {
		ratios := newModel()
		k.ratios = &ratios
	}
	v.logarithm, v.unit = v.logarithm-logarithmOf(r.Declared), r.Declared.Seconds()
	k.ratios.observe(v)
}

// choose returns the model that predicts better for a task with a declared run time, and
// the factor by which to multiply it.
func (k *kind) choose(declared time.Duration) (m *model, factor float64) {
	if declared > 0 && k.ratios != nil && k.ratios.window.count >= minRuns && k.ratios.loss < ratioAdvantage*k.times.loss {
		return k.ratios, declared.Seconds()
	}
	return &k.times, 1
}

// isBetter reports whether k has predicted better than another kind.
func (k *kind) isBetter(other *kind, declared time.Duration) bool {
	m, _ := k.choose(declared)
	o, _ := other.choose(declared)
	return m.window.count >= minRuns && (o.window.count < minRuns || m.loss < o.loss)
}

// halfConfidenceRuns is the number of runs with which the confidence is 0.5.
const halfConfidenceRuns = 10

func (k *kind) predict(declared time.Duration, source Source) Distribution {
	m, factor := k.choose(declared)
	m.refresh()
	runs := m.window.count
	confidence := float64(runs) / float64(runs+halfConfidenceRuns) * max(1-2*m.miscoverage(), 0)
	return Distribution{
		Source: source, Confidence: confidence, Runs: runs,
		Mean: seconds(factor * m.mean), Typical: seconds(factor * m.typical),
		factor: factor, quantiles: m.quantiles, spread: &k.spread,
	}
}
