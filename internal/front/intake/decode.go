package intake

import (
	"context"
	"errors"
	"sync"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// ErrBusy means that the turn of a body to be decoded did not come in time.
var ErrBusy = errors.New("too many requests are being handled")

// DecoderConfig configures a Decoder.
type DecoderConfig struct {
	// Name is the name of the listener in the metrics.
	Name   string
	Limits Limits
	Scope  tally.Scope
}

// Decoder limits how many bodies are decoded at the same time, and the memory for what is decoded
// from them. It is safe for concurrent use.
type Decoder struct {
	limits Limits
	// memory is weighted by bytes, turns by decodings.
	memory, turns *semaphore.Weighted
	waitingGauge  tally.Gauge

	mu      sync.Mutex
	waiting int
}

// NewDecoder returns a Decoder.
func NewDecoder(config DecoderConfig) *Decoder {
	scope := config.Scope.Tagged(map[string]string{"listener": config.Name})
	return &Decoder{
		limits: config.Limits, waitingGauge: scope.Gauge("decodings_waiting"),
		memory: semaphore.NewWeighted(config.Limits.DecodeMemory), turns: semaphore.NewWeighted(int64(config.Limits.Decodings)),
	}
}

// Decode calls decode for a body of size bytes as soon as there is room for what it decodes. If
// that takes until ctx ends, it returns ErrBusy and does not call decode. After any other result,
// release must be called once what was decoded is not used any more; release is never nil.
func (d *Decoder) Decode(ctx context.Context, size int64, decode func() error) (release func(), err error) {
	// A body of any size has its turn when nothing else is decoded.
	weight := min(max(1, size*d.limits.DecodeFactor), d.limits.DecodeMemory)
	if err := d.acquire(ctx, weight); err != nil {
		return func() {}, err
	}
	release = sync.OnceFunc(func() { d.memory.Release(weight) })
	defer d.turns.Release(1)
	defer func() {
		if recover := recover(); recover != nil {
			release()
			panic(recover)
		}
	}()
	return release, decode()
}

// acquire reserves memory and a turn, and returns ErrBusy if ctx ends before.
func (d *Decoder) acquire(ctx context.Context, weight int64) error {
	d.addWaiting(1)
	defer d.addWaiting(-1)
	if d.memory.Acquire(ctx, weight) != nil {
		return ErrBusy
	}
	if d.turns.Acquire(ctx, 1) != nil {
		d.memory.Release(weight)
		return ErrBusy
	}
	return nil
}

func (d *Decoder) addWaiting(change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting += change
	d.waitingGauge.Update(float64(d.waiting))
}
