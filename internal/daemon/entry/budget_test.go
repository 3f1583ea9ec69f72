package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"gitlab.com/chicorypin/chicorypin/units"
)

// Bounds that the users state for control, per daemon.
const (
	maxBytesPerSecond = 14 << 10
	maxMemory         = 64 << 20
	maxCore           = 0.031
)

// wantBytes returns the bytes of a want and of its answer.
//
// The worst case of unit trade: a daemon is short of units of every team, no
// peer has any, and every peer is as short.
func wantBytes(e *Entry, s scale) float64 {
	want := units.Want{From: "entry-1.00000000", To: e.id, Sequence: 1 << 40}
	for i := range s.teams {
		name := fmt.Sprintf("team-%02d", i)
		for e.teams.Account(name).Acquire() != nil {
			continue
		}
		want.Items = append(want.Items, units.WantItem{Name: name, Hold: 1, Want: 3})
	}
	answer, _ := e.teams.ReceiveWant(e.config.Timer.Now(), want)
	return float64(proto.Size(wantFrame(groupTeams, want)) + proto.Size(lendFrame(groupTeams, answer)))
}

func TestControlBytesAtTheSizeAimedFor(t *testing.T) {
	Convey("Given the whole size and the worst traffic", t, func() {
		e := newScaled(t, aim)
		peers := float64(aim.entries - 1)
		full := float64(proto.Size(busyBeat(e, aim)))
		e.state.beats = 1
		plain := float64(proto.Size(e.composeBeat(e.config.Timer.Now())))

		perSecond := float64(time.Second) / float64(beatPeriod)
		fullRate := perSecond / usageEvery
		farRate := perSecond/farEvery - fullRate
		nearRate := perSecond - fullRate
		nearPeers := 1.0
		beats := fullRate*full*peers + (nearRate*nearPeers+farRate*(peers-nearPeers))*plain

		interval := (units.DefaultInterval * units.MaxBackoffFactor).Seconds()
		trade := peers * wantBytes(e, aim) / interval

		// What is sent comes in as well, from peers in the same state.
		total := 2 * (beats + trade)
		Printf("heartbeats %.0f B/s, trade %.0f B/s, both ways %.0f B/s ", 2*beats, 2*trade, total)
		So(total, ShouldBeLessThanOrEqualTo, maxBytesPerSecond)
	})
}

func TestStateAtTheSizeAimedFor(t *testing.T) {
	Convey("The documents fit the platform's values and the memory of a daemon", t, func() {
		before := liveHeap()
		e := newScaled(t, aim)
		So(liveHeap()-before, ShouldBeLessThan, maxMemory/8)
		for _, data := range [][]byte{e.state.configData, e.state.fleetData, e.state.tableData} {
			So(len(data), ShouldBeLessThan, 1<<20/2)
		}
	})
}

func TestTradeAllocations(t *testing.T) {
	Convey("An idle trade pass allocates a bounded amount for each account", t, func() {
		e := newScaled(t, aim)
		e.trade(e.config.Timer.Now())
		accounts := float64(aim.teams + aim.instances)
		allocations := testing.AllocsPerRun(20, func() { e.trade(e.config.Timer.Now()) })
		Printf("%.2f allocations for each account ", allocations/accounts)
		// At 20 passes a second and some 100 ns for each allocation and account
		// this is a tenth of the share of a core that the users allow.
		So(allocations/accounts*20*accounts*100e-9, ShouldBeLessThan, maxCore/10)
	})
}
