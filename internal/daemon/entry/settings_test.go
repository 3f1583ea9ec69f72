package entry

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLimitsInSettings(t *testing.T) {
	cases := map[string]struct {
		fields  string
		isValid bool
	}{
		"none":                      {``, true},
		"memory and descriptors":    {`, "memory": 284, "descriptors": 4100`, true},
		"no memory":                 {`, "memory": 0`, false},
		"memory that is negative":   {`, "memory": -1`, false},
		"descriptors, negative":     {`, "descriptors": -1`, false},
		"fewer than a few":          {`, "descriptors": 15`, false},
		"memory that is no integer": {`, "memory": "284"`, false},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			s, err := ParseSettings([]byte(fmt.Sprintf(`{
				"name": "entry-1", "centre": "east", "caller": "127.0.0.1:1", "operator": "127.0.0.1:2", "peer": "127.0.0.1:3",
				"platform": ["127.0.0.1:4"], "list": "127.0.0.1:5", "operators": ["%064d"]%s
			}`, 0, c.fields)))
			So(err == nil, ShouldEqual, c.isValid)
			if c.isValid {
				So(s.limits().Connections, ShouldBeGreaterThan, 0)
			}
		})
	}
}
