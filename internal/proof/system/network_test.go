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

// network carries what entries send to each other and to the platform, and can
// be cut. Entries have addresses of their own in 127.0.0.0/8, by which the
// relays tell who sends. A cut holds bytes back and lets nothing through; after
// it, they arrive late.
type network struct {
	tb testing.TB

	mu      sync.Mutex
	changed *sync.Cond
	names   map[netip.Addr]string
	cuts    map[[2]string]bool
	next    int
	// regions tell which region each side is in, delay how long bytes take
	// from one to another.
	regions map[string]int
	delay   time.Duration
}

// storeName stands for the platform in cuts.
const storeName = "platform"

func newNetwork(tb testing.TB) *network {
	n := &network{tb: tb, names: make(map[netip.Addr]string), cuts: make(map[[2]string]bool)}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// join gives an entry its peer address, the address that others reach it at,
// and the one at which it reaches the platform.
func (n *network) join(name string, store netip.AddrPort) (peer, advertised, platform netip.AddrPort) {
	n.mu.Lock()
	n.next++
	own := netip.MustParseAddr(fmt.Sprintf("127.0.1.%d", n.next))
	n.names[own] = name
	n.mu.Unlock()
	peer = netip.AddrPortFrom(own, freeAddress(n.tb).Port())
	advertised = n.relay(func(from netip.Addr) (string, string) { return n.nameOf(from), name }, peer)
	platform = n.relay(func(netip.Addr) (string, string) { return name, storeName }, store)
	return peer, advertised, platform
}

func (n *network) nameOf(address netip.Addr) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[address]
}

// setRegions puts sides into regions that are so far apart.
func (n *network) setRegions(regions map[string]int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions, n.delay = regions, delay
}

// distance returns how long bytes take between two sides.
func (n *network) distance(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.regions[from] == n.regions[to] {
		return 0
	}
	return n.delay
}

// cut separates two sides; heal undoes all cuts.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	n.changed.Broadcast()
}

// pass waits until nothing separates the sides.
func (n *network) pass(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cuts[[2]string{from, to}] {
		n.changed.Wait()
	}
}

func (n *network) relay(sides func(from netip.Addr) (string, string), to netip.AddrPort) netip.AddrPort {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.tb.Fatal(err)
	}
	n.tb.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			from, target := sides(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap())
			go n.carry(conn, from, target, to)
		}
	}()
	return socket.Addr().(*net.TCPAddr).AddrPort()
}

func (n *network) carry(conn net.Conn, from, target string, to netip.AddrPort) {
	defer conn.Close()
	n.pass(from, target)
	other, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer other.Close()
	done := make(chan bool, 2)
	go n.pipe(other, conn, from, target, done)
	go n.pipe(conn, other, target, from, done)
	<-done
}

// pipe copies bytes as long as nothing separates the sides. Bytes that are on
// their way do not hold up those behind them.
func (n *network) pipe(to, from net.Conn, sender, receiver string, done chan<- bool) {
	type parcel struct {
		data []byte
		due  time.Time
	}
	way := make(chan parcel, 1024)
	go func() {
		defer func() { done <- true }()
		for p := range way {
			time.Sleep(time.Until(p.due))
			n.pass(sender, receiver)
			if _, err := to.Write(p.data); err != nil {
				return
			}
		}
	}()
	defer close(way)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			way <- parcel{slices.Clone(buffer[:count]), time.Now().Add(n.distance(sender, receiver))}
		}
		if err != nil {
			return
		}
	}
}
