package quarantine

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lostWith returns a record of a number of attempts that ended with one start of
// a target.
func lostWith(target string, start int64, attempts int) *Record {
	r := &Record{BodyHash: "body"}
	for i := range attempts {
		r.AddCrash(Crash{Attempt: fmt.Sprintf("%s-%d", target, i), Target: target, Start: start})
	}
	return r
}

func TestClearedCrashesStayCleared(t *testing.T) {
	// Guards against crashes that a copy of the record brings back after they were cleared.
	for _, attempts := range []int{1, 10, maxListLength + 1, 4 * maxListLength} {
		Convey(fmt.Sprintf("Given two copies of a record of %d attempts that were lost with one target", attempts), t, func() {
			here, there := lostWith("t1", 1, attempts), lostWith("t1", 1, attempts)
			So(here.Count(), ShouldEqual, 1)
			Convey("a crash that was cleared in one of them is cleared in both, in whichever order they are merged", func() {
				here.ClearCrashes()
				here.Merge(there)
				So(here.Count(), ShouldEqual, 0)
				there.Merge(here)
				So(there.Count(), ShouldEqual, 0)
				here.Merge(there)
				So(here.Count(), ShouldEqual, 0)
			})
			Convey("and the attempts that are reported later are cleared with it", func() {
				here.ClearCrashes()
				here.AddCrash(Crash{Attempt: "late", Target: "t1", Start: 1})
				So(here.Count(), ShouldEqual, 0)
				here.AddCrash(Crash{Attempt: "again", Target: "t1", Start: 2})
				So(here.Count(), ShouldEqual, 1)
			})
		})
	}
}

func TestCopiesAgreeOnTheCrashes(t *testing.T) {
	// Guards against copies that count the same crash by different attempts.
	Convey("Given copies of a record that know different attempts lost with the same targets", t, func() {
		here, there := lostWith("t1", 1, 3), &Record{BodyHash: "body"}
		there.AddCrash(Crash{Attempt: "other", Target: "t1", Start: 1})
		there.AddCrash(Crash{Attempt: "another", Target: "t2", Start: 1})
		here.Merge(there)
		there.Merge(here)
		So(here.Count(), ShouldEqual, 2)
		So(there.Count(), ShouldEqual, 2)
		Convey("no further merge changes them", func() {
			So(here.Merge(there), ShouldBeFalse)
			So(there.Merge(here), ShouldBeFalse)
		})
	})
	Convey("Attempts lost with targets whose start is unknown count one by one", t, func() {
		So(lostWith("t1", 0, 3).Count(), ShouldEqual, 3)
	})
}
