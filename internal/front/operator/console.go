package operator

import (
	"embed"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"strconv"
	"strings"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/daemon/entry"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

//go:embed pages
var pages embed.FS

var templates = template.Must(template.New("").Funcs(template.FuncMap{
	"path":   path,
	"upTo":   upTo,
	"faults": faultsAt,
}).ParseFS(pages, "pages/*.html"))

// console serves the forms. It needs no script.
type console struct {
	listener *Listener
	sessions *sessions
}

// page is what the templates show.
type page struct {
	Token    string
	Message  string
	IsError  bool
	Status   Status
	Revision uint64
	Fields   fields
	Scalars  []column
	Sections []section
	Faults   []fault.Fault
	Changes  []document.Change
	JSON     string
}

// Text returns the text of a field.
func (p page) Text(path string) string { return p.Fields.texts.Get(path) }

// Rows returns the number of rows of a section.
func (p page) Rows(name string) int { return p.Fields.rows[name] }

func upTo(count int) []int {
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// faultsAt returns the reasons of the faults at a path and below it.
func faultsAt(list []fault.Fault, path string) (reasons []string) {
	for _, f := range list {
		at := strings.TrimPrefix(f.Path, "/")
		if at == path || strings.HasPrefix(at, path+"/") {
			reasons = append(reasons, f.Reason)
		}
	}
	return reasons
}

func (l *Listener) routeConsole() {
	c := &console{listener: l, sessions: newSessions()}
	protection := http.NewCrossOriginProtection()
	handle := func(method, path string, handler http.HandlerFunc) {
		l.router.Handler(method, path, protection.Handler(secure(handler)))
	}
	handle(http.MethodGet, "/console", c.show)
	handle(http.MethodPost, "/console", c.post)
	handle(http.MethodPost, "/console/login", c.login)
	handle(http.MethodPost, "/console/act", c.act)
}

// secure sets the headers that keep pages from being framed or fed scripts.
func secure(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		h.Set("Cache-Control", "no-store")
		h.Set("Referrer-Policy", "same-origin")
		r.Body = http.MaxBytesReader(w, r.Body, 2*maxDocument)
		next(w, r)
	})
}

func render(w http.ResponseWriter, name string, status int, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_ = templates.ExecuteTemplate(w, name, data)
}

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	if !c.listener.isOperator(r.PostFormValue("key")) {
		render(w, "login.html", http.StatusUnauthorized, page{Message: "This key is not an operator's.", IsError: true})
		return
	}
	c.sessions.begin(w, c.listener.config.Entry.Now())
	http.Redirect(w, r, "/console", http.StatusSeeOther)
}

// signedIn returns the session of a request; without one it shows the sign-in.
func (c *console) signedIn(w http.ResponseWriter, r *http.Request) (session, bool) {
	found, ok := c.sessions.find(r, c.listener.config.Entry.Now())
	if !ok {
		render(w, "login.html", http.StatusUnauthorized, page{})
	}
	return found, ok
}

func (c *console) newPage(s session) page {
	return page{Token: s.token, Status: c.listener.currentStatus(), Scalars: scalars, Sections: sections}
}

func (c *console) show(w http.ResponseWriter, r *http.Request) {
	s, ok := c.signedIn(w, r)
	if !ok {
		return
	}
	p := c.newPage(s)
	current, revision := c.listener.config.Entry.Document()
	p.Revision = revision
	p.Message = r.URL.Query().Get("said")
	var err error
	if p.Fields, err = fieldsOf(current); err != nil {
		p.Message, p.IsError = err.Error(), true
	}
	render(w, "console.html", http.StatusOK, p)
}

// post works on the form: the button that was pressed says what to do.
func (c *console) post(w http.ResponseWriter, r *http.Request) {
	s, ok := c.posted(w, r)
	if !ok {
		return
	}
	p := c.newPage(s)
	p.Fields = fieldsFrom(r.PostForm)
	p.Revision, _ = strconv.ParseUint(r.PostFormValue("revision"), 10, 64)
	do, target, _ := strings.Cut(r.PostFormValue("do"), " ")
	switch do {
	case "add":
		p.Fields.add(target)
	case "remove":
		name, row, _ := strings.Cut(target, "/")
		number, _ := strconv.Atoi(row)
		p.Fields.remove(name, number)
	default:
		c.submit(r, &p, do)
	}
	render(w, "console.html", http.StatusOK, p)
}

// posted returns the session of a form that was posted from one of its pages.
func (c *console) posted(w http.ResponseWriter, r *http.Request) (session, bool) {
	s, ok := c.signedIn(w, r)
	if ok && !s.matches(r) {
		render(w, "login.html", http.StatusForbidden, page{Message: "This form did not come from the console. Please sign in again.", IsError: true})
		return s, false
	}
	return s, ok
}

// submit checks the document of the form, and applies it if that was asked for.
func (c *console) submit(r *http.Request, p *page, do string) {
	data, err := p.Fields.document()
	if err != nil {
		p.fail(err)
		return
	}
	p.JSON = string(data)
	parsed, err := c.listener.config.Entry.CheckDocument(data)
	if err != nil {
		p.fail(err)
		return
	}
	current, revision := c.listener.config.Entry.Document()
	p.Changes = document.Diff(current, parsed)
	p.Message = fmt.Sprintf("The document is valid and changes %d fields of revision %d.", len(p.Changes), revision)
	if do != "apply" {
		return
	}
	ctx, cancel := entry.WithWait(r.Context())
	defer cancel()
	applied, err := c.listener.config.Entry.Apply(ctx, p.Revision, data)
	if err != nil {
		p.fail(err)
		return
	}
	p.Revision = applied.Revision
	p.Changes = nil
	p.Message = fmt.Sprintf("Revision %d is %s.", applied.Revision, applied.State)
	if applied.State == entry.Pending {
		p.Message += " Not yet in force at " + strings.Join(applied.Missing, ", ") + "."
	}
}

func (p *page) fail(err error) {
	p.IsError = true
	var list *fault.ValidationError
	if errors.As(err, &list) {
		p.Faults = list.Faults
		p.Message = fmt.Sprintf("The document has %d faults. Nothing was changed.", len(list.Faults))
		return
	}
	p.Message = err.Error()
}

// act drains or returns an instance, or steers the waves.
func (c *console) act(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.posted(w, r); !ok {
		return
	}
	do, target, _ := strings.Cut(r.PostFormValue("do"), " ")
	if named := strings.TrimSpace(r.PostFormValue("instance")); target == "" && named != "" {
		target = named
	}
	e := c.listener.config.Entry
	var revision uint64
	var err error
	switch do {
	case "drain":
		revision, err = e.Drain(r.Context(), target)
	case "return":
		revision, err = e.Return(r.Context(), target)
	default:
		revision, err = e.Wave(r.Context(), do)
	}
	said := fmt.Sprintf("Done: %s %s, fleet revision %d.", do, target, revision)
	if err != nil {
		said = "Not done: " + err.Error()
	}
	http.Redirect(w, r, "/console?said="+template.URLQueryEscaper(said), http.StatusSeeOther)
}
