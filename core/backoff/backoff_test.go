package backoff

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// A negative count of failures made an instance panic in its decision loop.
func TestDelaysHaveAResultForAllArguments(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-2, 2), rapid.SampledFrom([]int64{math.MinInt64, math.MaxInt64}))
		base, limit := time.Duration(duration.Draw(rt, "base")), time.Duration(duration.Draw(rt, "limit"))
		failures := rapid.OneOf(rapid.Int(), rapid.IntRange(-2, 70)).Draw(rt, "failures")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		d := Exponential(base, limit, failures)
		if d < 0 || d > max(limit, 0) {
			rt.Fatalf("exponential delay %v of at most %v", d, limit)
		}
		if more := Exponential(base, limit, failures+1); failures < math.MaxInt && more < d {
			rt.Fatalf("delay %v after one more failure, %v before", more, d)
		}
		if j := Jittered(base, rng); j < 0 || j > max(base, 0) || j < base/2 {
			rt.Fatalf("jittered delay %v of %v", j, base)
		}
		if b := Below(limit, rng); b < 0 || b > 0 && b >= limit {
			rt.Fatalf("random delay %v below %v", b, limit)
		}
	})
}

func TestDelayDoublesWithEachFailure(t *testing.T) {
	Convey("The delay doubles up to its limit", t, func() {
		for failures, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			So(Exponential(100, 1000, failures), ShouldEqual, want)
		}
		So(Exponential(100, 50, 0), ShouldEqual, time.Duration(50))
	})
}
