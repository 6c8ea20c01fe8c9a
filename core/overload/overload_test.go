package overload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// tolerated and severe are the waits at which a gate of these tests begins to refuse
// requests, and refuses all.
const (
	tolerated = 30 * time.Millisecond
	severe    = severeRatio * tolerated
)

// observeFor makes a gate observe a wait each 5 ms for a time, and returns when that
// is over.
func observeFor(g *Gate, from, d time.Duration, s Source, wait time.Duration) time.Duration {
	for now := from; now < from+d; now += 5 * time.Millisecond {
		g.Observe(now, s, wait)
	}
	return from + d
}

func TestGate(t *testing.T) {
	for _, source := range []Source{Loop, Scheduler} {
		Convey("An instance whose work is not late takes every request", t, func() {
			g := NewGate(tolerated)
			now := observeFor(g, 0, time.Second, source, tolerated/2)
			for range 1000 {
				So(g.Admit(now, 0, "a"), ShouldBeTrue)
			}
		})
		Convey("A pause as of a garbage collection refuses nothing", t, func() {
			g := NewGate(tolerated)
			now := observeFor(g, 0, time.Second, source, 0)
			now = observeFor(g, now, window/2, source, 2*severe)
			now = observeFor(g, now, 2*window, source, 0)
			So(g.Admit(now, 0, "a"), ShouldBeTrue)
		})
		Convey("Work that waits on makes it refuse the customer with more requests than the others only", t, func() {
			g := NewGate(tolerated)
			now := observeFor(g, 0, time.Second, source, 0)
			for range 50 {
				So(g.Admit(now, 0, "flood"), ShouldBeTrue)
			}
			for _, customer := range []string{"a", "b", "c"} {
				So(g.Admit(now, 0, customer), ShouldBeTrue)
			}
			now = observeFor(g, now, 4*window, source, 2*tolerated)
			So(g.Short(now, 0), ShouldBeTrue)
			So(g.Admit(now, 0, "flood"), ShouldBeFalse)
			So(g.Admit(now, 0, "a"), ShouldBeTrue)
			So(g.Admit(now, 0, "new"), ShouldBeTrue)
			Convey("and everybody if the wait is severe", func() {
				now = observeFor(g, now, 2*window, source, 2*severe)
				So(g.Admit(now, 0, "a"), ShouldBeFalse)
			})
			Convey("until the work is no longer late", func() {
				now = observeFor(g, now, 3*window, source, 0)
				So(g.Admit(now, 0, "flood"), ShouldBeTrue)
			})
		})
	}
	Convey("Waits of a source that is no longer observed don't count on", t, func() {
		g := NewGate(tolerated)
		now := observeFor(g, 0, 4*window, Scheduler, 2*severe)
		So(g.Short(now, 0), ShouldBeTrue)
		now = observeFor(g, now, 2*window, Loop, 0)
		So(g.Short(now, 0), ShouldBeTrue)
		now = observeFor(g, now, staleWindows*window, Loop, 0)
		So(g.Short(now, 0), ShouldBeFalse)
		So(g.Wait(now, 0), ShouldEqual, 0)
	})
	Convey("Work that is not begun makes it refuse requests though nothing is observed, and not after the pause", t, func() {
		g := NewGate(tolerated)
		now := observeFor(g, 0, time.Second, Loop, 0)
		So(g.Admit(now, window, "a"), ShouldBeTrue)
		So(g.Admit(now, severe, "a"), ShouldBeFalse)
		So(g.Admit(now, 0, "a"), ShouldBeTrue)
	})
}

func TestCustomerBelowItsShareIsNotRefusedForAnothersFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 20 * time.Millisecond
		g := NewGate(tolerated)
		flood := rapid.IntRange(2, 50).Draw(t, "requests of the flood a step")
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 3, -1), 1, 20, rapid.ID).Draw(t, "others, with a request each fourth step")
		wait := time.Duration(rapid.Int64Range(int64(tolerated)+1, int64(severe)-1).Draw(t, "wait"))
		floodTaken := 0
		for i := range 200 {
			now := time.Duration(i) * step
			g.Observe(now, Scheduler, wait)
			for range flood {
				if g.Admit(now, 0, "the flood") {
					floodTaken++
				}
			}
			for j, name := range names {
				if j%4 == i%4 && !g.Admit(now, 0, name) {
					t.Fatalf("a request of %q is refused at %v", name, now)
				}
			}
		}
		if floodTaken > 200*flood*3/4 {
			t.Fatalf("%d of %d requests of the flood are taken", floodTaken, 200*flood)
		}
	})
}

func TestCallersComeBackAtDifferentTimes(t *testing.T) {
	Convey("Callers come back after the wait, spread over a time", t, func() {
		g := NewGate(tolerated)
		now := observeFor(g, 0, time.Second, Loop, severe)
		So(g.RetryAfter(now, 0, 0), ShouldEqual, severe)
		So(g.RetryAfter(now, 0, 1), ShouldEqual, severe+retrySpread)
		So(NewGate(tolerated).RetryAfter(0, 0, 0), ShouldEqual, minRetryAfter)
	})
}
