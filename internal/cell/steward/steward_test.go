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
	s := &fakeFleet{
		store: keyvalue.New(), machines: make(map[string]*cloud.Machine),
		loads: make(map[string]jobs.Load), cordonCalls: make(map[string]int),
	}
	for i := range machines {
		id := fmt.Sprintf("m%d", i)
		s.machines[id] = &cloud.Machine{ID: id, Pool: "p", State: cloud.Up, Endpoint: "i-" + id}
		s.loads["i-"+id] = jobs.Load{Endpoint: "i-" + id, IsKnown: true}
	}
	return s
}

func (s *fakeFleet) listMachines(context.Context) (list []cloud.Machine, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		list = append(list, *m)
	}
	return list, nil
}

// execute takes a machine down and brings it back after downtime with a new endpoint,
// or with none in the pool "off".
func (s *fakeFleet) execute(machine, pool, description string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orderError != nil {
		if err := s.orderError(machine); err != nil {
			return err
		}
	}
	m := s.machines[machine]
	if s.loads[m.Endpoint].Lasting > 0 {
		description += " with long-running tasks"
	}
	s.orders = append(s.orders, description)
	m.State = cloud.Upkeep
	isOff := pool == "off"
	s.down++
	s.maxDown = max(s.maxDown, s.down)
	time.AfterFunc(downtime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.restarts++
		s.down--
		m.State, m.Pool, m.Endpoint = cloud.Up, pool, ""
		if isOff {
			return
		}
		m.Endpoint = fmt.Sprintf("i-%s-%d", machine, s.restarts)
		s.loads[m.Endpoint] = jobs.Load{Endpoint: m.Endpoint, IsKnown: true}
	})
	return nil
}

func (s *fakeFleet) poolOf(machine string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machines[machine].Pool
}

func (s *fakeFleet) survey(context.Context, string) (jobs.Demand, []jobs.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []jobs.Load
	for _, load := range s.loads {
		loads = append(loads, load)
	}
	return s.demand, loads, nil
}

// cordon counts the call for each endpoint and, with evacuate, moves one long-running
// task away from each.
func (s *fakeFleet) cordon(_ context.Context, _ string, ids []string, _ time.Duration, evacuate bool) (loads []jobs.Load, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.cordonCalls[id]++
		load := s.loads[id]
		loads = append(loads, load)
		if evacuate && load.Lasting > 0 {
			load.Lasting--
			load.Runs--
			s.loads[id] = load
		}
	}
	return loads, nil
}

// newSteward returns a steward for the fleet and makes it the holder of the ownership
// key, so that earlier stewards can no longer write.
func (s *fakeFleet) newSteward(epoch int64, wave *cloud.Wave) *Steward {
	seen := boot.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	key := "owner/steward"
	revision, _ := s.store.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key}}})
	return New(Config{
		Store: s.store.Client(nil),
		Cloud: &cloud.Client{
			Machines: s.listMachines,
			Move: func(_ context.Context, _ cloud.Holder, machine, pool string) error {
				return s.execute(machine, pool, "move "+machine+" to "+pool)
			},
			Maintain: func(_ context.Context, _ cloud.Holder, machine string, wave int) error {
				return s.execute(machine, s.poolOf(machine), fmt.Sprintf("maintain %s for %d", machine, wave))
			},
		},
		Cells:  Cells{Survey: s.survey, Cordon: s.cordon},
		Holder: cloud.Holder{Name: "e", Epoch: epoch}, Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, Quiet: 700 * time.Millisecond,
		Pools: func() []pools.Pool { return []pools.Pool{{Name: "p"}, {Name: "off", IsStandby: true}} },
		Waves: func() []Wave {
			if wave == nil {
				return nil
			}
			return []Wave{{Wave: *wave, Seen: seen}}
		},
		EncodeStatus: func(number int, isCompleted bool) (string, []byte) {
			return fmt.Sprintf("status/%d", number), fmt.Append(nil, isCompleted)
		},
		CPU: func(string) int64 { return 16000 }, Log: logrus.NewEntry(log),
	})
}

func (s *fakeFleet) waveStatus() string {
	item, _ := s.store.Get("status/1")
	return string(item.Value)
}

// executed returns the descriptions of the executed orders.
func (s *fakeFleet) executed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.orders...)
}

// eventually reports whether a condition became true within a limit.
func eventually(limit time.Duration, isMet func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if isMet() {
			return true
		}
	}
	return false
}

func newWave(machines ...string) *cloud.Wave {
	return &cloud.Wave{Number: 1, Machines: machines, Seconds: 4, Most: 2}
}

func TestWaves(t *testing.T) {
	Convey("A wave maintains each machine once, never more at once than allowed, and none that runs long-running tasks", t, func() {
		s := newFakeFleet(6)
		s.demand = jobs.Demand{Lasting: 90000}
		s.loads["i-m1"] = jobs.Load{Endpoint: "i-m1", IsKnown: true, Runs: 2, Lasting: 2}
		w := s.newSteward(1, newWave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(eventually(10*time.Second, func() bool { return s.waveStatus() == "true" }), ShouldBeTrue)
		So(s.executed(), ShouldHaveLength, 4)
		for _, machine := range []string{"m0", "m1", "m2", "m3"} {
			So(s.executed(), ShouldContain, "maintain "+machine+" for 1")
		}
		So(s.maxDown, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("Machines that are off, and so have no endpoint, stop counting as down once they are maintained", t, func() {
		s := newFakeFleet(6)
		for _, m := range s.machines {
			if m.ID < "m4" {
				m.Pool, m.Endpoint = "off", ""
			}
		}
		w := s.newSteward(1, newWave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(eventually(4*time.Second, func() bool { return s.waveStatus() == "true" }), ShouldBeTrue)
		So(s.maxDown, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("An unanswered order is repeated, and the wave completes only after the order was carried out", t, func() {
		s := newFakeFleet(2)
		s.demand = jobs.Demand{Lasting: 90000}
		tries := 0
		s.orderError = func(string) error {
			tries++
			if tries < 3 {
				return cloud.ErrOpen
			}
			return nil
		}
		w := s.newSteward(1, newWave("m0"))
		go w.Run()
		defer w.Stop()
		So(eventually(8*time.Second, func() bool { return len(s.executed()) > 0 || s.waveStatus() == "true" }), ShouldBeTrue)
		So(s.executed(), ShouldHaveLength, 1)
		So(eventually(3*time.Second, func() bool { return s.waveStatus() == "true" }), ShouldBeTrue)
		So(tries, ShouldEqual, 3)
	})
	Convey("The next holder repeats no maintenance and sends no orders to machines that the previous one has just ordered", t, func() {
		s := newFakeFleet(4)
		s.demand = jobs.Demand{Lasting: 90000}
		first := s.newSteward(1, newWave("m0", "m1"))
		go first.Run()
		So(eventually(5*time.Second, func() bool { return s.waveStatus() == "true" }), ShouldBeTrue)
		first.Stop()
		s.mu.Lock()
		s.demand = jobs.Demand{}
		s.mu.Unlock()
		next := s.newSteward(2, newWave("m0", "m1"))
		So(next.loadState(), ShouldBeTrue)
		So(next.maintained[1], ShouldHaveLength, 2)
		now := boot.Now()
		So(next.isOrderDue(now, &operation{machine: "m0"}), ShouldBeFalse)
		So(next.isOrderDue(now, &operation{machine: "m3"}), ShouldBeTrue)
		So(next.isOrderDue(now.Add(time.Second), &operation{machine: "m0"}), ShouldBeTrue)
	})
	Convey("A refused order is not repeated during the back-off (incident inc-6e40 of Kumagera)", t, func() {
		s := newFakeFleet(2)
		s.demand = jobs.Demand{Lasting: 90000}
		tries := 0
		s.orderError = func(string) error {
			tries++
			return cloud.ErrBusy
		}
		w := s.newSteward(1, newWave("m0"))
		go w.Run()
		time.Sleep(1500 * time.Millisecond)
		w.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		So(tries, ShouldEqual, 1)
	})
	Convey("A holder whose order is fenced ends", t, func() {
		s := newFakeFleet(2)
		s.orderError = func(string) error { return cloud.ErrFenced }
		w := s.newSteward(1, newWave("m0"))
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
		s := newFakeFleet(2)
		w := s.newSteward(1, newWave("m0"))
		s.newSteward(2, nil) // Makes another steward the holder of the key.
		go w.Run()
		time.Sleep(time.Second)
		w.Stop()
		So(s.executed(), ShouldBeEmpty)
	})
}

func TestMovesOfIdleMachines(t *testing.T) {
	Convey("Idle machines are cordoned and then switched off", t, func() {
		s := newFakeFleet(5)
		w := s.newSteward(1, nil)
		go w.Run()
		defer w.Stop()
		So(eventually(6*time.Second, func() bool { return len(s.executed()) >= 3 }), ShouldBeTrue)
		time.Sleep(500 * time.Millisecond)
		So(s.executed(), ShouldHaveLength, 3)
		s.mu.Lock()
		defer s.mu.Unlock()
		So(len(s.cordonCalls), ShouldBeGreaterThanOrEqualTo, 3)
	})
}
