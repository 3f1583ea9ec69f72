package intake

import (
	"bufio"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Limits bound what the clients of a process may hold of it.
type Limits struct {
	// Connections is the maximum number of open connections of a listener.
	Connections int
	// MaxHeaderBytes is the maximum size of a request's head in bytes. HeaderTimeout bounds the
	// time for receiving it, IdleTimeout the time for which a connection may stay unused. They
	// apply until Server.SetHead is called.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// HeaderLines is the maximum number of lines of a head: each takes memory beside its bytes.
	HeaderLines int
	// BodyMemory is the memory for bodies that are being received or wait for their decoding, in
	// bytes. It does not include the free part of each body.
	BodyMemory int64
	// FreeBodyBytes is the part of each body that is not counted, in bytes.
	FreeBodyBytes int64
	// BodyTime bounds the time for receiving a body.
	BodyTime time.Duration
	// DecodeMemory is the memory for requests that have been decoded and are not answered yet, in
	// bytes. A request counts with DecodeFactor times the size of its body.
	DecodeMemory int64
	DecodeFactor int64
	// Decodings is the maximum number of bodies that are decoded at the same time.
	Decodings int
	// AnswerTime bounds the time in which a client takes an answer.
	AnswerTime time.Duration
	// LingerTime is how long a client whose request is refused before its body is received may
	// take to read the answer.
	LingerTime time.Duration
}

const (
	// defaultMemory is the memory of a machine in bytes if it is not known.
	defaultMemory = 512 << 20
	// defaultDescriptors is the number of descriptors if the limit of the process is not known.
	defaultDescriptors = 1024
	// connectionBytes is the memory of a connection: its receive buffer, its goroutine and the
	// buffers of net/http.
	connectionBytes = 48 << 10
	// descriptorShare and connectionMemoryShare are the parts of the descriptors and of the memory
	// for connections of a listener, bodyMemoryShare and decodeMemoryShare the parts of the memory
	// for bodies and their decoding, as divisors.
	descriptorShare       = 3
	connectionMemoryShare = 4
	bodyMemoryShare       = 8
	decodeMemoryShare     = 8
	// largestBody is the size in bytes of the largest body for which there is room in any case.
	largestBody = 1 << 20
	// minBodies is how many bodies of the largest size BodyMemory and DecodeMemory have room for.
	minBodies = 4
	// smallConnections and smallHeaderBytes are the limits of listeners without bodies.
	smallConnections = 64
	headerLines      = 256
	smallHeaderBytes = 8 << 10
)

// DefaultLimits returns the limits for a process with some memory, in bytes, and a number of
// descriptors. If memory is 0, it is the memory of the machine; if descriptors is 0, it is the
// limit of the process.
func DefaultLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = machineMemory()
	}
	if descriptors <= 0 {
		descriptors = descriptorLimit()
	}
	connections := min(int64(descriptors)/descriptorShare, memory/connectionMemoryShare/connectionBytes)
	return Limits{
		Connections:    int(max(1, connections)),
		MaxHeaderBytes: 32 << 10,
		HeaderTimeout:  5 * time.Second,
		IdleTimeout:    30 * time.Second,
		HeaderLines:    headerLines,
		BodyMemory:     max(memory/bodyMemoryShare, minBodies*largestBody),
		FreeBodyBytes:  4 << 10,
		BodyTime:       10 * time.Second,
		DecodeMemory:   max(memory/decodeMemoryShare, minBodies*largestBody),
		DecodeFactor:   16,
		Decodings:      2,
		AnswerTime:     5 * time.Second,
		LingerTime:     500 * time.Millisecond,
	}
}

// SmallLimits returns the limits for a listener of the installation itself whose requests have no
// bodies, such as readiness checks.
func SmallLimits() Limits {
	return Limits{
		Connections:    smallConnections,
		MaxHeaderBytes: smallHeaderBytes,
		HeaderTimeout:  5 * time.Second,
		IdleTimeout:    30 * time.Second,
		HeaderLines:    headerLines,
		AnswerTime:     5 * time.Second,
		LingerTime:     500 * time.Millisecond,
	}
}

// machineMemory returns the memory of the machine in bytes, defaultMemory if it is not known.
func machineMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return defaultMemory
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kilobytes > 0 {
			return kilobytes << 10
		}
	}
	return defaultMemory
}

// descriptorLimit returns the number of descriptors that the process may have.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
