package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCatalogueIsDocumented(t *testing.T) {
	Convey("Each event has a unique number and one row in docs/EVENTS.md with its level and text, and there are no other rows", t, func() {
		page, err := os.ReadFile("../../../docs/EVENTS.md")
		So(err, ShouldBeNil)
		rows := 0
		for line := range strings.Lines(string(page)) {
			if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
				rows++
			}
		}
		seen := make(map[int]bool)
		for _, e := range Catalogue() {
			So(seen[e.Number], ShouldBeFalse)
			seen[e.Number] = true
			So(string(page), ShouldContainSubstring, fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Text))
		}
		So(rows, ShouldEqual, len(seen))
	})
}
