package entry

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
)

func init() {
	// A fixed seed makes runs repeatable. A -rapid.seed on the command line
	// takes precedence.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
}

// TestReceiveRandomFrames guards against messages of a peer that crash an
// entry or change a revision with an invalid document. It sends frames of
// random content, some with a corrupted byte.
func TestReceiveRandomFrames(t *testing.T) {
	e := newScaledEntry(t, scales["quarter"])
	rapid.Check(t, func(t *rapid.T) {
		frame := drawFrame(t)
		data, err := proto.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "broken") && len(data) > 0 {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 0xff
		}
		received := &wire.Frame{}
		if proto.Unmarshal(data, received) != nil {
			return
		}
		e.receive(rapid.SampledFrom([]string{"entry-1.00000000", "stranger", e.id}).Draw(t, "from"), received)
		e.runLedgerPass(time.Now())
		if e.state.config.Revision != 1 || e.state.fleet.Revision != 1 || e.state.table.Revision() != 1 {
			t.Fatal("a revision has changed")
		}
	})
}

func TestUsageOutOfRange(t *testing.T) {
	Convey("Usage with a place that the config does not have leaves the earlier usage of the peer in force", t, func() {
		s := scales["quarter"]
		e := newScaledEntry(t, s)
		e.receive("entry-1.00000000", fullHeartbeat(e, s))
		e.mu.Lock()
		before := e.state.member("entry-1.00000000").running
		e.mu.Unlock()
		So(before, ShouldNotBeEmpty)
		frame := fullHeartbeat(e, s)
		usage := frame.GetBeat().GetUsage()
		usage.Place[len(usage.Place)-1] = 1 << 20
		usage.Slots[0]++
		e.receive("entry-1.00000000", frame)
		e.mu.Lock()
		defer e.mu.Unlock()
		So(e.state.member("entry-1.00000000").running, ShouldResemble, before)
	})
}

// drawFrame draws a frame of any kind except Hello, with random content.
func drawFrame(t *rapid.T) *wire.Frame {
	number := func(name string) uint64 {
		return rapid.SampledFrom([]uint64{0, 1, 2, 1 << 20, 1<<64 - 1}).Draw(t, name)
	}
	smallNumbers := rapid.SliceOfN(rapid.Uint32Max(300), 0, 5)
	names := rapid.SampledFrom([]string{"", "team-01", "worker-001", "x"})
	documents := rapid.SampledFrom([][]byte{nil, []byte("{}"), []byte(`{"revision": 9}`), []byte("[1"), []byte("null")})
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return &wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{
			Sequence: number("sequence"), Config: rapid.SampledFrom([]uint64{0, 1}).Draw(t, "config"),
			LimitsForce: number("force"), TableForce: number("force"), Fleet: number("fleet"), Age: number("age"),
			BusyFleet: number("busy"), Busy: []string{names.Draw(t, "name")},
			Usage:  &wire.Usage{Place: smallNumbers.Draw(t, "place"), Slots: smallNumbers.Draw(t, "slots"), Waiting: smallNumbers.Draw(t, "waiting")},
			Member: &wire.Member{Name: names.Draw(t, "name"), Peer: names.Draw(t, "name")},
		}}}
	case 1:
		return &wire.Frame{Body: &wire.Frame_Want{Want: &wire.Want{
			Group: uint32(rapid.IntRange(0, 3).Draw(t, "group")), Sequence: number("sequence"), Run: number("run"),
			Items: []*wire.WantItem{{Name: names.Draw(t, "name"), Hold: uint32(number("hold")), Want: uint32(number("want"))}},
		}}}
	case 2:
		return &wire.Frame{Body: &wire.Frame_Lend{Lend: &wire.Lend{
			Sequence: number("sequence"), Term: number("term"),
			Items: []*wire.LendItem{{Name: names.Draw(t, "name"), Units: uint32(number("units"))}},
		}}}
	case 3:
		return &wire.Frame{Body: &wire.Frame_Pull{Pull: &wire.Pull{Config: number("config")}}}
	}
	return &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{
		Config: documents.Draw(t, "config"), Fleet: documents.Draw(t, "fleet"), Table: documents.Draw(t, "table"),
	}}}
}
