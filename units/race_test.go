package units

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLimitHoldsAmongThreads lets many threads take and free units of two
// ledgers while they trade, and counts what runs.
func TestLimitHoldsAmongThreads(t *testing.T) {
	Convey("Given two ledgers with 7 units and 8 threads on each", t, func() {
		const limit, rounds = 7, 2000
		names := []string{"a", "b"}
		table := Split(1, names)
		ledgers := make(map[string]*Ledger)
		for i, name := range names {
			ledgers[name] = NewLedger(Config{Self: name, Interval: time.Microsecond})
			ledgers[name].SetPeers([]string{names[1-i]})
			ledgers[name].SetShare(teamName, table.Units(name, limit))
		}
		var running, most atomic.Int64
		stop := make(chan bool)
		var trade, work sync.WaitGroup
		trade.Add(1)
		go func() {
			defer trade.Done()
			tradeUntil(stop, ledgers)
		}()
		for _, name := range names {
			for range 8 {
				work.Add(1)
				go func() {
					defer work.Done()
					for range rounds {
						useOne(ledgers[name].Account(teamName), &running, &most)
					}
				}()
			}
		}
		work.Wait()
		close(stop)
		trade.Wait()
		So(most.Load(), ShouldBeLessThanOrEqualTo, limit)
		So(running.Load(), ShouldEqual, 0)
		for _, l := range ledgers {
			So(l.Account(teamName).Used(), ShouldEqual, 0)
		}
	})
}

func tradeUntil(stop <-chan bool, ledgers map[string]*Ledger) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		for _, l := range ledgers {
			l.Account(teamName).SetWaiting(3)
			for _, want := range l.Tick(time.Now()) {
				if answer, ok := ledgers[want.To].ReceiveWant(time.Now(), want); ok {
					l.ReceiveLend(answer)
				}
			}
		}
	}
}

func useOne(account *Account, running, most *atomic.Int64) {
	permit := account.Acquire()
	if permit == nil {
		return
	}
	now := running.Add(1)
	for {
		before := most.Load()
		if now <= before || most.CompareAndSwap(before, now) {
			break
		}
	}
	running.Add(-1)
	permit.Release()
}
