package jobs

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// endpointCounts are the sizes tested: a small pool, the largest pool of the users' grown
// sites with headroom, and a large installation as a single cell.
var endpointCounts = []int{50, 350, 3000}

// tasksPerEndpoint is the number of test tasks that fill an endpoint.
const tasksPerEndpoint = 8

// submitJobs submits one job per endpoint, which together fill all endpoints.
func submitJobs(b *testbed, endpoints, round int) {
	for i := range endpoints {
		b.submit(fmt.Sprintf("%08x%08x", round, i), batchStep(tasksPerEndpoint, 4000/tasksPerEndpoint))
	}
}

// turnover fills the cell, ends all runs and returns the number of events: accepted
// jobs, answered starts and ends.
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
		ends[s.Endpoint] = append(ends[s.Endpoint], ListedEnd{Number: b.ends[s.Endpoint], End: End{Task: s.Task, Run: s.Run, Outcome: Done}})
	}
	for id, list := range ends {
		b.cell.ApplyListing(b.now, Listing{Endpoint: id, AskedAt: b.now, Born: b.born, Clock: b.clock, Ended: list})
	}
	b.planAndStore()
	return endpoints + 2*len(starts)
}

// BenchmarkTurnover measures the events per second that an owner can process without
// its I/O.
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

// maxBytesPerTask bounds the memory for the state of a task: half of a daemon's 64 MB
// for an entry that owns the whole installation of the users' first letter, 610
// endpoints with 8 running and 8 waiting tasks each.
const maxBytesPerTask = (64 << 20) / 2 / (2 * 610 * tasksPerEndpoint)

// maxAllocationGrowth bounds the growth of the allocations per event from the smallest
// to the largest cell, so that events cost the same in large cells.
const maxAllocationGrowth = 1.2

func TestScale(t *testing.T) {
	Convey("Memory and allocations per task do not grow with the cell", t, func() {
		allocated := make(map[int]float64)
		for _, endpoints := range endpointCounts {
			b := newTestbed(endpoints)
			events := 0
			round := 0
			// The first round is not measured: it grows the maps to their final size.
			turnover(b, endpoints, round)
			allocations := testing.AllocsPerRun(1, func() {
				round++
				events = turnover(b, endpoints, round)
			})
			allocated[endpoints] = allocations / float64(events)
			bytes := bytesPerTask(endpoints)
			t.Logf("%d endpoints: %.1f allocations per event, %d bytes per task", endpoints, allocated[endpoints], bytes)
			So(bytes, ShouldBeLessThan, maxBytesPerTask)
		}
		smallest, largest := endpointCounts[0], endpointCounts[len(endpointCounts)-1]
		So(allocated[largest], ShouldBeLessThan, maxAllocationGrowth*allocated[smallest])
	})
}

// bytesPerTask measures the memory that a cell keeps for each running or waiting task.
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
