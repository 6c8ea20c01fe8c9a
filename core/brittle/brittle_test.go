package brittle

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestSharesAddUpToTheSlots(t *testing.T) {
	Convey("All instances together fill the slots of a target, and none gets two more than another", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			var instances []string
			for i := range rapid.IntRange(1, 400).Draw(rt, "instances") {
				instances = append(instances, fmt.Sprint("n", i))
			}
			slots := rapid.IntRange(1, 100).Draw(rt, "slots")
			sum, least, most := 0, slots, 0
			for _, name := range instances {
				share := SlotsOf(slots, "t", name, instances)
				sum, least, most = sum+share, min(least, share), max(most, share)
			}
			if sum != slots || most-least > 1 {
				rt.Fatalf("%d of %d slots, from %d to %d each", sum, slots, least, most)
			}
		})
	})
	Convey("An instance that callers are not directed to takes a share as if it were one more", t, func() {
		So(SlotsOf(10, "t", "n9", []string{"n1", "n2", "n3", "n4"}), ShouldEqual, 2)
	})
	Convey("A share follows the instances that send requests", t, func() {
		var s Share
		So(s.Slots(4, "t", "a", []string{"a", "b"}, 1), ShouldEqual, 2)
		So(s.Slots(4, "t", "a", []string{"a"}, 1), ShouldEqual, 2)
		So(s.Slots(4, "t", "a", []string{"a"}, 2), ShouldEqual, 4)
	})
}

func TestStatementCountsUntilItIsOld(t *testing.T) {
	Convey("A service is brittle from the first statement to some time after the last one", t, func() {
		s := Services{}
		So(s.Active(0, "s"), ShouldBeFalse)
		So(s.Noticed(0, "s"), ShouldBeTrue)
		So(s.Noticed(time.Second, "s"), ShouldBeFalse)
		So(s.Active(time.Second+statementTimeout-1, "s"), ShouldBeTrue)
		So(s.Active(time.Second+statementTimeout, "s"), ShouldBeFalse)
		So(s.Active(0, "other"), ShouldBeFalse)
	})
}
