package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"gitlab.com/chicorypin/chicorypin/units"
)

// The users' bounds on the cost of control for each daemon: bytes per second in
// both directions, bytes of memory, and cores.
const (
	maxBytesPerSecond = 14 << 10
	maxMemory         = 64 << 20
	maxCores          = 0.031
)

// wantAndReplyBytes returns the size of a Want for every team plus its reply,
// in the worst case of lending: a daemon that needs units of every team,
// while no peer has any to lend and every peer needs as many.
func wantAndReplyBytes(e *Entry, s scale) float64 {
	first := units.Want{From: "entry-1.00000000", To: e.id, Sequence: 1<<40 - 1}
	want := units.Want{From: first.From, To: e.id, Sequence: 1 << 40, MaxRunTime: units.DefaultMaxRunTime}
	for i := range s.teams {
		name := fmt.Sprintf("team-%02d", i)
		first.Items = append(first.Items, units.WantItem{Name: name, Want: 1})
		want.Items = append(want.Items, units.WantItem{Name: name, Hold: 1, Want: 3})
	}
	// The units that the borrower keeps have been lent to it before.
	e.teams.ReceiveWant(e.config.Clock.Now(), first)
	for i := range s.teams {
		for e.teams.Account(fmt.Sprintf("team-%02d", i)).Acquire() != nil {
			continue
		}
	}
	reply, _ := e.teams.ReceiveWant(e.config.Clock.Now(), want)
	return float64(proto.Size(wantFrame(groupTeams, want)) + proto.Size(lendFrame(groupTeams, reply)))
}

func TestControlBytesAtTargetScale(t *testing.T) {
	Convey("Given the whole size and the worst traffic", t, func() {
		e := newScaledEntry(t, targetScale)
		peers := float64(targetScale.entries - 1)
		fullBytes := float64(proto.Size(fullHeartbeat(e, targetScale)))
		e.state.heartbeats = 1
		plainBytes := float64(proto.Size(e.composeHeartbeat(e.config.Clock.Now())))

		perSecond := float64(time.Second) / float64(heartbeatPeriod)
		fullRate := perSecond / heartbeatsPerUsage
		broadcastRate := perSecond/heartbeatsPerBroadcast - fullRate
		centreRate := perSecond - fullRate
		centrePeers := 1.0
		heartbeats := fullRate*fullBytes*peers + (centreRate*centrePeers+broadcastRate*(peers-centrePeers))*plainBytes

		interval := (units.DefaultInterval * units.MaxBackoffFactor).Seconds()
		lending := peers * wantAndReplyBytes(e, targetScale) / interval

		// A daemon receives as much as it sends, from peers in the same state.
		total := 2 * (heartbeats + lending)
		Printf("heartbeats %.0f B/s, lending %.0f B/s, both ways %.0f B/s ", 2*heartbeats, 2*lending, total)
		So(total, ShouldBeLessThanOrEqualTo, maxBytesPerSecond)
	})
}

func TestStateAtTargetScale(t *testing.T) {
	Convey("The documents fit the platform's values and the memory of a daemon", t, func() {
		before := liveHeap()
		e := newScaledEntry(t, targetScale)
		So(liveHeap()-before, ShouldBeLessThan, maxMemory/8)
		for _, data := range [][]byte{e.state.configData, e.state.fleetData, e.state.tableData} {
			So(len(data), ShouldBeLessThan, 1<<20/2)
		}
	})
}

func TestLedgerPassAllocations(t *testing.T) {
	Convey("An idle pass over the ledgers allocates a bounded amount for each account", t, func() {
		e := newScaledEntry(t, targetScale)
		e.runLedgerPass(e.config.Clock.Now())
		accounts := float64(targetScale.teams + targetScale.instances)
		allocations := testing.AllocsPerRun(20, func() { e.runLedgerPass(e.config.Clock.Now()) })
		Printf("%.2f allocations for each account ", allocations/accounts)
		// At 20 passes a second and about 100 ns for each allocation, this is a
		// tenth of the share of a core that the users allow.
		So(allocations/accounts*20*accounts*100e-9, ShouldBeLessThan, maxCores/10)
	})
}
