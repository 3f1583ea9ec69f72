package journal

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

var now = time.Unix(100, 0)

// takeOwnership makes a new owner of the cell in the store and returns its condition.
func takeOwnership(t *testing.T, s *keyvalue.Store, name string) store.Condition {
	revision, err := s.Client(nil).Commit(context.Background(), store.Change{Puts: []store.Put{{Key: "live/owner/p", Value: []byte(name)}}})
	if err != nil {
		t.Fatal(err)
	}
	return store.Condition{Key: "live/owner/p", Revision: revision}
}

// load reads the cell from the store under an ownership and returns its journal and
// state.
func load(t *testing.T, s *keyvalue.Store, owner store.Condition) (*Journal, *jobs.Cell) {
	cell := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
	j, err := Load(context.Background(), s.Client(nil), "p", owner, cell, now)
	if err != nil {
		t.Fatal(err)
	}
	return j, cell
}

// jobRecord returns the record of an accepted job.
func jobRecord(number int) jobs.Record {
	return jobs.Record{Job: &jobs.Job{
		ID: fmt.Sprintf("%016x", number), Queue: "q", Attempts: 2, Spec: "a spec of some length",
		Steps: []jobs.Step{{Count: 2, Each: jobs.Size{CPU: 100}}},
	}}
}

func TestJournal(t *testing.T) {
	Convey("The next owner loads all appended records, across segments and snapshots", t, func() {
		s := keyvalue.New()
		j, cell := load(t, s, takeOwnership(t, s, "a"))
		const count = 3000
		for i := range count {
			record := jobRecord(i)
			cell.Apply(now, record)
			if j.IsSnapshotDue() {
				So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
				continue
			}
			So(j.Append(context.Background(), []jobs.Record{record}), ShouldBeNil)
		}
		_, next := load(t, s, takeOwnership(t, s, "b"))
		So(next.Active(), ShouldEqual, count)
		items, _, err := s.Client(nil).ReadAll(context.Background(), Key("p"), false)
		So(err, ShouldBeNil)
		So(len(items), ShouldBeLessThanOrEqualTo, 2*maxFullSegments)
	})
	Convey("A deposed owner cannot write", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		So(j.Append(context.Background(), []jobs.Record{jobRecord(1)}), ShouldBeNil)
		takeOwnership(t, s, "b")
		So(errors.Is(j.Append(context.Background(), []jobs.Record{jobRecord(2)}), ErrDeposed), ShouldBeTrue)
		So(errors.Is(j.WriteSnapshot(context.Background(), jobs.Snapshot{}), ErrDeposed), ShouldBeTrue)
		_, next := load(t, s, takeOwnership(t, s, "c"))
		So(next.Active(), ShouldEqual, 1)
	})
	Convey("Records are stored once if answers are lost", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		lost := 0
		s.LoseResponses(func(store.Change) bool {
			lost++
			return lost%2 == 1
		})
		for i := range 10 {
			So(j.Append(context.Background(), []jobs.Record{jobRecord(i)}), ShouldBeNil)
		}
		s.LoseResponses(nil)
		_, next := load(t, s, takeOwnership(t, s, "b"))
		So(next.Active(), ShouldEqual, 10)
	})
	Convey("A refused write is retried until the context ends", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		s.SetDown(true)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		So(errors.Is(j.Append(ctx, []jobs.Record{jobRecord(1)}), store.ErrRefused), ShouldBeTrue)
	})
}
