package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/host"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
	"gitlab.com/chicorypin/chicorypin/internal/standin/platform"
)

const operatorKey = "operator-key"

// browser is a client with cookies for the console of a running entry. It keeps the last
// page and its status.
type browser struct {
	base   string
	client *http.Client
	page   string
	status int
}

// newBrowser starts an entry with one instance on a simulated platform, and returns a
// browser that is not signed in.
func newBrowser(t *testing.T) (*browser, *entry.Entry) {
	t.Helper()
	store := platform.NewServer()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.SetInstances([]platform.TargetGroup{{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{
		"instance": "worker-1", "pool": "rota", "centre": "east", "rack": "r", "slots": "8", "state": "live",
	}}})
	platformAddress := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := host.New(entry.Settings{
		Name: "entry-1", Centre: "east", Caller: anyPort, Operator: anyPort, Peer: anyPort,
		Platform: []netip.AddrPort{platformAddress}, List: platformAddress, Operators: []string{document.Digest(operatorKey)},
		TTL: document.Duration(entry.DefaultTTL), Linger: document.Duration(time.Millisecond),
		Stop: document.Duration(time.Second), Level: "error",
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		e.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for !e.IsReady() {
		time.Sleep(10 * time.Millisecond)
	}
	jar, _ := cookiejar.New(nil)
	return &browser{base: "http://" + e.OperatorAddress().String(), client: &http.Client{Jar: jar}}, e
}

func (b *browser) get(path string) {
	response, err := b.client.Get(b.base + path)
	So(err, ShouldBeNil)
	b.read(response)
}

func (b *browser) post(path string, form url.Values) {
	response, err := b.client.PostForm(b.base+path, form)
	So(err, ShouldBeNil)
	b.read(response)
}

func (b *browser) read(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	response.Body.Close()
	b.page, b.status = string(data), response.StatusCode
}

var hiddenField = regexp.MustCompile(`<input type="hidden" name="([^"]+)" value="([^"]*)">`)

// form returns the hidden fields of the current page together with values.
func (b *browser) form(values map[string]string) url.Values {
	form := make(url.Values)
	for _, match := range hiddenField.FindAllStringSubmatch(b.page, -1) {
		form.Set(match[1], match[2])
	}
	for name, value := range values {
		form.Set(name, value)
	}
	return form
}

// validForm is a valid document as the fields of the form.
var validForm = map[string]string{
	"rows/pools": "1", "rows/services": "1", "rows/teams": "1", "spare": "rota",
	"pools/0/name": "rota", "pools/0/least": "0", "services/0/name": "publish", "services/0/pool": "rota",
	"services/0/stops": "true", "teams/0/name": "gate", "teams/0/share": "60", "teams/0/limit": "12",
}

func merge(values map[string]string, overrides map[string]string) map[string]string {
	merged := make(map[string]string)
	for _, part := range []map[string]string{values, overrides} {
		for name, value := range part {
			merged[name] = value
		}
	}
	return merged
}

func TestConsole(t *testing.T) {
	Convey("Given the console of an entry", t, func() {
		b, e := newBrowser(t)
		b.get("/console")
		So(b.status, ShouldEqual, http.StatusUnauthorized)
		So(b.page, ShouldContainSubstring, "Operator key")
		b.post("/console/login", url.Values{"key": {"guess"}})
		So(b.status, ShouldEqual, http.StatusUnauthorized)
		b.post("/console/login", url.Values{"key": {operatorKey}})
		So(b.status, ShouldEqual, http.StatusOK)
		So(b.page, ShouldContainSubstring, "made from revision 0")

		Convey("faults are shown next to their fields and nothing is changed", func() {
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "apply", "teams/0/share": "a lot", "services/0/pool": "gone"})))
			So(b.page, ShouldContainSubstring, "Nothing was changed")
			So(b.page, ShouldContainSubstring, `value="a lot"`)
			So(strings.Count(b.page, `class="fault"`), ShouldBeGreaterThanOrEqualTo, 1)
			_, revision := e.Document()
			So(revision, ShouldEqual, 0)
		})
		Convey("a reference to a missing pool is shown next to its field", func() {
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "check", "services/0/pool": "gone"})))
			So(b.page, ShouldContainSubstring, "no pool is named &#34;gone&#34;")
		})
		Convey("a document is checked, compared and applied", func() {
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "check"})))
			So(b.page, ShouldContainSubstring, "The document is valid")
			So(b.page, ShouldContainSubstring, "/teams/gate/limit")
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "apply"})))
			So(b.page, ShouldContainSubstring, "Revision 1 is accepted")
			current, _ := e.Document()
			So(current.Services[0].IsCancellable, ShouldBeTrue)

			Convey("a form made from an older revision is refused", func() {
				b.post("/console", b.form(merge(validForm, map[string]string{"do": "apply", "revision": "0", "teams/0/limit": "13"})))
				So(b.page, ShouldContainSubstring, "was changed meanwhile")
			})
			Convey("a drain within the budget is carried out and shown", func() {
				for len(e.Dump().Fleet.Instances) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				b.post("/console/act", b.form(map[string]string{"do": "drain", "instance": "worker-1"}))
				So(b.page, ShouldContainSubstring, "Done: drain worker-1")
				So(b.page, ShouldContainSubstring, "draining")
			})
		})
		Convey("rows are added and removed without losing the others", func() {
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "add teams"})))
			So(b.page, ShouldContainSubstring, `name="teams/1/name"`)
			b.post("/console", b.form(merge(validForm, map[string]string{"rows/teams": "2", "teams/1/name": "vet", "do": "remove teams/0"})))
			So(b.page, ShouldNotContainSubstring, `name="teams/1/name"`)
			So(b.page, ShouldContainSubstring, `name="teams/0/name" value="vet"`)
		})
		Convey("forged posts are refused and change nothing", func() {
			b.post("/console", b.form(merge(validForm, map[string]string{"do": "apply", "token": "guess"})))
			So(b.status, ShouldEqual, http.StatusForbidden)
			b.get("/console")
			form := b.form(merge(validForm, map[string]string{"do": "apply"}))
			r, _ := http.NewRequest(http.MethodPost, b.base+"/console", strings.NewReader(form.Encode()))
			r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
			r.Header.Set("Origin", "https://elsewhere.example")
			response, err := b.client.Do(r)
			So(err, ShouldBeNil)
			b.read(response)
			So(b.status, ShouldEqual, http.StatusForbidden)
			_, revision := e.Document()
			So(revision, ShouldEqual, 0)
		})
	})
}

func TestAPINeedsAKey(t *testing.T) {
	Convey("All API calls except probes and metrics require an operator's key", t, func() {
		b, _ := newBrowser(t)
		calls := map[string]string{
			"/dump": "GET", "/status": "GET", "/config": "GET", "/profile": "GET", "/force/1": "GET", "/check": "POST",
			"/diff": "POST", "/config?revision=0": "PUT", "/teams/a/keys/b": "PUT", "/instances/a/drain": "POST",
			"/instances/a/return": "POST", "/wave?do=start": "POST",
		}
		for path, method := range calls {
			r, _ := http.NewRequest(method, b.base+path, nil)
			r.Header.Set("Authorization", "Bearer guess")
			response, err := b.client.Do(r)
			So(err, ShouldBeNil)
			b.read(response)
			So(b.status, ShouldEqual, http.StatusUnauthorized)
		}
		for _, path := range []string{"/livez", "/readyz", "/metrics"} {
			b.get(path)
			So(b.status, ShouldEqual, http.StatusOK)
		}
	})
}

// The sign-in form, which needs no key, could have as many bytes as the largest document.
func TestSignInFormIsBounded(t *testing.T) {
	Convey("A sign-in form that is larger than a key is refused without being parsed", t, func() {
		b, _ := newBrowser(t)
		b.post("/console/login", url.Values{"key": {operatorKey}, "pad": {strings.Repeat("x", 100<<10)}})
		So(b.status, ShouldEqual, http.StatusRequestEntityTooLarge)
		b.get("/console")
		So(b.status, ShouldEqual, http.StatusUnauthorized)
	})
}
