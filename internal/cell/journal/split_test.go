package journal

import (
	"context"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// storeValueBytes is the largest value that the platform's store takes.
const storeValueBytes = 1 << 20

// The records of a wide job, or of several large ones, were put into one value that the store refused,
// and the owner repeated that write for good.
func TestBatchBeyondValueSizeIsNeverStored(t *testing.T) {
	for name, c := range map[string]struct {
		count  int
		record func(i int) jobs.Record
	}{
		"placements of a wide job": {20000, func(i int) jobs.Record {
			return jobs.Record{Placement: &jobs.Placement{Task: jobs.TaskName{Job: strings.Repeat("a", 16), Index: i}.String(), Run: 1, Endpoint: "i-00000001", Born: 1}}
		}},
		"jobs that are large": {10, func(i int) jobs.Record {
			r := jobRecord(i)
			r.Job.Spec = strings.Repeat("s", 250<<10)
			return r
		}},
	} {
		Convey("A batch of more bytes than a value may have is stored in several: "+name, t, func() {
			s := keyvalue.New()
			j, _ := load(t, s, takeOwnership(t, s, "a"))
			So(j.Append(context.Background(), []jobs.Record{jobRecord(999)}), ShouldBeNil)
			records := make([]jobs.Record, c.count)
			for i := range records {
				records[i] = c.record(i)
			}
			So(j.Append(context.Background(), records), ShouldBeNil)
			So(j.Append(context.Background(), []jobs.Record{jobRecord(1000)}), ShouldBeNil)
			items, _, err := s.Client(nil).ReadAll(context.Background(), Key("p"), false)
			So(err, ShouldBeNil)
			lines := 0
			for _, item := range items {
				So(len(item.Value), ShouldBeLessThanOrEqualTo, storeValueBytes)
				if _, isSegment := j.sequenceOf(item.Key); isSegment {
					lines += strings.Count(string(item.Value), "\n")
				}
			}
			So(lines, ShouldEqual, c.count+2)
			next, cell := load(t, s, takeOwnership(t, s, "b"))
			So(cell.Active(), ShouldBeGreaterThanOrEqualTo, 2)
			So(next.logBytes, ShouldEqual, j.logBytes)
		})
	}
}

// A snapshot is one change of the store, which takes a limited number of values. One with more was
// refused by the store for good.
func TestSnapshotBeyondChangeSizeIsReported(t *testing.T) {
	Convey("A snapshot that needs more values than a change may have is not written, and records still are", t, func() {
		s := keyvalue.New()
		j, _ := load(t, s, takeOwnership(t, s, "a"))
		random := rand.New(rand.NewPCG(1, 2))
		state := jobs.Snapshot{}
		for i := range store.MaxChangeSize + 8 {
			noise := make([]byte, maxValueBytes)
			for k := range noise {
				noise[k] = byte(random.UintN(256))
			}
			state.Jobs = append(state.Jobs, jobs.JobState{Job: jobs.Job{ID: jobRecord(i).Job.ID, Spec: base64.StdEncoding.EncodeToString(noise)}})
		}
		So(errors.Is(j.WriteSnapshot(context.Background(), state), store.ErrInvalid), ShouldBeTrue)
		So(j.IsSnapshotDue(), ShouldBeFalse)
		So(j.Append(context.Background(), []jobs.Record{jobRecord(1)}), ShouldBeNil)
		_, cell := load(t, s, takeOwnership(t, s, "b"))
		So(cell.Active(), ShouldEqual, 1)
	})
}
