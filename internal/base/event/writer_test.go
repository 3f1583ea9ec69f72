package event

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockingWriter counts lines. Write blocks while mu is held by the test, like a pipe
// whose reader has stopped.
type blockingWriter struct {
	mu    sync.Mutex
	lines int
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	return len(p), nil
}

func TestQueue(t *testing.T) {
	Convey("Write does not block while the underlying writer does; each line is either written or counted as dropped", t, func() {
		writer := &blockingWriter{}
		writer.mu.Lock()
		queue := NewAsyncWriter(writer)
		start := time.Now()
		const lines = 5 * queueCapacity
		for range lines {
			_, _ = queue.Write([]byte("a line\n"))
		}
		So(time.Since(start), ShouldBeLessThan, time.Second)
		So(queue.Dropped(), ShouldBeGreaterThan, 0)
		writer.mu.Unlock()
		queue.Close()
		So(writer.lines+int(queue.Dropped()), ShouldEqual, lines)
	})
}
