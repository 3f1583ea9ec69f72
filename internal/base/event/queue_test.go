package event

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stuck is a reader of the log that has stopped reading.
type stuck struct {
	mu    sync.Mutex
	lines int
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines++
	return len(p), nil
}

func TestQueue(t *testing.T) {
	Convey("A reader that stops holds nobody up; what is dropped is counted, and the rest is written", t, func() {
		reader := &stuck{}
		reader.mu.Lock()
		queue := NewQueue(reader)
		began := time.Now()
		const lines = 5 * queueCapacity
		for range lines {
			_, _ = queue.Write([]byte("a line\n"))
		}
		So(time.Since(began), ShouldBeLessThan, time.Second)
		So(queue.Dropped(), ShouldBeGreaterThan, 0)
		reader.mu.Unlock()
		queue.Close()
		So(reader.lines+int(queue.Dropped()), ShouldEqual, lines)
	})
}
