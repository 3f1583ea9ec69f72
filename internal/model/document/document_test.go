package document

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
)

func TestFaultsAreAllFoundWithTheirPaths(t *testing.T) {
	digest := Digest("key")
	cases := map[string]struct {
		text  string
		paths []string
	}{
		"invalid JSON":        {`{"pools": [`, []string{""}},
		"an array":            {`[]`, []string{""}},
		"missing lists":       {`{}`, []string{""}},
		"an unknown field":    {`{"pools": [], "services": [], "teams": [], "extra": 1}`, []string{""}},
		"an unknown pool":     {`{"pools": [], "services": [{"name": "s", "pool": "p"}], "teams": []}`, []string{"/services/0/pool"}},
		"an unknown team":     {`{"pools": [{"name": "p"}], "services": [{"name": "s", "pool": "p", "open": "t"}], "teams": []}`, []string{"/services/0/open"}},
		"an unknown spare":    {`{"spare": "x", "pools": [], "services": [], "teams": []}`, []string{"/spare"}},
		"a bad name":          {`{"pools": [{"name": "No Good"}], "services": [], "teams": []}`, []string{"/pools/0/name"}},
		"a bad duration":      {`{"grace": "soon", "pools": [], "services": [], "teams": []}`, []string{"/grace"}},
		"a duplicate name":    {`{"pools": [{"name": "p"}, {"name": "p"}], "services": [], "teams": []}`, []string{"/pools/1/name"}},
		"shares above 100 %":  {`{"pools": [], "services": [], "teams": [{"name": "a", "share": 60, "limit": 1}, {"name": "b", "share": 41, "limit": 1}]}`, []string{"/teams"}},
		"a key of two teams":  {`{"pools": [], "services": [], "teams": [{"name": "a", "share": 1, "limit": 1, "keys": ["` + digest + `"]}, {"name": "b", "share": 1, "limit": 1, "keys": ["` + digest + `"]}]}`, []string{"/teams/1/keys/0"}},
		"a run time too long": {`{"longest": "2h", "pools": [], "services": [], "teams": []}`, []string{"/longest"}},
		"faults of the schema and of references at the same time": {
			`{"pools": [{"name": "p", "least": 2}], "services": [{"name": "s", "pool": "gone"}], "teams": [{"name": "a", "share": 1, "limit": "x"}]}`,
			[]string{"/pools/0/least", "/services/0/pool", "/teams/0/limit"},
		},
	}
	for name, c := range cases {
		Convey("Case: "+name, t, func() {
			_, err := Parse([]byte(c.text))
			var list *fault.ValidationError
			So(errors.As(err, &list), ShouldBeTrue)
			var paths []string
			for _, f := range list.Faults {
				So(f.Reason, ShouldNotBeEmpty)
				paths = append(paths, f.Path)
			}
			for _, path := range c.paths {
				So(paths, ShouldContain, path)
			}
			So(len(paths), ShouldEqual, len(c.paths))
		})
	}
}

func TestConfig(t *testing.T) {
	Convey("A config carries the limits that may still be in force", t, func() {
		parsed, err := Parse([]byte(`{"pools": [], "services": [], "teams": [{"name": "a", "share": 1, "limit": 3}]}`))
		So(err, ShouldBeNil)
		first, err := NewConfig(0, nil, parsed)
		So(err, ShouldBeNil)
		parsed.Teams[0].Limit = 5
		second, err := NewConfig(1, first.History, parsed)
		So(err, ShouldBeNil)
		So(second.Revision, ShouldEqual, 2)
		So(second.History[0].Units["a"], ShouldEqual, 3)
		So(second.History[1].Units["a"], ShouldEqual, 5)
		So(second.ID, ShouldNotEqual, first.ID)
	})
	Convey("Changes have paths, in which list elements are named", t, func() {
		before := Document{Teams: []Team{{Name: "a", Share: 1, Limit: 3}, {Name: "b", Share: 1, Limit: 1}}}
		after := Document{Teams: []Team{{Name: "b", Share: 1, Limit: 1}, {Name: "a", Share: 1, Limit: 4}}}
		So(Diff(before, after), ShouldResemble, []Change{{Path: "/teams/a/limit", Before: "3", After: "4"}})
	})
}

func TestAuthenticate(t *testing.T) {
	Convey("A valid key identifies its team, any other key none", t, func() {
		index := NewIndex(1, Document{Teams: []Team{{Name: "a", KeyDigests: []string{Digest("one"), Digest("two")}}, {Name: "b", KeyDigests: []string{Digest("three")}}}})
		So(index.Authenticate("two").Name, ShouldEqual, "a")
		So(index.Authenticate("three").Name, ShouldEqual, "b")
		for _, key := range []string{"", "four", Digest("one")} {
			So(index.Authenticate(key), ShouldBeNil)
		}
	})
}
