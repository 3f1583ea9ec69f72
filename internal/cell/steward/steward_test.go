package steward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/cloud"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/plan/pools"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// downtime is how long a machine of fakeFleet is down after an order.
const downtime = 50 * time.Millisecond

// fakeFleet stands in for the cloud and the owners of pools.
type fakeFleet struct {
	mu       sync.Mutex
	store    *keyvalue.Store
	machines map[string]*cloud.Machine
	loads    map[string]jobs.Load
	demand   jobs.Demand
	// orders describes the executed orders; down counts the machines that are down,
	// and maxDown is its highest value.
	orders  []string
	down    int
	maxDown int
	// restarts counts the machines that came back; it makes their new endpoint IDs
	// unique.
	restarts int
	// orderError returns the error of an order; if it is nil or returns nil, the
	// order is executed.
	orderError func(machine string) error
	// cordonCalls counts the cordon calls by endpoint.
	cordonCalls map[string]int
}

func newFakeFleet(machines int) *fakeFleet {
	f := &fakeFleet{
		store: keyvalue.New(), machines: make(map[string]*cloud.Machine),
		loads: make(map[string]jobs.Load), cordonCalls: make(map[string]int),
	}
	for i := range machines {
		id := fmt.Sprintf("m%d", i)
		f.machines[id] = &cloud.Machine{ID: id, Pool: "p", State: cloud.Up, Endpoint: "i-" + id}
		f.loads["i-"+id] = jobs.Load{Endpoint: "i-" + id, IsKnown: true}
	}
	return f
}

func (f *fakeFleet) listMachines(context.Context) (list []cloud.Machine, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		list = append(list, *m)
	}
	return list, nil
}

// execute takes a machine down and brings it back after downtime with a new endpoint,
// or with none in the pool "off".
func (f *fakeFleet) execute(machine, pool, description string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orderError != nil {
		if err := f.orderError(machine); err != nil {
			return err
		}
	}
	m := f.machines[machine]
	if f.loads[m.Endpoint].LongRunningRuns > 0 {
		description += " with long-running tasks"
	}
	f.orders = append(f.orders, description)
	m.State = cloud.Maintenance
	isOff := pool == "off"
	f.down++
	f.maxDown = max(f.maxDown, f.down)
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restarts++
		f.down--
		m.State, m.Pool, m.Endpoint = cloud.Up, pool, ""
		if isOff {
			return
		}
		m.Endpoint = fmt.Sprintf("i-%s-%d", machine, f.restarts)
		f.loads[m.Endpoint] = jobs.Load{Endpoint: m.Endpoint, IsKnown: true}
	})
	return nil
}

func (f *fakeFleet) poolOf(machine string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[machine].Pool
}

func (f *fakeFleet) survey(context.Context, string) (jobs.Demand, []jobs.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []jobs.Load
	for _, load := range f.loads {
		loads = append(loads, load)
	}
	return f.demand, loads, nil
}

// cordon counts the call for each endpoint and, with evacuate, moves one long-running
// task away from each.
func (f *fakeFleet) cordon(_ context.Context, _ string, ids []string, _ time.Duration, evacuate bool) (loads []jobs.Load, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.cordonCalls[id]++
		load := f.loads[id]
		loads = append(loads, load)
		if evacuate && load.LongRunningRuns > 0 {
			load.LongRunningRuns--
			load.Runs--
			f.loads[id] = load
		}
	}
	return loads, nil
}

// newSteward returns a steward for the fleet and makes it the holder of the ownership
// key, so that earlier stewards can no longer write.
func (f *fakeFleet) newSteward(epoch int64, wave *cloud.Wave) *Steward {
	seen := boot.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	key := "owner/steward"
	revision, _ := f.store.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key, Value: []byte("v")}}})
	return New(Config{
		Store: f.store.Client(nil),
		Cloud: &cloud.Client{
			Machines: f.listMachines,
			Move: func(_ context.Context, _ cloud.Holder, machine, pool string) error {
				return f.execute(machine, pool, "move "+machine+" to "+pool)
			},
			Maintain: func(_ context.Context, _ cloud.Holder, machine string, wave int) error {
				return f.execute(machine, f.poolOf(machine), fmt.Sprintf("maintain %s for %d", machine, wave))
			},
		},
		Cells:  Cells{Survey: f.survey, Cordon: f.cordon},
		Holder: cloud.Holder{Name: "e", Epoch: epoch}, Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, QuietPeriod: 700 * time.Millisecond,
		Pools: func() []pools.Pool { return []pools.Pool{{Name: "p"}, {Name: "off", IsStandby: true}} },
		Waves: func() []Wave {
			if wave == nil {
				return nil
			}
			return []Wave{{Wave: *wave, FirstSeen: seen}}
		},
		EncodeStatus: func(number int, isCompleted bool) (string, []byte) {
			return fmt.Sprintf("status/%d", number), fmt.Append(nil, isCompleted)
		},
		CPU: func(string) int64 { return 16000 }, Log: logrus.NewEntry(log),
	})
}

func (f *fakeFleet) waveStatus() string {
	item, _ := f.store.Get("status/1")
	return string(item.Value)
}

// executed returns the descriptions of the executed orders.
func (f *fakeFleet) executed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.orders...)
}

func newWave(machines ...string) *cloud.Wave {
	return &cloud.Wave{Number: 1, Machines: machines, Seconds: 4, MaxDown: 2}
}

func TestWaves(t *testing.T) {
	Convey("A wave maintains each machine once, never more at once than allowed, and none that runs long-running tasks", t, func() {
		f := newFakeFleet(6)
		f.demand = jobs.Demand{LongRunningCPU: 90000}
		f.loads["i-m1"] = jobs.Load{Endpoint: "i-m1", IsKnown: true, Runs: 2, LongRunningRuns: 2}
		w := f.newSteward(1, newWave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(await.Until(10*time.Second, func() bool { return f.waveStatus() == "true" }), ShouldBeTrue)
		So(f.executed(), ShouldHaveLength, 4)
		for _, machine := range []string{"m0", "m1", "m2", "m3"} {
			So(f.executed(), ShouldContain, "maintain "+machine+" for 1")
		}
		So(f.maxDown, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("Machines that are off, and so have no endpoint, stop counting as down once they are maintained", t, func() {
		f := newFakeFleet(6)
		for _, m := range f.machines {
			if m.ID < "m4" {
				m.Pool, m.Endpoint = "off", ""
			}
		}
		w := f.newSteward(1, newWave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(await.Until(4*time.Second, func() bool { return f.waveStatus() == "true" }), ShouldBeTrue)
		So(f.maxDown, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("An unanswered order is repeated, and the wave completes only after the order was carried out", t, func() {
		f := newFakeFleet(2)
		f.demand = jobs.Demand{LongRunningCPU: 90000}
		tries := 0
		f.orderError = func(string) error {
			tries++
			if tries < 3 {
				return cloud.ErrIndeterminate
			}
			return nil
		}
		w := f.newSteward(1, newWave("m0"))
		go w.Run()
		defer w.Stop()
		So(await.Until(8*time.Second, func() bool { return len(f.executed()) > 0 || f.waveStatus() == "true" }), ShouldBeTrue)
		So(f.executed(), ShouldHaveLength, 1)
		So(await.Until(3*time.Second, func() bool { return f.waveStatus() == "true" }), ShouldBeTrue)
		So(tries, ShouldEqual, 3)
	})
	Convey("The next holder repeats no maintenance and sends no orders to machines that the previous one has just ordered", t, func() {
		f := newFakeFleet(4)
		f.demand = jobs.Demand{LongRunningCPU: 90000}
		first := f.newSteward(1, newWave("m0", "m1"))
		go first.Run()
		So(await.Until(5*time.Second, func() bool { return f.waveStatus() == "true" }), ShouldBeTrue)
		first.Stop()
		f.mu.Lock()
		f.demand = jobs.Demand{}
		f.mu.Unlock()
		next := f.newSteward(2, newWave("m0", "m1"))
		So(next.loadState(), ShouldBeTrue)
		So(next.maintained[1], ShouldHaveLength, 2)
		now := boot.Now()
		So(next.isOrderDue(now, &operation{machine: "m0"}), ShouldBeFalse)
		So(next.isOrderDue(now, &operation{machine: "m3"}), ShouldBeTrue)
		So(next.isOrderDue(now.Add(time.Second), &operation{machine: "m0"}), ShouldBeTrue)
	})
	Convey("A refused order is not repeated during the back-off (incident inc-6e40 of Kumagera)", t, func() {
		f := newFakeFleet(2)
		f.demand = jobs.Demand{LongRunningCPU: 90000}
		tries := 0
		f.orderError = func(string) error {
			tries++
			return cloud.ErrBusy
		}
		w := f.newSteward(1, newWave("m0"))
		go w.Run()
		time.Sleep(1500 * time.Millisecond)
		w.Stop()
		f.mu.Lock()
		defer f.mu.Unlock()
		So(tries, ShouldEqual, 1)
	})
	Convey("A holder whose order is fenced ends", t, func() {
		f := newFakeFleet(2)
		f.orderError = func(string) error { return cloud.ErrFenced }
		w := f.newSteward(1, newWave("m0"))
		ended := make(chan struct{})
		go func() {
			w.Run()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the fenced holder did not end within 5 s")
		}
	})
	Convey("No order is sent before it is recorded in the store", t, func() {
		f := newFakeFleet(2)
		w := f.newSteward(1, newWave("m0"))
		f.newSteward(2, nil) // Makes another steward the holder of the key.
		go w.Run()
		time.Sleep(time.Second)
		w.Stop()
		So(f.executed(), ShouldBeEmpty)
	})
}

// Each holder counted the time of a wave from when its entry had first read it.
func TestHandoversForgetTimeOfWaves(t *testing.T) {
	Convey("A wave in a busy pool becomes late although the stewardship passes on all the while", t, func() {
		f := newFakeFleet(6)
		f.demand = jobs.Demand{LongRunningCPU: 90000}
		for id := range f.loads {
			f.loads[id] = jobs.Load{Endpoint: id, IsKnown: true, Runs: 1, LongRunningRuns: 1}
		}
		wave := newWave("m0", "m1")
		wave.Seconds = 8
		// Machines of busy pools are maintained after 0.45 of the time of the wave, which takes
		// longer than any of these holders.
		for epoch := range int64(6) {
			w := f.newSteward(epoch+1, wave)
			go w.Run()
			time.Sleep(2 * time.Second)
			w.Stop()
		}
		So(f.executed(), ShouldNotBeEmpty)
	})
}

func TestManyWaves(t *testing.T) {
	Convey("The statuses of more waves than fit into one change of the store are all published", t, func() {
		f := newFakeFleet(2)
		w := f.newSteward(1, nil)
		waves := 2*store.MaxChangeSize + 3
		w.config.Waves = func() (list []Wave) {
			for i := range waves {
				list = append(list, Wave{Wave: cloud.Wave{Number: i, Machines: []string{"m0"}}})
			}
			return list
		}
		largest := 0
		f.store.LoseResponses(func(change store.Change) bool {
			largest = max(largest, len(change.If)+len(change.Puts)+len(change.Remove))
			return false
		})
		So(w.listMachines(boot.Now()), ShouldBeTrue)
		w.publishWaveStatus()
		So(largest, ShouldBeBetweenOrEqual, 1, store.MaxChangeSize)
		for i := range waves {
			_, isPublished := f.store.Get(fmt.Sprintf("status/%d", i))
			So(isPublished, ShouldBeTrue)
		}
	})
}

func TestDrainLimits(t *testing.T) {
	Convey("A machine that cannot be emptied is given back after a time, and is left alone before the next attempt", t, func() {
		now := boot.Now()
		for name, c := range map[string]struct {
			op    operation
			limit time.Duration
		}{
			"for maintenance": {operation{machine: "m0", endpoint: "i-m0", wave: 1}, maintenanceDrainLimit},
			"for a move":      {operation{machine: "m0", endpoint: "i-m0", targetPool: "q"}, moveDrainLimit},
		} {
			s := newFakeFleet(1).newSteward(1, nil)
			So(s.listMachines(now), ShouldBeTrue)
			op := c.op
			op.createdAt = now
			s.operations["m0"] = &op
			s.updateOperations(now.Add(c.limit))
			SoMsg(name, s.operations, ShouldHaveLength, 1)
			s.updateOperations(now.Add(c.limit + time.Millisecond))
			SoMsg(name, s.operations, ShouldBeEmpty)
			if op.wave != 0 {
				So(s.isEngaged(now.Add(c.limit+time.Second), "m0"), ShouldBeTrue)
				So(s.isEngaged(now.Add(c.limit+2*maintenanceRetryDelay), "m0"), ShouldBeFalse)
			}
		}
	})
}

func TestMovesOfIdleMachines(t *testing.T) {
	Convey("Idle machines are cordoned and then switched off", t, func() {
		f := newFakeFleet(5)
		w := f.newSteward(1, nil)
		go w.Run()
		defer w.Stop()
		So(await.Until(6*time.Second, func() bool { return len(f.executed()) >= 3 }), ShouldBeTrue)
		time.Sleep(500 * time.Millisecond)
		So(f.executed(), ShouldHaveLength, 3)
		f.mu.Lock()
		defer f.mu.Unlock()
		So(len(f.cordonCalls), ShouldBeGreaterThanOrEqualTo, 3)
	})
}

// TestLateStateForgetsMachines guards against an attempt to store the state that is carried
// out after a later one and so hides from the next holder what was maintained and ordered.
func TestLateStateForgetsMachines(t *testing.T) {
	Convey("The next holder knows all maintained and ordered machines although an earlier attempt is carried out late", t, func() {
		for name, isAppliedBetween := range map[string]bool{"after the later one": false, "before the later one": true} {
			f := newFakeFleet(2)
			w := f.newSteward(1, nil)
			So(w.loadState(), ShouldBeTrue)
			now := boot.Now()
			So(w.saveState(now, nil), ShouldBeTrue)
			f.store.Defer(func(store.Change) bool { return true })
			w.maintained[1] = []string{"m0"}
			So(w.saveState(now, nil), ShouldBeFalse)
			f.store.Defer(nil)
			if isAppliedBetween {
				SoMsg(name, f.store.ApplyDeferred(), ShouldEqual, 1)
			}
			w.maintained[1] = []string{"m0", "m1"}
			SoMsg(name, w.saveState(now, []*operation{{machine: "m1"}}), ShouldBeTrue)
			f.store.ApplyDeferred()
			next := f.newSteward(2, nil)
			So(next.loadState(), ShouldBeTrue)
			SoMsg(name, next.maintained[1], ShouldResemble, []string{"m0", "m1"})
			SoMsg(name, next.isOrderDue(boot.Now(), &operation{machine: "m1"}), ShouldBeFalse)
			// The next holder stores its state in place of the one that it has loaded.
			SoMsg(name, next.saveState(now, nil), ShouldBeTrue)
		}
	})
}

// TestLateWaveStatusReplacesCompleted guards against an attempt to write that a wave is
// running that is carried out after the wave was written as completed.
func TestLateWaveStatusReplacesCompleted(t *testing.T) {
	running, completed := []waveStatus{{1, false}, {2, false}}, []waveStatus{{1, true}, {2, false}}
	Convey("A wave that was written as completed stays so although an earlier attempt is carried out late", t, func() {
		for name, isAppliedBetween := range map[string]bool{"after the later one": false, "before the later one": true} {
			f := newFakeFleet(2)
			w := f.newSteward(1, nil)
			f.store.Defer(func(store.Change) bool { return true })
			SoMsg(name, w.writeWaveStatuses(running), ShouldBeFalse)
			f.store.Defer(nil)
			if isAppliedBetween {
				SoMsg(name, f.store.ApplyDeferred(), ShouldEqual, 1)
			}
			SoMsg(name, w.writeWaveStatuses(completed), ShouldBeTrue)
			f.store.ApplyDeferred()
			SoMsg(name, f.waveStatus(), ShouldEqual, "true")
		}
	})
	Convey("A holder that does not know that a wave is completed does not write it as running", t, func() {
		f := newFakeFleet(2)
		So(f.newSteward(1, nil).writeWaveStatuses(completed), ShouldBeTrue)
		next := f.newSteward(2, nil)
		So(next.writeWaveStatuses(running), ShouldBeTrue)
		So(f.waveStatus(), ShouldEqual, "true")
		So(next.published, ShouldResemble, map[int]bool{1: true, 2: false})
	})
	Convey("A holder that has lost the stewardship writes no status", t, func() {
		f := newFakeFleet(2)
		w := f.newSteward(1, nil)
		f.newSteward(2, nil)
		So(w.writeWaveStatuses(completed), ShouldBeFalse)
		So(f.waveStatus(), ShouldBeEmpty)
	})
}
