package jobs

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An endpoint that discovery had dropped was forgotten with all that was known of it, also what matters if it comes back under its ID
// (TWICE, review/11).
func TestEndpointIsForgottenTooEarly(t *testing.T) {
	longest := DefaultBounds().longestGrant()
	for name, c := range map[string]struct {
		prepare func(d *doubtfulStart, e *Endpoint)
		// lasts is how long the endpoint is known without being listed, isCalled whether it is polled meanwhile.
		lasts    time.Duration
		isCalled bool
	}{
		"nothing": {func(d *doubtfulStart, _ *Endpoint) { d.cell.lateStarts = nil }, 0, false},
		"a start that may come late": {func(d *doubtfulStart, e *Endpoint) {
			e.openUntil = d.now.Add(maxStartDelay)
		}, maxStartDelay, true},
		"a grant that has strayed": {func(d *doubtfulStart, e *Endpoint) { d.cell.recordStrayGrant(d.now, e) }, longest, false},
		"a grant that may have strayed over a connection that has outlived a restart": {func(d *doubtfulStart, e *Endpoint) {
			e.unlikelyGrantEnd = d.now.Add(longest)
		}, longest, false},
		"a grant that may come late": {func(d *doubtfulStart, e *Endpoint) { d.cell.GrantUnanswered(d.now, e.ID, e.born) }, maxStartDelay, false},
		"a cordon": {func(d *doubtfulStart, e *Endpoint) {
			d.cell.Evacuate(d.now, e.ID, d.now.Add(4*time.Second), false)
		}, 4 * time.Second, false},
	} {
		Convey("An endpoint that is not listed any more is known as long as that matters: "+name, t, func() {
			d := &doubtfulStart{testbed: newTestbed(1)}
			e := d.cell.endpoints[endpointName(0)]
			c.prepare(d, e)
			isKnown := func() bool { return d.cell.endpoints[e.ID] != nil }
			d.setEndpoints(0, false)
			So(isKnown(), ShouldEqual, c.lasts > 0)
			if c.lasts == 0 {
				return
			}
			poll, _ := d.cell.NextPoll(d.now, e.ID)
			So(poll.IsNeeded, ShouldEqual, c.isCalled)
			So(poll.IsRestartAwaited, ShouldEqual, c.isCalled)
			So(d.cell.fitsAnywhere(&job{Job: Job{Steps: []Step{batchStep(1, 10)}}}), ShouldBeTrue)
			So(d.cell.hasEndpoints(), ShouldBeFalse)
			d.advance(c.lasts - time.Millisecond)
			d.planAndStore()
			d.setEndpoints(0, false)
			So(isKnown(), ShouldBeTrue)
			d.advance(2 * time.Millisecond)
			d.planAndStore()
			d.setEndpoints(0, false)
			So(isKnown(), ShouldBeFalse)
		})
	}
	Convey("An endpoint that another one has replaced on its machine is forgotten at once", t, func() {
		b := newTestbed(1)
		e := b.cell.endpoints[endpointName(0)]
		e.openUntil = b.now.Add(maxStartDelay)
		next := Profile{ID: "next", Machine: e.Machine, Capacity: e.Capacity, Born: 7}
		b.cell.SetEndpoints(b.now, []Profile{next})
		So(b.cell.endpoints, ShouldHaveLength, 2)
		b.advance(time.Millisecond)
		b.cell.ApplyListing(b.now, Listing{Endpoint: next.ID, AskedAt: b.now, Born: next.Born, Clock: 5})
		b.cell.SetEndpoints(b.now, []Profile{next})
		So(b.cell.endpoints, ShouldHaveLength, 1)
	})
}

// The next owner did not know which endpoints may carry out starts that have got no answer, nor where they are (TWICE, review/11).
func TestNextOwnerForgetsOpenStart(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	// lose returns a cell whose first endpoint may carry out a start that counts as lost, and the records so far.
	lose := func() (*doubtfulStart, []Record) {
		d := newDoubtfulStart(1)
		e := d.cell.endpoints[d.start.Endpoint]
		e.address = address
		stops := d.cell.Stops(d.now)
		So(stops, ShouldHaveLength, 1)
		d.cell.StopAnswered(d.now, stops[0], Accepted, 0)
		d.advance(100 * time.Millisecond)
		d.answerPoll(d.endpoint)
		So(e.runs, ShouldBeEmpty)
		return d, d.cell.TakeBatch().Records
	}
	for name, change := range map[string]func(d *doubtfulStart, records []Record){
		"records": func(d *doubtfulStart, records []Record) {
			for _, r := range records {
				d.cell.Apply(d.now, r)
			}
		},
		"snapshot": func(d *doubtfulStart, _ []Record) {},
	} {
		Convey("The next owner knows the endpoint and its address, from a "+name, t, func() {
			d, records := lose()
			snapshot := d.cell.Snapshot()
			if name == "records" {
				snapshot.Open = nil
			}
			d.cell = New(Config{Bounds: DefaultBounds(), Inherited: d.now})
			d.cell.Restore(d.now, snapshot)
			change(d, records)
			d.cell.FinishRestore()
			d.cell.SetEndpoints(d.now, nil)
			open := d.cell.UnlistedOpenStarts()
			So(open, ShouldResemble, []OpenStart{{Endpoint: d.start.Endpoint, Address: address, Machine: "m" + d.start.Endpoint, Born: 1}})
			So(d.cell.Snapshot().Open, ShouldResemble, open)
			poll, isKnown := d.cell.NextPoll(d.now, d.start.Endpoint)
			So(isKnown && poll.IsNeeded && poll.IsUrgent, ShouldBeTrue)
			d.advance(maxStartDelay + time.Millisecond)
			d.planAndStore()
			So(d.cell.Snapshot().Open, ShouldBeEmpty)
		})
	}
	Convey("A run of an earlier owner that is not found counts as such a start", t, func() {
		d := newDoubtfulStart(1)
		snapshot := d.cell.Snapshot()
		d.cell = New(Config{Bounds: DefaultBounds(), Inherited: d.now})
		d.cell.Restore(d.now, snapshot)
		d.cell.FinishRestore()
		d.setEndpoints(2, false)
		for range 2 {
			d.advance(100 * time.Millisecond)
			d.answerPoll(d.endpoint)
		}
		e := d.cell.endpoints[d.start.Endpoint]
		So(e.runs, ShouldBeEmpty)
		So(e.isOpen(d.now), ShouldBeTrue)
		d.setEndpoints(0, false)
		So(d.cell.UnlistedOpenStarts(), ShouldBeEmpty) // Without an address.
		So(d.cell.endpoints[e.ID], ShouldNotBeNil)
	})
}

// The addresses of endpoints whose machines had moved to other cells were polled for half a minute.
func TestMovedEndpointIsCalled(t *testing.T) {
	for name, c := range map[string]struct {
		machines map[string]string
		isOpen   bool
	}{
		"the machine is not listed":          {map[string]string{"other": "next"}, true},
		"the machine has the same endpoint":  {map[string]string{"me0": "e0"}, true},
		"the machine has another endpoint":   {map[string]string{"me0": "next"}, false},
		"an endpoint without a machine only": {map[string]string{"": "next"}, true},
	} {
		Convey("An endpoint that has left is called unless its machine has another one: "+name, t, func() {
			b := newTestbed(1)
			b.cell.endpoints["e0"].openUntil = b.now.Add(maxStartDelay)
			b.cell.CloseMovedStarts(c.machines)
			So(b.cell.endpoints["e0"].isOpen(b.now), ShouldBeTrue)
			b.setEndpoints(0, false)
			b.cell.CloseMovedStarts(c.machines)
			So(b.cell.endpoints["e0"].isOpen(b.now), ShouldEqual, c.isOpen)
		})
	}
}
