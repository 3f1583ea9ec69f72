package system

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/minion"
)

const (
	gateKey = "key-of-the-gate-desk"
	vetKey  = "key-of-the-vet-office"
)

// twoTeamDocument returns a config document with one pool, two services and two teams,
// of which gate has the given limit.
func twoTeamDocument(limit int) string {
	return fmt.Sprintf(`{
  "spare": "rota", "longest": "3s",
  "pools": [{"name": "rota", "least": 0.5}],
  "services": [
    {"name": "publish", "pool": "rota"},
    {"name": "public", "pool": "rota", "open": "vet"}
  ],
  "teams": [
    {"name": "gate", "share": 60, "limit": %d, "keys": [%q]},
    {"name": "vet", "share": 40, "limit": 20, "keys": [%q]}
  ]
}`, limit, document.Digest(gateKey), document.Digest(vetKey))
}

var twoCentres = topology{
	entriesPerCentre: map[string]int{"east": 2, "west": 1},
	minionsPerCentre: map[string]int{"east": 2, "west": 2},
}

func TestWholePath(t *testing.T) {
	Convey("Given three entries in two data centres", t, func() {
		c := newCluster(t, twoCentres)
		c.apply(c.entries[0], twoTeamDocument(24))
		c.awaitInstances()

		Convey("requests are authorised by key, and each one has a consistent result while entries stop and are killed", func() {
			gate := c.startLoad("gate", gateKey, "/publish/week?run=20", 12)
			// These run for longer than a stopping entry still accepts requests.
			slow := c.startLoad("slow", vetKey, "/publish/week?run=2500", 6)
			wrong := c.startLoad("wrong", "no-such-key", "/publish/week", 1)
			time.Sleep(time.Second)

			So(c.entries[1].stop(), ShouldBeTrue)
			time.Sleep(500 * time.Millisecond)
			So(cutRequests(gate.snapshot()), ShouldBeEmpty)
			So(cutRequests(slow.snapshot()), ShouldBeEmpty)
			So(c.audit(slow.stop()), ShouldBeEmpty)

			c.entries[2].kill()
			time.Sleep(time.Second)
			results := gate.stop()
			refused := wrong.stop()

			So(c.audit(results), ShouldBeEmpty)
			So(c.audit(refused), ShouldBeEmpty)
			for _, m := range c.minions {
				So(c.countsAt(m).PeakConns, ShouldBeLessThanOrEqualTo, minion.MaxConns)
			}
			counts := tallyResults(results)
			Println(counts)
			So(counts["200"], ShouldBeGreaterThan, 0)
			// Only the requests that were open at the killed entry may be cut.
			So(counts["cut"], ShouldBeLessThanOrEqualTo, 12)
			So(counts["unknown"], ShouldEqual, 0)
			So(tallyResults(refused)["not-run"], ShouldEqual, len(refused)-tallyResults(refused)["cut"])
		})

		Convey("a withdrawn key is rejected by all entries, and the command line reports the change", func() {
			So(c.runCLI(c.entries[2], "key", "withdraw", "gate", gateKey), ShouldContainSubstring, "accepted")
			for _, e := range c.entries {
				l := &loadGenerator{cluster: c, key: gateKey, requestURI: "/publish/x", client: http.DefaultClient}
				r, _ := l.send(e, http.MethodGet, "withdrawn-"+e.settings.Name)
				So(r.status, ShouldEqual, http.StatusUnauthorized)
			}
			So(c.runCLI(c.entries[0], "status"), ShouldContainSubstring, "config revision 2")

			// A header that is too large gets a status code of its own.
			r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/publish/x", c.entries[0].settings.Caller), nil)
			r.Header.Set("Filler", strings.Repeat("x", 100<<10))
			response, err := http.DefaultClient.Do(r)
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			So(c.runCLI(c.entries[0], "dump"), ShouldNotContainSubstring, document.Digest(vetKey))
		})
	})
}

// snapshot returns the results so far.
func (l *loadGenerator) snapshot() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result(nil), l.results...)
}

// runCLI runs the operators' command line against an entry and returns its output.
func (c *cluster) runCLI(e *entryProcess, args ...string) string {
	allArgs := append([]string{"--server", e.settings.Operator.String(), "--key", operatorKey}, args...)
	output, _ := exec.Command(filepath.Join(binaryFolder, "chicorypin"), allArgs...).CombinedOutput()
	return string(output)
}
