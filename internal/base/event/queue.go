package event

import (
	"io"
	"sync/atomic"
)

// queueLines is how many log lines wait for the reader of the log. A line is a
// few hundred bytes long.
const queueLines = 512

// Queue is a writer that never blocks: lines wait in a bounded queue for the
// real writer, and are dropped and counted while the queue is full.
type Queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewQueue returns a queue in front of a writer. Each Write has to be a whole
// line.
func NewQueue(to io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run(to)
	return q
}

func (q *Queue) run(to io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// There is nowhere to report that a log cannot be written.
		_, _ = to.Write(line)
	}
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits. Nothing may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}
