package intake

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/boot"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// limitedEvent logs an event at most once in eventInterval, with the count since the last line. It
// is safe for concurrent use.
type limitedEvent struct {
	event event.Event
	log   *logrus.Entry

	mu       sync.Mutex
	count    int
	loggedAt time.Time
}

// eventInterval is the minimum time between two lines of a limitedEvent.
const eventInterval = time.Second

func newLimitedEvent(e event.Event, log *logrus.Entry) *limitedEvent {
	return &limitedEvent{event: e, log: log}
}

// add counts one occurrence and logs it with fields, to which it adds the count.
func (e *limitedEvent) add(fields logrus.Fields) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	now := boot.Now()
	if !e.loggedAt.IsZero() && now.Sub(e.loggedAt) < eventInterval {
		return
	}
	fields["count"] = e.count
	e.event.Log(e.log, fields)
	e.count, e.loggedAt = 0, now
}
