package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// slowWorld has one instance and one target that takes one attempt at a time;
// attempts end when the test says so.
type slowWorld struct {
	*world
	dispatched []event.Dispatch
	refused    []event.Refuse
}

func newSlowWorld(queueLength int64) *slowWorld {
	w := readyWorld(1, 1_000_000)
	delete(w.targets, "t2")
	w.listInstances()
	limits := &w.nodes["n1"].node.configs.index.Document.Policies.Limits
	limits.Policy, limits.MaxConcurrencyPerTarget, limits.QueueLength = "fixed", 1, queueLength
	w.nodes["n1"].node.configs.index.Document.Policies.Grants.SizeTokens = 100_000
	s := &slowWorld{world: w}
	w.hooks.onAction = func(_ *instance, a event.Action) {
		if a.Dispatch != nil {
			s.dispatched = append(s.dispatched, *a.Dispatch)
		}
		if a.Refuse != nil {
			s.refused = append(s.refused, *a.Refuse)
		}
	}
	s.send("n1", exampleRequest("first", 1, true)) // brings the grant
	s.runFor(time.Second)
	s.dispatched = nil
	return s
}

// hold makes a target keep an attempt for a time.
func (s *slowWorld) hold(key string, priority int, deadline time.Duration) caller {
	r := exampleRequest(key, 1, true)
	r.Priority, r.Deadline = priority, deadline
	c := s.send("n1", r)
	s.dropDispatches()
	return c
}

// dropDispatches keeps attempts from ending by themselves.
func (s *slowWorld) dropDispatches() {
	var rest []delivery
	for _, f := range s.pending {
		if f.label != "dispatch" {
			rest = append(rest, f)
		}
	}
	s.pending = rest
}

// end ends the last attempt after a time, and returns the key dispatched next.
func (s *slowWorld) end(after time.Duration) string {
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

func TestWaitingRequests(t *testing.T) {
	Convey("Given a target that is busy", t, func() {
		s := newSlowWorld(3)
		s.hold("running", 0, 0)
		So(s.dispatched, ShouldHaveLength, 1)
		Convey("its release dispatches the most urgent request in the same step", func() {
			s.hold("long", 0, 20*time.Second)
			s.hold("short", 0, 10*time.Second)
			s.hold("urgent", 5, 20*time.Second)
			So([]string{s.end(0), s.end(0), s.end(0)}, ShouldResemble, []string{"urgent", "short", "long"})
		})
		Convey("a full queue refuses the least urgent at once, with when to come back", func() {
			for i := range 10 { // attempts take 2 s
				s.hold(fmt.Sprintf("more%d", i), 0, time.Hour)
				s.end(2 * time.Second)
			}
			for i := range 3 {
				s.hold(fmt.Sprintf("k%d", i), 0, 0)
			}
			So(s.refused, ShouldBeEmpty)
			c := s.hold("urgent", 1, 0)
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldNotEqual, c.handle)
			So(s.refused[0].Kind, ShouldEqual, errkind.Overloaded)
			So(s.refused[0].Ran, ShouldEqual, errkind.RanNo)
			So(s.refused[0].RetryAfter, ShouldBeBetween, 3*time.Second, 8*time.Second) // four waits
		})
		Convey("what can't meet its deadline is refused at once, before the deadline", func() {
			for i := range 30 { // attempts take 2 s
				s.hold(fmt.Sprintf("more%d", i), 0, time.Hour)
				s.end(2 * time.Second)
			}
			s.hold("running again", 0, time.Hour)
			s.refused = nil
			c := s.hold("hopeless", 0, time.Second)
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldEqual, c.handle)
			So(s.refused[0].Kind, ShouldEqual, errkind.DeadlineUnmeetable)
			So(s.refused[0].RetryAfter, ShouldBeBetween, 500*time.Millisecond, 2*time.Second)
			s.hold("meetable", 0, 3*time.Second)
			So(s.refused, ShouldHaveLength, 1)
			Convey("and one that a more urgent one overtakes as soon as that is known", func() {
				late := s.hold("more urgent", 5, 3*time.Second)
				So(s.refused, ShouldHaveLength, 2)
				So(s.refused[1].Request, ShouldNotEqual, late.handle)
			})
		})
		Convey("a queued request whose target begins to leave doesn't reach it", func() {
			c := s.hold("queued", 0, 0)
			s.step(s.nodes["n1"], event.Event{TargetReported: &event.TargetReported{Target: "t1", Leaving: true}})
			So(s.end(0), ShouldEqual, "")
			So(s.refused, ShouldHaveLength, 1)
			So(s.refused[0].Request, ShouldEqual, c.handle)
			So(s.refused[0].Ran, ShouldEqual, errkind.RanNo)
		})
	})
}
