package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A start that was not answered was carried out by the incarnation after the one that had accepted its stop, beside
// the next run of the task (TWICE).
func TestStopEndsWithItsIncarnation(t *testing.T) {
	// restart makes the endpoint of the start list no runs as another incarnation.
	restart := func(d *doubtfulStart, born int64) {
		d.advance(100 * time.Millisecond)
		d.cell.ApplyListing(d.now, Listing{Endpoint: d.start.Endpoint, AskedAt: d.now, Born: born, IsBound: true, Clock: 20})
	}
	accept := func(d *doubtfulStart, stops []Stop) {
		for _, s := range stops {
			d.cell.StopAnswered(d.now, s, Accepted, 0)
		}
	}
	for name, c := range map[string]struct {
		play  func(d *doubtfulStart)
		stops int
	}{
		"no restart":            {func(*doubtfulStart) {}, 0},
		"a restart":             {func(d *doubtfulStart) { restart(d, 2) }, 1},
		"a restart and a while": {func(d *doubtfulStart) { restart(d, 2); d.cell.Stops(d.now); d.advance(stopRetryInterval) }, 1},
		"a stop just sent":      {func(d *doubtfulStart) { restart(d, 2); d.cell.Stops(d.now); d.advance(stopRetryInterval / 2) }, 0},
		"an accepted stop":      {func(d *doubtfulStart) { restart(d, 2); accept(d, d.cell.Stops(d.now)); d.advance(stopRetryInterval) }, 0},
		"two restarts": {func(d *doubtfulStart) {
			restart(d, 2)
			accept(d, d.cell.Stops(d.now))
			d.advance(stopRetryInterval)
			restart(d, 3)
		}, 1},
		"an accepted stop of the former incarnation": {func(d *doubtfulStart) {
			restart(d, 2)
			stops := d.cell.Stops(d.now)
			d.advance(stopRetryInterval)
			restart(d, 3)
			accept(d, stops)
		}, 1},
		"a restart after the longest delay of starts": {func(d *doubtfulStart) { d.advance(maxStartDelay); restart(d, 2) }, 0},
	} {
		Convey("A start that may be carried out late is stopped on each incarnation: after "+name, t, func() {
			d := newDoubtfulStart(1)
			stops := d.cell.Stops(d.now)
			So(stops, ShouldHaveLength, 1)
			accept(d, stops)
			d.advance(100 * time.Millisecond)
			d.answerPoll(d.endpoint)
			So(d.cell.endpoints[d.start.Endpoint].runs, ShouldBeEmpty)
			c.play(d)
			stops = d.cell.Stops(d.now)
			So(stops, ShouldHaveLength, c.stops)
			for _, s := range stops {
				So(s.Task, ShouldEqual, d.start.Task)
				So(s.Run, ShouldEqual, d.start.Run)
				So(s.Born, ShouldEqual, d.cell.endpoints[d.start.Endpoint].born)
			}
		})
	}
	Convey("A start that was carried out is stopped on no other incarnation", t, func() {
		d := newDoubtfulStart(1)
		d.listRun(50)
		restart(d, 2)
		d.advance(100 * time.Millisecond)
		So(d.cell.Stops(d.now), ShouldBeEmpty)
	})
}
