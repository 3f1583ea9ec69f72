package event

import (
	"io"
	"sync/atomic"
)

// queueCapacity is the number of lines that the queue holds before new lines are
// dropped. A line is a few hundred bytes long.
const queueCapacity = 512

// AsyncWriter is an io.Writer that never blocks. It buffers lines in a bounded queue,
// from which a goroutine passes them to the underlying writer. While the queue is
// full, new lines are dropped and counted. Write and Dropped are safe for
// concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that passes lines to writer. Each call of Write must
// contain exactly one whole line. Close must be called to stop its goroutine.
func NewAsyncWriter(writer io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(writer)
	return w
}

func (w *AsyncWriter) run(writer io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// A failure to write the log cannot be logged.
		_, _ = writer.Write(line)
	}
}

// Write implements io.Writer. It copies the line, and reports success also if the
// line was dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the AsyncWriter was created.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close blocks until all queued lines are written. Write must not be called
// afterwards; it would panic.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}
