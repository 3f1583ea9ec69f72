package submitter

import (
	"bytes"
	"encoding/json"
	"reflect"
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/jobs"
)

// largestBody is a usual limit for a body.
const largestBody = 262144

// repeated returns prefix, as many times unit as fit into largestBody, and suffix.
func repeated(prefix, unit, suffix string) string {
	return prefix + strings.Repeat(unit, (largestBody-len(prefix)-len(suffix))/len(unit)) + suffix
}

// allocatedBytes returns how many bytes f allocates, the least of several calls.
func allocatedBytes(f func()) uint64 {
	least := ^uint64(0)
	for range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		least = min(least, after.TotalAlloc-before.TotalAlloc)
	}
	return least
}

// TestDecodeJobMemory guards against issue 55: a body of legal size was decoded into more than 50 times its size.
func TestDecodeJobMemory(t *testing.T) {
	const factor = 32
	Convey("All that is allocated for a body is at most 32 times its size", t, func() {
		for name, body := range map[string]string{
			"empty steps":            repeated(`{"steps":[`, `{},`, `{}]}`),
			"repeated steps":         repeated(`{`, `"steps":[{},{}],"steps":[],`, `"steps":[]}`),
			"one long after":         repeated(`{"steps":[{"n":1},{"n":1,"after":[`, `0,`, `0]}]}`),
			"after with a text":      repeated(`{"steps":[{"after":["`, `,`, `"]}]}`),
			"repeated after":         repeated(`{"steps":[{`, `"after":[0],`, `"n":1}]}`),
			"deep objects":           repeated(`{"a":`, `{"a":`, ``),
			"unknown fields":         repeated(`{`, `"a":0,`, `"b":0}`),
			"long name":              repeated(`{"`, `a`, `":0}`),
			"long invalid name":      repeated(`{"`, "\xff", `":0}`),
			"long spec":              repeated(`{"spec":"`, `a`, `"}`),
			"long invalid image":     repeated(`{"steps":[{"image":"`, "\xff", `"}]}`),
			"long time":              repeated(`{"first":"`, "\xff", `"}`),
			"repeated time":          repeated(`{`, `"first":"2026-01-01T00:00:00Z",`, `"times":1}`),
			"huge number":            repeated(`{"times":`, `9`, `}`),
			"numbers as texts":       repeated(`{"steps":[{`, `"n":"",`, `"n":1}]}`),
			"fractions":              repeated(`{"steps":[{`, `"n":1e1,`, `"n":1}]}`),
			"data after a small job": repeated(`{"steps":[{"n":1}]}`, `{},`, ``),
		} {
			Convey(name, func() {
				var err error
				data := []byte(body)
				bytes := allocatedBytes(func() { _, err = decodeJob(data) })
				if testing.Verbose() {
					t.Logf("%s: %d bytes, %.1f times", name, bytes, float64(bytes)/float64(len(body)))
				}
				So(bytes, ShouldBeLessThanOrEqualTo, factor*len(body))
				if err != nil {
					So(len(err.Error()), ShouldBeLessThan, 500)
				}
			})
		}
	})
}

func TestDecodeJob(t *testing.T) {
	steps := func(count int) string { return strings.Repeat(`{"n":1},`, count-1) + `{"n":1}` }
	Convey("A body is refused at the limits of a job, and if it has unknown fields", t, func() {
		for name, c := range map[string]struct{ body, want string }{
			"1,000 steps":         {`{"steps":[` + steps(1000) + `]}`, ""},
			"1,001 steps":         {`{"steps":[` + steps(1001) + `]}`, "there are more than 1000 steps"},
			"spec of 4,001 bytes": {`{"spec":"` + strings.Repeat(`\u0061`, 4001) + `","steps":[{"n":1}]}`, "the spec is longer than 4000 bytes"},
			"unknown field":       {`{"spek":"a"}`, `the body is not a job: json: unknown field "spek"`},
			"unknown step field":  {`{"steps":[{"count":1}]}`, `the body is not a job: json: unknown field "count"`},
			"data after the job":  {`{"steps":[{"n":1}]}{`, ""},
		} {
			Convey(name, func() {
				_, err := decodeJob([]byte(c.body))
				if c.want == "" {
					So(err, ShouldBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldEqual, c.want)
			})
		}
	})
}

// FuzzDecodeJob compares decodeJob with decoding the whole body at once.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"spec":"x","first":"2026-01-01T00:00:00Z","every":7,"times":2,"steps":[{"n":4,"each":{"cpu":500,"mem":256,"gpu":1},"est":900,"near":"r1",
			"apart":2,"gang":true,"tight":true,"label":"a","twice":true},{"n":1,"after":[0, 0],"save":true,"lasts":true,"image":"i","target":20,"fills":true,"away":1}]}`,
		`{"steps":[{"n":1},{"n":2,"after":[0]},{"n":3,"after":[0,1]}],"steps":[{"est":1},{"after":[null]},{"after":[null,null,null]}]}`,
		`{"steps":[{"n":1},{"n":2}],"steps":[{"n":1}],"STEPS":[{},{}]}`, `{"steps":[{"n":1}],"steps":null}`, `{"id":"a","queue":"b","path":"c","account":"d","steps":[]}`,
		`{"steps":[{"n":1}]} trailing`, `{"steps":[{"n":1,"m":1}]}`, `{"steps":[{"n":1,"after":[1.0]}]}`, `null`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) > 2*jobs.MaxSteps {
			return // A shorter body cannot exceed a limit of LimitBody.
		}
		var want jobs.Job
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		wantErr := decoder.Decode(&want)
		job, err := decodeJob(body)
		switch {
		case (wantErr == nil) != (err == nil):
			t.Fatalf("error before: %v, now: %v", wantErr, err)
		case err == nil && !reflect.DeepEqual(job, want):
			t.Fatalf("decoded %+v, before %+v", job, want)
		}
	})
}
