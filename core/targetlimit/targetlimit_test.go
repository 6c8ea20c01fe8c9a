package targetlimit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const window = 4 * time.Second

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	Convey("Owners together send at most what a target takes and an allowance of five requests", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			limit := rapid.Float64Range(0, 1000).Draw(rt, "limit")
			instances := names(rapid.IntRange(1, 400).Draw(rt, "instances"))
			sum, owners := 0.0, 0
			for _, name := range instances {
				s := ShareOf(limit, "t", name, instances)
				if s == (Share{}) {
					continue
				}
				owners++
				if s.Burst < 1 {
					rt.Fatalf("burst %g", s.Burst)
				}
				sum += s.PerSecond*window.Seconds() + s.Burst
			}
			if allowed := 1.5*limit*window.Seconds() + 5; owners == 0 || sum > allowed {
				rt.Fatalf("%d owners send %g, %g are allowed", owners, sum, allowed)
			}
		})
	})
	Convey("An instance that is not in the list has no share", t, func() {
		So(ShareOf(10, "t", "other", names(3)), ShouldResemble, Share{})
		So(ShareOf(10, "t", "other", nil), ShouldResemble, Share{})
	})
	Convey("One instance more in the list changes few owners", t, func() {
		changed := 0
		for _, name := range names(100) {
			if (ShareOf(2.3, "t", name, names(100)) == Share{}) != (ShareOf(2.3, "t", name, names(101)) == Share{}) {
				changed++
			}
		}
		So(changed, ShouldBeLessThanOrEqualTo, 1)
	})
}

func TestBucketKeepsItsRate(t *testing.T) {
	Convey("A bucket allows no more than its rate and burst in any window", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			share := Share{PerSecond: rapid.Float64Range(0.1, 50).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 5).Draw(rt, "burst")}
			var b Bucket
			b.Set(time.Second, share)
			if b.Allows(time.Second) {
				rt.Fatal("a new share starts full")
			}
			now, count := time.Second, 0
			steps := rapid.SliceOfN(rapid.IntRange(1, 500), 10, 200).Draw(rt, "milliseconds")
			for _, step := range steps {
				now += time.Duration(step) * time.Millisecond
				if b.Allows(now) {
					b.Take(now)
					count++
				}
			}
			if limit := share.PerSecond*(now-time.Second).Seconds() + share.Burst; float64(count) > limit {
				rt.Fatalf("%d requests, at most %g", count, limit)
			}
		})
	})
	Convey("A bucket whose share ends allows nothing, and a new share starts empty", t, func() {
		var b Bucket
		b.Set(0, Share{PerSecond: 10, Burst: 2})
		So(b.Allows(time.Second), ShouldBeTrue)
		b.Set(time.Second, Share{})
		So(b.Allows(time.Hour), ShouldBeFalse)
		b.Set(time.Hour, Share{PerSecond: 1, Burst: 2})
		So(b.Allows(time.Hour), ShouldBeFalse)
		So(b.Allows(time.Hour+time.Second), ShouldBeTrue)
	})
}
