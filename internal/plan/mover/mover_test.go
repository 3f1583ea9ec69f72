package mover

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/model/fleet"
)

// newFleet returns a fleet with the given number of 8-slot instances per pool,
// alternating between two data centres, and its configuration document.
func newFleet(sizes map[string]int) (fleet.Fleet, document.Document) {
	current, doc := fleet.Fleet{}, document.Document{SparePool: "spare"}
	for _, pool := range []string{"a", "b", "spare"} {
		doc.Pools = append(doc.Pools, document.Pool{Name: pool, MinInstances: 1})
		for i := range sizes[pool] {
			current.Instances = append(current.Instances, fleet.Instance{
				Name: fmt.Sprintf("%s%d", pool, i), Pool: pool, Slots: 8, State: fleet.Serving,
				Centre: fmt.Sprintf("c%d", i%2),
			})
		}
	}
	return current, doc
}

func TestMover(t *testing.T) {
	cases := map[string]struct {
		sizes map[string]int
		// demand returns the slots needed by pools a and b at a given second.
		demand func(second int) (a, b int)
		want   []Move
	}{
		"steady demand within capacity causes no move": {
			sizes:  map[string]int{"a": 4, "b": 4, "spare": 2},
			demand: func(int) (int, int) { return 20, 20 },
		},
		"bursts of a few seconds cause no move": {
			sizes: map[string]int{"a": 4, "b": 4, "spare": 2},
			demand: func(second int) (int, int) {
				if second%100 < 10 {
					return 100, 1
				}
				return 20, 20
			},
		},
		"sustained demand takes an instance from the spare pool": {
			sizes:  map[string]int{"a": 4, "b": 8, "spare": 2},
			demand: func(int) (int, int) { return 40, 20 },
			want:   []Move{{"spare0", "a"}},
		},
		"two pools that are short at the same time get different instances": {
			sizes:  map[string]int{"a": 4, "b": 4, "spare": 3},
			demand: func(int) (int, int) { return 40, 40 },
			want:   []Move{{"spare0", "a"}, {"spare1", "b"}},
		},
		"if the spare pool is at its floor, the pool with the largest surplus gives an instance": {
			sizes:  map[string]int{"a": 4, "b": 8, "spare": 1},
			demand: func(int) (int, int) { return 40, 20 },
			want:   []Move{{"b0", "a"}},
		},
		"a pool without a surplus gives none": {
			sizes:  map[string]int{"a": 4, "b": 4, "spare": 1},
			demand: func(int) (int, int) { return 40, 30 },
		},
		"a lasting surplus is returned to the spare pool": {
			sizes:  map[string]int{"a": 6, "b": 4, "spare": 1},
			demand: func(int) (int, int) { return 20, 30 },
			want:   []Move{{"a1", "spare"}},
		},
		"a surplus of one instance is kept": {
			sizes:  map[string]int{"a": 4, "b": 4, "spare": 1},
			demand: func(int) (int, int) { return 20, 30 },
		},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			current, doc := newFleet(c.sizes)
			m := NewMover(Config{})
			var moves []Move
			for second := 0; second < 3600 && len(moves) == 0; second++ {
				now := time.Unix(1_000_000+int64(second), 0)
				a, b := c.demand(second)
				m.Observe(now, "a", a)
				m.Observe(now, "b", b)
				moves = m.Plan(now, current, doc)
			}
			So(moves, ShouldResemble, c.want)
		})
	}
}
