package inbound

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Messages that waited for memory held it in the buffers of their streams, without a
// bound on their sum.
func TestWaitingMessagesAreBounded(t *testing.T) {
	Convey("Given messages that hold the memory and others that wait for as much", t, func() {
		const size = 100 << 10
		m := NewMemory(Limits{MaxMessageMemory: 2 * size, MessageTimeout: time.Hour})
		results := make(chan error, 5)
		var releases []func()
		for range 2 {
			release, err := m.reserve(t.Context(), size)
			So(err, ShouldBeNil)
			releases = append(releases, release)
		}
		for range 5 {
			go func() {
				release, err := m.reserve(t.Context(), size)
				if err == nil {
					release()
				}
				results <- err
			}()
		}
		next := func() error {
			select {
			case err := <-results:
				return err
			case <-time.After(waitTimeout):
				return errors.New("no result")
			}
		}
		Convey("Further ones are refused at once, small ones have room, and those that wait get their turn", func() {
			for range 3 {
				err := next()
				So(errors.Is(err, ErrNoMemory), ShouldBeTrue)
			}
			_, err := m.reserve(t.Context(), freeMessageSize)
			So(err, ShouldBeNil)
			for _, release := range releases {
				release()
			}
			So(next(), ShouldBeNil)
			So(next(), ShouldBeNil)
		})
	})
}
