package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/standin/keyvalue"
)

func member(number int, power float64) Member {
	return Member{
		Name: fmt.Sprintf("e%d", number), Peer: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", number+1)),
		Life: fmt.Sprintf("life-%d", number), Power: power,
	}
}

func newRoster(self Member, client *store.Client) *Roster {
	r := New(Config{Client: client, Self: self, Changed: func() {}})
	r.began = r.began.Add(-time.Minute)
	return r
}

func items(members []Member, owners map[string]Ownership) (list []store.Item) {
	for _, m := range members {
		value, _ := json.Marshal(m)
		list = append(list, store.Item{Key: memberPrefix + m.Name, Value: value, Revision: 1})
	}
	for cell, o := range owners {
		value, _ := json.Marshal(o)
		list = append(list, store.Item{Key: ownerPrefix + cell, Value: value, Revision: 7})
	}
	return list
}

func no(string) bool { return false }

func TestToTake(t *testing.T) {
	members := []Member{member(0, 1), member(1, 1), member(2, 4)}
	cells := []string{"a", "b", "c", "d", "e", "f"}
	Convey("Free cells are divided by power, each to one entry", t, func() {
		taken := make(map[string]int)
		per := make(map[int]int)
		for i, m := range members {
			r := newRoster(m, nil)
			r.Full(items(members, nil))
			for _, cell := range r.ToTake(cells, no) {
				taken[cell]++
				per[i]++
			}
		}
		So(taken, ShouldHaveLength, len(cells))
		for _, n := range taken {
			So(n, ShouldEqual, 1)
		}
		So(per[2], ShouldEqual, 4)
	})
	Convey("The next in line takes a cell that stays free", t, func() {
		r := newRoster(members[0], nil)
		r.Full(items(members, nil))
		r.ToTake(cells, no)
		for cell := range r.free {
			r.free[cell] = r.free[cell].Add(-2 * rankWait)
		}
		So(r.ToTake(cells, no), ShouldHaveLength, len(cells))
	})
	Convey("A cell of an earlier life of this machine is taken at once; that of another is left", t, func() {
		for name, each := range map[string]struct {
			owner     Ownership
			isRunning bool
			n         int
		}{
			"an earlier life":        {Ownership{Name: "e0", Life: "old", Peer: members[0].Peer}, false, 1},
			"another address":        {Ownership{Name: "e0", Life: "old", Peer: members[1].Peer}, false, 0},
			"another entry":          {Ownership{Name: "e1", Life: "life-1", Peer: members[1].Peer}, false, 0},
			"won without knowing it": {Ownership{Name: "e0", Life: "life-0", Peer: members[0].Peer}, false, 1},
			"its own":                {Ownership{Name: "e0", Life: "life-0", Peer: members[0].Peer}, true, 0},
		} {
			r := newRoster(members[0], nil)
			r.Full(items(members, map[string]Ownership{"a": each.owner}))
			SoMsg(name, r.ToTake([]string{"a"}, func(string) bool { return each.isRunning }), ShouldHaveLength, each.n)
		}
	})
	Convey("An entry that leaves takes nothing", t, func() {
		r := newRoster(members[0], nil)
		r.Full(items(members[:1], nil))
		r.Leave()
		So(r.ToTake(cells, no), ShouldBeEmpty)
	})
	Convey("When most entries lapse together, the first one back waits for the others", t, func() {
		r := newRoster(members[0], nil)
		r.Full(items(members, nil))
		r.Update([]store.Item{{Key: memberPrefix + "e1", IsRemoved: true}, {Key: memberPrefix + "e2", IsRemoved: true}})
		So(r.ToTake(cells, no), ShouldBeEmpty)
		So(r.shrunk.IsZero(), ShouldBeFalse)
	})
}

func TestNext(t *testing.T) {
	members := []Member{member(0, 1), member(1, 1)}
	one := Ownership{Name: "e0", Life: "life-0"}
	two := Ownership{Name: "e1", Life: "life-1"}
	Convey("The next owner of a cell is waited for, but not for longer than the limit", t, func() {
		for name, each := range map[string]struct {
			first, then map[string]Ownership
			free        time.Duration
			limit       time.Duration
			isFound     bool
			least, most time.Duration
		}{
			"it is there":             {map[string]Ownership{"a": two}, nil, 0, time.Second, true, 0, 10 * time.Millisecond},
			"it comes":                {map[string]Ownership{"a": one}, map[string]Ownership{"a": two}, 0, time.Second, true, 30 * time.Millisecond, 500 * time.Millisecond},
			"the same one stays":      {map[string]Ownership{"a": one}, nil, 0, 80 * time.Millisecond, false, 80 * time.Millisecond, 500 * time.Millisecond},
			"none for long":           {nil, nil, time.Second, 300 * time.Millisecond, false, 0, 50 * time.Millisecond},
			"none for a moment":       {nil, map[string]Ownership{"a": two}, time.Millisecond, 300 * time.Millisecond, true, 30 * time.Millisecond, 250 * time.Millisecond},
			"another cell is no help": {map[string]Ownership{"a": one, "b": two}, nil, 0, 50 * time.Millisecond, false, 50 * time.Millisecond, 500 * time.Millisecond},
		} {
			r := newRoster(members[0], nil)
			r.Full(items(members, each.first))
			r.ToTake([]string{"a"}, no)
			if each.free > 0 {
				r.free["a"] = r.free["a"].Add(-each.free)
			}
			if each.then != nil {
				time.AfterFunc(40*time.Millisecond, func() { r.Update(items(nil, each.then)) })
			}
			began := time.Now()
			_, isFound := r.Next(context.Background(), "a", one.Life, each.limit)
			SoMsg(name, isFound, ShouldEqual, each.isFound)
			SoMsg(name, time.Since(began), ShouldBeBetweenOrEqual, each.least, each.most)
		}
	})
}

func TestTake(t *testing.T) {
	Convey("One of two entries wins a cell, also when the answer is lost", t, func() {
		s := keyvalue.New()
		client := s.Client(nil)
		lease, _, err := client.Grant(context.Background(), time.Minute)
		So(err, ShouldBeNil)
		one, two := newRoster(member(0, 1), client), newRoster(member(1, 1), client)
		s.Lose(func(store.Change) bool { return true })
		_, err = one.Take(context.Background(), "a", lease)
		So(err, ShouldNotBeNil)
		s.Lose(nil)
		condition, err := one.Take(context.Background(), "a", lease)
		So(err, ShouldBeNil)
		_, err = two.Take(context.Background(), "a", lease)
		So(err, ShouldNotBeNil)
		So(one.GiveUp(context.Background(), condition), ShouldBeNil)
		_, err = two.Take(context.Background(), "a", lease)
		So(err, ShouldBeNil)
	})
}
