package units

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLimitHoldsAmongGoroutines guards against data races that let more units be in
// use than the limit: goroutines acquire and release units of two ledgers while
// these lend units to each other.
func TestLimitHoldsAmongGoroutines(t *testing.T) {
	Convey("Given two ledgers with 7 units and 8 goroutines on each", t, func() {
		const limit, rounds = 7, 2000
		names := []string{"a", "b"}
		table := NewEqualTable(1, names)
		ledgers := make(map[string]*Ledger)
		for i, name := range names {
			ledgers[name] = NewLedger(Config{Self: name, Interval: time.Microsecond})
			ledgers[name].SetPeers([]string{names[1-i]})
			ledgers[name].SetShare(resourceName, table.Units(name, limit))
		}
		var running, peak atomic.Int64
		stop := make(chan bool)
		var exchange, work sync.WaitGroup
		exchange.Add(1)
		go func() {
			defer exchange.Done()
			exchangeUntil(stop, ledgers)
		}()
		for _, name := range names {
			for range 8 {
				work.Add(1)
				go func() {
					defer work.Done()
					for range rounds {
						acquireAndRelease(ledgers[name].Account(resourceName), &running, &peak)
					}
				}()
			}
		}
		work.Wait()
		close(stop)
		exchange.Wait()
		So(peak.Load(), ShouldBeLessThanOrEqualTo, limit)
		So(running.Load(), ShouldEqual, 0)
		for _, l := range ledgers {
			So(l.Account(resourceName).Used(), ShouldEqual, 0)
		}
	})
}

// exchangeUntil ticks the ledgers and delivers their messages without delay until
// stop is closed.
func exchangeUntil(stop <-chan bool, ledgers map[string]*Ledger) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		for _, l := range ledgers {
			l.Account(resourceName).SetWaiting(3)
			for _, want := range l.Tick(time.Now()) {
				if reply, ok := ledgers[want.To].ReceiveWant(time.Now(), want); ok {
					l.ReceiveLend(reply)
				}
			}
		}
	}
}

// acquireAndRelease acquires one unit if one is free, updates the peak number of
// units in use at the same time, and releases the unit.
func acquireAndRelease(account *Account, running, peak *atomic.Int64) {
	permit := account.Acquire()
	if permit == nil {
		return
	}
	current := running.Add(1)
	for {
		before := peak.Load()
		if current <= before || peak.CompareAndSwap(before, current) {
			break
		}
	}
	running.Add(-1)
	permit.Release()
}
