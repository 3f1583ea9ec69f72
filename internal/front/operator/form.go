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

// column describes one field of each row of a section.
type column struct {
	// Name is the JSON key of the field.
	Name  string
	Label string
	kind  columnKind
}

// columnKind is the way in which the text of a field is converted to JSON.
type columnKind int

const (
	textColumn columnKind = iota
	numberColumn
	boolColumn
	linesColumn
)

// IsBool reports whether the field is shown as a check box.
func (c column) IsBool() bool { return c.kind == boolColumn }

// IsLines reports whether the field is a list, shown with one value per line.
func (c column) IsLines() bool { return c.kind == linesColumn }

// section describes the form of one list of the document.
type section struct {
	Name    string
	Title   string
	Columns []column
}

// sections are the forms of the lists of the document, in the order of display.
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

// scalars are the fields of the document outside its lists.
var scalars = []column{
	{"grace", "Grace when isolated", textColumn},
	{"longest", "Longest run of any request", textColumn},
	{"spare", "Spare pool", textColumn},
}

// form is the content of the document form.
type form struct {
	// values are the texts of the fields by path, such as "pools/0/name".
	values url.Values
	// rowCounts are the numbers of rows by section.
	rowCounts map[string]int
}

// formFromDocument returns the form with the content of a document.
func formFromDocument(parsed document.Document) (f form, err error) {
	defer fault.Annotate(&err, "filling the form")
	f = form{values: make(url.Values), rowCounts: make(map[string]int)}
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
		f.rowCounts[s.Name] = len(rows)
		for i, row := range rows {
			object, _ := row.(map[string]any)
			for _, c := range s.Columns {
				f.set(fmt.Sprintf("%s/%d/%s", s.Name, i, c.Name), object[c.Name])
			}
		}
	}
	return f, nil
}

// set stores the text of a JSON value at a path; lists become one line per value.
func (f form) set(path string, value any) {
	switch v := value.(type) {
	case nil:
	case []any:
		lines := make([]string, len(v))
		for i, line := range v {
			lines[i] = fmt.Sprint(line)
		}
		f.values.Set(path, strings.Join(lines, "\n"))
	case float64:
		f.values.Set(path, strconv.FormatFloat(v, 'f', -1, 64))
	default:
		f.values.Set(path, fmt.Sprint(v))
	}
}

// formFromRequest returns the form with the posted values. The form takes ownership of
// posted.
func formFromRequest(posted url.Values) form {
	f := form{values: posted, rowCounts: make(map[string]int)}
	for _, s := range sections {
		rows, _ := strconv.Atoi(posted.Get("rows/" + s.Name))
		f.rowCounts[s.Name] = min(max(rows, 0), maxRows)
	}
	return f
}

// maxRows is the maximum number of rows in a section of a posted form.
const maxRows = 1000

// addRow adds an empty row to the end of a section.
func (f form) addRow(name string) { f.rowCounts[name]++ }

// removeRow removes a row from a section and moves the rows after it up. A row that the
// section does not have changes nothing.
func (f form) removeRow(name string, row int) {
	if row < 0 || row >= f.rowCounts[name] {
		return
	}
	for _, s := range sections {
		if s.Name != name {
			continue
		}
		for i := row; i < f.rowCounts[name]-1; i++ {
			for _, c := range s.Columns {
				f.values.Set(fieldPath(name, i, c), f.values.Get(fieldPath(name, i+1, c)))
			}
		}
	}
	f.rowCounts[name]--
}

func fieldPath(section string, row int, c column) string {
	return fmt.Sprintf("%s/%d/%s", section, row, c.Name)
}

// document returns the content of the form as a JSON document. An invalid number is
// kept as a string, so that the check of the document reports its field.
func (f form) document() ([]byte, error) {
	tree := make(map[string]any)
	for _, c := range scalars {
		setField(tree, c, f.values.Get(c.Name))
	}
	for _, s := range sections {
		rows := make([]any, 0, f.rowCounts[s.Name])
		for i := range f.rowCounts[s.Name] {
			row := make(map[string]any)
			for _, c := range s.Columns {
				setField(row, c, f.values.Get(fieldPath(s.Name, i, c)))
			}
			rows = append(rows, row)
		}
		tree[s.Name] = rows
	}
	return json.MarshalIndent(tree, "", "  ")
}

// setField converts the text of a field and stores it in a JSON object. Empty fields
// are left out.
func setField(object map[string]any, c column, text string) {
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
