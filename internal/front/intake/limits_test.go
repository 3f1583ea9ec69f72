package intake

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDefaultLimits(t *testing.T) {
	cases := map[string]struct {
		memory                   int64
		descriptors, connections int
		bodyMemory, decodeMemory int64
	}{
		"descriptors bound the connections":            {284 << 20, 4100, 1366, 284 << 17, 284 << 17},
		"memory bounds the connections":                {96 << 20, 4100, 512, 12 << 20, 12 << 20},
		"there is room for four of the largest bodies": {8 << 20, 4100, 42, 4 << 20, 4 << 20},
		"there is room for a connection":               {1, 1, 1, 4 << 20, 4 << 20},
	}
	for name, c := range cases {
		Convey("By default, "+name, t, func() {
			l := DefaultLimits(c.memory, c.descriptors)
			So(l.Connections, ShouldEqual, c.connections)
			So(l.BodyMemory, ShouldEqual, c.bodyMemory)
			So(l.DecodeMemory, ShouldEqual, c.decodeMemory)
		})
	}
	Convey("Memory and descriptors that are not set are those of the machine", t, func() {
		So(machineMemory(), ShouldBeGreaterThan, 0)
		So(descriptorLimit(), ShouldBeGreaterThan, 0)
		So(DefaultLimits(0, 0), ShouldResemble, DefaultLimits(machineMemory(), descriptorLimit()))
	})
}
