package processload

import (
	"math"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQuantile(t *testing.T) {
	Convey("A quantile is the lower bound of its bucket", t, func() {
		buckets := []float64{math.Inf(-1), 0, 0.001, 0.1, math.Inf(1)}
		So(quantile(buckets, []uint64{0, 98, 1, 1}, 0.5), ShouldEqual, 0)
		So(quantile(buckets, []uint64{0, 98, 1, 1}, 0.99), ShouldEqual, time.Millisecond)
		So(quantile(buckets, []uint64{0, 0, 0, 3}, 0.5), ShouldEqual, 100*time.Millisecond)
		So(quantile(buckets, []uint64{2, 0, 0, 0}, 0.5), ShouldEqual, 0)
		So(quantile(buckets, []uint64{0, 0, 0, 0}, 0.5), ShouldEqual, 0)
	})
}

func TestSamplesAreOfTheirPeriod(t *testing.T) {
	Convey("Garbage collection counts in the period in which it ran", t, func() {
		s := NewSampler()
		runtime.GC()
		first := s.Sample()
		So(first.GC, ShouldBeGreaterThan, 0)
		So(first.MemoryBytes, ShouldBeGreaterThan, 0)
		So(first.Goroutines, ShouldBeGreaterThan, 0)
		So(s.Sample().GC, ShouldBeLessThan, first.GC)
	})
}
