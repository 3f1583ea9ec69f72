package share

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPredictor(t *testing.T) {
	cases := map[string]func(p *Predictor){
		"a service without measurements does not count as quick": func(p *Predictor) {
			So(p.Predict(Kind{"team", "new"}), ShouldEqual, defaultRunTime)
		},
		"one measurement replaces the default": func(p *Predictor) {
			p.Learn(Kind{"team", "a"}, 20*time.Second)
			So(p.Predict(Kind{"team", "a"}).Seconds(), ShouldAlmostEqual, 20, 0.01)
			So(p.Predict(Kind{"team", "b"}), ShouldEqual, defaultRunTime)
		},
		"runs of other teams count until the team has enough of its own": func(p *Predictor) {
			for range 50 {
				p.Learn(Kind{"x", "a"}, 10*time.Second)
			}
			So(p.Predict(Kind{"y", "a"}).Seconds(), ShouldAlmostEqual, 10, 0.01)
			for range 50 {
				p.Learn(Kind{"y", "a"}, time.Second)
			}
			So(p.Predict(Kind{"y", "a"}).Seconds(), ShouldBeBetween, 1, 1.3)
		},
		"a lasting tenfold change is followed within 60 runs": func(p *Predictor) {
			for range 100 {
				p.Learn(Kind{"team", "a"}, time.Second)
			}
			for range 60 {
				p.Learn(Kind{"team", "a"}, 10*time.Second)
			}
			So(p.Predict(Kind{"team", "a"}).Seconds(), ShouldBeBetween, 8, 10)
		},
		"one very long run does not outweigh many short ones": func(p *Predictor) {
			for range 50 {
				p.Learn(Kind{"team", "a"}, 100*time.Millisecond)
			}
			p.Learn(Kind{"team", "a"}, time.Minute)
			So(p.Predict(Kind{"team", "a"}), ShouldBeLessThan, 200*time.Millisecond)
		},
		"scattered run times are averaged": func(p *Predictor) {
			rng := rand.New(rand.NewPCG(1, 1))
			for range 200 {
				p.Learn(Kind{"team", "a"}, time.Duration((0.2+1.8*rng.Float64())*float64(time.Second)))
			}
			So(p.Predict(Kind{"team", "a"}).Seconds(), ShouldBeBetween, 0.7, 1.3)
		},
	}
	for name, check := range cases {
		Convey("Case: "+name, t, func() { check(NewPredictor()) })
	}
}
