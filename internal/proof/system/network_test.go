package system

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"
)

// network relays the connections of entries to each other and to the platform. It can
// partition them and add latency between regions. Each entry has an address of its own
// in 127.0.0.0/8, by which the relays identify the sender. A partition holds bytes
// back instead of closing connections; they arrive late, after heal.
type network struct {
	tb testing.TB

	mu             sync.Mutex
	healed         *sync.Cond
	namesByAddress map[netip.Addr]string
	partitions     map[[2]string]bool
	lastHost       int
	// regions are the regions of the hosts, 0 if missing. regionLatency is the one-way
	// latency between two regions.
	regions       map[string]int
	regionLatency time.Duration
}

// platformName is the name of the platform in partitions.
const platformName = "platform"

func newNetwork(tb testing.TB) *network {
	n := &network{tb: tb, namesByAddress: make(map[netip.Addr]string), partitions: make(map[[2]string]bool)}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// join connects an entry. It returns the address on which the entry listens for peers,
// the relayed address that it advertises to them, and the relayed address of the
// platform.
func (n *network) join(name string, platformAddress netip.AddrPort) (peer, advertised, platform netip.AddrPort) {
	n.mu.Lock()
	n.lastHost++
	address := netip.MustParseAddr(fmt.Sprintf("127.0.1.%d", n.lastHost))
	n.namesByAddress[address] = name
	n.mu.Unlock()
	peer = netip.AddrPortFrom(address, freeAddress(n.tb).Port())
	advertised = n.relay(func(from netip.Addr) (string, string) { return n.nameOf(from), name }, peer)
	platform = n.relay(func(netip.Addr) (string, string) { return name, platformName }, platformAddress)
	return peer, advertised, platform
}

func (n *network) nameOf(address netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.namesByAddress[address]
}

// setRegions sets the regions of hosts and the one-way latency between regions. Hosts
// that are left out are in region 0.
func (n *network) setRegions(regions map[string]int, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions, n.regionLatency = regions, latency
}

// latency returns the one-way latency between two hosts.
func (n *network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.regions[from] == n.regions[to] {
		return 0
	}
	return n.regionLatency
}

// partition stops all traffic between two hosts until heal is called.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = true
	n.partitions[[2]string{b, a}] = true
}

// heal ends all partitions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitions)
	n.healed.Broadcast()
}

// awaitConnected waits until no partition separates the hosts.
func (n *network) awaitConnected(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.partitions[[2]string{from, to}] {
		n.healed.Wait()
	}
}

// relay listens on a new address and forwards connections to the address to. identify
// returns the names of the sender and the receiver of a connection.
func (n *network) relay(identify func(from netip.Addr) (string, string), to netip.AddrPort) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.tb.Fatal(err)
	}
	n.tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			from, target := identify(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
			go n.forward(conn, from, target, to)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// forward copies bytes between conn and a new connection to the address to until one
// direction ends.
func (n *network) forward(conn net.Conn, from, target string, to netip.AddrPort) {
	defer conn.Close()
	n.awaitConnected(from, target)
	upstream, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan bool, 2)
	go n.pipe(upstream, conn, from, target, done)
	go n.pipe(conn, upstream, target, from, done)
	<-done
}

// pipe copies bytes from one connection to the other, delayed by the latency and by
// partitions. Chunks in flight overlap, so that latency does not limit throughput.
func (n *network) pipe(to, from net.Conn, sender, receiver string, done chan<- bool) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	inFlight := make(chan chunk, 1024)
	go func() {
		defer func() { done <- true }()
		for c := range inFlight {
			time.Sleep(time.Until(c.due))
			n.awaitConnected(sender, receiver)
			if _, err := to.Write(c.data); err != nil {
				return
			}
		}
	}()
	defer close(inFlight)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			inFlight <- chunk{slices.Clone(buffer[:count]), time.Now().Add(n.latency(sender, receiver))}
		}
		if err != nil {
			return
		}
	}
}
