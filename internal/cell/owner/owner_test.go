package owner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/back/endpoint"
	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// newOwner returns an owner of an empty cell that runs, and the store below it.
func newOwner(t *testing.T) (*Owner, *keyvalue.Store) {
	const key = "live/owner/red"
	s := keyvalue.New()
	revision, err := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: key}}})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(Config{
		Cell: "red", Store: s.Client(nil), Endpoints: &endpoint.Client{}, Condition: store.Condition{Key: key, Revision: revision},
		IsValid: func() bool { return true }, IsStoreUp: func() bool { return true },
		Bounds: jobs.DefaultBounds(), Inherited: boot.Now(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
	})
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

func TestSettle(t *testing.T) {
	Convey("A cell whose looks never pause is settled as soon as its state is stored", t, func() {
		o, s := newOwner(t)
		verdict, err := o.Submit(context.Background(), jobs.Job{
			ID: "000000000000000a", Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}},
		})
		So(err, ShouldBeNil)
		So(verdict.IsAccepted, ShouldBeTrue)
		// Listings of many endpoints come within each other's wait for the store.
		busy, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for busy.Err() == nil {
				o.post(func() { o.waiters = append(o.waiters, func(error) {}) })
				time.Sleep(100 * time.Microsecond)
			}
		}()
		limit, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		began := time.Now()
		o.Settle(limit)
		// A write that is under way and that of the state take a cycle each.
		So(time.Since(began), ShouldBeLessThan, 10*cycleGap)
		_, isStored := s.Get("cell/red/state")
		So(isStored, ShouldBeTrue)
	})
}
