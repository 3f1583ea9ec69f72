package minion

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// outage says what becomes of the connections to an endpoint whose machine is silent for a while and
// then runs the next incarnation.
type outage int

const (
	// outageDrops: no connection can be opened meanwhile, and those from before are reset once they are
	// used after it. It is that of a machine which is switched off and on.
	outageDrops outage = iota
	// outageQueues: connections that are opened meanwhile wait, and lead to the next incarnation.
	outageQueues
	// outageKeeps: those from before lead to the next incarnation, too.
	outageKeeps
)

// fullBacklog is the usual length of a queue of connections that wait to be accepted.
const fullBacklog = 4096

// link forwards the bytes of connections to an endpoint. It can fall silent: then packets get lost
// without a reset, as for a machine without power or behind a partition.
type link struct {
	t        testing.TB
	target   netip.AddrPort
	outage   outage
	listener *net.TCPListener
	filler   net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// isSilent reports that nothing passes, isParked that nothing is accepted.
	isSilent, isParked bool
	// life counts the silences that ended an incarnation.
	life int
}

// startLink starts a link to an address, which ends with the test.
func startLink(t testing.TB, target netip.AddrPort, outage outage) *link {
	t.Helper()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(freeAddress(t)))
	if err != nil {
		t.Fatal(err)
	}
	l := &link{t: t, target: target, outage: outage, listener: listener}
	l.changed = sync.NewCond(&l.mu)
	t.Cleanup(func() { _ = listener.Close() })
	go l.acceptForever()
	return l
}

// address is where the link accepts connections.
func (l *link) address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// fallSilent cuts the link off. isRestart reports that the endpoint ends meanwhile.
func (l *link) fallSilent(isRestart bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isSilent = true
	if isRestart {
		l.life++
	}
	_ = l.listener.SetDeadline(time.Unix(1, 0))
	for !l.isParked {
		l.changed.Wait()
	}
	if isRestart && l.outage != outageDrops {
		return
	}
	// With a full queue the kernel drops the packets that open connections.
	l.setBacklog(0)
	l.filler, _ = net.DialTimeout("tcp", l.listener.Addr().String(), 50*time.Millisecond)
}

// resume ends the silence.
func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filler != nil {
		_ = l.listener.SetDeadline(time.Now().Add(time.Millisecond))
		for {
			c, err := l.listener.AcceptTCP()
			if err != nil {
				break
			}
			reset(c)
		}
		_ = l.filler.Close()
		l.filler = nil
		l.setBacklog(fullBacklog)
	}
	_ = l.listener.SetDeadline(time.Time{})
	l.isSilent = false
	l.changed.Broadcast()
}

func (l *link) setBacklog(length int) {
	raw, err := l.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), length) })
	}
	if err != nil {
		l.t.Error(err)
	}
}

func (l *link) acceptForever() {
	for {
		l.mu.Lock()
		for l.isSilent {
			l.isParked = true
			l.changed.Broadcast()
			l.changed.Wait()
		}
		l.isParked = false
		l.mu.Unlock()
		c, err := l.listener.AcceptTCP()
		if err == nil {
			go l.forward(c)
			continue
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return
		}
	}
}

// reset closes a connection so that its peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// dial opens a connection to the present incarnation.
func (l *link) dial() (server net.Conn, life int, err error) {
	life = l.awaitOpen()
	server, err = net.Dial("tcp", l.target.String())
	return server, life, err
}

// awaitOpen waits until the link is not silent, and returns which life of the endpoint it leads to.
func (l *link) awaitOpen() (life int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isSilent {
		l.changed.Wait()
	}
	return l.life
}

// isCurrent reports whether the endpoint has not ended since it had a life.
func (l *link) isCurrent(life int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.life == life
}

// forward passes the bytes of a connection on.
func (l *link) forward(client *net.TCPConn) {
	defer reset(client)
	server, life, err := l.dial()
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go l.forwardAnswers(client, server, life)
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			return
		}
		if l.awaitOpen() != life {
			if l.outage != outageKeeps {
				return
			}
			_ = server.Close()
			if server, life, err = l.dial(); err != nil {
				return
			}
			go l.forwardAnswers(client, server, life)
		}
		if _, err = server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// forwardAnswers passes on what an incarnation answers. The end of one that has ended in silence does
// not show.
func (l *link) forwardAnswers(client *net.TCPConn, server net.Conn, life int) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		if !l.isCurrent(life) {
			return
		}
		if err != nil {
			_ = client.CloseRead()
			_ = client.CloseWrite()
			return
		}
		l.awaitOpen()
		if !l.isCurrent(life) {
			return
		}
		if _, err = client.Write(buffer[:n]); err != nil {
			return
		}
	}
}
