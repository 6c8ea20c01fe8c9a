package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPartitionIsToldFromLostTargets(t *testing.T) {
	Convey("Given a service of ten targets that answer", t, func() {
		tracker, now := NewTracker(), 10*time.Second
		tracker.Contact(now, "s")
		lose := func(count int) {
			for i := range count {
				tracker.Loss(now, "s", fmt.Sprint("t", i), 10)
			}
		}
		Convey("targets that are lost at once while others answer are no partition", func() {
			lose(5)
			So(tracker.Unreached("s"), ShouldBeFalse)
			now += 10 * time.Millisecond
			tracker.Contact(now, "s")
			now += time.Second
			tracker.Update(now)
			So(tracker.Unreached("s"), ShouldBeFalse)
		})
		Convey("three lost targets and no sign of life are one, until a target answers", func() {
			lose(2)
			now += time.Second
			So(tracker.Update(now), ShouldBeEmpty)
			lose(3)
			So(tracker.Unreached("s"), ShouldBeTrue)
			So(tracker.Update(now), ShouldResemble, []string{"s"})
			So(tracker.Services(), ShouldResemble, []string{"s"})
			now += time.Minute
			So(tracker.Update(now), ShouldBeEmpty)
			So(tracker.Unreached("s"), ShouldBeTrue)
			tracker.Contact(now, "s")
			So(tracker.Unreached("s"), ShouldBeFalse)
			So(tracker.Update(now), ShouldResemble, []string{"s"})
			So(tracker.ProbesDue(now), ShouldBeEmpty)
		})
		Convey("one target lost again and again is none", func() {
			for range 20 {
				now += 100 * time.Millisecond
				lose(1)
				So(tracker.Unreached("s"), ShouldBeFalse)
			}
		})
		Convey("old losses don't count", func() {
			lose(2)
			now += lossTimeout
			tracker.Loss(now, "s", "t9", 10)
			So(tracker.Unreached("s"), ShouldBeFalse)
		})
		Convey("a loss has the other targets probed", func() {
			lose(1)
			So(tracker.ProbesDue(now), ShouldResemble, []string{"s"})
			So(tracker.ProbesDue(now), ShouldBeEmpty)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 50 {
				So(tracker.ChooseProbe("s", []string{"t0", "t5"}, rng), ShouldEqual, 1)
			}
			So(tracker.ChooseProbe("s", []string{"t0"}, rng), ShouldEqual, 0)
		})
	})
	Convey("A service with one target is unreached once that is lost", t, func() {
		tracker := NewTracker()
		tracker.Loss(time.Second, "s", "t", 1)
		So(tracker.Unreached("s"), ShouldBeTrue)
	})
}

func TestHandOversSpreadOverPeers(t *testing.T) {
	Convey("The busiest of three peers gets the fewest requests, and each gets some", t, func() {
		rng := rand.New(rand.NewPCG(1, 2))
		peers := []Peer{{"a", 10}, {"b", 50}, {"c", 90}}
		got := map[string]int{}
		for range 900 {
			got[ChoosePeer(peers, rng)]++
		}
		So(got["c"], ShouldBeBetween, 50, got["b"])
		So(got["b"], ShouldBeLessThan, got["a"])
		So(ChoosePeer(nil, rng), ShouldBeEmpty)
	})
}
