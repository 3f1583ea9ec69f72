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

// away is how long a machine of the stand-in is away for a duty.
const away = 50 * time.Millisecond

// site stands in for the cloud and the owners of pools.
type site struct {
	mu       sync.Mutex
	store    *keyvalue.Store
	machines map[string]*cloud.Machine
	loads    map[string]jobs.Load
	demand   jobs.Demand
	// orders are those that were carried out, with the most machines that were
	// down at once.
	orders []string
	down   int
	most   int
	lives  int
	// answer replaces the answer to an order; nil carries it out.
	answer  func(machine string) error
	cordons map[string]int
}

func newSite(machines int) *site {
	s := &site{
		store: keyvalue.New(), machines: make(map[string]*cloud.Machine),
		loads: make(map[string]jobs.Load), cordons: make(map[string]int),
	}
	for i := range machines {
		id := fmt.Sprintf("m%d", i)
		s.machines[id] = &cloud.Machine{ID: id, Pool: "p", State: cloud.Up, Endpoint: "i-" + id}
		s.loads["i-"+id] = jobs.Load{Endpoint: "i-" + id, IsKnown: true}
	}
	return s
}

func (s *site) list(context.Context) (list []cloud.Machine, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		list = append(list, *m)
	}
	return list, nil
}

// order carries out an order and brings the machine back with another life.
func (s *site) order(machine, pool, note string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		if err := s.answer(machine); err != nil {
			return err
		}
	}
	m := s.machines[machine]
	if s.loads[m.Endpoint].LongRunningRuns > 0 {
		note += " with long-running tasks"
	}
	s.orders = append(s.orders, note)
	m.State = cloud.Upkeep
	isOff := pool == "off"
	s.down++
	s.most = max(s.most, s.down)
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lives++
		s.down--
		m.State, m.Pool, m.Endpoint = cloud.Up, pool, ""
		if isOff {
			return
		}
		m.Endpoint = fmt.Sprintf("i-%s-%d", machine, s.lives)
		s.loads[m.Endpoint] = jobs.Load{Endpoint: m.Endpoint, IsKnown: true}
	})
	return nil
}

func (s *site) poolOf(machine string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machines[machine].Pool
}

func (s *site) survey(context.Context, string) (jobs.Demand, []jobs.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []jobs.Load
	for _, load := range s.loads {
		loads = append(loads, load)
	}
	return s.demand, loads, nil
}

// cordon counts the questions and moves one long-running task away with each.
func (s *site) cordon(_ context.Context, _ string, ids []string, _ time.Duration, evacuate bool) (loads []jobs.Load, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.cordons[id]++
		load := s.loads[id]
		loads = append(loads, load)
		if evacuate && load.LongRunningRuns > 0 {
			load.LongRunningRuns--
			load.Runs--
			s.loads[id] = load
		}
	}
	return loads, nil
}

func (s *site) steward(epoch int64, wave *cloud.Wave) *Steward {
	seen := boot.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	key := "owner/steward"
	revision, _ := s.store.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key}}})
	return New(Config{
		Store: s.store.Client(nil),
		Cloud: &cloud.Client{
			Machines: s.list,
			Move: func(_ context.Context, _ cloud.Holder, machine, pool string) error {
				return s.order(machine, pool, "move "+machine+" to "+pool)
			},
			Maintain: func(_ context.Context, _ cloud.Holder, machine string, wave int) error {
				return s.order(machine, s.poolOf(machine), fmt.Sprintf("maintain %s for %d", machine, wave))
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

func (s *site) status() string {
	item, _ := s.store.Get("status/1")
	return string(item.Value)
}

func (s *site) done() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.orders...)
}

func eventually(limit time.Duration, isMet func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if isMet() {
			return true
		}
	}
	return false
}

func wave(machines ...string) *cloud.Wave {
	return &cloud.Wave{Number: 1, Machines: machines, Seconds: 4, Most: 2}
}

func TestWaves(t *testing.T) {
	Convey("A wave maintains each machine once, no more at once than it may, and none with long-running tasks", t, func() {
		s := newSite(6)
		s.demand = jobs.Demand{LongRunningCPU: 90000}
		s.loads["i-m1"] = jobs.Load{Endpoint: "i-m1", IsKnown: true, Runs: 2, LongRunningRuns: 2}
		w := s.steward(1, wave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(eventually(10*time.Second, func() bool { return s.status() == "true" }), ShouldBeTrue)
		So(s.done(), ShouldHaveLength, 4)
		for _, machine := range []string{"m0", "m1", "m2", "m3"} {
			So(s.done(), ShouldContain, "maintain "+machine+" for 1")
		}
		So(s.most, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("Machines that are off, and so have no endpoint, make way for the next ones once they are maintained", t, func() {
		s := newSite(6)
		for _, m := range s.machines {
			if m.ID < "m4" {
				m.Pool, m.Endpoint = "off", ""
			}
		}
		w := s.steward(1, wave("m0", "m1", "m2", "m3"))
		go w.Run()
		defer w.Stop()
		So(eventually(4*time.Second, func() bool { return s.status() == "true" }), ShouldBeTrue)
		So(s.most, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("An order without an answer is given again; the wave is completed only when it has begun", t, func() {
		s := newSite(2)
		s.demand = jobs.Demand{LongRunningCPU: 90000}
		tries := 0
		s.answer = func(string) error {
			tries++
			if tries < 3 {
				return cloud.ErrOpen
			}
			return nil
		}
		w := s.steward(1, wave("m0"))
		go w.Run()
		defer w.Stop()
		So(eventually(8*time.Second, func() bool { return len(s.done()) > 0 || s.status() == "true" }), ShouldBeTrue)
		So(s.done(), ShouldHaveLength, 1)
		So(eventually(3*time.Second, func() bool { return s.status() == "true" }), ShouldBeTrue)
		So(tries, ShouldEqual, 3)
	})
	Convey("The next holder repeats nothing, and leaves machines alone that the last one has just ordered", t, func() {
		s := newSite(4)
		s.demand = jobs.Demand{LongRunningCPU: 90000}
		first := s.steward(1, wave("m0", "m1"))
		go first.Run()
		So(eventually(5*time.Second, func() bool { return s.status() == "true" }), ShouldBeTrue)
		first.Stop()
		s.mu.Lock()
		s.demand = jobs.Demand{}
		s.mu.Unlock()
		next := s.steward(2, wave("m0", "m1"))
		So(next.load(), ShouldBeTrue)
		So(next.done[1], ShouldHaveLength, 2)
		now := boot.Now()
		So(next.mayOrder(now, &duty{machine: "m0"}), ShouldBeFalse)
		So(next.mayOrder(now, &duty{machine: "m3"}), ShouldBeTrue)
		So(next.mayOrder(now.Add(time.Second), &duty{machine: "m0"}), ShouldBeTrue)
	})
	Convey("A machine that refuses is left alone for a while (incident inc-6e40 of Kumagera)", t, func() {
		s := newSite(2)
		s.demand = jobs.Demand{LongRunningCPU: 90000}
		tries := 0
		s.answer = func(string) error {
			tries++
			return cloud.ErrBusy
		}
		w := s.steward(1, wave("m0"))
		go w.Run()
		time.Sleep(1500 * time.Millisecond)
		w.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		So(tries, ShouldEqual, 1)
	})
	Convey("A fenced holder ends", t, func() {
		s := newSite(2)
		s.answer = func(string) error { return cloud.ErrFenced }
		w := s.steward(1, wave("m0"))
		ended := make(chan struct{})
		go func() {
			w.Run()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the holder goes on")
		}
	})
	Convey("Nothing is ordered before it is noted in the store", t, func() {
		s := newSite(2)
		w := s.steward(1, wave("m0"))
		s.steward(2, nil) // Another holder has taken the key.
		go w.Run()
		time.Sleep(time.Second)
		w.Stop()
		So(s.done(), ShouldBeEmpty)
	})
}

func TestMovesOfIdleMachines(t *testing.T) {
	Convey("Idle machines are switched off, cordoned before they are ordered", t, func() {
		s := newSite(5)
		w := s.steward(1, nil)
		go w.Run()
		defer w.Stop()
		So(eventually(6*time.Second, func() bool { return len(s.done()) >= 3 }), ShouldBeTrue)
		time.Sleep(500 * time.Millisecond)
		So(s.done(), ShouldHaveLength, 3)
		s.mu.Lock()
		defer s.mu.Unlock()
		So(len(s.cordons), ShouldBeGreaterThanOrEqualTo, 3)
	})
}
