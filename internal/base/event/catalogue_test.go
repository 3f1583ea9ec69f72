package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCatalogueIsDocumented(t *testing.T) {
	Convey("Every event has its row in docs/EVENTS.md, with its level and text, and no row is left over", t, func() {
		text, err := os.ReadFile("../../../docs/EVENTS.md")
		So(err, ShouldBeNil)
		rows := 0
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
				rows++
			}
		}
		seen := make(map[int]bool)
		for _, e := range Catalogue() {
			So(seen[e.Number], ShouldBeFalse)
			seen[e.Number] = true
			So(string(text), ShouldContainSubstring, fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Text))
		}
		So(rows, ShouldEqual, len(seen))
	})
}
