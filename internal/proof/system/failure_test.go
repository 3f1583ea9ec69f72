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

var threeCentres = topology{
	entriesPerCentre: map[string]int{"east": 2, "west": 2, "north": 1},
	minionsPerCentre: map[string]int{"east": 2, "west": 2, "north": 2},
}

// teamLimit is the limit of the team that the tests load. It is smaller than the number
// of slots, so that the limit and not the slots bounds the load.
const teamLimit = 10

func TestLimitThroughFreezesKillsAndOutages(t *testing.T) {
	Convey("Given five entries in three data centres and a team whose demand exceeds its limit", t, func() {
		c := newCluster(t, threeCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=50", 30)
		time.Sleep(2 * time.Second)

		// The freeze lasts longer than the entry's lease in the platform.
		frozen := c.entries[1]
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		frozen.signal(syscall.SIGCONT)

		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		time.Sleep(time.Second)
		c.entries[2].kill()
		time.Sleep(3 * time.Second)
		So(c.setFaults(platform.Faults{}), ShouldBeNil)
		c.restart(2)
		c.apply(c.entries[0], twoTeamDocument(teamLimit/2))
		afterLowering := len(l.snapshot())
		time.Sleep(2 * time.Second)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		time.Sleep(2 * time.Second)

		results := l.stop()
		Println(tallyResults(results), c.maxRunning())
		So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.maxRunning()["gate"], ShouldBeGreaterThan, teamLimit/2)
		So(c.audit(results), ShouldBeEmpty)
		So(len(results), ShouldBeGreaterThan, afterLowering)
		c.expectNoEntryBehind()
	})
}

func TestFreezePastEveryLease(t *testing.T) {
	Convey("Given an entry that is frozen until its slice has been assigned to others", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=100", 30)
		time.Sleep(time.Second)
		frozen := c.entries[1]
		name := c.dump(frozen).Entry
		frozen.signal(syscall.SIGSTOP)
		// The platform no longer lists the frozen entry.
		c.unlisted[frozen.settings.Name] = true
		c.publishInstances()
		others := []*entryProcess{c.entries[0], c.entries[2]}
		c.await("the others hold its slice", func() bool {
			for _, e := range others {
				d := c.dump(e)
				if _, isHolder := d.Table.Holders[name]; isHolder || d.InForce.Table != d.Table.Revision() {
					return false
				}
			}
			return true
		})
		frozen.signal(syscall.SIGCONT)
		c.countServed(l, frozen)
		So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.dump(frozen).Table.Holders, ShouldNotContainKey, name)

		delete(c.unlisted, frozen.settings.Name)
		c.publishInstances()
		c.awaitReady()
		results := l.stop()
		Println(tallyResults(results), c.maxRunning())
		So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// restart starts a stopped entry again on the same addresses and waits until it is
// ready.
func (c *cluster) restart(position int) {
	c.t.Helper()
	e := c.entries[position]
	c.launch(e)
	c.await("the restarted entry is ready", func() bool { return c.dump(e).Ready })
}

// expectNoEntryBehind expects that no entry has an older config revision than the last
// one that was applied. An entry would if it had rejected a newer document as older than
// its own, or gone back to an older one.
func (c *cluster) expectNoEntryBehind() {
	So(c.appliedRevision, ShouldBeGreaterThan, 0)
	for _, e := range c.entries {
		So(c.dump(e).Config, ShouldBeGreaterThanOrEqualTo, c.appliedRevision)
	}
}

func TestCutOffDataCentreServesOn(t *testing.T) {
	Convey("Given five entries in three data centres", t, func() {
		c := newCluster(t, threeCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()

		Convey("a disconnected entry keeps serving, and changes are pending until it is connected again", func() {
			north := c.entries[4]
			for _, e := range c.entries[:4] {
				c.network.partition(north.settings.Name, e.settings.Name)
			}
			c.network.partition(north.settings.Name, platformName)
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(2 * time.Second)

			var applied entry.Applied
			revision := c.dump(c.entries[0]).Config
			status, err := c.callOperator(c.entries[0], http.MethodPut, fmt.Sprintf("/config?revision=%d", revision), []byte(twoTeamDocument(teamLimit/2)), &applied)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusAccepted)
			So(applied.State, ShouldEqual, entry.Pending)
			So(strings.Join(applied.Behind, " "), ShouldContainSubstring, north.settings.Name)
			So(c.dump(north).Config, ShouldEqual, revision)
			So(c.countServed(l, north), ShouldBeGreaterThan, 0)

			c.network.heal()
			c.await("the change is in force everywhere", func() bool {
				status, _ := c.callOperator(c.entries[1], http.MethodGet, fmt.Sprintf("/force/%d", applied.Revision), nil, &applied)
				return status == http.StatusOK
			})
			So(c.dump(north).Config, ShouldEqual, applied.Revision)
			results := l.stop()
			Println(tallyResults(results), c.maxRunning())
			So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(c.audit(results), ShouldBeEmpty)
			So(cutRequests(results), ShouldBeEmpty)
		})

		Convey("all keep serving within the limit while disconnected from each other and the platform", func() {
			for i, a := range c.entries {
				for _, b := range c.entries[:i] {
					if a.settings.Centre != b.settings.Centre {
						c.network.partition(a.settings.Name, b.settings.Name)
					}
				}
				c.network.partition(a.settings.Name, platformName)
			}
			l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
			time.Sleep(4 * time.Second)
			for _, e := range c.entries {
				So(c.countServed(l, e), ShouldBeGreaterThan, 0)
			}
			c.network.heal()
			time.Sleep(2 * time.Second)
			results := l.stop()
			Println(tallyResults(results), c.maxRunning())
			So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
			So(c.audit(results), ShouldBeEmpty)
			So(cutRequests(results), ShouldBeEmpty)
		})
	})
}

// countServed sends ten requests to one entry and returns how many got status 200.
func (c *cluster) countServed(l *loadGenerator, e *entryProcess) (served int) {
	for i := range 10 {
		r, _ := l.send(e, http.MethodGet, fmt.Sprintf("%s-alone-%d", e.settings.Name, i))
		if r.status == http.StatusOK {
			served++
		}
	}
	return served
}

func TestStartWithoutThePlatform(t *testing.T) {
	Convey("Given a platform outage, a new entry fetches the documents from its peers and serves requests", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		So(c.setFaults(platform.Faults{Outage: true}), ShouldBeNil)
		c.addEntry("entry-9", "west")
		added := c.entries[3]
		added.kill()
		for _, e := range c.entries[:3] {
			added.settings.Peers = append(added.settings.Peers, e.settings.Advertise)
		}
		c.launch(added)
		c.await("the new entry is ready", func() bool { return c.dump(added).Ready })
		l := &loadGenerator{cluster: c, key: gateKey, requestURI: "/publish/week", client: http.DefaultClient}
		c.await("the new entry serves requests", func() bool {
			r, _ := l.send(added, http.MethodGet, "first")
			return r.status == http.StatusOK
		})
		So(c.dump(added).Config, ShouldEqual, c.dump(c.entries[0]).Config)
		So(c.dump(added).Reached, ShouldBeFalse)
	})
}

func TestOlderStoreNeverWins(t *testing.T) {
	Convey("Given entries at revision 3 and a store that has lost all data", t, func() {
		c := newCluster(t, twoCentres)
		for i := range 3 {
			c.apply(c.entries[i], twoTeamDocument(teamLimit+i))
		}
		c.awaitInstances()
		So(c.tryPost(c.platform, "/standin/reset"), ShouldBeNil)
		time.Sleep(2 * time.Second)
		for _, e := range c.entries {
			So(c.dump(e).Config, ShouldEqual, 3)
		}
		Convey("the entries write the documents back, and all of them can be restarted at once", func() {
			c.await("the store has the config again", func() bool {
				return c.setFaults(platform.Faults{}) == nil && c.isStored("/chicorypin/config") && c.isStored("/chicorypin/slices")
			})
			for _, e := range c.entries {
				e.kill()
			}
			for i := range c.entries {
				c.restart(i)
			}
			for _, e := range c.entries {
				So(c.dump(e).Config, ShouldEqual, 3)
			}
		})
		Convey("a restarted entry loads the newest document, and changes continue from its revision", func() {
			c.entries[1].kill()
			c.restart(1)
			c.await("the restarted entry has the newest document", func() bool { return c.dump(c.entries[1]).Config == 3 })
			c.apply(c.entries[1], twoTeamDocument(teamLimit))
			for _, e := range c.entries {
				So(c.dump(e).Config, ShouldEqual, 4)
			}
		})
	})
}

func TestStoreRestoredFromABackup(t *testing.T) {
	Convey("Given entries at revision 3 and a store that is restored to revision 1", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		So(c.tryPost(c.platform, "/standin/save"), ShouldBeNil)
		c.apply(c.entries[1], twoTeamDocument(teamLimit+1))
		c.apply(c.entries[2], twoTeamDocument(teamLimit+2))
		lowest := c.trackLowestRevision()
		So(c.tryPost(c.platform, "/standin/restore"), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(lowest(), ShouldEqual, 3)
		Convey("the entries write the newer document back to the store", func() {
			for _, e := range c.entries {
				e.kill()
			}
			for i := range c.entries {
				c.restart(i)
				So(c.dump(c.entries[i]).Config, ShouldEqual, 3)
			}
		})
	})
}

// trackLowestRevision polls the config revision of every entry until the returned
// function is called, which returns the lowest revision observed.
func (c *cluster) trackLowestRevision() func() uint64 {
	stop, lowest := make(chan bool), make(chan uint64)
	go func() {
		lowestSeen := uint64(1<<64 - 1)
		for {
			for _, e := range c.entries {
				lowestSeen = min(lowestSeen, c.dump(e).Config)
			}
			select {
			case <-stop:
				lowest <- lowestSeen
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-lowest
	}
}

// isStored returns whether the key-value service of the platform holds the key.
func (c *cluster) isStored(key string) bool {
	request := fmt.Sprintf(`{"key": %q}`, base64.StdEncoding.EncodeToString([]byte(key)))
	response, err := http.Post(fmt.Sprintf("http://%s/v3/kv/range", c.platform), "application/json", strings.NewReader(request))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return strings.Contains(string(data), "mod_revision")
}

func (c *cluster) tryPost(address fmt.Stringer, path string) error {
	response, err := http.Post(fmt.Sprintf("http://%s%s", address, path), "", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestRacingOperators(t *testing.T) {
	Convey("Given operators who change the same revision of the document at the same time", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		// A write whose reply is lost must also take effect only once.
		So(c.setFaults(platform.Faults{LostReplies: 1}), ShouldBeNil)

		Convey("one change succeeds and the others are rejected as conflicts", func() {
			codes := c.callConcurrently(6, func(i int) (int, error) {
				e := c.entries[i%len(c.entries)]
				return c.callOperator(e, http.MethodPut, "/config?revision=1", []byte(twoTeamDocument(teamLimit+i)), nil)
			})
			So(codes[http.StatusOK], ShouldEqual, 1)
			So(codes[http.StatusConflict], ShouldEqual, 5)
			So(c.dump(c.entries[0]).Config, ShouldEqual, 2)
		})
		Convey("keys that are granted at the same time are all valid", func() {
			codes := c.callConcurrently(6, func(i int) (int, error) {
				path := fmt.Sprintf("/teams/gate/keys/%s", document.Digest(fmt.Sprint("key-", i)))
				return c.callOperator(c.entries[i%len(c.entries)], http.MethodPut, path, nil, nil)
			})
			So(codes[http.StatusOK], ShouldEqual, 6)
			l := &loadGenerator{cluster: c, requestURI: "/publish/week", client: http.DefaultClient}
			for i := range 6 {
				l.key = fmt.Sprint("key-", i)
				r, _ := l.send(c.entries[i%3], http.MethodGet, "granted")
				So(r.status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

// callConcurrently makes the given number of calls at the same time and counts their
// status codes.
func (c *cluster) callConcurrently(count int, call func(i int) (int, error)) map[int]int {
	codes := make(map[int]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			code, _ := call(i)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
		}()
	}
	group.Wait()
	return codes
}

func TestReplaceAllEntries(t *testing.T) {
	Convey("Given load, all entries are replaced one after another without cutting a request", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=20", 20)
		for i := range 3 {
			c.addEntry(fmt.Sprintf("entry-new-%d", i+1), c.entries[i].settings.Centre)
			added := c.entries[len(c.entries)-1]
			c.publishInstances()
			c.await("the new entry is ready", func() bool { return c.dump(added).Ready })
			stoppedName := c.dump(c.entries[0]).Entry
			So(c.entries[0].stop(), ShouldBeTrue)
			c.entries = c.entries[1:]
			c.publishInstances()
			So(c.unitsLentTo(stoppedName), ShouldEqual, 0)
		}
		c.await("the new entries hold all slices", func() bool {
			for _, e := range c.entries {
				d := c.dump(e)
				if len(d.Table.Holders) != 3 || d.InForce.Table != d.Table.Revision() {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		results := l.stop()
		Println(tallyResults(results), c.maxRunning())
		So(cutRequests(results), ShouldBeEmpty)
		So(c.audit(results), ShouldBeEmpty)
		So(c.maxRunning()["gate"], ShouldBeLessThanOrEqualTo, teamLimit)
		// No unit is lost: one entry alone can use the whole limit.
		So(c.maxUnitsUsed(c.entries[0], "gate"), ShouldEqual, teamLimit)
	})
}

// TestStopNoticedLate guards against requests that are cut because they arrive after the
// linger time.
func TestStopNoticedLate(t *testing.T) {
	Convey("Given a load balancer that notices late, an entry stops without cutting a request", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(teamLimit))
		c.awaitInstances()
		l := c.startLoad("gate", gateKey, "/publish/week?run=1", 40)
		time.Sleep(time.Second)
		stopped := c.entries[0]
		l.keepEntries(3 * time.Duration(stopped.settings.Linger))
		So(stopped.stop(), ShouldBeTrue)
		time.Sleep(time.Second)
		results := l.stop()
		Println(tallyResults(results))
		So(cutRequests(results), ShouldBeEmpty)
		So(tallyResults(results)["not-run"], ShouldEqual, 0)
		So(c.audit(results), ShouldBeEmpty)
	})
}

// unitsLentTo returns how many units and slots all entries together record as lent to
// the named entry.
func (c *cluster) unitsLentTo(name string) (total uint32) {
	for _, e := range c.entries {
		d := c.dump(e)
		for _, a := range append(d.Teams, d.Slots...) {
			total += a.Lent[name]
		}
	}
	return total
}

// maxUnitsUsed sends load to one entry only until that entry uses the whole limit of the
// team or the timeout expires. It returns the largest number of units that it used.
func (c *cluster) maxUnitsUsed(e *entryProcess, team string) (maxUsed uint32) {
	allEntries := c.entries
	c.entries = []*entryProcess{e}
	defer func() { c.entries = allEntries }()
	l := c.startLoad("reach", gateKey, "/publish/week?run=200", 2*teamLimit)
	defer l.stop()
	start := time.Now()
	for maxUsed < teamLimit && time.Since(start) < timeout {
		for _, a := range c.dump(e).Teams {
			if a.Name == team {
				maxUsed = max(maxUsed, a.Used)
			}
		}
		time.Sleep(pollInterval)
	}
	c.t.Logf("%s used up to %d units within %s", e.settings.Name, maxUsed, time.Since(start).Round(pollInterval))
	if maxUsed < teamLimit {
		for _, other := range allEntries {
			d := c.dump(other)
			c.t.Logf("%s: in force %+v, tables %d, teams %+v, slots %+v", d.Entry, d.InForce, len(d.Table.Tables), d.Teams, d.Slots)
		}
	}
	return maxUsed
}

func TestIsolationGrace(t *testing.T) {
	Convey("Given a grace of 2 s, an entry that is disconnected for longer serves open services only", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], strings.Replace(twoTeamDocument(teamLimit), `"longest"`, `"grace": "2s", "longest"`, 1))
		c.awaitInstances()
		west := c.entries[2]
		c.network.partition(west.settings.Name, c.entries[0].settings.Name)
		c.network.partition(west.settings.Name, c.entries[1].settings.Name)
		c.network.partition(west.settings.Name, platformName)
		l := &loadGenerator{cluster: c, key: gateKey, requestURI: "/publish/week", client: http.DefaultClient}
		c.await("requests with a key are refused", func() bool {
			r, _ := l.send(west, http.MethodGet, "keyed")
			return r.status == http.StatusServiceUnavailable && r.outcome == "not-run"
		})
		open := &loadGenerator{cluster: c, requestURI: "/public/week", client: http.DefaultClient}
		r, _ := open.send(west, http.MethodGet, "open")
		So(r.status, ShouldEqual, http.StatusOK)
		c.network.heal()
		c.await("requests with a key are accepted again", func() bool {
			r, _ := l.send(west, http.MethodGet, "keyed")
			return r.status == http.StatusOK
		})
	})
}
