package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
)

func TestDecoder(t *testing.T) {
	limits := Limits{DecodeMemory: 400, DecodeFactor: 4, Decodings: 2}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	newDecoder := func() *Decoder {
		return NewDecoder(DecoderConfig{Name: "test", Limits: limits, Scope: tally.NoopScope})
	}
	decode := func(d *Decoder, ctx context.Context, size int64) (release func(), isDecoded bool, err error) { //nolint:revive // The decoder is the subject.
		release, err = d.Decode(ctx, size, func() error { isDecoded = true; return nil })
		return release, isDecoded, err
	}
	isFree := func(d *Decoder) bool {
		return d.memory.TryAcquire(limits.DecodeMemory) && d.turns.TryAcquire(int64(limits.Decodings)) && d.waiting == 0
	}
	Convey("Memory is reserved until what was decoded is released", t, func() {
		d := newDecoder()
		release, isDecoded, err := decode(d, context.Background(), 100)
		So(err, ShouldBeNil)
		So(isDecoded, ShouldBeTrue)
		_, isDecoded, err = decode(d, ended, 1)
		So(err, ShouldEqual, ErrBusy)
		So(isDecoded, ShouldBeFalse)
		release()
		release()
		So(isFree(d), ShouldBeTrue)
	})
	Convey("A body of any size is decoded when nothing else is", t, func() {
		d := newDecoder()
		release, isDecoded, err := decode(d, context.Background(), 1<<20)
		So(err, ShouldBeNil)
		So(isDecoded, ShouldBeTrue)
		release()
		So(isFree(d), ShouldBeTrue)
	})
	Convey("A request waits for its turn", t, func() {
		d := newDecoder()
		release, _, err := decode(d, context.Background(), 100)
		So(err, ShouldBeNil)
		time.AfterFunc(time.Millisecond, release)
		releaseSecond, isDecoded, err := decode(d, context.Background(), 100)
		So(err, ShouldBeNil)
		So(isDecoded, ShouldBeTrue)
		releaseSecond()
		So(isFree(d), ShouldBeTrue)
	})
	Convey("No more than two are decoded at once", t, func() {
		d := newDecoder()
		end, done := make(chan struct{}), make(chan func())
		begun := make(chan struct{})
		for range 2 {
			go func() {
				release, _ := d.Decode(context.Background(), 1, func() error {
					begun <- struct{}{}
					<-end
					return nil
				})
				done <- release
			}()
			<-begun
		}
		_, isDecoded, err := decode(d, ended, 1)
		So(err, ShouldEqual, ErrBusy)
		So(isDecoded, ShouldBeFalse)
		close(end)
		for range 2 {
			(<-done)()
		}
		So(isFree(d), ShouldBeTrue)
	})
	Convey("The error of the decoding is returned, and a panic releases the memory", t, func() {
		d := newDecoder()
		wrong := errors.New("wrong")
		release, err := d.Decode(context.Background(), 1, func() error { return wrong })
		So(err, ShouldEqual, wrong)
		release()
		So(func() { _, _ = d.Decode(context.Background(), 1, func() error { panic("broken") }) }, ShouldPanicWith, "broken")
		So(isFree(d), ShouldBeTrue)
	})
}
