package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/host"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/minion"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const (
	operatorKey = "operator"
	teamKey     = "key"
	patience    = 20 * time.Second
)

// BenchmarkPath sends requests in turn through an entry and through a bare
// forwarder to the same minion and reports the ratio of the median times.
func BenchmarkPath(b *testing.B) {
	worker := serve(b, minion.NewServer("worker-1"))
	forwarder := serve(b, newForwarder(worker))
	e := startEntry(b, worker)
	client := &http.Client{}
	through := []netip.AddrPort{forwarder, e.CallerAddress()}
	var times [2][]time.Duration
	for range 100 {
		for _, address := range through {
			request(b, client, address)
		}
	}
	b.ResetTimer()
	for range b.N {
		for i, address := range through {
			since := time.Now()
			request(b, client, address)
			times[i] = append(times[i], time.Since(since))
		}
	}
	b.StopTimer()
	plain, full := median(times[0]), median(times[1])
	b.ReportMetric(float64(plain.Microseconds()), "forwarder-us")
	b.ReportMetric(float64(full.Microseconds()), "entry-us")
	b.ReportMetric(float64(full)/float64(plain), "ratio")
}

// newForwarder is a proxy of a few lines without keys, queues or limits.
func newForwarder(worker netip.AddrPort) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", worker.String(), ""
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

func request(b *testing.B, client *http.Client, address netip.AddrPort) {
	b.Helper()
	r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/publish/week", address), nil)
	r.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatal(response.Status)
	}
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

func serve(tb testing.TB, handler http.Handler) netip.AddrPort {
	tb.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(socket) }()
	tb.Cleanup(func() { _ = server.Close() })
	return socket.Addr().(*net.TCPAddr).AddrPort()
}

// startEntry runs an entry with one minion and one team until the test ends.
func startEntry(tb testing.TB, worker netip.AddrPort) *entry.Entry {
	tb.Helper()
	store := platform.NewServer()
	store.SetInstances([]platform.TargetGroup{{Targets: []string{worker.String()}, Labels: map[string]string{
		"instance": "worker-1", "pool": "rota", "centre": "east", "rack": "r", "slots": "8",
	}}})
	address := serve(tb, store)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := host.New(entry.Settings{
		Name: "entry-1", Centre: "east", Caller: local, Operator: local, Peer: local,
		Platform: []netip.AddrPort{address}, List: address, Operators: []string{document.Digest(operatorKey)},
		TTL: document.Duration(entry.DefaultTTL), Linger: document.Duration(time.Millisecond),
		Stop: document.Duration(time.Second), Level: "error",
	}, io.Discard)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(done)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	await(tb, e.IsReady)
	text := fmt.Sprintf(`{"pools": [{"name": "rota"}], "services": [{"name": "publish", "pool": "rota"}],
		"teams": [{"name": "gate", "share": 100, "limit": 100, "keys": [%q]}]}`, document.Digest(teamKey))
	if _, err = e.Apply(ctx, 0, []byte(text)); err != nil {
		tb.Fatal(err)
	}
	await(tb, func() bool { return len(e.Dump().Fleet.Instances) == 1 })
	return e
}

func await(tb testing.TB, isDone func() bool) {
	tb.Helper()
	deadline := time.Now().Add(patience)
	for !isDone() {
		if time.Now().After(deadline) {
			tb.Fatal("still waiting")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
