package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/chicorypin/chicorypin/share"
)

const (
	entryCount = 6
	// exchangePeriod is how often entries exchange their usage and refuse overdue
	// requests.
	exchangePeriod = 2 * time.Second
	timeStep       = 10 * time.Millisecond
)

// teamLoad is the load that one team offers. share is its share of the slots in
// percent.
type teamLoad struct {
	name  string
	share float64
	// offeredSlots is the mean number of slots that the team's requests would occupy
	// without any limit.
	offeredSlots float64
}

// teams are the simulated teams, a few of them large. Each offers more than its share
// of the slots.
var teams = []teamLoad{
	{"rota-day", 35, 60},
	{"rota-late", 25, 70},
	{"vet", 15, 40},
	{"gate", 10, 30},
	{"shop", 10, 25},
	{"school", 5, 20},
}

// workKind is one kind of request. Its run times are log-normally distributed.
// Declared run times are not simulated: they are wrong by up to a factor of ten in
// either direction, so no policy uses them.
type workKind struct {
	name        string
	meanRunTime time.Duration
	// slotTimeFraction is the fraction of the team's slot time.
	slotTimeFraction float64
	// sigma is the standard deviation of the logarithm of the run time.
	sigma float64
	// maxWait is how long a request is queued before it is refused.
	maxWait time.Duration
}

// kinds is the mix of requests: mostly long work that fills the pool, and some quick
// work.
var kinds = []workKind{
	{"digest", 20 * time.Second, 0.50, 0.5, 60 * time.Second},
	{"photo", 6 * time.Second, 0.35, 0.7, 60 * time.Second},
	{"build", 1500 * time.Millisecond, 0.10, 0.7, 30 * time.Second},
	{"check", 300 * time.Millisecond, 0.04, 0.5, 15 * time.Second},
	{"search", 100 * time.Millisecond, 0.01, 0.5, 15 * time.Second},
}

// task is one request in the simulation. Its times are counted from the start of the
// simulation. maxWait is set to 0 once the task has started. started is the time of
// the refusal for a refused task.
type task struct {
	team      string
	kind      string
	runTime   time.Duration
	arrived   time.Duration
	started   time.Duration
	maxWait   time.Duration
	isRefused bool
	entry     int
	item      *share.Item[*task]
}

// finishHeap is a heap of running tasks, ordered by the time at which they finish.
type finishHeap []*task

func (h finishHeap) Len() int           { return len(h) }
func (h finishHeap) Less(i, j int) bool { return h[i].started+h[i].runTime < h[j].started+h[j].runTime }
func (h finishHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *finishHeap) Push(x any)        { *h = append(*h, x.(*task)) }
func (h *finishHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// policy is the scheduling policy of one entry, as a set of functions.
type policy struct {
	push func(now time.Time, t *task)
	// next removes and returns the task to start next, or nil. held is the number of
	// slots of the entry, free and occupied.
	next   func(now time.Time, free, held int) *task
	finish func(now time.Time, t *task)
	// running returns the slots that each team occupies at this entry; setRemote
	// sets those that each team occupies at the other entries.
	running   func() map[string]int
	setRemote func(running map[string]int)
	// cancel removes a request that has waited for too long from the queue.
	cancel func(t *task)
}

// fairPolicy returns the policy of the daemon, fair queueing with predicted run
// times.
func fairPolicy() policy {
	scheduler := share.NewScheduler[*task](share.Config{})
	predictor := share.NewPredictor()
	for _, tm := range teams {
		scheduler.SetShare(tm.name, tm.share)
	}
	ready := func(string) bool { return true }
	return policy{
		push: func(now time.Time, t *task) {
			t.item = scheduler.Push(now, t.team, t.kind, predictor.Predict(share.Kind{Team: t.team, Service: t.kind}), t)
		},
		next: func(now time.Time, free, held int) *task {
			if item := scheduler.Next(now, free, held, ready); item != nil {
				return item.Value
			}
			return nil
		},
		finish: func(now time.Time, t *task) {
			predictor.Learn(share.Kind{Team: t.team, Service: t.kind}, t.runTime)
			scheduler.Finish(now, t.item)
		},
		running:   scheduler.Running,
		setRemote: func(running map[string]int) { scheduler.SetRemote(running, entryCount) },
		cancel:    func(t *task) { scheduler.Cancel(t.item) },
	}
}

// fifoPolicy returns a policy that starts work in the order of arrival.
func fifoPolicy() policy {
	var waiting []*task
	return policy{
		push: func(_ time.Time, t *task) { waiting = append(waiting, t) },
		next: func(time.Time, int, int) *task {
			waiting = dropRefused(waiting)
			if len(waiting) == 0 {
				return nil
			}
			first := waiting[0]
			waiting = waiting[1:]
			return first
		},
		finish:    func(time.Time, *task) {},
		running:   func() map[string]int { return nil },
		setRemote: func(map[string]int) {},
		cancel:    func(*task) {},
	}
}

// staticPolicy returns a policy that gives each team a fixed part of the slots and
// starts its work in the order of arrival.
func staticPolicy() policy {
	waiting := make(map[string][]*task)
	running := make(map[string]int)
	return policy{
		push: func(_ time.Time, t *task) { waiting[t.team] = append(waiting[t.team], t) },
		next: func(_ time.Time, _, held int) *task {
			for _, tm := range teams {
				teamSlots := max(int(math.Round(float64(held)*tm.share/100)), 1)
				waiting[tm.name] = dropRefused(waiting[tm.name])
				if list := waiting[tm.name]; len(list) > 0 && running[tm.name] < teamSlots {
					waiting[tm.name] = list[1:]
					running[tm.name]++
					return list[0]
				}
			}
			return nil
		},
		finish:    func(_ time.Time, t *task) { running[t.team]-- },
		running:   func() map[string]int { return nil },
		setRemote: func(map[string]int) {},
		cancel:    func(*task) {},
	}
}

// dropRefused removes the refused tasks at the head of the list.
func dropRefused(list []*task) []*task {
	for len(list) > 0 && list[0].isRefused {
		list = list[1:]
	}
	return list
}

// poolSimulation simulates a pool whose slots are divided among several entries.
// policies, held and free have one element per entry; held and free count slots.
type poolSimulation struct {
	random       *rand.Rand
	now          time.Duration
	policies     []policy
	held         []int
	free         []int
	running      finishHeap
	finished     []*task
	queued       []*task
	refused      []*task
	idleSlotTime time.Duration
}

func newPoolSimulation(seed uint64, create func() policy) *poolSimulation {
	p := &poolSimulation{random: rand.New(rand.NewPCG(seed, seed))}
	for i := range entryCount {
		slots := (poolSlots + i) / entryCount
		p.policies = append(p.policies, create())
		p.held = append(p.held, slots)
		p.free = append(p.free, slots)
	}
	return p
}

func (p *poolSimulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(p.now) }

// simulate runs the simulation for warmUp and measuredTime. demand returns the factor
// by which the load of a team is scaled.
func (p *poolSimulation) simulate(demand func(now time.Duration, tm teamLoad) float64) {
	for p.now < warmUp+measuredTime {
		for _, tm := range teams {
			p.arrive(tm, demand(p.now, tm))
		}
		for i := range p.policies {
			p.startTasks(i)
		}
		for _, free := range p.free {
			p.idleSlotTime += time.Duration(free) * timeStep
		}
		p.now += timeStep
		p.finishDue()
		if p.now%exchangePeriod == 0 {
			p.exchangeUsage()
			p.refuseOverdue()
		}
	}
}

// refuseOverdue refuses the tasks that have waited for maxWait.
func (p *poolSimulation) refuseOverdue() {
	p.queued = slices.DeleteFunc(p.queued, func(t *task) bool {
		if t.maxWait == 0 {
			return true
		}
		if p.now-t.arrived < t.maxWait {
			return false
		}
		t.isRefused = true
		t.started = p.now
		p.refused = append(p.refused, t)
		p.policies[t.entry].cancel(t)
		return true
	})
}

// arrive adds the random arrivals of one time step for a team.
func (p *poolSimulation) arrive(tm teamLoad, demand float64) {
	for _, k := range kinds {
		// Fractions are of slot time, so short kinds arrive more often.
		rate := demand * tm.offeredSlots * k.slotTimeFraction / k.meanRunTime.Seconds() * timeStep.Seconds()
		for ; rate > 0; rate-- {
			if p.random.Float64() < rate {
				p.push(tm, k)
			}
		}
	}
}

func (p *poolSimulation) push(tm teamLoad, k workKind) {
	factor := math.Exp(p.random.NormFloat64()*k.sigma - k.sigma*k.sigma/2)
	t := &task{
		team: tm.name, kind: k.name, runTime: time.Duration(float64(k.meanRunTime) * factor),
		arrived: p.now, maxWait: k.maxWait, entry: p.random.IntN(entryCount),
	}
	p.queued = append(p.queued, t)
	p.policies[t.entry].push(p.clock(), t)
}

// startTasks starts tasks at an entry until its policy returns none or no slot is free.
func (p *poolSimulation) startTasks(entry int) {
	for p.free[entry] > 0 {
		t := p.policies[entry].next(p.clock(), p.free[entry], p.held[entry])
		if t == nil {
			return
		}
		p.free[entry]--
		t.started, t.maxWait = p.now, 0
		heap.Push(&p.running, t)
	}
}

// finishDue finishes the tasks whose run time is over.
func (p *poolSimulation) finishDue() {
	for len(p.running) > 0 && p.running[0].started+p.running[0].runTime <= p.now {
		t := heap.Pop(&p.running).(*task)
		p.free[t.entry]++
		p.finished = append(p.finished, t)
		p.policies[t.entry].finish(p.clock(), t)
	}
}

// exchangeUsage passes the slots that each team occupies at an entry to all other
// entries.
func (p *poolSimulation) exchangeUsage() {
	for i := range p.policies {
		remote := make(map[string]int)
		for j := range p.policies {
			if j == i {
				continue
			}
			for team, count := range p.policies[j].running() {
				remote[team] += count
			}
		}
		p.policies[i].setRemote(remote)
	}
}

// slotTimeUsed returns the slot time that each team used between from and to.
func (p *poolSimulation) slotTimeUsed(from, to time.Duration) map[string]time.Duration {
	used := make(map[string]time.Duration)
	for _, t := range slices.Concat(p.finished, p.running) {
		overlap := min(t.started+t.runTime, to) - max(t.started, from)
		used[t.team] += max(overlap, 0)
	}
	return used
}

// shareDeviation computes, for windows of 10 s that start every 5 s between from and to,
// the largest difference between a team's fraction of the slot time used and its share.
// It returns the maximum and the mean over all windows.
func (p *poolSimulation) shareDeviation(from, to time.Duration) (maximum, mean float64) {
	const window = 10 * time.Second
	windows := 0
	for start := from; start+window <= to; start += window / 2 {
		used := p.slotTimeUsed(start, start+window)
		total := time.Duration(0)
		for _, u := range used {
			total += u
		}
		deviation := 0.0
		for _, tm := range teams {
			deviation = max(deviation, math.Abs(used[tm.name].Seconds()/total.Seconds()-tm.share/100))
		}
		maximum = max(maximum, deviation)
		mean += deviation
		windows++
	}
	return maximum, mean / float64(windows)
}

// waitingTimes returns the sorted waiting times of the wanted tasks that arrived
// between from and to and were started or refused. For a refused task it is the time
// until the refusal.
func (p *poolSimulation) waitingTimes(from, to time.Duration, isWanted func(t *task) bool) (waits []time.Duration) {
	for _, t := range slices.Concat(p.finished, p.running, p.refused) {
		if t.arrived >= from && t.arrived < to && isWanted(t) {
			waits = append(waits, t.started-t.arrived)
		}
	}
	slices.Sort(waits)
	return waits
}

// quantile returns the quantile q of sorted waiting times, or 0 if there are none.
func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return waits[min(int(float64(len(waits))*q), len(waits)-1)]
}
