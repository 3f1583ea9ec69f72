package share

import (
	"container/list"
	"time"
)

// DefaultQuickThreshold is the default of Config.QuickThreshold.
const DefaultQuickThreshold = time.Second

// quickCreditSeconds is the slot time for which a team is preferred after a time
// without quick work. It bounds the credit that the team gains in that time.
const quickCreditSeconds = 1

// Config configures a Queue. Zero values select the defaults.
type Config struct {
	// QuickThreshold is the longest predicted run time of work that counts as quick.
	QuickThreshold time.Duration
}

// Queue orders items of type T. The team that occupies the fewest slots relative to
// its share goes first, and within the team the service that occupies the fewest.
// It is not safe for concurrent use.
type Queue[T any] struct {
	config Config
	flows  map[string]*flow[T]
	// active lists the flows with waiting items.
	active []*flow[T]
	// length is the number of waiting items.
	length int
	// remoteRunning is the number of slots that all teams occupy through other
	// processes. processCount is the number of all processes, this one included.
	remoteRunning int
	processCount  int
	// quickVirtualTime is the virtual time of quick work, that is the largest start
	// time of an item that PopQuick has returned.
	quickVirtualTime float64
	// totalShares is the sum of the shares of the teams with waiting or running work.
	totalShares float64
}

// Item is one waiting or running piece of work.
type Item[T any] struct {
	Value T
	// Team is the team on whose share the work runs.
	Team string
	// Service is the service of the team that the work belongs to.
	Service string
	// Predicted is the predicted run time.
	Predicted time.Duration

	isQuick bool
	// element is the position in the queue of the service, nil if the item does not
	// wait.
	element *list.Element
}

// IsQuick reports whether the item was classified as quick when it was pushed.
func (i *Item[T]) IsQuick() bool { return i.isQuick }

// NewQueue returns an empty Queue.
func NewQueue[T any](config Config) *Queue[T] {
	if config.QuickThreshold == 0 {
		config.QuickThreshold = DefaultQuickThreshold
	}
	return &Queue[T]{config: config, flows: make(map[string]*flow[T]), processCount: 1}
}

// SetShare sets the share of a team, which must be positive. The default is 1.
func (q *Queue[T]) SetShare(team string, share float64) {
	q.flow(team).share = share
}

// SetRemote sets how many slots each team occupies through the other processes, and
// the number of all processes, this one included. A team without an entry occupies
// none.
func (q *Queue[T]) SetRemote(running map[string]int, processCount int) {
	q.remoteRunning, q.processCount = 0, max(processCount, 1)
	for _, f := range q.flows {
		f.remoteRunning = 0
	}
	for team, count := range running {
		q.flow(team).remoteRunning = count
		q.remoteRunning += count
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of a team.
func (q *Queue[T]) Waiting(team string) int {
	if f := q.flows[team]; f != nil {
		return f.waiting
	}
	return 0
}

// Running returns how many slots each team occupies through this process. Teams
// that occupy none are left out.
func (q *Queue[T]) Running() map[string]int {
	running := make(map[string]int)
	for team, f := range q.flows {
		if f.running > 0 {
			running[team] = f.running
		}
	}
	return running
}

// Push adds an item to the end of the queue of its service.
func (q *Queue[T]) Push(team, service string, predicted time.Duration, value T) *Item[T] {
	item := &Item[T]{Value: value, Team: team, Service: service, Predicted: predicted}
	item.isQuick = q.flow(team).serviceQueue(service).classify(predicted, q.config.QuickThreshold)
	q.enqueue(item, false)
	return item
}

// Cancel removes a waiting item. Its time does not depend on the number of waiting
// items. It returns false if the item no longer waits.
func (q *Queue[T]) Cancel(item *Item[T]) bool {
	if item.element == nil {
		return false
	}
	q.dequeue(item)
	return true
}

// Pop removes and returns the next item of the teams for which isReady returns true,
// nil if there is none. The item counts as running until Finish or Requeue is called
// for it. isReady may return true for several teams; the item is of the last of them.
func (q *Queue[T]) Pop(isReady func(team string) bool) *Item[T] {
	f := q.nextFlow(isReady)
	if f == nil {
		return nil
	}
	return q.start(f, f.nextItem())
}

// PopQuick is like Pop, but returns quick items only, and among those of the team the
// one with the shortest predicted run time. The teams are ordered by start-time fair
// queueing over the slot time of their quick work instead of by the slots that they
// occupy: quick work holds no slot for long, so that an order that is fair over time
// is fair at any time.
func (q *Queue[T]) PopQuick(isReady func(team string) bool) *Item[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.shortestQuick() == nil {
			continue
		}
		f.quickVirtualTime = max(f.quickVirtualTime, q.quickVirtualTime-quickCreditSeconds/f.share)
		if (best == nil || f.quickVirtualTime < best.quickVirtualTime) && isReady(f.team) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	q.quickVirtualTime = max(q.quickVirtualTime, best.quickVirtualTime)
	return q.start(best, best.shortestQuick())
}

// Requeue puts an item that Pop or PopQuick returned, but that could not be started,
// back to the front of the queue of its service.
func (q *Queue[T]) Requeue(item *Item[T]) {
	q.Finish(item)
	q.enqueue(item, true)
}

// Finish records that the work of a running item has ended.
func (q *Queue[T]) Finish(item *Item[T]) { q.flows[item.Team].recordEnd(item) }

// flow returns the flow of a team and creates it if there is none.
func (q *Queue[T]) flow(team string) *flow[T] {
	f := q.flows[team]
	if f == nil {
		f = newFlow[T](team)
		q.flows[team] = f
	}
	return f
}

func (q *Queue[T]) enqueue(item *Item[T], isRequeued bool) {
	f := q.flow(item.Team)
	if f.waiting == 0 {
		q.active = append(q.active, f)
	}
	f.add(item, isRequeued)
	q.length++
}

// start moves an item of the flow from waiting to running.
func (q *Queue[T]) start(f *flow[T], item *Item[T]) *Item[T] {
	q.dequeue(item)
	f.recordStart(item)
	return item
}

func (q *Queue[T]) dequeue(item *Item[T]) {
	f := q.flows[item.Team]
	f.remove(item)
	q.length--
	if f.waiting > 0 {
		return
	}
	for i, other := range q.active {
		if other == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// nextFlow returns the active flow with the lowest occupancy among those whose teams
// are ready, nil if there is none. It calls isReady only for a team with a lower
// occupancy than the best one found before.
func (q *Queue[T]) nextFlow(isReady func(team string) bool) (best *flow[T]) {
	q.updateTotalShares()
	lowest := 0.0
	for _, f := range q.active {
		occupancy := q.occupancy(f)
		if best != nil && lowest <= occupancy {
			continue
		}
		if isReady(f.team) {
			best, lowest = f, occupancy
		}
	}
	return best
}

// updateTotalShares sums the shares of the teams that have waiting or running work,
// here or through other processes.
func (q *Queue[T]) updateTotalShares() {
	q.totalShares = 0
	for _, f := range q.flows {
		if f.waiting > 0 || f.running > 0 || f.remoteRunning > 0 {
			q.totalShares += f.share
		}
	}
}

// occupancy returns the number of slots per unit of share that a team would occupy
// with one more slot. The deficit or surplus of the team in slots occupied through
// other processes is divided by the number of processes: each process compensates
// for its part only, so that together they do not compensate for it several times.
func (q *Queue[T]) occupancy(f *flow[T]) float64 {
	entitled := float64(q.remoteRunning) * f.share / q.totalShares
	deficit := (entitled - float64(f.remoteRunning)) / float64(q.processCount)
	return (float64(f.running) + 1 - deficit) / f.share
}
