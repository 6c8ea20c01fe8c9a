package outdated

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
)

func TestTracker(t *testing.T) {
	Convey("An instance with generation 5 in force", t, func() {
		var o Tracker
		o.PutInForce(5)
		_, behind := o.Behind()
		So(behind, ShouldBeFalse)
		So(o.Heard(time.Second, "a", 5), ShouldBeFalse)
		Convey("is behind from the first report of a newer generation until that is in force", func() {
			So(o.Heard(time.Second, "a", 6), ShouldBeTrue)
			So(o.Heard(2*time.Second, "b", 9), ShouldBeFalse)
			So(o.Heard(3*time.Second, "c", 6), ShouldBeFalse)
			So(o.Highest(), ShouldEqual, 9)
			since, behind := o.Behind()
			So(behind, ShouldBeTrue)
			So(since, ShouldEqual, time.Second)
			o.PutInForce(6)
			since, behind = o.Behind()
			So(behind, ShouldBeTrue)
			So(since, ShouldEqual, 2*time.Second)
			o.PutInForce(10)
			_, behind = o.Behind()
			So(behind, ShouldBeFalse)
			So(o.Highest(), ShouldEqual, 10)
		})
		Convey("asks the last peer that reported a newer one, not at once and not too often", func() {
			o.Heard(time.Second, "a", 6)
			o.Heard(time.Second, "b", 6)
			_, due := o.FetchDue(time.Second, 200*time.Millisecond)
			So(due, ShouldBeFalse)
			peer, due := o.FetchDue(1200*time.Millisecond, 200*time.Millisecond)
			So(due, ShouldBeTrue)
			So(peer, ShouldEqual, "b")
			_, due = o.FetchDue(1300*time.Millisecond, 200*time.Millisecond)
			So(due, ShouldBeFalse)
			_, due = o.FetchDue(1200*time.Millisecond+fetchPeriod, 200*time.Millisecond)
			So(due, ShouldBeTrue)
		})
		Convey("remembers a bounded number of generations, and the highest of all", func() {
			for g := range uint64(10 * maxNewer) {
				o.Heard(time.Duration(g), "a", 6+g)
			}
			So(len(o.newer), ShouldEqual, maxNewer)
			So(o.Highest(), ShouldEqual, 5+10*maxNewer)
		})
		Convey("is overdue after half of the time in which a configuration must be in force", func() {
			const bound = 3 * time.Second
			gone := map[string]bool{}
			live := func(peer string) bool { return !gone[peer] }
			o.Standing(0, bound, live)
			o.Heard(time.Second, "a", 6)
			s, changed := o.Standing(time.Second, bound, live)
			So(changed, ShouldBeTrue)
			So(s, ShouldResemble, event.ConfigStanding{Behind: true, Since: time.Second, Highest: 6})
			_, changed = o.Standing(2*time.Second, bound, live)
			So(changed, ShouldBeFalse)
			s, changed = o.Standing(2500*time.Millisecond, bound, live)
			So(changed, ShouldBeTrue)
			So(s.Overdue, ShouldBeTrue)
			gone["a"] = true // and with it all that have the newer one
			s, _ = o.Standing(2600*time.Millisecond, bound, live)
			So(s.Overdue, ShouldBeFalse)
			o.PutInForce(6)
			s, _ = o.Standing(3*time.Second, bound, live)
			So(s, ShouldResemble, event.ConfigStanding{Highest: 6})
		})
		Convey("logs that it is behind, again and again, and when it no longer is", func() {
			logged := func(now time.Duration) string {
				subject, _, due := o.Notice(now)
				if !due {
					return ""
				}
				return subject
			}
			o.Heard(time.Second, "a", 6)
			So(logged(1500*time.Millisecond), ShouldBeEmpty)
			So(logged(2*time.Second), ShouldEqual, "configuration outdated")
			So(logged(2100*time.Millisecond), ShouldBeEmpty)
			So(logged(4*time.Second), ShouldEqual, "configuration outdated")
			o.PutInForce(6)
			So(logged(4100*time.Millisecond), ShouldEqual, "configuration up to date")
			So(logged(4200*time.Millisecond), ShouldBeEmpty)
		})
	})
}
