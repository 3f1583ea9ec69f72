package system

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
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

// pipe copies bytes as long as nothing separates the sides.
func (n *network) pipe(to, from net.Conn, sender, receiver string, done chan<- bool) {
	defer func() { done <- true }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		n.pass(sender, receiver)
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			return
		}
	}
}
