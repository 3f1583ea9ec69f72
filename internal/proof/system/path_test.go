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

// twoTeams is a document with one pool, two services and two teams.
func twoTeams(limit int) string {
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

var twoCentres = shape{
	entries: map[string]int{"east": 2, "west": 1},
	workers: map[string]int{"east": 2, "west": 2},
}

func TestWholePath(t *testing.T) {
	Convey("Given three entries in two data centres", t, func() {
		c := newSystem(t, twoCentres)
		c.apply(c.nodes[0], twoTeams(24))
		c.awaitPool()

		Convey("requests are answered by key, and every one is accounted for while entries stop and die", func() {
			gate := c.startLoad("gate", gateKey, "/publish/week?run=20", 12)
			// These run for longer than the stopping entry still takes requests.
			slow := c.startLoad("slow", vetKey, "/publish/week?run=2500", 6)
			wrong := c.startLoad("wrong", "no-such-key", "/publish/week", 1)
			time.Sleep(time.Second)

			So(c.nodes[1].stop(), ShouldBeTrue)
			time.Sleep(500 * time.Millisecond)
			So(tallyResults(gate.snapshot())["cut"], ShouldEqual, 0)
			So(tallyResults(slow.snapshot())["cut"], ShouldEqual, 0)
			So(c.audit(slow.stop()), ShouldBeEmpty)

			c.nodes[2].kill()
			time.Sleep(time.Second)
			results := gate.stop()
			refused := wrong.stop()

			So(c.audit(results), ShouldBeEmpty)
			So(c.audit(refused), ShouldBeEmpty)
			for _, w := range c.workers {
				So(c.countsAt(w).PeakConns, ShouldBeLessThanOrEqualTo, minion.MaxConns)
			}
			counts := tallyResults(results)
			Println(counts)
			So(counts["200"], ShouldBeGreaterThan, 0)
			// Only requests under way at the killed entry are cut.
			So(counts["cut"], ShouldBeLessThanOrEqualTo, 12)
			So(counts["unknown"], ShouldEqual, 0)
			So(tallyResults(refused)["not-run"], ShouldEqual, len(refused)-tallyResults(refused)["cut"])
		})

		Convey("a withdrawn key stops working everywhere, and the command line tells so", func() {
			So(c.cli(c.nodes[2], "key", "withdraw", "gate", gateKey), ShouldContainSubstring, "accepted")
			for _, n := range c.nodes {
				l := &load{system: c, key: gateKey, target: "/publish/x", client: http.DefaultClient}
				r, _ := l.send(n, http.MethodGet, "withdrawn-"+n.settings.Name)
				So(r.status, ShouldEqual, http.StatusUnauthorized)
			}
			So(c.cli(c.nodes[0], "status"), ShouldContainSubstring, "config revision 2")

			// A header that is too large gets one clear answer as well.
			r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/publish/x", c.nodes[0].settings.Caller), nil)
			r.Header.Set("Filler", strings.Repeat("x", 100<<10))
			response, err := http.DefaultClient.Do(r)
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			So(c.cli(c.nodes[0], "dump"), ShouldNotContainSubstring, document.Digest(vetKey))
		})
	})
}

func (l *load) snapshot() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result(nil), l.results...)
}

// cli runs the operators' command line and returns what it prints.
func (c *system) cli(n *node, args ...string) string {
	all := append([]string{"--server", n.settings.Operator.String(), "--key", operatorKey}, args...)
	output, _ := exec.Command(filepath.Join(binaries, "chicorypin"), all...).CombinedOutput()
	return string(output)
}
