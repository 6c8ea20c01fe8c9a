package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
	"plantainfield.example/core/retry"
)

// startedAt returns the entry of a target that started at a Unix time in
// milliseconds.
func startedAt(name string, millis int64) event.Instance {
	in := targetEntry(name)
	in.StartMillis = millis
	return in
}

// sendMany sends requests one after the other, each of which ends at once, and
// counts those that each target got.
func (h *hosted) sendMany(count int) map[string]int {
	got := map[string]int{}
	for range count {
		h.handle++
		if d := dispatched(h.arrive(h.handle, 0)); d != nil {
			got[d.Target]++
			h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCompleted, UsageKnown: true}})
		}
		h.advance(25 * time.Millisecond)
	}
	return got
}

// notice reports what a target says of itself.
func (h *hosted) notice(name string, e event.TargetNotice) {
	e.Target, e.Address = name, targetEntry(name).Address
	h.step(event.Event{TargetNotice: &e})
}

func TestTargetThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	Convey("Given two targets of which one says that it is leaving", t, func() {
		h := newHosted()
		h.list(false, startedAt("t1", 100), startedAt("t2", 100))
		So(h.sendMany(40)["t1"], ShouldBeGreaterThan, 0)
		h.notice("t1", event.TargetNotice{Leaving: true})
		Convey("it gets no new requests, and peers are told", func() {
			So(h.sendMany(40)["t1"], ShouldEqual, 0)
			So(h.node.members.facts, ShouldContainKey, gossip.Key{Kind: event.FactLeaving, Name: "t1", Incarnation: "t1:1/100"})
		})
		Convey("an older entry of the list that shows it as ready changes nothing", func() {
			h.list(false, startedAt("t1", 100), startedAt("t2", 100))
			h.advance(20 * time.Second)
			So(h.sendMany(40)["t1"], ShouldEqual, 0)
		})
		Convey("neither does an entry of an earlier start, or one that lacks its start", func() {
			h.list(false, startedAt("t1", 50), startedAt("t2", 100))
			h.list(false, targetEntry("t1"), startedAt("t2", 100))
			h.advance(2 * gossip.FactTimeout)
			h.list(false, startedAt("t1", 100), startedAt("t2", 100))
			So(h.sendMany(40)["t1"], ShouldEqual, 0)
		})
		Convey("neither does a later response without the statement, from a request that it took before", func() {
			h.notice("t1", event.TargetNotice{})
			h.advance(20 * time.Second)
			So(h.sendMany(40)["t1"], ShouldEqual, 0)
		})
		Convey("requests are refused at once if no other target is left", func() {
			h.notice("t2", event.TargetNotice{Leaving: true})
			h.handle++
			So(refusal(h.arrive(h.handle, 0)), ShouldNotBeNil)
		})
		Convey("it gets requests again once it has started again under its name", func() {
			h.list(false, startedAt("t1", 200), startedAt("t2", 100))
			So(h.sendMany(40)["t1"], ShouldBeGreaterThan, 0)
		})
	})
	Convey("A peer's word that an earlier start of a target is leaving does not concern the next one", t, func() {
		h := newHosted()
		h.list(false, startedAt("t1", 200), startedAt("t2", 100))
		h.step(event.Event{PeerReceived: &event.PeerReceived{From: "n2", Incarnation: "1", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{
			Facts: []event.Fact{{Kind: event.FactLeaving, Name: "t1", Incarnation: "t1:1/100"}, {Kind: event.FactLeaving, Name: "t2", Incarnation: "t2:1/100"}},
		}}}})
		got := h.sendMany(40)
		So(got["t1"], ShouldEqual, 40)
	})
}

func TestUnusableLimitDoesNotEndAnEarlierOne(t *testing.T) {
	Convey("A target's limit holds after a response with a limit that can't be used, and ends with one that names none", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"), targetEntry("t2"))
		h.notice("t1", event.TargetNotice{Limited: true, Limit: 5})
		h.notice("t1", event.TargetNotice{LimitUnusable: true})
		So(h.node.members.targets["t1"].limit.known, ShouldBeTrue)
		h.notice("t1", event.TargetNotice{})
		So(h.node.members.targets["t1"].limit.known, ShouldBeFalse)
	})
}

func TestTargetThatWantsNoRequestsForATimeGetsNone(t *testing.T) {
	Convey("Given two targets of which one wants nothing for three seconds", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"), targetEntry("t2"))
		h.notice("t1", event.TargetNotice{Wait: 3 * time.Second})
		Convey("it gets nothing in that time, and requests again after it", func() {
			So(h.sendMany(100)["t1"], ShouldEqual, 0) // 2.5 s
			h.advance(time.Second)
			So(h.sendMany(40)["t1"], ShouldBeGreaterThan, 0)
		})
		Convey("a shorter wait that it names later does not end the longer one", func() {
			h.notice("t1", event.TargetNotice{Wait: 100 * time.Millisecond})
			So(h.sendMany(100)["t1"], ShouldEqual, 0)
		})
		Convey("the status names it as waiting, and a target with a limit as limited", func() {
			h.notice("t2", event.TargetNotice{Limited: true, Limit: 5})
			states := map[string]string{}
			for _, target := range h.node.status(nil).Targets {
				states[target.Name] = target.State
			}
			So(states, ShouldResemble, map[string]string{"t1": "waiting", "t2": "limited"})
		})
		Convey("it gets nothing either if all others failed", func() {
			h.handle++
			d := dispatched(h.arrive(h.handle, 0))
			So(d.Target, ShouldEqual, "t2")
			h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCrashed}})
			So(h.sendMany(20)["t1"], ShouldEqual, 0)
		})
		Convey("requests are refused at once if all targets wait, and callers return spread out after the shortest wait", func() {
			h.notice("t2", event.TargetNotice{Wait: 2 * time.Second})
			seen := map[time.Duration]bool{}
			for range 20 {
				h.handle++
				refused := refusal(h.arrive(h.handle, 0))
				So(refused, ShouldNotBeNil)
				So(refused.Ran, ShouldEqual, errkind.RanNo)
				So(refused.RetryAfter, ShouldBeBetweenOrEqual, 2*time.Second, 2*time.Second+retry.MinWaitSpread)
				seen[refused.RetryAfter] = true
			}
			So(len(seen), ShouldBeGreaterThan, 10)
		})
	})
}
