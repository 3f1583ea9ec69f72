package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/cell/journal"
	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// oneTaskJob returns a job that is accepted without endpoints.
func oneTaskJob(id string) jobs.Job {
	return jobs.Job{ID: id, Queue: "q", Attempts: 1, Steps: []jobs.Step{{Count: 1, LongRunning: true}}}
}

// A write that the store never takes was repeated without end, and the cell did nothing else: no job
// was accepted, planned or cancelled, and no other entry took the cell over (as in review/1).
func TestInvalidWriteHangsCell(t *testing.T) {
	isLog := func(change store.Change) bool { return strings.Contains(change.Puts[0].Key, "/log/") }
	isSnapshot := func(change store.Change) bool { return strings.HasSuffix(change.Puts[0].Key, "/head") }
	// submit submits jobs until one is stored, and returns its ID.
	submit := func(o *Owner) (id string) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for i := range 100 {
			id = fmt.Sprintf("%016x", i+1)
			if verdict, err := o.Submit(ctx, oneTaskJob(id)); err == nil && verdict.IsAccepted {
				return id
			}
		}
		return ""
	}
	isStored := func(s *keyvalue.Store, id string) bool {
		next := New(newConfig(t, s))
		go func() { _ = next.Run() }()
		defer next.Stop()
		if !await.Until(waitTimeout, next.IsServing) {
			return false
		}
		_, isKnown, err := next.Status(context.Background(), Lookup{ID: id})
		return err == nil && isKnown
	}
	for name, isInvalid := range map[string]func(change store.Change) bool{
		"record of the log": func(change store.Change) bool { return isLog(change) },
		"snapshot":          func(change store.Change) bool { return isSnapshot(change) },
	} {
		Convey("Jobs are accepted and stored although the store takes no "+name, t, func() {
			o, s := newOwner(t)
			s.Reject(isInvalid)
			if name == "snapshot" {
				o.post(func() { o.isSnapshotNext = true })
			}
			id := submit(o)
			So(id, ShouldNotBeEmpty)
			s.Reject(nil)
			So(isStored(s, id), ShouldBeTrue)
		})
	}
	Convey("An owner of whose state the store takes nothing ends, and the next one serves the cell", t, func() {
		s := keyvalue.New()
		o := New(newConfig(t, s))
		ended := make(chan error, 1)
		go func() { ended <- o.Run() }()
		So(await.Until(waitTimeout, o.IsServing), ShouldBeTrue)
		s.Reject(func(change store.Change) bool { return isLog(change) || isSnapshot(change) })
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := o.Submit(ctx, oneTaskJob("000000000000000a"))
		So(err, ShouldNotBeNil)
		select {
		case err := <-ended:
			So(errors.Is(err, store.ErrInvalid), ShouldBeTrue)
		case <-time.After(waitTimeout):
			o.Stop()
			So("the owner goes on", ShouldBeEmpty)
		}
		s.Reject(nil)
		So(isStored(s, "000000000000000a"), ShouldBeFalse)
	})
	Convey("A job whose record does not fit a value of the store is stored, and others are accepted", t, func() {
		o, s := newOwner(t)
		large := oneTaskJob("00000000000000ff")
		large.Spec = strings.Repeat("s", 2<<20)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		verdict, err := o.Submit(ctx, large)
		So(err, ShouldBeNil)
		So(verdict.IsAccepted, ShouldBeTrue)
		id := submit(o)
		So(id, ShouldNotBeEmpty)
		So(isStored(s, id), ShouldBeTrue)
		So(isStored(s, large.ID), ShouldBeTrue)
	})
}

// An owner whose write had failed went through one more planning cycle, which confirmed the requests that had
// come during the write: a repeated submission was answered 200 although the job was not stored (LOST).
func TestEndedOwnerConfirmsRequests(t *testing.T) {
	Convey("A request that waits when the owner gives up is not confirmed", t, func() {
		o := New(newConfig(t, keyvalue.New()))
		ended := make(chan error, 1)
		go func() { ended <- o.Run() }()
		So(await.Until(waitTimeout, o.IsServing), ShouldBeTrue)
		confirmed := make(chan error, 1)
		o.post(func() {
			o.onStored = append(o.onStored, func(err error) { confirmed <- err })
			o.lastPlanned = time.Time{}
			o.abort(journal.ErrDeposed)
		})
		So(<-ended, ShouldEqual, journal.ErrDeposed)
		So(<-confirmed, ShouldEqual, ErrIndeterminate)
	})
}
