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

func member(number int, cores float64) Member {
	return Member{
		Name: fmt.Sprintf("e%d", number), Peer: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", number+1)),
		Incarnation: fmt.Sprintf("life-%d", number), Cores: cores,
	}
}

func newRoster(self Member, client *store.Client) *Roster {
	r := New(Config{Client: client, Self: self, OnChange: func() {}})
	r.startedAt = r.startedAt.Add(-time.Minute)
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

func isNeverRunning(string) bool { return false }

func TestCellsToTakeOver(t *testing.T) {
	members := []Member{member(0, 1), member(1, 1), member(2, 4)}
	cells := []string{"a", "b", "c", "d", "e", "f"}
	Convey("Free cells are distributed among entries in proportion to their cores, each to exactly one", t, func() {
		timesChosen := make(map[string]int)
		cellsByEntry := make(map[int]int)
		for i, m := range members {
			r := newRoster(m, nil)
			r.Replace(items(members, nil))
			for _, cell := range r.CellsToTakeOver(cells, isNeverRunning) {
				timesChosen[cell]++
				cellsByEntry[i]++
			}
		}
		So(timesChosen, ShouldHaveLength, len(cells))
		for _, n := range timesChosen {
			So(n, ShouldEqual, 1)
		}
		So(cellsByEntry[2], ShouldEqual, 4)
	})
	Convey("The entry ranked next takes a cell that stays without an owner", t, func() {
		r := newRoster(members[0], nil)
		r.Replace(items(members, nil))
		r.CellsToTakeOver(cells, isNeverRunning)
		for cell := range r.unownedSince {
			r.unownedSince[cell] = r.unownedSince[cell].Add(-2 * rankDelay)
		}
		So(r.CellsToTakeOver(cells, isNeverRunning), ShouldHaveLength, len(cells))
	})
	Convey("A cell of an earlier process of this entry is taken at once, a cell of another entry is not", t, func() {
		for name, c := range map[string]struct {
			owner     Ownership
			isRunning bool
			count     int
		}{
			"an earlier process": {Ownership{Name: "e0", Incarnation: "old", Peer: members[0].Peer}, false, 1},
			"another address":    {Ownership{Name: "e0", Incarnation: "old", Peer: members[1].Peer}, false, 0},
			"another entry":      {Ownership{Name: "e1", Incarnation: "life-1", Peer: members[1].Peer}, false, 0},
			"won, answer lost":   {Ownership{Name: "e0", Incarnation: "life-0", Peer: members[0].Peer}, false, 1},
			"owned and running":  {Ownership{Name: "e0", Incarnation: "life-0", Peer: members[0].Peer}, true, 0},
		} {
			r := newRoster(members[0], nil)
			r.Replace(items(members, map[string]Ownership{"a": c.owner}))
			SoMsg(name, r.CellsToTakeOver([]string{"a"}, func(string) bool { return c.isRunning }), ShouldHaveLength, c.count)
		}
	})
	Convey("An entry that is leaving takes no cells", t, func() {
		r := newRoster(members[0], nil)
		r.Replace(items(members[:1], nil))
		r.Leave()
		So(r.CellsToTakeOver(cells, isNeverRunning), ShouldBeEmpty)
	})
	Convey("When most entries are lost together, the remaining one waits before it takes their cells", t, func() {
		r := newRoster(members[0], nil)
		r.Replace(items(members, nil))
		r.Update([]store.Item{{Key: memberPrefix + "e1", IsRemoved: true}, {Key: memberPrefix + "e2", IsRemoved: true}})
		So(r.CellsToTakeOver(cells, isNeverRunning), ShouldBeEmpty)
		So(r.shrunkAt.IsZero(), ShouldBeFalse)
	})
}

func TestAwaitNextOwner(t *testing.T) {
	members := []Member{member(0, 1), member(1, 1)}
	one := Ownership{Name: "e0", Incarnation: "life-0"}
	two := Ownership{Name: "e1", Incarnation: "life-1"}
	Convey("AwaitNextOwner waits for another owner of the cell, but no longer than the limit", t, func() {
		for name, c := range map[string]struct {
			first, later     map[string]Ownership
			unownedFor       time.Duration
			limit            time.Duration
			isFound          bool
			minWait, maxWait time.Duration
		}{
			"present already":          {map[string]Ownership{"a": two}, nil, 0, time.Second, true, 0, 10 * time.Millisecond},
			"appears later":            {map[string]Ownership{"a": one}, map[string]Ownership{"a": two}, 0, time.Second, true, 30 * time.Millisecond, 500 * time.Millisecond},
			"same owner stays":         {map[string]Ownership{"a": one}, nil, 0, 80 * time.Millisecond, false, 80 * time.Millisecond, 500 * time.Millisecond},
			"long without an owner":    {nil, nil, time.Second, 300 * time.Millisecond, false, 0, 50 * time.Millisecond},
			"briefly without an owner": {nil, map[string]Ownership{"a": two}, time.Millisecond, 300 * time.Millisecond, true, 30 * time.Millisecond, 250 * time.Millisecond},
			"other cell has an owner":  {map[string]Ownership{"a": one, "b": two}, nil, 0, 50 * time.Millisecond, false, 50 * time.Millisecond, 500 * time.Millisecond},
		} {
			r := newRoster(members[0], nil)
			r.Replace(items(members, c.first))
			r.CellsToTakeOver([]string{"a"}, isNeverRunning)
			if c.unownedFor > 0 {
				r.unownedSince["a"] = r.unownedSince["a"].Add(-c.unownedFor)
			}
			if c.later != nil {
				time.AfterFunc(40*time.Millisecond, func() { r.Update(items(nil, c.later)) })
			}
			startedAt := time.Now()
			_, isFound := r.AwaitNextOwner(context.Background(), "a", one.Incarnation, c.limit)
			SoMsg(name, isFound, ShouldEqual, c.isFound)
			SoMsg(name, time.Since(startedAt), ShouldBeBetweenOrEqual, c.minWait, c.maxWait)
		}
	})
}

func TestTakeOver(t *testing.T) {
	Convey("Only one of two entries becomes the owner of a cell, even if the answer to its commit is lost", t, func() {
		s := keyvalue.New()
		client := s.Client(nil)
		lease, _, err := client.Grant(context.Background(), time.Minute)
		So(err, ShouldBeNil)
		one, two := newRoster(member(0, 1), client), newRoster(member(1, 1), client)
		s.LoseResponses(func(store.Change) bool { return true })
		_, err = one.TakeOver(context.Background(), "a", lease)
		So(err, ShouldNotBeNil)
		s.LoseResponses(nil)
		condition, err := one.TakeOver(context.Background(), "a", lease)
		So(err, ShouldBeNil)
		_, err = two.TakeOver(context.Background(), "a", lease)
		So(err, ShouldNotBeNil)
		So(one.Release(context.Background(), condition), ShouldBeNil)
		_, err = two.TakeOver(context.Background(), "a", lease)
		So(err, ShouldBeNil)
	})
}

// TestTwoOwnersShareAnEpoch guards against a second owner of one process that gets the
// epoch of the first, under which writes of the first may still be carried out.
func TestTwoOwnersShareAnEpoch(t *testing.T) {
	Convey("Each takeover of a cell gets a new epoch, and late writes under the one before are not carried out", t, func() {
		for name, c := range map[string]struct{ isAnswerLost, isViewCurrent bool }{
			"before the roster shows the first": {false, false},
			"after the roster shows the first":  {false, true},
			"the answer to the first is lost":   {true, false},
		} {
			s := keyvalue.New()
			client := s.Client(nil)
			lease, _, err := client.Grant(context.Background(), time.Minute)
			So(err, ShouldBeNil)
			r := newRoster(member(0, 1), client)
			s.LoseResponses(func(store.Change) bool { return c.isAnswerLost })
			_, err = r.TakeOver(context.Background(), "a", lease)
			SoMsg(name, err != nil, ShouldEqual, c.isAnswerLost)
			s.LoseResponses(nil)
			item, _ := s.Get(ownerPrefix + "a")
			first := store.Condition{Key: item.Key, Revision: item.Revision}
			s.Defer(func(store.Change) bool { return true })
			_, err = client.Commit(context.Background(), store.Change{If: []store.Condition{first}, Puts: []store.Put{{Key: "cell/a/state", Value: []byte("v")}}})
			SoMsg(name, err, ShouldNotBeNil)
			s.Defer(nil)
			if c.isViewCurrent {
				r.Update([]store.Item{item})
			}
			second, err := r.TakeOver(context.Background(), "a", lease)
			SoMsg(name, err, ShouldBeNil)
			SoMsg(name, second.Revision, ShouldBeGreaterThan, first.Revision)
			SoMsg(name, s.ApplyDeferred(), ShouldEqual, 0)
			item, _ = s.Get(ownerPrefix + "a")
			SoMsg(name, second, ShouldResemble, store.Condition{Key: item.Key, Revision: item.Revision})
		}
	})
}

// TestLateAnnouncementReplacesMember guards against an announcement that is carried out after
// a later one and so hides that the entry leaves, or that its new process is alive.
func TestLateAnnouncementReplacesMember(t *testing.T) {
	ctx := context.Background()
	stored := func(s *keyvalue.Store) (m Member, lease store.Lease) {
		item, isFound := s.Get(memberPrefix + "e0")
		So(isFound, ShouldBeTrue)
		So(json.Unmarshal(item.Value, &m), ShouldBeNil)
		return m, item.Lease
	}
	for name, isAppliedBetween := range map[string]bool{"after the later one": false, "before the later one": true} {
		Convey("The other entries see that an entry leaves although an earlier announcement is carried out "+name, t, func() {
			s := keyvalue.New()
			client := s.Client(nil)
			lease, _, err := client.Grant(ctx, time.Minute)
			So(err, ShouldBeNil)
			r := newRoster(member(0, 1), client)
			s.Defer(func(store.Change) bool { return true })
			So(r.Announce(ctx, lease), ShouldNotBeNil)
			s.Defer(nil)
			if isAppliedBetween {
				So(s.ApplyDeferred(), ShouldEqual, 1)
			}
			r.Leave()
			So(r.Announce(ctx, lease), ShouldBeNil)
			s.ApplyDeferred()
			m, _ := stored(s)
			So(m.IsLeaving, ShouldBeTrue)
		})
		Convey("A new process stays in the roster although an announcement of the earlier one is carried out "+name, t, func() {
			s := keyvalue.New()
			client := s.Client(nil)
			oldLease, _, err := client.Grant(ctx, time.Minute)
			So(err, ShouldBeNil)
			newLease, _, err := client.Grant(ctx, time.Minute)
			So(err, ShouldBeNil)
			s.Defer(func(store.Change) bool { return true })
			So(newRoster(member(0, 1), client).Announce(ctx, oldLease), ShouldNotBeNil)
			s.Defer(nil)
			if isAppliedBetween {
				So(s.ApplyDeferred(), ShouldEqual, 1)
			}
			self := member(0, 1)
			self.Incarnation = "next"
			So(newRoster(self, client).Announce(ctx, newLease), ShouldBeNil)
			s.ApplyDeferred()
			So(client.Release(ctx, oldLease), ShouldBeNil)
			m, lease := stored(s)
			So(m.Incarnation, ShouldEqual, "next")
			So(lease, ShouldEqual, newLease)
		})
	}
	Convey("An entry announces itself again under a new lease after its key was removed with the old one", t, func() {
		s := keyvalue.New()
		client := s.Client(nil)
		r := newRoster(member(0, 1), client)
		for range 2 {
			lease, _, err := client.Grant(ctx, time.Minute)
			So(err, ShouldBeNil)
			So(r.Announce(ctx, lease), ShouldBeNil)
			_, storedLease := stored(s)
			So(storedLease, ShouldEqual, lease)
			So(client.Release(ctx, lease), ShouldBeNil)
		}
	})
	Convey("An announcement that the store refuses fails", t, func() {
		s := keyvalue.New()
		s.SetDown(true)
		So(newRoster(member(0, 1), s.Client(nil)).Announce(ctx, 0), ShouldNotBeNil)
	})
}
