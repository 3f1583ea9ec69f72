package caller

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/minion"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/share"
	"gitlab.com/chicorypin/chicorypin/units"
)

// faultyCounter is a counter that panics while isFaulty is set.
type faultyCounter struct {
	tally.Counter
	isFaulty *atomic.Bool
}

func (c faultyCounter) Inc(delta int64) {
	if c.isFaulty.Load() {
		panic("the counter is faulty")
	}
	c.Counter.Inc(delta)
}

// faultyScope is a scope whose counters panic while isFaulty is set.
type faultyScope struct {
	tally.Scope
	isFaulty *atomic.Bool
}

func (s faultyScope) Counter(name string) tally.Counter {
	return faultyCounter{s.Scope.Counter(name), s.isFaulty}
}

// faultyHook is a hook of a logger that panics while isFaulty is set.
type faultyHook struct{ isFaulty *atomic.Bool }

func (faultyHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h faultyHook) Fire(*logrus.Entry) error {
	if h.isFaulty.Load() {
		panic("the log is faulty")
	}
	return nil
}

// faultyClock returns a clock that panics while isFaulty is set.
func faultyClock(isFaulty *atomic.Bool) func() time.Time {
	return func() time.Time {
		if isFaulty.Load() {
			panic("the clock is faulty")
		}
		return time.Now()
	}
}

// The request of a handler that had panicked stayed in the queue without a caller, and once
// admitted held its unit and slot for the life of the entry. So did an attempt whose
// handler panicked.
func TestPanicInAHandlerHoldsNothing(t *testing.T) {
	cases := map[string]struct {
		script scriptFunc
		// arm changes a configuration so that handlers panic while isFaulty is set.
		arm func(config *Config, isFaulty *atomic.Bool)
	}{
		"while a minion is picked": {respondOK, func(config *Config, isFaulty *atomic.Bool) {
			slots := units.NewLedger(units.Config{Self: "slots", Now: faultyClock(isFaulty)})
			m := *config.Roster.Pool("rota")[0]
			slots.SetShare(m.Name, m.Capacity)
			m.Slots = slots.Account(m.Name)
			config.Roster = minion.NewRoster(config.Log)
			config.Roster.Replace(map[string][]*minion.Minion{"rota": {&m}})
		}},
		"while a unit is acquired": {respondOK, func(config *Config, isFaulty *atomic.Bool) {
			config.Teams = units.NewLedger(units.Config{Self: "teams", Now: faultyClock(isFaulty)})
			config.Teams.SetShare("gate", 8)
		}},
		"while an attempt is sent": {faults["response to another attempt"].script, func(config *Config, isFaulty *atomic.Bool) {
			logger := logrus.New()
			logger.SetOutput(config.Log.Logger.Out)
			logger.AddHook(faultyHook{isFaulty})
			config.Log = logrus.NewEntry(logger)
		}},
		"while a response is written": {respondOK, func(config *Config, isFaulty *atomic.Bool) {
			config.Scope = faultyScope{tally.NoopScope, isFaulty}
		}},
	}
	for name, c := range cases {
		Convey("A handler that panics "+name+" holds no place in the queue, no unit and no slot", t, func() {
			fx := newFixture(t, fixtureOptions{service: document.Service{IsCancellable: true}}, newFakeMinion(t, c.script))
			config, isFaulty := fx.config, &atomic.Bool{}
			c.arm(&config, isFaulty)
			dispatcher := NewDispatcher(config)
			fx.server.Config.Handler = NewListener(config, dispatcher)
			isFaulty.Store(true)
			So(fx.send(http.MethodPost, "swap").isTruncated, ShouldBeTrue)
			isFaulty.Store(false)
			dispatcher.DispatchAll()
			So(dispatcher.Waiting()["rota"], ShouldEqual, 0)
			So(dispatcher.Running()["rota"], ShouldBeEmpty)
			So(config.Teams.Account("gate").Used(), ShouldEqual, 0)
			So(config.Roster.Pool("rota")[0].Slots.Used(), ShouldEqual, 0)
		})
	}
}

// A minion whose probe panicked counted as being probed for good and got no more work.
func TestPanicInAProbeAllowsAnother(t *testing.T) {
	Convey("An ejected minion is probed again after the handler of a probe has panicked", t, func() {
		m := newFakeMinion(t, func(conn net.Conn, r *http.Request, _ int) bool {
			respond(conn, r, http.StatusInternalServerError, "failed")
			return true
		})
		fx := newFixture(t, fixtureOptions{service: document.Service{IsCancellable: true, MaxWait: document.Duration(100 * time.Millisecond)}}, m)
		config, isFaulty := fx.config, &atomic.Bool{}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		logger.AddHook(faultyHook{isFaulty})
		config.Log = logrus.NewEntry(logger)
		fx.server.Config.Handler = NewListener(config, fx.dispatcher)
		So(await.Until(waitTimeout, func() bool { return fx.send(http.MethodPost, "swap").status == http.StatusServiceUnavailable }), ShouldBeTrue)
		m.setScript(faults["response to another attempt"].script)
		isFaulty.Store(true)
		So(await.Until(waitTimeout, func() bool { return fx.send(http.MethodPost, "probe").isTruncated }), ShouldBeTrue)
		isFaulty.Store(false)
		m.setScript(respondOK)
		So(await.Until(waitTimeout, func() bool { return fx.send(http.MethodPost, "again").status == http.StatusOK }), ShouldBeTrue)
	})
}

// A panic while the end of a request was recorded left the dispatcher locked, so that the
// entry admitted nothing and its ledgers were not ticked any more.
func TestPanicInReleaseLeavesTheDispatcherUnlocked(t *testing.T) {
	Convey("The dispatcher can be used after a panic while an admission was released", t, func() {
		fx := newFixture(t, fixtureOptions{}, newFakeMinion(t, respondOK))
		gate := fx.config.Teams.Account("gate")
		unknown := admission{unit: gate.Acquire(), slot: gate.Acquire(), item: &share.Item[*waiter]{Team: "unknown"}}
		release := func() { fx.dispatcher.release(unknown, request{service: fx.index.Service("publish")}, 0) }
		So(release, ShouldPanic)
		So(await.Until(waitTimeout, fx.dispatcher.mu.TryLock), ShouldBeTrue)
		fx.dispatcher.mu.Unlock()
	})
}
