package owner

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/cell/journal"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// newConfig returns the configuration of the owner of a cell in a store.
func newConfig(t *testing.T, s *keyvalue.Store) Config {
	const key = "live/owner/red"
	revision, err := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key}}})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{
		Cell: "red", Store: s.Client(nil), Endpoints: &endpoint.Client{}, Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, IsStoreUp: func() bool { return true },
		Bounds: jobs.DefaultBounds(), OwnedSince: boot.Now(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
	}
}

// newOwner returns a running owner of an empty cell and the store behind it.
func newOwner(t *testing.T) (*Owner, *keyvalue.Store) {
	s := keyvalue.New()
	o := New(newConfig(t, s))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := o.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		o.Stop()
		<-ended
	})
	for !o.IsServing() {
		time.Sleep(time.Millisecond)
	}
	return o, s
}

func TestPrepareHandover(t *testing.T) {
	Convey("PrepareHandover returns as soon as the state is stored, even if polls keep arriving", t, func() {
		o, s := newOwner(t)
		verdict, err := o.Submit(context.Background(), jobs.Job{
			ID: "000000000000000a", Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}},
		})
		So(err, ShouldBeNil)
		So(verdict.IsAccepted, ShouldBeTrue)
		// With many endpoints, a new poll result always arrives while earlier ones
		// still wait to be stored.
		pollingCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for pollingCtx.Err() == nil {
				o.post(func() { o.onStored = append(o.onStored, func(error) {}) })
				time.Sleep(100 * time.Microsecond)
			}
		}()
		handoverCtx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		startedAt := time.Now()
		o.PrepareHandover(handoverCtx)
		// The write in progress and that of the snapshot take one cycle each.
		So(time.Since(startedAt), ShouldBeLessThan, 10*minCycleGap)
		_, isStored := s.Get("cell/red/state")
		So(isStored, ShouldBeTrue)
	})
}

func TestOwnerOfIncompleteState(t *testing.T) {
	Convey("An owner of a cell whose log is incomplete serves nothing, keeps the cell for a time and ends at once when stopped", t, func() {
		s := keyvalue.New()
		s.Put("cell/red/log/000000000001", []byte(`{"cancel":"000000000000000a"}`))
		o := New(newConfig(t, s))
		ended := make(chan error, 1)
		go func() { ended <- o.Run() }()
		select {
		case <-ended:
			t.Fatal("the owner gave the cell up at once")
		case <-time.After(100 * time.Millisecond):
		}
		So(o.IsServing(), ShouldBeFalse)
		o.Stop()
		So(errors.Is(<-ended, journal.ErrIncomplete), ShouldBeTrue)
	})
}
