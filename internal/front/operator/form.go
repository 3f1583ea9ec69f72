package operator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/internal/model/document"
)

// column is one field of the rows of a section of the form.
type column struct {
	Name  string
	Label string
	kind  columnKind
}

// columnKind says how the text of a field becomes JSON.
type columnKind int

const (
	textColumn columnKind = iota
	numberColumn
	boolColumn
	linesColumn
)

// IsBool returns whether the field is a check box.
func (c column) IsBool() bool { return c.kind == boolColumn }

// IsLines returns whether the field holds one value a line.
func (c column) IsLines() bool { return c.kind == linesColumn }

// section is a list of the document.
type section struct {
	Name    string
	Title   string
	Columns []column
}

// sections are the lists of the document, in the order of the form.
var sections = []section{
	{"pools", "Pools", []column{
		{"name", "Name", textColumn},
		{"least", "Least share in service, 0 to 1", numberColumn},
		{"racks", "Racks at once", numberColumn},
		{"floor", "Least instances", numberColumn},
	}},
	{"services", "Services", []column{
		{"name", "Name", textColumn},
		{"pool", "Pool", textColumn},
		{"longest", "Longest run", textColumn},
		{"stops", "Stops on a closed connection", boolColumn},
		{"open", "Open, charged to", textColumn},
		{"wait", "Longest wait", textColumn},
		{"depth", "Queue", numberColumn},
		{"body", "Largest body, bytes", numberColumn},
	}},
	{"teams", "Teams", []column{
		{"name", "Name", textColumn},
		{"share", "Share, %", numberColumn},
		{"limit", "Limit", numberColumn},
		{"keys", "Digests of keys, one a line", linesColumn},
	}},
}

// scalars are the fields of the document outside the lists.
var scalars = []column{
	{"grace", "Grace when isolated", textColumn},
	{"longest", "Longest run of any request", textColumn},
	{"spare", "Spare pool", textColumn},
}

// fields is the content of the form: texts by path, such as "pools/0/name".
type fields struct {
	texts url.Values
	rows  map[string]int
}

// fieldsOf returns the form of a document.
func fieldsOf(parsed document.Document) (f fields, err error) {
	defer fault.Annotate(&err, "filling the form")
	f = fields{texts: make(url.Values), rows: make(map[string]int)}
	data, err := json.Marshal(parsed)
	if err != nil {
		return f, err
	}
	var tree map[string]any
	if err = json.Unmarshal(data, &tree); err != nil {
		return f, err
	}
	for _, c := range scalars {
		f.set(c.Name, tree[c.Name])
	}
	for _, s := range sections {
		rows, _ := tree[s.Name].([]any)
		f.rows[s.Name] = len(rows)
		for i, row := range rows {
			object, _ := row.(map[string]any)
			for _, c := range s.Columns {
				f.set(fmt.Sprintf("%s/%d/%s", s.Name, i, c.Name), object[c.Name])
			}
		}
	}
	return f, nil
}

func (f fields) set(path string, value any) {
	switch v := value.(type) {
	case nil:
	case []any:
		lines := make([]string, len(v))
		for i, line := range v {
			lines[i] = fmt.Sprint(line)
		}
		f.texts.Set(path, strings.Join(lines, "\n"))
	case float64:
		f.texts.Set(path, strconv.FormatFloat(v, 'f', -1, 64))
	default:
		f.texts.Set(path, fmt.Sprint(v))
	}
}

// fieldsFrom returns the form as it was posted.
func fieldsFrom(posted url.Values) fields {
	f := fields{texts: posted, rows: make(map[string]int)}
	for _, s := range sections {
		rows, _ := strconv.Atoi(posted.Get("rows/" + s.Name))
		f.rows[s.Name] = min(max(rows, 0), maxRows)
	}
	return f
}

// maxRows bounds the rows of a section that a form may have.
const maxRows = 1000

// add adds an empty row, or with remove takes one out.
func (f fields) add(name string) { f.rows[name]++ }

func (f fields) remove(name string, row int) {
	for _, s := range sections {
		if s.Name != name {
			continue
		}
		for i := row; i < f.rows[name]-1; i++ {
			for _, c := range s.Columns {
				f.texts.Set(path(name, i, c), f.texts.Get(path(name, i+1, c)))
			}
		}
	}
	f.rows[name] = max(f.rows[name]-1, 0)
}

func path(section string, row int, c column) string {
	return fmt.Sprintf("%s/%d/%s", section, row, c.Name)
}

// document returns the JSON document that the form stands for. A number that is
// none stays text, so that the check names the field.
func (f fields) document() ([]byte, error) {
	tree := make(map[string]any)
	for _, c := range scalars {
		put(tree, c, f.texts.Get(c.Name))
	}
	for _, s := range sections {
		rows := make([]any, 0, f.rows[s.Name])
		for i := range f.rows[s.Name] {
			row := make(map[string]any)
			for _, c := range s.Columns {
				put(row, c, f.texts.Get(path(s.Name, i, c)))
			}
			rows = append(rows, row)
		}
		tree[s.Name] = rows
	}
	return json.MarshalIndent(tree, "", "  ")
}

func put(object map[string]any, c column, text string) {
	text = strings.TrimSpace(text)
	if text == "" {
		return
	}
	switch c.kind {
	case numberColumn:
		if number, err := strconv.ParseFloat(text, 64); err == nil {
			object[c.Name] = number
			return
		}
		object[c.Name] = text
	case boolColumn:
		object[c.Name] = text == "true" || text == "on"
	case linesColumn:
		object[c.Name] = strings.Fields(text)
	default:
		object[c.Name] = text
	}
}
