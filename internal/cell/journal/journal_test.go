package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
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
	return loadLogged(t, s, owner, io.Discard)
}

// loadLogged is load with a journal that logs to a writer.
func loadLogged(t *testing.T, s *keyvalue.Store, owner store.Condition, w io.Writer) (*Journal, *jobs.Cell) {
	cell := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
	j, err := Load(context.Background(), newConfig(s, owner, w), cell, now)
	if err != nil {
		t.Fatal(err)
	}
	return j, cell
}

// newConfig returns the configuration of a journal that logs to a writer.
func newConfig(s *keyvalue.Store, owner store.Condition, w io.Writer) Config {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	return Config{Client: s.Client(nil), Cell: "p", Owner: owner, Log: logrus.NewEntry(log)}
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
		// The log never exceeds the snapshot by more than a segment, and of the segments
		// before the snapshot some may not have been removed yet.
		logBytes, snapshotBytes := 0, max(j.snapshotBytes, minLogBytes)
		for _, item := range items {
			if _, isSegment := j.sequenceOf(item.Key); isSegment {
				logBytes += len(item.Value)
			}
		}
		So(j.snapshotBytes, ShouldBeGreaterThan, 0)
		So(logBytes, ShouldBeLessThanOrEqualTo, snapshotBytes+2*maxSegmentBytes)
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

// logged returns the fields of the last line with an event number in a log, nil if there
// is none.
func logged(t *testing.T, log string, number int) (fields map[string]any) {
	for line := range strings.Lines(log) {
		var decoded map[string]any
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatal(err)
		}
		if decoded["event"] == float64(number) {
			fields = decoded
		}
	}
	return fields
}

func TestEventsOfStoredState(t *testing.T) {
	Convey("The events show which snapshot an owner stored, which one the next loaded, and the attempts without an answer", t, func() {
		s := keyvalue.New()
		var log bytes.Buffer
		j, cell := loadLogged(t, s, takeOwnership(t, s, "a"), &log)
		attempts := 0
		s.Defer(func(store.Change) bool {
			attempts++
			return attempts <= 2
		})
		So(j.Append(context.Background(), []jobs.Record{jobRecord(1)}), ShouldBeNil)
		write := logged(t, log.String(), 628)
		So(write["key"], ShouldEqual, j.segmentKey(0))
		So(write["attempts"], ShouldEqual, 2)
		So(write["revision"], ShouldEqual, j.revision)
		So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		So(j.Append(context.Background(), []jobs.Record{jobRecord(2)}), ShouldBeNil)
		loadLogged(t, s, takeOwnership(t, s, "b"), &log)
		snapshot, state := logged(t, log.String(), 627), logged(t, log.String(), 626)
		So(snapshot["from"], ShouldEqual, 1)
		So(state["from"], ShouldEqual, snapshot["from"])
		So(state["snapshot"], ShouldEqual, snapshot["snapshot"])
		So(state["segments"], ShouldEqual, 1)
		So(state["first"], ShouldEqual, 1)
		So(state["last"], ShouldEqual, 1)
	})
}

// TestLateSnapshotAttemptDiscardsRecords guards against an attempt at a snapshot that is
// carried out after later snapshots and so brings an older state back.
func TestLateSnapshotAttemptDiscardsRecords(t *testing.T) {
	Convey("The next owner has all records although an attempt at an earlier snapshot is carried out late", t, func() {
		s := keyvalue.New()
		j, cell := load(t, s, takeOwnership(t, s, "a"))
		accepted := 0
		accept := func() {
			record := jobRecord(accepted)
			accepted++
			cell.Apply(now, record)
			So(j.Append(context.Background(), []jobs.Record{record}), ShouldBeNil)
		}
		accept()
		attempts := 0
		s.Defer(func(store.Change) bool {
			attempts++
			return attempts == 1
		})
		So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		So(attempts, ShouldEqual, 2)
		accept()
		So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		accept()
		So(s.ApplyDeferred(), ShouldEqual, 0)
		_, next := load(t, s, takeOwnership(t, s, "b"))
		So(next.Active(), ShouldEqual, accepted)
	})
	Convey("An attempt to create a segment that is carried out after a snapshot has removed the segment does nothing", t, func() {
		s := keyvalue.New()
		j, cell := load(t, s, takeOwnership(t, s, "a"))
		attempts := 0
		s.Defer(func(store.Change) bool {
			attempts++
			return attempts == 1
		})
		So(j.Append(context.Background(), []jobs.Record{jobRecord(0)}), ShouldBeNil)
		So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		So(s.ApplyDeferred(), ShouldEqual, 0)
		_, isPresent := s.Get(j.segmentKey(0))
		So(isPresent, ShouldBeFalse)
	})
	Convey("Random attempts that are carried out late, at random times, lose no records", t, func() {
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, 23))
			s := keyvalue.New()
			accepted := 0
			for owner := range 3 {
				j, cell := load(t, s, takeOwnership(t, s, fmt.Sprintf("%d", owner)))
				So(cell.Active(), ShouldEqual, accepted)
				s.Defer(func(store.Change) bool { return random.IntN(3) == 0 })
				for range 8 {
					switch random.IntN(4) {
					case 0:
						So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
					case 1:
						// All writes so far have succeeded.
						So(s.ApplyDeferred(), ShouldEqual, 0)
					default:
						record := jobRecord(accepted)
						// A segment is full after one record in three.
						record.Job.Spec = strings.Repeat("x", random.IntN(maxSegmentBytes*3/2))
						accepted++
						cell.Apply(now, record)
						So(j.Append(context.Background(), []jobs.Record{record}), ShouldBeNil)
					}
				}
				s.Defer(nil)
				So(s.ApplyDeferred(), ShouldEqual, 0)
			}
			_, last := load(t, s, takeOwnership(t, s, "last"))
			So(last.Active(), ShouldEqual, accepted)
		}
	})
}

// TestIncompleteLogIsServed guards against an owner that serves a state without the records
// of a missing segment.
func TestIncompleteLogIsServed(t *testing.T) {
	missing := map[string]int64{"first": 0, "middle": 1}
	for name, sequence := range missing {
		Convey("A log whose segment is missing is not loaded: "+name, t, func() {
			s := keyvalue.New()
			j, _ := load(t, s, takeOwnership(t, s, "a"))
			for i := range 3 {
				record := jobRecord(i)
				record.Job.Spec = strings.Repeat("x", maxSegmentBytes)
				So(j.Append(context.Background(), []jobs.Record{record}), ShouldBeNil)
			}
			s.Remove(j.segmentKey(sequence))
			cell := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
			_, err := Load(context.Background(), newConfig(s, takeOwnership(t, s, "b"), io.Discard), cell, now)
			So(errors.Is(err, ErrIncomplete), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, j.segmentKey(sequence+1))
		})
	}
}

// TestDeposedOwnerReportsIncompleteLog guards against an owner that takes the removal of
// segments by the next owner for a fault of the store.
func TestDeposedOwnerReportsIncompleteLog(t *testing.T) {
	Convey("A gap that is read after the cell was taken over is not reported as an incomplete log", t, func() {
		s := keyvalue.New()
		s.Put(Key("p")+"log/000000000001", []byte(`{"cancel":"1"}`))
		owner := takeOwnership(t, s, "a")
		takeOwnership(t, s, "b")
		_, err := Load(context.Background(), newConfig(s, owner, io.Discard), jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()}), now)
		So(errors.Is(err, ErrDeposed), ShouldBeTrue)
	})
}

// randomText returns text that compresses badly.
func randomText(random *rand.Rand, length int) string {
	text := make([]byte, length)
	for i := range text {
		text[i] = byte('!' + random.IntN(90))
	}
	return string(text)
}

// largeCell returns a cell with jobs whose snapshot takes several megabytes.
func largeCell(count int) *jobs.Cell {
	random := rand.New(rand.NewPCG(1, 2))
	cell := jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()})
	for i := range count {
		record := jobRecord(i)
		record.Job.Spec = randomText(random, 2000)
		cell.Apply(now, record)
	}
	return cell
}

func TestLargeSnapshots(t *testing.T) {
	Convey("A snapshot that exceeds the largest value of the store is divided, and a smaller one after it is read alone", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		const count = 2000
		So(j.WriteSnapshot(context.Background(), largeCell(count).Snapshot()), ShouldBeNil)
		items, _, err := s.Client(nil).ReadAll(context.Background(), Key("p"), false)
		So(err, ShouldBeNil)
		So(len(items), ShouldBeGreaterThan, 2)
		for _, item := range items {
			So(len(item.Value), ShouldBeLessThanOrEqualTo, 1<<20)
		}
		_, next := load(t, s, takeOwnership(t, s, "b"))
		So(next.Active(), ShouldEqual, count)
		j, _ = load(t, s, takeOwnership(t, s, "c"))
		So(j.WriteSnapshot(context.Background(), largeCell(3).Snapshot()), ShouldBeNil)
		_, next = load(t, s, takeOwnership(t, s, "d"))
		So(next.Active(), ShouldEqual, 3)
	})
	Convey("In a peak of a large cell, snapshots take no more bytes than the log", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		cell := largeCell(1000)
		So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		// As many records as a cell of 900 endpoints writes in six seconds.
		var batch []jobs.Record
		for i := range 100 {
			batch = append(batch, jobs.Record{Placement: &jobs.Placement{Task: fmt.Sprintf("%016x.0.0.%d", i, i), Run: 1, Endpoint: "i-0123456789", Born: 1}})
		}
		logBytes, snapshotBytes := 0, 0
		for range 150 {
			if j.IsSnapshotDue() {
				So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
				snapshotBytes += j.snapshotBytes
				continue
			}
			before := j.logBytes
			So(j.Append(context.Background(), batch), ShouldBeNil)
			logBytes += j.logBytes - before
		}
		So(snapshotBytes, ShouldBeLessThanOrEqualTo, logBytes)
	})
	Convey("Segments before a snapshot are removed by later writes if they do not fit into its change", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		for i := range 3 * store.MaxChangeSize {
			record := jobRecord(i)
			record.Job.Spec = string(make([]byte, maxSegmentBytes))
			So(j.Append(context.Background(), []jobs.Record{record}), ShouldBeNil)
		}
		So(j.WriteSnapshot(context.Background(), largeCell(1).Snapshot()), ShouldBeNil)
		for i := range 4 {
			So(j.Append(context.Background(), []jobs.Record{jobRecord(1000 + i)}), ShouldBeNil)
		}
		items, _, err := s.Client(nil).ReadAll(context.Background(), Key("p"), false)
		So(err, ShouldBeNil)
		keys := make([]string, len(items))
		for i, item := range items {
			keys[i] = item.Key
		}
		So(keys, ShouldResemble, []string{"cell/p/head", j.segmentKey(j.sequence), "cell/p/state"})
		_, next := load(t, s, takeOwnership(t, s, "b"))
		So(next.Active(), ShouldEqual, 5)
	})
}

// The grants that the last owner has told of were taken for valid after another owner had extended
// them.
func TestOutdatedGrantsAreInherited(t *testing.T) {
	task := jobs.TaskName{Job: fmt.Sprintf("%016x", 1)}.String()
	// handOver stores a final snapshot with a run on a silent endpoint.
	handOver := func(j *Journal, cell *jobs.Cell) {
		cell.Apply(now, jobRecord(1))
		cell.Apply(now, jobs.Record{Placement: &jobs.Placement{Task: task, Run: 1, Endpoint: "e", Born: 1}})
		So(j.WriteSnapshot(context.Background(), cell.HandoverSnapshot(now)), ShouldBeNil)
	}
	// isInherited reports whether an owner that loads the cell is told when the run ends.
	isInherited := func(s *keyvalue.Store) bool {
		w := &bytes.Buffer{}
		loadLogged(t, s, takeOwnership(t, s, "b"), w)
		return strings.Contains(w.String(), `"handover":true`)
	}
	for name, c := range map[string]struct {
		between func(s *keyvalue.Store, j *Journal, cell *jobs.Cell)
		isValid bool
	}{
		"nothing else was stored": {between: func(*keyvalue.Store, *Journal, *jobs.Cell) {}, isValid: true},
		"the owner that handed over has stored more": {between: func(_ *keyvalue.Store, j *Journal, _ *jobs.Cell) {
			So(j.Append(context.Background(), []jobs.Record{jobRecord(2)}), ShouldBeNil)
		}},
		"another owner has loaded it and stored nothing": {between: func(s *keyvalue.Store, _ *Journal, _ *jobs.Cell) {
			load(t, s, takeOwnership(t, s, "c"))
		}},
		"another owner has stored a snapshot that is not final": {between: func(s *keyvalue.Store, _ *Journal, _ *jobs.Cell) {
			j, cell := load(t, s, takeOwnership(t, s, "c"))
			So(j.WriteSnapshot(context.Background(), cell.Snapshot()), ShouldBeNil)
		}},
		"another owner has handed over": {between: func(s *keyvalue.Store, _ *Journal, _ *jobs.Cell) {
			j, cell := load(t, s, takeOwnership(t, s, "c"))
			So(j.WriteSnapshot(context.Background(), cell.HandoverSnapshot(now)), ShouldBeNil)
		}, isValid: true},
	} {
		Convey("After a hand-over, if "+name, t, func() {
			s := keyvalue.New()
			j, cell := load(t, s, takeOwnership(t, s, "a"))
			handOver(j, cell)
			c.between(s, j, cell)
			So(isInherited(s), ShouldEqual, c.isValid)
			// Loading makes it outdated.
			So(isInherited(s), ShouldBeFalse)
		})
	}
	Convey("An owner that cannot mark them as outdated does not load the cell", t, func() {
		s := keyvalue.New()
		j, cell := load(t, s, takeOwnership(t, s, "a"))
		handOver(j, cell)
		condition := takeOwnership(t, s, "b")
		takeOwnership(t, s, "c")
		_, err := Load(context.Background(), newConfig(s, condition, io.Discard), jobs.New(jobs.Config{Bounds: jobs.DefaultBounds()}), now)
		So(errors.Is(err, ErrDeposed), ShouldBeTrue)
		So(isInherited(s), ShouldBeTrue)
	})
}

// A write of new jobs that depends on where their queue is was given up after each change of another
// queue, or carried out after the queue had moved.
func TestGuardedWrite(t *testing.T) {
	const guardKey = "guard"
	errMoved := errors.New("moved")
	for name, write := range map[string]func(j *Journal, guard Guard) error{
		"records": func(j *Journal, guard Guard) error {
			return j.AppendGuarded(context.Background(), []jobs.Record{jobRecord(1)}, guard)
		},
		"a snapshot": func(j *Journal, guard Guard) error {
			return j.WriteSnapshotGuarded(context.Background(), jobs.Snapshot{Jobs: []jobs.JobState{{Job: *jobRecord(1).Job}}}, guard)
		},
	} {
		Convey("A guarded write is tried again with the present condition, or ends with the error of the guard: "+name, t, func() {
			for isAllowed, expected := range map[bool]error{true: nil, false: errMoved} {
				s := keyvalue.New()
				j, _ := load(t, s, takeOwnership(t, s, "a"))
				s.Put(guardKey, []byte("v"))
				calls := 0
				err := write(j, func(current *store.Item) (store.Condition, error) {
					calls++
					switch {
					case current == nil:
						return store.Condition{Key: guardKey, Revision: 0}, nil
					case isAllowed:
						return store.Condition{Key: guardKey, Revision: current.Revision}, nil
					}
					return store.Condition{}, errMoved
				})
				So(errors.Is(err, expected), ShouldBeTrue)
				So(calls, ShouldEqual, 2)
				_, cell := load(t, s, takeOwnership(t, s, "b"))
				So(cell.Active() == 1, ShouldEqual, isAllowed)
			}
		})
	}
	Convey("An owner that was replaced is told so, whatever the guard says", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		takeOwnership(t, s, "b")
		err := j.AppendGuarded(context.Background(), []jobs.Record{jobRecord(1)}, func(*store.Item) (store.Condition, error) {
			return store.Condition{Key: guardKey, Revision: 5}, nil
		})
		So(errors.Is(err, ErrDeposed), ShouldBeTrue)
	})
}
