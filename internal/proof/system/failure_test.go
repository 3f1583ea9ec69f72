package system

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

var threeCentres = shape{
	entries: map[string]int{"east": 2, "west": 2, "north": 1},
	workers: map[string]int{"east": 2, "west": 2, "north": 2},
}

// teamLimit is the limit of the team that the tests load. It is less than the
// slots, so that the limit is what binds.
const teamLimit = 10

func TestLimitThroughFreezesKillsAndOutages(t *testing.T) {
	Convey("Given five entries in three data centres and a team that asks for more than its limit", t, func() {
		c := newSystem(t, threeCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()
		l := c.startLoad("gate", gateKey, "/publish/week?run=50", 30)
		time.Sleep(2 * time.Second)

		// Frozen for longer than its lease in the platform.
		frozen := c.nodes[1]
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		frozen.signal(syscall.SIGCONT)

		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		time.Sleep(time.Second)
		c.nodes[2].kill()
		time.Sleep(3 * time.Second)
		So(c.setFaults(platform.Faults{}), ShouldBeNil)
		c.restart(2)
		c.apply(c.nodes[0], twoTeams(teamLimit/2))
		afterLowering := len(l.snapshot())
		time.Sleep(2 * time.Second)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		time.Sleep(2 * time.Second)

		results := l.stop()
		Println(tallyResults(results), c.most())
		So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.most()["gate"], ShouldBeGreaterThan, teamLimit/2)
		So(c.audit(results), ShouldBeEmpty)
		So(len(results), ShouldBeGreaterThan, afterLowering)
		c.checkRevisions()
	})
}

func TestFreezePastEveryLease(t *testing.T) {
	Convey("Given an entry that is frozen until its slice was given to others", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()
		l := c.startLoad("gate", gateKey, "/publish/week?run=100", 30)
		time.Sleep(time.Second)
		frozen := c.nodes[1]
		name := c.dump(frozen).Entry
		frozen.signal(syscall.SIGSTOP)
		// Its platform takes it for gone.
		c.unlisted[frozen.settings.Name] = true
		c.publish()
		others := []*node{c.nodes[0], c.nodes[2]}
		c.await("the others hold its slice", func() bool {
			for _, n := range others {
				d := c.dump(n)
				if _, isHolder := d.Table.Holders[name]; isHolder || d.InForce.Table != d.Table.Revision() {
					return false
				}
			}
			return true
		})
		frozen.signal(syscall.SIGCONT)
		c.servedBy(l, frozen)
		So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.dump(frozen).Table.Holders, ShouldNotContainKey, name)

		delete(c.unlisted, frozen.settings.Name)
		c.publish()
		c.awaitReady()
		results := l.stop()
		Println(tallyResults(results), c.most())
		So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// restart starts an entry that was killed anew, on the same addresses.
func (c *system) restart(position int) {
	c.t.Helper()
	n := c.nodes[position]
	c.launch(n)
	c.await("the restarted entry is ready", func() bool { return c.dump(n).Ready })
}

// checkRevisions expects that no entry has ever refused a document as older
// than its own without a reason, and that none went back.
func (c *system) checkRevisions() {
	for _, n := range c.nodes {
		So(c.dump(n).Config, ShouldBeGreaterThanOrEqualTo, c.dump(c.nodes[0]).Config)
	}
}

func TestCutOffDataCentreServesOn(t *testing.T) {
	Convey("Given five entries in three data centres", t, func() {
		c := newSystem(t, threeCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()

		Convey("one that is cut off serves on, changes are pending meanwhile and in force after", func() {
			north := c.nodes[4]
			for _, n := range c.nodes[:4] {
				c.network.cut(north.settings.Name, n.settings.Name)
			}
			c.network.cut(north.settings.Name, storeName)
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(2 * time.Second)

			var applied entry.Applied
			revision := c.dump(c.nodes[0]).Config
			status, err := c.ask(c.nodes[0], http.MethodPut, fmt.Sprintf("/config?revision=%d", revision), []byte(twoTeams(teamLimit/2)), &applied)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusAccepted)
			So(applied.State, ShouldEqual, entry.Pending)
			So(strings.Join(applied.Behind, " "), ShouldContainSubstring, north.settings.Name)
			So(c.dump(north).Config, ShouldEqual, revision)
			So(c.servedBy(l, north), ShouldBeGreaterThan, 0)

			c.network.heal()
			c.await("the change is in force everywhere", func() bool {
				status, _ := c.ask(c.nodes[1], http.MethodGet, fmt.Sprintf("/force/%d", applied.Revision), nil, &applied)
				return status == http.StatusOK
			})
			So(c.dump(north).Config, ShouldEqual, applied.Revision)
			results := l.stop()
			Println(tallyResults(results), c.most())
			So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(c.audit(results), ShouldBeEmpty)
			So(tallyResults(results)["cut"], ShouldEqual, 0)
		})

		Convey("all of them cut off from each other and the platform serve on within the limit", func() {
			for i, a := range c.nodes {
				for _, b := range c.nodes[:i] {
					if a.settings.Centre != b.settings.Centre {
						c.network.cut(a.settings.Name, b.settings.Name)
					}
				}
				c.network.cut(a.settings.Name, storeName)
			}
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(4 * time.Second)
			for _, n := range c.nodes {
				So(c.servedBy(l, n), ShouldBeGreaterThan, 0)
			}
			c.network.heal()
			time.Sleep(2 * time.Second)
			results := l.stop()
			Println(tallyResults(results), c.most())
			So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(c.audit(results), ShouldBeEmpty)
			So(tallyResults(results)["cut"], ShouldEqual, 0)
		})
	})
}

// servedBy sends requests to one entry and returns how many it answered.
func (c *system) servedBy(l *load, n *node) (served int) {
	for i := range 10 {
		r, _ := l.send(n, http.MethodGet, fmt.Sprintf("%s-alone-%d", n.settings.Name, i))
		if r.status == http.StatusOK {
			served++
		}
	}
	return served
}

func TestStartWithoutThePlatform(t *testing.T) {
	Convey("Given a platform outage, a new entry gets its documents from peers and serves", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()
		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		c.addEntry("entry-9", "west")
		added := c.nodes[3]
		added.kill()
		for _, n := range c.nodes[:3] {
			added.settings.Peers = append(added.settings.Peers, n.settings.Advertise)
		}
		c.launch(added)
		c.await("the new entry is ready", func() bool { return c.dump(added).Ready })
		l := &load{system: c, key: gateKey, target: "/publish/week", client: http.DefaultClient}
		c.await("the new entry serves", func() bool {
			r, _ := l.send(added, http.MethodGet, "first")
			return r.status == http.StatusOK
		})
		So(c.dump(added).Config, ShouldEqual, c.dump(c.nodes[0]).Config)
		So(c.dump(added).Reached, ShouldBeFalse)
	})
}

func TestOlderStoreNeverWins(t *testing.T) {
	Convey("Given entries at revision 3 and a store that has lost everything", t, func() {
		c := newSystem(t, twoCentres)
		for i := range 3 {
			c.apply(c.nodes[i], twoTeams(teamLimit+i))
		}
		c.awaitPool()
		So(c.tryPost(c.platform, "/standin/reset"), ShouldBeNil)
		time.Sleep(2 * time.Second)
		for _, n := range c.nodes {
			So(c.dump(n).Config, ShouldEqual, 3)
		}
		Convey("the documents are written back, so that all entries may be replaced at once", func() {
			c.await("the store has the config again", func() bool {
				return c.setFaults(platform.Faults{}) == nil && c.stored("/chicorypin/config") && c.stored("/chicorypin/slices")
			})
			for _, n := range c.nodes {
				n.kill()
			}
			for i := range c.nodes {
				c.restart(i)
			}
			for _, n := range c.nodes {
				So(c.dump(n).Config, ShouldEqual, 3)
			}
		})
		Convey("a restarted entry comes up with the newest document, and changes go on from it", func() {
			c.nodes[1].kill()
			c.restart(1)
			c.await("the restarted entry has the newest document", func() bool { return c.dump(c.nodes[1]).Config == 3 })
			c.apply(c.nodes[1], twoTeams(teamLimit))
			for _, n := range c.nodes {
				So(c.dump(n).Config, ShouldEqual, 4)
			}
		})
	})
}

func TestStoreRestoredFromABackup(t *testing.T) {
	Convey("Given entries at revision 3 and a store that goes back to revision 1", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		So(c.tryPost(c.platform, "/standin/save"), ShouldBeNil)
		c.apply(c.nodes[1], twoTeams(teamLimit+1))
		c.apply(c.nodes[2], twoTeams(teamLimit+2))
		lowest := c.watchRevisions()
		So(c.tryPost(c.platform, "/standin/restore"), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(lowest(), ShouldEqual, 3)
		Convey("the newer document is in the store again", func() {
			for _, n := range c.nodes {
				n.kill()
			}
			for i := range c.nodes {
				c.restart(i)
				So(c.dump(c.nodes[i]).Config, ShouldEqual, 3)
			}
		})
	})
}

// watchRevisions looks at the config revision of every entry again and again;
// the function that it returns ends that and gives the lowest that was seen.
func (c *system) watchRevisions() func() uint64 {
	stop, lowest := make(chan bool), make(chan uint64)
	go func() {
		seen := uint64(1<<64 - 1)
		for {
			for _, n := range c.nodes {
				seen = min(seen, c.dump(n).Config)
			}
			select {
			case <-stop:
				lowest <- seen
				return
			case <-time.After(poll):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-lowest
	}
}

// stored returns whether the platform has a key.
func (c *system) stored(key string) bool {
	request := fmt.Sprintf(`{"key": %q}`, base64.StdEncoding.EncodeToString([]byte(key)))
	response, err := http.Post(fmt.Sprintf("http://%s/v3/kv/range", c.platform), "application/json", strings.NewReader(request))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return strings.Contains(string(data), "mod_revision")
}

func (c *system) tryPost(address fmt.Stringer, path string) error {
	response, err := http.Post(fmt.Sprintf("http://%s%s", address, path), "", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestRacingOperators(t *testing.T) {
	Convey("Given operators who change the document from the same revision at once", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()
		// A write whose reply is lost counts once as well.
		So(c.setFaults(platform.Faults{LostReplies: 1}), ShouldBeNil)

		Convey("one wins and the others are told", func() {
			codes := c.race(6, func(i int) (int, error) {
				n := c.nodes[i%len(c.nodes)]
				return c.ask(n, http.MethodPut, "/config?revision=1", []byte(twoTeams(teamLimit+i)), nil)
			})
			So(codes[http.StatusOK], ShouldEqual, 1)
			So(codes[http.StatusConflict], ShouldEqual, 5)
			So(c.dump(c.nodes[0]).Config, ShouldEqual, 2)
		})
		Convey("keys that are granted at the same moment are all there", func() {
			codes := c.race(6, func(i int) (int, error) {
				path := fmt.Sprintf("/teams/gate/keys/%s", document.Digest(fmt.Sprint("key-", i)))
				return c.ask(c.nodes[i%len(c.nodes)], http.MethodPut, path, nil, nil)
			})
			So(codes[http.StatusOK], ShouldEqual, 6)
			l := &load{system: c, target: "/publish/week", client: http.DefaultClient}
			for i := range 6 {
				l.key = fmt.Sprint("key-", i)
				r, _ := l.send(c.nodes[i%3], http.MethodGet, "granted")
				So(r.status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

// race makes calls at once and counts their status codes.
func (c *system) race(count int, call func(i int) (int, error)) map[int]int {
	codes := make(map[int]int)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			code, _ := call(i)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
		}()
	}
	wait.Wait()
	return codes
}

func TestReplaceAllEntries(t *testing.T) {
	Convey("Given load, all entries are replaced one after another and no request is cut", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(teamLimit))
		c.awaitPool()
		l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
		for i := range 3 {
			c.addEntry(fmt.Sprintf("entry-new-%d", i+1), c.nodes[i].settings.Centre)
			added := c.nodes[len(c.nodes)-1]
			c.publish()
			c.await("the new entry is ready", func() bool { return c.dump(added).Ready })
			left := c.dump(c.nodes[0]).Entry
			So(c.nodes[0].stop(), ShouldBeTrue)
			c.nodes = c.nodes[1:]
			c.publish()
			So(c.lentTo(left), ShouldEqual, 0)
		}
		c.await("the new entries hold all slices", func() bool {
			for _, n := range c.nodes {
				d := c.dump(n)
				if len(d.Table.Holders) != 3 || d.InForce.Table != d.Table.Revision() {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		results := l.stop()
		Println(tallyResults(results), c.most())
		So(tallyResults(results)["cut"], ShouldEqual, 0)
		So(c.audit(results), ShouldBeEmpty)
		So(c.most()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		// No unit is lost: one entry alone can get the whole limit.
		So(c.reach(c.nodes[0], "gate"), ShouldEqual, teamLimit)
	})
}

// lentTo returns how many units and slots the entries count as lent to one.
func (c *system) lentTo(entry string) (total uint32) {
	for _, n := range c.nodes {
		d := c.dump(n)
		for _, a := range append(d.Teams, d.Slots...) {
			total += a.Lent[entry]
		}
	}
	return total
}

// reach loads one entry alone until it uses the whole limit of the team, and
// returns the most units that it came to use.
func (c *system) reach(n *node, team string) (most uint32) {
	others := c.nodes
	c.nodes = []*node{n}
	defer func() { c.nodes = others }()
	l := c.startLoad("reach", gateKey, "/publish/week?run=200", 2*teamLimit)
	defer l.stop()
	since := time.Now()
	for most < teamLimit && time.Since(since) < patience {
		for _, a := range c.dump(n).Teams {
			if a.Name == team {
				most = max(most, a.Used)
			}
		}
		time.Sleep(poll)
	}
	c.t.Logf("%s reached %d units after %s", n.settings.Name, most, time.Since(since).Round(poll))
	if most < teamLimit {
		for _, other := range others {
			d := c.dump(other)
			c.t.Logf("%s: force %+v, tables %d, teams %+v, slots %+v", d.Entry, d.InForce, len(d.Table.Tables), d.Teams, d.Slots)
		}
	}
	return most
}

func TestIsolationGrace(t *testing.T) {
	Convey("Given a grace of 2 s, an entry that is cut off for longer serves open queues only", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], strings.Replace(twoTeams(teamLimit), `"longest"`, `"grace": "2s", "longest"`, 1))
		c.awaitPool()
		west := c.nodes[2]
		c.network.cut(west.settings.Name, c.nodes[0].settings.Name)
		c.network.cut(west.settings.Name, c.nodes[1].settings.Name)
		c.network.cut(west.settings.Name, storeName)
		l := &load{system: c, key: gateKey, target: "/publish/week", client: http.DefaultClient}
		c.await("keys are trusted no longer", func() bool {
			r, _ := l.send(west, http.MethodGet, "keyed")
			return r.status == http.StatusServiceUnavailable && r.outcome == "not-run"
		})
		open := &load{system: c, target: "/public/week", client: http.DefaultClient}
		r, _ := open.send(west, http.MethodGet, "open")
		So(r.status, ShouldEqual, http.StatusOK)
		c.network.heal()
		c.await("keys are trusted again", func() bool {
			r, _ := l.send(west, http.MethodGet, "keyed")
			return r.status == http.StatusOK
		})
	})
}
