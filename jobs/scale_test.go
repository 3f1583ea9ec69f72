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
var scaleSizes = []int{50, 350, 3000}

// tasksEach is how many tasks fill an endpoint of the scale tests.
const tasksEach = 8

// fill gives a cell as many jobs as keep all of its endpoints busy.
func fill(b *bench, endpoints, round int) {
	for i := range endpoints {
		b.submit(fmt.Sprintf("%08x%08x", round, i), batch(tasksEach, 4000/tasksEach))
	}
}

// turnover fills a cell once, ends all that runs and returns how many events that
// was: accepted jobs, answers to starts, and ends.
func turnover(b *bench, endpoints, round int) (events int) {
	fill(b, endpoints, round)
	starts := b.run()
	b.pass(100 * time.Millisecond)
	for i := range endpoints {
		b.list(i)
	}
	ends := make(map[string][]ListedEnd)
	for _, s := range starts {
		b.ends[s.Endpoint]++
		ends[s.Endpoint] = append(ends[s.Endpoint], ListedEnd{Number: b.ends[s.Endpoint], End: End{Task: s.Task, Run: s.Run, Outcome: Done}})
	}
	for id, list := range ends {
		b.cell.ApplyListing(b.now, Listing{Endpoint: id, Born: b.born, Clock: b.clock, Ended: list})
	}
	b.cycle()
	return endpoints + 2*len(starts)
}

// BenchmarkTurnover measures the work of an owner's loop without its I/O, in
// events a second.
func BenchmarkTurnover(b *testing.B) {
	for _, endpoints := range scaleSizes {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			cell := newBench(endpoints)
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

// bytesMost bounds the state of a task: half of the 64 MB of a daemon, for one
// entry that owns everything at the size of the users' first letter, 610 endpoints
// of 8 tasks with as many tasks waiting.
const bytesMost = (64 << 20) / 2 / (2 * 610 * tasksEach)

// growthMost bounds by how much the allocations for an event grow from the
// smallest to the largest cell, so that a large one costs no more an event.
const growthMost = 1.2

func TestScale(t *testing.T) {
	Convey("What a cell keeps and allocates for a task does not grow with the cell", t, func() {
		allocated := make(map[int]float64)
		for _, endpoints := range scaleSizes {
			b := newBench(endpoints)
			events := 0
			round := 0
			// A first round outside of the count lets maps reach their size.
			turnover(b, endpoints, round)
			allocations := testing.AllocsPerRun(1, func() {
				round++
				events = turnover(b, endpoints, round)
			})
			allocated[endpoints] = allocations / float64(events)
			bytes := bytesOfTask(endpoints)
			t.Logf("%d endpoints: %.1f allocations an event, %d bytes a task", endpoints, allocated[endpoints], bytes)
			So(bytes, ShouldBeLessThan, bytesMost)
		}
		smallest, largest := scaleSizes[0], scaleSizes[len(scaleSizes)-1]
		So(allocated[largest], ShouldBeLessThan, growthMost*allocated[smallest])
	})
}

// bytesOfTask measures what a cell keeps for each task that runs or waits.
func bytesOfTask(endpoints int) int {
	b := newBench(endpoints)
	before := heapInUse()
	fill(b, endpoints, 1)
	b.run()
	fill(b, endpoints, 2)
	after := heapInUse()
	runtime.KeepAlive(b)
	return int(after-before) / (2 * endpoints * tasksEach)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
