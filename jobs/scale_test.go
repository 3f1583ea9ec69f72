package jobs

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Sizes of a cell: a small pool, the largest pool of the users' grown sites with
// room to spare, and a whole large installation in one cell.
var endpointCounts = []int{50, 350, 3000}

// tasksPerEndpoint is how many tasks fill an endpoint of the scale tests.
const tasksPerEndpoint = 8

// submitJobs gives a cell as many jobs as keep all of its endpoints busy.
func submitJobs(b *testbed, endpoints, round int) {
	for i := range endpoints {
		b.submit(fmt.Sprintf("%08x%08x", round, i), batchStep(tasksPerEndpoint, 4000/tasksPerEndpoint))
	}
}

// turnover fills a cell once, ends all that runs and returns how many events that
// was: accepted jobs, answers to starts, and ends.
func turnover(b *testbed, endpoints, round int) (events int) {
	submitJobs(b, endpoints, round)
	starts := b.planAndAccept()
	b.advance(100 * time.Millisecond)
	for i := range endpoints {
		b.answerPoll(i)
	}
	ends := make(map[string][]ListedEnd)
	for _, s := range starts {
		b.ends[s.Endpoint]++
		ends[s.Endpoint] = append(ends[s.Endpoint], ListedEnd{Number: b.ends[s.Endpoint], End: End{Task: s.Task, Run: s.Run, How: Done}})
	}
	for id, list := range ends {
		b.cell.Listed(b.now, Listing{Endpoint: id, Born: b.born, Clock: b.clock, Ended: list})
	}
	b.planAndStore()
	return endpoints + 2*len(starts)
}

// BenchmarkTurnover measures the work of an owner's loop without its I/O, in
// events a second.
func BenchmarkTurnover(b *testing.B) {
	for _, endpoints := range endpointCounts {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			cell := newTestbed(endpoints)
			b.ReportAllocs()
			b.ResetTimer()
			events := 0
			for i := range b.N {
				events += turnover(cell, endpoints, i)
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// maxBytesPerTask bounds the state of a task: half of the 64 MB of a daemon, for one
// entry that owns everything at the size of the users' first letter, 610 endpoints
// of 8 tasks with as many tasks waiting.
const maxBytesPerTask = (64 << 20) / 2 / (2 * 610 * tasksPerEndpoint)

// maxAllocationGrowth bounds by how much the allocations for an event grow from the
// smallest to the largest cell, so that a large one costs no more an event.
const maxAllocationGrowth = 1.2

func TestScale(t *testing.T) {
	Convey("What a cell keeps and allocates for a task does not grow with the cell", t, func() {
		allocated := make(map[int]float64)
		for _, endpoints := range endpointCounts {
			b := newTestbed(endpoints)
			events := 0
			round := 0
			// A first round outside of the count lets maps reach their size.
			turnover(b, endpoints, round)
			allocations := testing.AllocsPerRun(1, func() {
				round++
				events = turnover(b, endpoints, round)
			})
			allocated[endpoints] = allocations / float64(events)
			bytes := bytesPerTask(endpoints)
			t.Logf("%d endpoints: %.1f allocations an event, %d bytes a task", endpoints, allocated[endpoints], bytes)
			So(bytes, ShouldBeLessThan, maxBytesPerTask)
		}
		smallest, largest := endpointCounts[0], endpointCounts[len(endpointCounts)-1]
		So(allocated[largest], ShouldBeLessThan, maxAllocationGrowth*allocated[smallest])
	})
}

// bytesPerTask measures what a cell keeps for each task that runs or waits.
func bytesPerTask(endpoints int) int {
	b := newTestbed(endpoints)
	before := heapInUse()
	submitJobs(b, endpoints, 1)
	b.planAndAccept()
	submitJobs(b, endpoints, 2)
	after := heapInUse()
	runtime.KeepAlive(b)
	return int(after-before) / (2 * endpoints * tasksPerEndpoint)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
