package jobs

import (
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCheckCountOverflow guards against issue 55: the sum of two counts overflowed, and the job was accepted.
func TestCheckCountOverflow(t *testing.T) {
	Convey("A job has at most MaxTasks tasks", t, func() {
		for name, c := range map[string]struct {
			counts  []int
			isValid bool
		}{
			"the largest number":         {[]int{MaxTasks - 1, 1}, true},
			"one more":                   {[]int{MaxTasks, 1}, false},
			"one step":                   {[]int{MaxTasks + 1}, false},
			"a sum beyond int":           {[]int{math.MaxInt, math.MaxInt}, false},
			"a sum beyond int, positive": {[]int{math.MaxInt, math.MaxInt, 3}, false},
		} {
			Convey(name, func() {
				job := Job{ID: strings.Repeat("a", IDLength)}
				for _, count := range c.counts {
					job.Steps = append(job.Steps, Step{Count: count})
				}
				So(job.Check() == nil, ShouldEqual, c.isValid)
			})
		}
	})
}
