package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"gitlab.com/chicorypin/chicorypin/internal/base/timer"
	"gitlab.com/chicorypin/chicorypin/internal/mesh/wire"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
	"gitlab.com/chicorypin/chicorypin/units"
)

// scale is a size of the whole system, as numbers of its parts.
type scale struct {
	entries   int
	teams     int
	pools     int
	instances int
}

// targetScale is the size that the users require.
var targetScale = scale{entries: 8, teams: 85, pools: 26, instances: 610}

// scales are the sizes at which the benchmarks measure how cost grows.
var scales = map[string]scale{
	"quarter": {entries: 2, teams: 21, pools: 7, instances: 152},
	"half":    {entries: 4, teams: 42, pools: 13, instances: 305},
	"whole":   targetScale,
}

// document returns a config document of this size.
func (s scale) document() document.Document {
	d := document.Document{}
	for i := range s.pools {
		name := fmt.Sprintf("pool-%d", i)
		d.Pools = append(d.Pools, document.Pool{Name: name, MinShare: 0.75})
		d.Services = append(d.Services, document.Service{Name: fmt.Sprintf("service-%d", i), Pool: name})
	}
	for i := range s.teams {
		name := fmt.Sprintf("team-%02d", i)
		keys := []string{document.Digest(name + "/1"), document.Digest(name + "/2")}
		d.Teams = append(d.Teams, document.Team{Name: name, Share: 100 / float64(s.teams), Limit: 200, KeyDigests: keys})
	}
	return d
}

// fleet returns a fleet document of this size in which every instance is
// serving.
func (s scale) fleet() fleet.Fleet {
	f := fleet.Fleet{ID: "f", Revision: 1}
	for i := range s.instances {
		f.Instances = append(f.Instances, fleet.Instance{
			Name:    fmt.Sprintf("worker-%03d", i),
			Pool:    fmt.Sprintf("pool-%d", i%s.pools),
			Centre:  fmt.Sprintf("centre-%d", i%5),
			Rack:    fmt.Sprintf("rack-%d", i/4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 8080),
			Slots:   8,
			State:   fleet.Serving,
			BootID:  "boot-1",
		})
	}
	return f
}

// newScaledEntry returns an entry with documents and members of the given size.
// It is not running.
func newScaledEntry(tb testing.TB, s scale) *Entry {
	tb.Helper()
	e := newLimitedEntry(tb, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	config, err := document.NewConfig(0, nil, s.document())
	if err != nil {
		tb.Fatal(err)
	}
	e.applyConfig(encode(tb, config), 1)
	holders := map[string]Holder{e.id: {Name: "entry-0", Centre: "centre-0"}}
	names := []string{e.id}
	for i := 1; i < s.entries; i++ {
		name := fmt.Sprintf("entry-%d.00000000", i)
		m := e.state.member(name)
		m.Name, m.Centre = fmt.Sprintf("entry-%d", i), fmt.Sprintf("centre-%d", i%5)
		m.lastHeartbeat = e.config.Clock.Now().Add(time.Hour)
		holders[name] = Holder{Name: m.Name, Centre: m.Centre}
		names = append(names, name)
	}
	e.applyTable(encode(tb, TableDocument{ID: "t", Tables: []units.Table{units.NewEqualTable(1, names)}, Holders: holders}), 1)
	e.applyFleet(encode(tb, s.fleet()), 1)
	return e
}

// newLimitedEntry returns an entry without documents and with a number of descriptors, 0
// for the limit of the process. It is not running.
func newLimitedEntry(tb testing.TB, descriptors int) *Entry {
	tb.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e, err := New(Config{
		Settings: Settings{
			Name: "entry-0", Centre: "centre-0", Caller: local, Operator: local, Peer: local,
			Platform: []netip.AddrPort{local}, List: local, TTL: document.Duration(DefaultTTL),
			Descriptors: descriptors,
		},
		Clock:           timer.New(),
		Log:             logrus.NewEntry(logger),
		Scope:           tally.NoopScope,
		OperatorHandler: func(*Entry) http.Handler { return http.NotFoundHandler() },
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.close)
	return e
}

func encode(tb testing.TB, body any) []byte {
	tb.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// fullHeartbeat returns a heartbeat with member info and usage, in which every
// team uses slots in two pools.
func fullHeartbeat(e *Entry, s scale) *wire.Frame {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.heartbeats = heartbeatsPerMemberInfo - 1
	frame := e.composeHeartbeat(e.config.Clock.Now())
	usage := frame.GetBeat().GetUsage()
	for i := range 2 * s.teams {
		usage.Place = append(usage.Place, uint32((s.pools-1-i%2)*s.teams+i/2))
		usage.Slots = append(usage.Slots, 12)
	}
	return frame
}

func BenchmarkBeat(b *testing.B) {
	for name, s := range scales {
		b.Run(name, func(b *testing.B) {
			e := newScaledEntry(b, s)
			frame := fullHeartbeat(e, s)
			b.ReportMetric(float64(proto.Size(frame)), "bytes")
			for range b.N {
				data, _ := proto.Marshal(frame)
				received := &wire.Frame{}
				_ = proto.Unmarshal(data, received)
				e.receiveHeartbeat("entry-1.00000000", received.GetBeat())
			}
		})
	}
}

func BenchmarkWant(b *testing.B) {
	for name, s := range scales {
		b.Run(name, func(b *testing.B) {
			e := newScaledEntry(b, s)
			want := units.Want{From: "entry-1.00000000", To: e.id, Sequence: 1}
			for i := range s.teams {
				want.Items = append(want.Items, units.WantItem{Name: fmt.Sprintf("team-%02d", i), Hold: 1, Want: 3})
			}
			b.ReportMetric(float64(proto.Size(wantFrame(groupTeams, want))), "want-bytes")
			for range b.N {
				want.Sequence++
				data, _ := proto.Marshal(wantFrame(groupTeams, want))
				received := &wire.Frame{}
				_ = proto.Unmarshal(data, received)
				reply, _ := e.teams.ReceiveWant(e.config.Clock.Now(), want)
				data, _ = proto.Marshal(lendFrame(groupTeams, reply))
				b.ReportMetric(float64(len(data)), "lend-bytes")
			}
		})
	}
}

func BenchmarkLedgerPass(b *testing.B) {
	for name, s := range scales {
		b.Run(name, func(b *testing.B) {
			e := newScaledEntry(b, s)
			for range b.N {
				e.runLedgerPass(e.config.Clock.Now())
			}
		})
	}
}

func BenchmarkDocuments(b *testing.B) {
	for name, s := range scales {
		b.Run(name, func(b *testing.B) {
			e := newScaledEntry(b, s)
			b.ReportMetric(float64(len(e.state.configData)), "config-bytes")
			b.ReportMetric(float64(len(e.state.fleetData)), "fleet-bytes")
			b.ReportMetric(float64(len(e.state.tableData)), "table-bytes")
			e.mu.Lock()
			defer e.mu.Unlock()
			next := e.state.fleet
			for range b.N {
				next = next.Next()
				e.applyFleet(encode(b, next), 2)
			}
		})
	}
}

// BenchmarkMemory reports the live heap of one entry for each size, in MB. Each
// size is measured once, since it is not known when the entries of an earlier
// call are collected.
func BenchmarkMemory(b *testing.B) {
	measured := make(map[string]float64)
	for name, s := range scales {
		b.Run(name, func(b *testing.B) {
			if _, isMeasured := measured[name]; !isMeasured {
				measured[name] = heapOfEntry(b, s)
			}
			b.ReportMetric(measured[name], "MB")
		})
	}
}

// heapOfEntry returns the average live heap of one entry, in MB.
func heapOfEntry(b *testing.B, s scale) float64 {
	const copies = 8
	before := liveHeap()
	entries := make([]*Entry, copies)
	for i := range entries {
		entries[i] = newScaledEntry(b, s)
	}
	after := liveHeap()
	runtime.KeepAlive(entries)
	return float64(after-before) / copies / (1 << 20)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	// Connections are freed by finalizers, which need more than one collection.
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
