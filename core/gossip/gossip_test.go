package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
)

// none is that no instance is silent.
func none(string) bool { return false }

func TestSilentInstancesInARowAreMonitoredByTheNextThatRun(t *testing.T) {
	Convey("However many neighbours in a ring are silent, the next ones that run monitor all of them", t, func() {
		ring := NewRing("n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8")
		for count := range len(ring) - MonitorCount {
			lost := ring[1 : 1+count]
			silent := func(name string) bool { return slices.Contains(lost, name) }
			for _, name := range lost {
				for _, monitor := range ring[1+count : 1+count+MonitorCount] {
					So(ring.MonitoredBy(monitor, silent), ShouldContain, name)
					So(ring.MonitorsOf(name, silent), ShouldContain, monitor)
				}
			}
		}
	})
}

func TestEachInstanceIsMonitoredByTheNextOnes(t *testing.T) {
	Convey("In rings of all sizes an instance monitors exactly those that it is a monitor of", t, func() {
		for size := 1; size <= 20; size++ {
			var names []string
			for i := range size {
				names = append(names, fmt.Sprint("n", i))
			}
			ring := NewRing(names...)
			for _, name := range names {
				So(ring.MonitorsOf(name, none), ShouldHaveLength, min(MonitorCount, size-1))
				for _, other := range names {
					So(slices.Contains(ring.MonitorsOf(name, none), other), ShouldEqual, slices.Contains(ring.MonitoredBy(other, none), name))
				}
			}
		}
	})
}

func TestFactsSentLeastGoFirst(t *testing.T) {
	Convey("Given more facts than a heartbeat carries", t, func() {
		facts := Facts{}
		for i := range 2 * maxFacts {
			_, isNew := facts.Record(time.Second, Key{event.FactLeaving, fmt.Sprint("t", i), ""}, time.Second)
			So(isNew, ShouldBeTrue)
		}
		Convey("two heartbeats carry all of them", func() {
			seen := map[string]bool{}
			for range 2 {
				for _, f := range facts.Next(time.Second) {
					seen[f.Name] = true
				}
			}
			So(seen, ShouldHaveLength, 2*maxFacts)
		})
		Convey("a later confirmation is no news, an earlier one is ignored", func() {
			fact, isNew := facts.Record(2*time.Second, Key{event.FactLeaving, "t0", ""}, 2*time.Second)
			So(fact.Confirmed, ShouldEqual, 2*time.Second)
			So(isNew, ShouldBeFalse)
			fact, _ = facts.Record(2*time.Second, Key{event.FactLeaving, "t0", ""}, time.Second)
			So(fact, ShouldBeNil)
		})
		Convey("old facts are dropped", func() {
			So(facts.Next(time.Second+FactTimeout), ShouldBeEmpty)
			So(facts, ShouldBeEmpty)
		})
	})
}
