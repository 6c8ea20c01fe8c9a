package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// singleSlotWorld has one instance and one target that serves one attempt at a
// time. The test ends each attempt.
type singleSlotWorld struct {
	*world
	dispatched []event.Dispatch
	refused    []event.Refuse
}

func newSingleSlotWorld(queueLength int64) *singleSlotWorld {
	w := readyWorld(1, 1_000_000)
	delete(w.targets, "t2")
	w.listInstances()
	limits := &w.nodes["n1"].node.configs.index.Document.Policies.Limits
	limits.Policy, limits.MaxConcurrencyPerTarget, limits.QueueLength = "fixed", 1, queueLength
	w.nodes["n1"].node.configs.index.Document.Policies.Grants.SizeTokens = 100_000
	s := &singleSlotWorld{world: w}
	w.hooks.onAction = func(_ *instance, a event.Action) {
		if a.Dispatch != nil {
			s.dispatched = append(s.dispatched, *a.Dispatch)
		}
		if a.Refuse != nil {
			s.refused = append(s.refused, *a.Refuse)
		}
	}
	s.send("n1", exampleRequest("first", 1, true)) // obtains a grant
	s.runFor(time.Second)
	s.dispatched = nil
	return s
}

// sendHeld sends a request whose attempt does not end by itself.
func (s *singleSlotWorld) sendHeld(key string, priority int, deadline time.Duration) caller {
	r := exampleRequest(key, 1, true)
	r.Priority, r.Deadline = priority, deadline
	c := s.send("n1", r)
	s.dropDispatches()
	return c
}

// dropDispatches removes pending dispatches, so that their attempts do not end
// by themselves.
func (s *singleSlotWorld) dropDispatches() {
	var rest []delivery
	for _, d := range s.pending {
		if d.label != "dispatch" {
			rest = append(rest, d)
		}
	}
	s.pending = rest
}

// endAttempt ends the last attempt after a time, and returns the key of the
// request dispatched next.
func (s *singleSlotWorld) endAttempt(after time.Duration) string {
	last := s.dispatched[len(s.dispatched)-1]
	for until := s.now + after; s.now < until; {
		s.runFor(event.TickPeriod)
		s.dropDispatches()
	}
	count := len(s.dispatched)
	s.step(s.nodes["n1"], event.Event{AttemptEnded: &event.AttemptEnded{
		Attempt: last.Attempt, Outcome: event.AttemptCompleted, Usage: 1, UsageKnown: true,
	}})
	s.dropDispatches()
	if len(s.dispatched) == count {
		return ""
	}
	next := s.dispatched[len(s.dispatched)-1]
	return s.answers[caller{"n1", 1, next.Request}].request.Key
}

func TestQueuedRequests(t *testing.T) {
	Convey("Given a target that is busy with one attempt", t, func() {
		s := newSingleSlotWorld(3)
		s.sendHeld("running", 0, 0)
		So(s.dispatched, ShouldHaveLength, 1)
		Convey("the end of the attempt dispatches the most urgent request in the same step", func() {
			s.sendHeld("long", 0, 20*time.Second)
			s.sendHeld("short", 0, 10*time.Second)
			s.sendHeld("urgent", 5, 20*time.Second)
			So([]string{s.endAttempt(0), s.endAttempt(0), s.endAttempt(0)}, ShouldResemble, []string{"urgent", "short", "long"})
		})
		Convey("a full queue refuses the least urgent request at once, with a retry-after time", func() {
			for i := range 10 { // attempts take 2 s
				s.sendHeld(fmt.Sprintf("more%d", i), 0, time.Hour)
				s.endAttempt(2 * time.Second)
			}
			for i := range 3 {
				s.sendHeld(fmt.Sprintf("k%d", i), 0, 0)
			}
			So(s.refused, ShouldBeEmpty)
			c := s.sendHeld("urgent", 1, 0)
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldNotEqual, c.handle)
			So(s.refused[0].Kind, ShouldEqual, errkind.Overloaded)
			So(s.refused[0].Ran, ShouldEqual, errkind.RanNo)
			So(s.refused[0].RetryAfter, ShouldBeBetween, 3*time.Second, 8*time.Second) // the wait for four attempts
		})
		Convey("a request that can't meet its deadline is refused at once, before the deadline", func() {
			for i := range 30 { // attempts take 2 s
				s.sendHeld(fmt.Sprintf("more%d", i), 0, time.Hour)
				s.endAttempt(2 * time.Second)
			}
			s.sendHeld("running again", 0, time.Hour)
			s.refused = nil
			c := s.sendHeld("hopeless", 0, time.Second)
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldEqual, c.handle)
			So(s.refused[0].Kind, ShouldEqual, errkind.DeadlineUnmeetable)
			So(s.refused[0].RetryAfter, ShouldBeBetween, 500*time.Millisecond, 2*time.Second)
			s.sendHeld("meetable", 0, 3*time.Second)
			So(s.refused, ShouldHaveLength, 1)
			Convey("a queued request is refused when a more urgent one is queued ahead of it and it can no longer meet its deadline", func() {
				late := s.sendHeld("more urgent", 5, 3*time.Second)
				So(s.refused, ShouldHaveLength, 2)
				So(s.refused[1].Request, ShouldNotEqual, late.handle)
			})
		})
		Convey("a queued request is not sent to a target that has begun to leave", func() {
			c := s.sendHeld("queued", 0, 0)
			s.step(s.nodes["n1"], event.Event{TargetReported: &event.TargetReported{Target: "t1", Leaving: true}})
			So(s.endAttempt(0), ShouldEqual, "")
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldEqual, c.handle)
			So(s.refused[0].Ran, ShouldEqual, errkind.RanNo)
		})
	})
}
