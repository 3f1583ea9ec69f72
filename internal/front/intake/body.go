package intake

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// Errors of Bodies.Read. Any other error means that the client broke off.
var (
	// ErrTooLarge means that the body is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrGivenUp means that the body was given up because the memory for bodies was taken.
	ErrGivenUp = errors.New("there is no room for the body")
	// ErrTimeout means that the body was not received in time.
	ErrTimeout = errors.New("the body was not received in time")
)

// BodiesConfig configures Bodies.
type BodiesConfig struct {
	// Name is the name of the listener in the metrics.
	Name   string
	Limits Limits
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Bodies receives the bodies of requests in a limited amount of memory. If that is taken, the body
// that has been arriving for longest is given up. It is safe for concurrent use.
type Bodies struct {
	name         string
	limits       Limits
	givenUp      tally.Counter
	reserved     tally.Gauge
	givenUpEvent *limitedEvent

	mu sync.Mutex
	// released is signalled when memory is released or a body is given up.
	released *sync.Cond
	// used is the reserved memory in bytes; leaving is the part of it that bodies hold which were
	// given up.
	used, leaving int64
	// arriving holds the bodies that are being received and are not given up, as *arrival, the
	// oldest first.
	arriving *list.List
}

// arrival is a body that is being received. Bodies.mu guards its fields.
type arrival struct {
	element   *list.Element
	held      int64
	isGivenUp bool
	// abort makes the read in progress and later ones fail.
	abort func()
}

// NewBodies returns Bodies.
func NewBodies(config BodiesConfig) *Bodies {
	scope := config.Scope.Tagged(map[string]string{"listener": config.Name})
	b := &Bodies{
		name: config.Name, limits: config.Limits, arriving: list.New(),
		givenUp: scope.Counter("bodies_given_up"), reserved: scope.Gauge("body_bytes"),
		givenUpEvent: newLimitedEvent(event.BodiesGivenUp, config.Log),
	}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Read returns the body of a request, of at most limit bytes. It takes at most the time that the
// caller waits, and at most Limits.BodyTime. After a nil error, release must be called once the
// body is not used any more; release is never nil. After any error, the request must be answered
// without its body.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, wait time.Duration) (body []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, func() {}, ErrTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	controller := http.NewResponseController(w)
	// An error means that w has no connection, as in tests.
	_ = controller.SetReadDeadline(time.Now().Add(min(wait, b.limits.BodyTime)))
	a := &arrival{abort: func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }}
	b.begin(a)
	body, err = b.receive(a, r, limit)
	// The last read may have succeeded although the body was given up: its memory counts as free.
	if isGivenUp := b.end(a); isGivenUp {
		err = ErrGivenUp
	}
	if err != nil {
		b.release(a)
		return nil, func() {}, err
	}
	return body, sync.OnceFunc(func() { b.release(a) }), nil
}

// receive reads a body into a buffer that grows as bytes arrive.
func (b *Bodies) receive(a *arrival, r *http.Request, limit int64) (body []byte, err error) {
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	body = make([]byte, 0, min(size, b.limits.FreeBodyBytes))
	for {
		var n int
		switch {
		case len(body) < cap(body):
			n, err = r.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
		case int64(cap(body)) < size:
			if body, err = b.grow(a, body, min(size, max(1, 2*int64(cap(body))))); err != nil {
				return nil, err
			}
		default:
			if err = readEnd(r.Body); err == nil {
				return nil, ErrTooLarge
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrTimeout
		case err != nil:
			return nil, err
		}
	}
}

// readEnd reads until the end of a body, or one more byte of it. The error is nil in the latter
// case.
func readEnd(r io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(r, next[:])
	return err
}

// grow returns a copy of a buffer with a larger capacity. Both are reserved during the copy.
func (b *Bodies) grow(a *arrival, body []byte, capacity int64) (grown []byte, err error) {
	before := b.counted(int64(cap(body)))
	if err := b.reserve(a, b.counted(capacity), b.counted(capacity)+before); err != nil {
		return nil, err
	}
	grown = make([]byte, len(body), capacity)
	copy(grown, body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(a, before)
	return grown, nil
}

// counted returns how much of a buffer's capacity is reserved.
func (b *Bodies) counted(capacity int64) int64 { return max(0, capacity-b.limits.FreeBodyBytes) }

// begin adds a body to those that are being received.
func (b *Bodies) begin(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.element = b.arriving.PushBack(a)
}

// end removes a body from those that are being received, and reports whether it was given up.
func (b *Bodies) end(a *arrival) (isGivenUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.isGivenUp {
		b.arriving.Remove(a.element)
	}
	return a.isGivenUp
}

// reserve reserves memory for a body. It gives up older bodies if there is not enough, and returns
// ErrGivenUp if that hits the body itself. A body that needs total bytes gets them if there is no
// other one.
func (b *Bodies) reserve(a *arrival, size, total int64) error {
	if size == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	memory := max(b.limits.BodyMemory, total)
	for !a.isGivenUp && b.used+size > memory {
		if missing := b.used - b.leaving + size - memory; missing > 0 {
			for _, victim := range b.victimsLocked(a, missing) {
				b.giveUpLocked(victim)
			}
			continue
		}
		b.released.Wait()
	}
	if a.isGivenUp {
		return ErrGivenUp
	}
	a.held += size
	b.used += size
	b.reserved.Update(float64(b.used))
	return nil
}

// victimsLocked returns the oldest bodies that hold as much memory as a body is missing, or the body
// itself if those that are older do not hold enough. The caller holds b.mu.
func (b *Bodies) victimsLocked(a *arrival, missing int64) (victims []*arrival) {
	for element := b.arriving.Front(); element != a.element; element = element.Next() {
		victim := element.Value.(*arrival)
		if victim.held == 0 {
			continue
		}
		victims = append(victims, victim)
		if missing -= victim.held; missing <= 0 {
			return victims
		}
	}
	return []*arrival{a}
}

// giveUpLocked makes the reception of a body fail. The caller holds b.mu.
func (b *Bodies) giveUpLocked(a *arrival) {
	b.arriving.Remove(a.element)
	a.isGivenUp = true
	b.leaving += a.held
	a.abort()
	b.released.Broadcast()
	b.givenUp.Inc(1)
	b.givenUpEvent.add(logrus.Fields{"listener": b.name})
}

// release releases all memory of a body.
func (b *Bodies) release(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(a, a.held)
}

// releaseLocked releases a part of the memory of a body. The caller holds b.mu.
func (b *Bodies) releaseLocked(a *arrival, size int64) {
	a.held -= size
	b.used -= size
	if a.isGivenUp {
		b.leaving -= size
	}
	b.reserved.Update(float64(b.used))
	b.released.Broadcast()
}
