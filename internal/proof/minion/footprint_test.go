package minion

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// footprint is what a process has taken of its machine at most.
type footprint struct {
	// memoryKB is the peak of the resident set. heldKB is that of the resident set with the bytes that
	// were received and not read, which the platform counts as memory of the process.
	memoryKB, heldKB int
	descriptors      int
}

// meter samples a process until it is stopped.
type meter struct {
	pid      int
	port     uint16
	done     chan struct{}
	finished sync.WaitGroup
	most     footprint
}

// startMeter samples a process that listens on an IPv4 address.
func startMeter(pid int, address netip.AddrPort) *meter {
	m := &meter{pid: pid, port: address.Port(), done: make(chan struct{})}
	m.finished.Go(func() {
		for ticker := time.NewTicker(sampleInterval); ; {
			m.most.descriptors = max(m.most.descriptors, countDescriptors(pid))
			m.most.heldKB = max(m.most.heldKB, memoryKB(pid, "VmRSS:")+unreadBytes(m.port)/1024)
			select {
			case <-m.done:
				ticker.Stop()
				return
			case <-ticker.C:
			}
		}
	})
	return m
}

// stop returns the footprint. The peak of the resident set is that since the start of the process.
func (m *meter) stop() footprint {
	close(m.done)
	m.finished.Wait()
	m.most.memoryKB = peakMemoryKB(m.pid)
	return m.most
}

func countDescriptors(pid int) int {
	folder, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer folder.Close()
	names, _ := folder.Readdirnames(0)
	return len(names)
}

func peakMemoryKB(pid int) int { return memoryKB(pid, "VmHWM:") }

// memoryKB returns a size from the status of a process, 0 if the process has ended.
func memoryKB(pid int, field string) (size int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if value, isFound := strings.CutPrefix(line, field); isFound {
			_, _ = fmt.Sscan(value, &size)
		}
	}
	return size
}

// unreadBytes returns the bytes that the connections to an IPv4 port have received and that are not read.
func unreadBytes(port uint16) (sum int) {
	// The fields of a row: number, local address, remote address, state, length of both queues.
	const establishedState = "01"
	data, _ := os.ReadFile("/proc/net/tcp")
	suffix := fmt.Appendf(nil, ":%04X", port)
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) < 5 || !bytes.HasSuffix(fields[1], suffix) || string(fields[3]) != establishedState {
			continue
		}
		var sent, unread int
		_, _ = fmt.Sscanf(string(fields[4]), "%x:%x", &sent, &unread)
		sum += unread
	}
	return sum
}

// isAlive reports whether a process has not ended, not even as a zombie.
func isAlive(pid int) bool { return peakMemoryKB(pid) > 0 }

// limitDescriptors lowers the number of descriptors that a process may use.
func limitDescriptors(pid, limit int) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil)
}
