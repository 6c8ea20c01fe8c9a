package absence

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/event"
)

const renewalPeriod = time.Second

// away returns the Relist of a list after the platform could not be reached for a time.
func away(unseen time.Duration) *event.TargetRelist {
	return &event.TargetRelist{Away: true, Unseen: unseen, SinceFailure: 100 * time.Millisecond, RenewalPeriod: renewalPeriod}
}

// absent handles a list that lacks target t.
func absent(tr *Tracker, now time.Duration, r *event.TargetRelist, unusable ...string) bool {
	tr.Begin(event.InstancesListed{Relist: r, UnusableTargets: unusable})
	kept := tr.Absent(now, "t", false)
	tr.End()
	return kept
}

func TestTargetIsKeptOnlyIfItsEntryMayHaveLapsed(t *testing.T) {
	const now = time.Minute
	for what, c := range map[string]struct {
		relist   *event.TargetRelist
		unusable []string
		kept     bool
	}{
		"an entry that a watch shows as removed":     {relist: nil},
		"a list after a watch that was cut off":      {relist: &event.TargetRelist{Unseen: time.Minute, RenewalPeriod: renewalPeriod}},
		"a list after a time too short for a lapse":  {relist: away(lapsePeriods*renewalPeriod - time.Millisecond)},
		"a list after the platform was away":         {relist: away(lapsePeriods * renewalPeriod), kept: true},
		"a time in which nobody watched":             {relist: &event.TargetRelist{Unwatched: true, Unseen: time.Minute, RenewalPeriod: renewalPeriod}, kept: true},
		"an entry that can't be used":                {relist: away(time.Minute), unusable: []string{"t"}},
		"a platform that came back from a copy":      {relist: &event.TargetRelist{Away: true, Restored: true, RenewalPeriod: renewalPeriod}, kept: true},
		"a platform that was reached again long ago": {relist: &event.TargetRelist{Away: true, Unseen: time.Minute, SinceFailure: maxKeptTime, RenewalPeriod: renewalPeriod}},
	} {
		Convey("After "+what, t, func() {
			So(absent(&Tracker{}, now, c.relist, c.unusable...), ShouldEqual, c.kept)
		})
	}
	Convey("A target that leaves by other evidence is not kept", t, func() {
		tr := &Tracker{}
		tr.Begin(event.InstancesListed{Relist: away(time.Minute)})
		So(tr.Absent(now, "t", true), ShouldBeFalse)
	})
}

func TestKeptTargetIsGivenUpInTime(t *testing.T) {
	Convey("Given a target that is kept", t, func() {
		tr, now := &Tracker{}, time.Minute
		So(absent(tr, now, away(time.Minute)), ShouldBeTrue)
		Convey("lists of other kinds and of the targets neither end nor extend that", func() {
			for range 4 {
				now += ReturnTime / 5
				So(absent(tr, now, nil), ShouldBeTrue)
				So(absent(tr, now, away(ReturnTime/5)), ShouldBeTrue)
			}
			So(tr.Expired(now), ShouldBeEmpty)
			So(tr.Expired(now+ReturnTime/5), ShouldResemble, []string{"t"})
			So(absent(tr, now+ReturnTime/5, nil), ShouldBeFalse)
		})
		Convey("it is not given up while the platform is away again, and has time after that", func() {
			tr.Lost()
			now += time.Minute
			So(tr.Expired(now), ShouldBeEmpty)
			r := away(renewalPeriod)
			r.ListFailed = true
			So(absent(tr, now, r), ShouldBeTrue)
			So(tr.Expired(now+ReturnTime-time.Millisecond), ShouldBeEmpty)
			So(tr.Expired(now+ReturnTime), ShouldResemble, []string{"t"})
		})
		Convey("a list at once after a watch that failed does not extend it", func() {
			tr.Lost()
			now += ReturnTime
			So(absent(tr, now, away(50*time.Millisecond)), ShouldBeFalse)
		})
		Convey("an entry that becomes unusable ends it", func() {
			So(absent(tr, now, nil, "t"), ShouldBeFalse)
		})
		Convey("its entry ends it, and the next absence is a removal", func() {
			tr.Begin(event.InstancesListed{})
			So(tr.Present("t"), ShouldBeTrue)
			c, changed := tr.End()
			So(changed, ShouldBeTrue)
			So(c.Back, ShouldResemble, Change{1, []string{"t"}})
			So(absent(tr, now, nil), ShouldBeFalse)
		})
	})
}

func TestLogOfChangesIsBounded(t *testing.T) {
	Convey("However many targets are kept, a few are named", t, func() {
		tr := &Tracker{}
		tr.Begin(event.InstancesListed{Relist: away(time.Minute)})
		for i := range 1000 {
			tr.Absent(time.Minute, fmt.Sprint(i), false)
		}
		c, _ := tr.End()
		So(c.Kept.Count, ShouldEqual, 1000)
		So(len(c.Kept.Names), ShouldEqual, maxNames)
	})
}

// TestNoTargetIsKeptLongAfterThePlatformReturned guards against targets that are kept
// over and over, whatever lists follow each other.
func TestNoTargetIsKeptLongAfterThePlatformReturned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr, now, lastFailure := &Tracker{}, time.Minute, time.Duration(0)
		inUse := true
		rt.Repeat(map[string]func(*rapid.T){
			"list": func(rt *rapid.T) {
				var r *event.TargetRelist
				if rapid.Bool().Draw(rt, "relist") {
					millis := func(name string) time.Duration {
						return time.Duration(rapid.IntRange(0, 5000).Draw(rt, name)) * time.Millisecond
					}
					r = &event.TargetRelist{Away: rapid.Bool().Draw(rt, "away"), ListFailed: rapid.Bool().Draw(rt, "failed"), RenewalPeriod: renewalPeriod}
					r.SinceFailure, r.Unseen = millis("since"), millis("unseen")
					if r.Away {
						lastFailure = max(lastFailure, now-r.SinceFailure)
					}
				}
				if inUse {
					inUse = absent(tr, now, r)
				}
			},
			"advance": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
				inUse = inUse && len(tr.Expired(now)) == 0
			},
			"": func(rt *rapid.T) {
				if len(tr.keptUntil) > 0 && now >= lastFailure+maxKeptTime {
					rt.Fatalf("kept at %v, %v after the last failure", now, now-lastFailure)
				}
			},
		})
	})
}
