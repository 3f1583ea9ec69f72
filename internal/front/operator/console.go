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
	"path":   fieldPath,
	"upTo":   indices,
	"faults": reasonsAt,
}).ParseFS(pages, "pages/*.html"))

// console serves the HTML pages of the operators' console. They use no scripts.
type console struct {
	listener *Listener
	sessions *sessions
}

// page is the data of the templates.
type page struct {
	Token    string
	Message  string
	IsError  bool
	Status   Status
	Revision uint64
	Form     form
	Scalars  []column
	Sections []section
	Faults   []fault.Fault
	Changes  []document.Change
	JSON     string
}

// Text returns the text of the field at a path such as "pools/0/name".
func (p page) Text(path string) string { return p.Form.values.Get(path) }

// Rows returns the number of rows of a section.
func (p page) Rows(name string) int { return p.Form.rowCounts[name] }

// indices returns the numbers from 0 to count-1, for loops in the templates.
func indices(count int) []int {
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// reasonsAt returns the reasons of the faults at path and at the paths below it.
func reasonsAt(faults []fault.Fault, path string) (reasons []string) {
	for _, f := range faults {
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
		l.router.Handler(method, path, protection.Handler(withSecurityHeaders(handler)))
	}
	handle(http.MethodGet, "/console", c.get)
	handle(http.MethodPost, "/console", c.post)
	handle(http.MethodPost, "/console/login", c.login)
	handle(http.MethodPost, "/console/act", c.act)
}

// withSecurityHeaders adds headers that forbid caching, framing and scripts. It also
// bounds request bodies at twice the maximum size of a document.
func withSecurityHeaders(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
		h.Set("Cache-Control", "no-store")
		h.Set("Referrer-Policy", "same-origin")
		r.Body = http.MaxBytesReader(w, r.Body, 2*maxDocumentBytes)
		handler(w, r)
	})
}

func render(w http.ResponseWriter, name string, status int, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_ = templates.ExecuteTemplate(w, name, data)
}

// maxLoginBytes is the maximum size of a sign-in form. Anyone may send one.
const maxLoginBytes = 4 << 10

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxLoginBytes)
	if r.ParseForm() != nil {
		render(w, "login.html", http.StatusRequestEntityTooLarge, page{Message: "The form is too large or did not arrive whole.", IsError: true})
		return
	}
	if !c.listener.isOperator(r.PostFormValue("key")) {
		render(w, "login.html", http.StatusUnauthorized, page{Message: "This key is not an operator's.", IsError: true})
		return
	}
	c.sessions.create(w, c.listener.config.Entry.Now())
	http.Redirect(w, r, "/console", http.StatusSeeOther)
}

// requireSession returns the session of a request. Without one it responds with the
// sign-in page and returns false.
func (c *console) requireSession(w http.ResponseWriter, r *http.Request) (session, bool) {
	s, ok := c.sessions.find(r, c.listener.config.Entry.Now())
	if !ok {
		render(w, "login.html", http.StatusUnauthorized, page{})
	}
	return s, ok
}

func (c *console) newPage(s session) page {
	return page{Token: s.token, Status: c.listener.currentStatus(), Scalars: scalars, Sections: sections}
}

func (c *console) get(w http.ResponseWriter, r *http.Request) {
	s, ok := c.requireSession(w, r)
	if !ok {
		return
	}
	p := c.newPage(s)
	current, revision := c.listener.config.Entry.Document()
	p.Revision = revision
	p.Message = r.URL.Query().Get("said")
	var err error
	if p.Form, err = formFromDocument(current); err != nil {
		p.Message, p.IsError = err.Error(), true
	}
	render(w, "console.html", http.StatusOK, p)
}

// post handles the document form. The value of the pressed button selects the action:
// to add or remove a row, or to check or apply the document.
func (c *console) post(w http.ResponseWriter, r *http.Request) {
	s, ok := c.requireToken(w, r)
	if !ok {
		return
	}
	p := c.newPage(s)
	p.Form = formFromRequest(r.PostForm)
	p.Revision, _ = strconv.ParseUint(r.PostFormValue("revision"), 10, 64)
	action, target, _ := strings.Cut(r.PostFormValue("do"), " ")
	switch action {
	case "add":
		p.Form.addRow(target)
	case "remove":
		name, row, _ := strings.Cut(target, "/")
		if number, err := strconv.Atoi(row); err == nil {
			p.Form.removeRow(name, number)
		}
	default:
		c.submit(r, &p, action)
	}
	render(w, "console.html", http.StatusOK, p)
}

// requireToken returns the session of a posted form. If the form does not carry the token
// of the session, it responds with the sign-in page and returns false.
func (c *console) requireToken(w http.ResponseWriter, r *http.Request) (session, bool) {
	s, ok := c.requireSession(w, r)
	if ok && !s.hasToken(r) {
		render(w, "login.html", http.StatusForbidden, page{Message: "This form did not come from the console. Please sign in again.", IsError: true})
		return s, false
	}
	return s, ok
}

// submit checks the document of the form, and applies it if action is "apply". The
// result is stored in p.
func (c *console) submit(r *http.Request, p *page, action string) {
	data, err := p.Form.document()
	if err != nil {
		p.setError(err)
		return
	}
	p.JSON = string(data)
	parsed, err := c.listener.config.Entry.CheckDocument(data)
	if err != nil {
		p.setError(err)
		return
	}
	current, revision := c.listener.config.Entry.Document()
	p.Changes = document.Diff(current, parsed)
	p.Message = fmt.Sprintf("The document is valid and changes %d fields of revision %d.", len(p.Changes), revision)
	if action != "apply" {
		return
	}
	ctx, cancel := entry.WithApplyTimeout(r.Context())
	defer cancel()
	applied, err := c.listener.config.Entry.Apply(ctx, p.Revision, data)
	if err != nil {
		p.setError(err)
		return
	}
	p.Revision = applied.Revision
	p.Changes = nil
	p.Message = fmt.Sprintf("Revision %d is %s.", applied.Revision, applied.State)
	if applied.State == entry.Pending {
		p.Message += " Not yet in force at " + strings.Join(applied.Behind, ", ") + "."
	}
}

// setError shows an error on the page, with the faults if the document has any.
func (p *page) setError(err error) {
	p.IsError = true
	var validationErr *fault.ValidationError
	if errors.As(err, &validationErr) {
		p.Faults = validationErr.Faults
		p.Message = fmt.Sprintf("The document has %d faults. Nothing was changed.", len(validationErr.Faults))
		return
	}
	p.Message = err.Error()
}

// act drains or returns an instance, or starts, pauses or resumes maintenance, and
// redirects to the console, which shows the result.
func (c *console) act(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.requireToken(w, r); !ok {
		return
	}
	action, target, _ := strings.Cut(r.PostFormValue("do"), " ")
	if instance := strings.TrimSpace(r.PostFormValue("instance")); target == "" && instance != "" {
		target = instance
	}
	e := c.listener.config.Entry
	var revision uint64
	var err error
	switch action {
	case "drain":
		revision, err = e.Drain(r.Context(), target)
	case "return":
		revision, err = e.Return(r.Context(), target)
	default:
		revision, err = e.ControlWaves(r.Context(), action)
	}
	message := fmt.Sprintf("Done: %s %s, fleet revision %d.", action, target, revision)
	if err != nil {
		message = "Not done: " + err.Error()
	}
	http.Redirect(w, r, "/console?said="+template.URLQueryEscaper(message), http.StatusSeeOther)
}
