package operator

import (
	"net/url"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRemoveRow(t *testing.T) {
	newForm := func() form {
		return formFromRequest(url.Values{
			"rows/pools": {"2"}, "pools/0/name": {"first"}, "pools/1/name": {"second"},
		})
	}
	Convey("Only a row that the section has is removed, and others change nothing", t, func() {
		for name, c := range map[string]struct {
			section string
			row     int
			want    []string
		}{
			"the first row":    {"pools", 0, []string{"second"}},
			"the last row":     {"pools", 1, []string{"first"}},
			"after the last":   {"pools", 2, []string{"first", "second"}},
			"a negative row":   {"pools", -1 << 30, []string{"first", "second"}},
			"an empty section": {"teams", 0, []string{"first", "second"}},
			"no such section":  {"nothing", 0, []string{"first", "second"}},
		} {
			f := newForm()
			f.removeRow(c.section, c.row)
			var names []string
			for i := range f.rowCounts["pools"] {
				names = append(names, f.values.Get(fieldPath("pools", i, column{Name: "name"})))
			}
			SoMsg(name, names, ShouldResemble, c.want)
			SoMsg(name, f.rowCounts["teams"], ShouldEqual, 0)
			SoMsg(name, len(f.values), ShouldBeLessThan, 20)
		}
	})
}
