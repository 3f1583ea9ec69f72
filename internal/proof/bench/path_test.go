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
	timeout     = 20 * time.Second
)

// BenchmarkPath sends requests alternately through an entry and through a minimal
// reverse proxy to the same minion, and reports both median latencies and their ratio.
func BenchmarkPath(b *testing.B) {
	minionAddress := serve(b, minion.NewServer("worker-1"))
	forwarder := serve(b, newForwarder(minionAddress))
	e := startEntry(b, minionAddress)
	client := &http.Client{}
	addresses := []netip.AddrPort{forwarder, e.CallerAddress()}
	var durations [2][]time.Duration
	for range 100 {
		for _, address := range addresses {
			sendRequest(b, client, address)
		}
	}
	b.ResetTimer()
	for range b.N {
		for i, address := range addresses {
			start := time.Now()
			sendRequest(b, client, address)
			durations[i] = append(durations[i], time.Since(start))
		}
	}
	b.StopTimer()
	forwarderMedian, entryMedian := median(durations[0]), median(durations[1])
	b.ReportMetric(float64(forwarderMedian.Microseconds()), "forwarder-us")
	b.ReportMetric(float64(entryMedian.Microseconds()), "entry-us")
	b.ReportMetric(float64(entryMedian)/float64(forwarderMedian), "ratio")
}

// newForwarder returns a minimal reverse proxy without keys, queues or limits.
func newForwarder(minionAddress netip.AddrPort) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forwarded := r.Clone(r.Context())
		forwarded.URL.Scheme, forwarded.URL.Host, forwarded.RequestURI = "http", minionAddress.String(), ""
		response, err := transport.RoundTrip(forwarded)
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

func sendRequest(b *testing.B, client *http.Client, address netip.AddrPort) {
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

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}

func serve(tb testing.TB, handler http.Handler) netip.AddrPort {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: timeout}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// startEntry runs an entry with one minion and one team until the test ends. It
// returns once the entry knows the minion.
func startEntry(tb testing.TB, minionAddress netip.AddrPort) *entry.Entry {
	tb.Helper()
	platformServer := platform.NewServer()
	platformServer.SetInstances([]platform.TargetGroup{{Targets: []string{minionAddress.String()}, Labels: map[string]string{
		"instance": "worker-1", "pool": "rota", "centre": "east", "rack": "r", "slots": "8",
	}}})
	platformAddress := serve(tb, platformServer)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := host.New(entry.Settings{
		Name: "entry-1", Centre: "east", Caller: anyPort, Operator: anyPort, Peer: anyPort,
		Platform: []netip.AddrPort{platformAddress}, List: platformAddress, Operators: []string{document.Digest(operatorKey)},
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
	config := fmt.Sprintf(`{"pools": [{"name": "rota"}], "services": [{"name": "publish", "pool": "rota"}],
		"teams": [{"name": "gate", "share": 100, "limit": 100, "keys": [%q]}]}`, document.Digest(teamKey))
	if _, err = e.Apply(ctx, 0, []byte(config)); err != nil {
		tb.Fatal(err)
	}
	await(tb, func() bool { return len(e.Dump().Fleet.Instances) == 1 })
	return e
}

func await(tb testing.TB, isMet func() bool) {
	tb.Helper()
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			tb.Fatal("the condition was not met before the timeout")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
