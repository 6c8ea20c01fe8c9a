package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/absence"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
	"plantainfield.example/core/targethealth"
	"plantainfield.example/core/targetleaving"
)

// hosted is a node on a platform that stores the configuration.
type hosted struct {
	node *Node
	now  time.Duration
	// calls are the platform calls; none of them is answered.
	calls []event.PlatformCall
	seed  uint64
	// handle is that of the last request of sendMany.
	handle uint64
	// listedAt is when the last list was delivered.
	listedAt time.Duration
}

func newHosted() *hosted {
	p := config.Defaults().Policies
	p.Grants = config.GrantPolicy{Policy: config.GrantSpread, SizeTokens: 1000, RunwaySeconds: 10, MaxSharePerMille: 500, PeerTransfer: true, RefillMillis: 1000, MaxWaitMillis: 400}
	p.Routing.Policy = config.RoutingLeastWork
	p.Limits.Policy = config.LimitFixed
	h := &hosted{node: New(Settings{
		Name: "n1", Incarnation: "1", DataCentre: "a", LedgerShards: 1, Policies: p,
		Self:     event.Instance{Name: "n1", Role: event.RoleRouter, Address: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"},
		Disabled: Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
	})}
	h.configure(1, 100_000)
	return h
}

func (h *hosted) step(e event.Event) []event.Action {
	h.seed++
	actions := h.node.Step(event.Input{Now: h.now, Seed: h.seed, Event: e})
	for _, a := range actions {
		if a.PlatformCall != nil {
			h.calls = append(h.calls, *a.PlatformCall)
		}
	}
	return actions
}

func (h *hosted) configure(generation uint64, prepaid int64) {
	h.step(event.Event{ConfigRead: &event.ConfigRead{Stored: &config.Stored{
		Generation: generation, Routing: &config.Routing{Targets: []config.TargetClass{{Service: "app", MaxConnections: 40}}},
		Document: config.Document{Budgets: []config.Budget{{Name: "b", Customer: "c", PrepaidTokens: prepaid}}},
	}}})
}

// advance advances time with a tick every 25 ms and returns all actions.
func (h *hosted) advance(d time.Duration) []event.Action {
	var all []event.Action
	for end := h.now + d; h.now < end; {
		h.now += 25 * time.Millisecond
		all = append(all, h.step(event.Event{Tick: &event.Tick{}})...)
	}
	return all
}

// list delivers a list of the instances. If away is set, it is a list of the targets
// after the platform could not be reached since the list before.
func (h *hosted) list(away bool, entries ...event.Instance) {
	l := &event.InstancesListed{Instances: entries}
	if away {
		l.Relist = &event.TargetRelist{Away: true, Unseen: h.now - h.listedAt, RenewalPeriod: time.Second}
	}
	h.listedAt = h.now
	h.step(event.Event{InstancesListed: l})
}

func targetEntry(name string) event.Instance {
	return event.Instance{Name: name, Role: event.RoleEngine, Address: name + ":1", Serves: []string{"app"}, State: event.StateLive}
}

// arrive sends a request and returns the resulting actions.
func (h *hosted) arrive(handle uint64, tokens int64) []event.Action {
	r := &event.RequestArrived{
		Request: handle, Customer: "c", Key: fmt.Sprint(handle), BodyHash: fmt.Sprint(handle),
		Serves: "app", MaxAttempts: 1, HandedOver: true, Deadline: 10 * time.Second,
	}
	if tokens > 0 {
		r.Budget, r.WorstCaseTokens = "b", tokens
	}
	return h.step(event.Event{RequestArrived: r})
}

func dispatched(actions []event.Action) *event.Dispatch {
	for _, a := range actions {
		if a.Dispatch != nil {
			return a.Dispatch
		}
	}
	return nil
}

func refusal(actions []event.Action) *event.Refuse {
	for _, a := range actions {
		if a.Refuse != nil {
			return a.Refuse
		}
	}
	return nil
}

func TestWaitForTokensIsBounded(t *testing.T) {
	Convey("Given a platform that never answers", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		So(refusal(h.arrive(1, 500)), ShouldBeNil)
		Convey("a request that waits for tokens is refused, as not run, after the policy's maximum wait", func() {
			So(refusal(h.advance(350*time.Millisecond)), ShouldBeNil)
			got := refusal(h.advance(100 * time.Millisecond))
			So(got, ShouldNotBeNil)
			So(got.Kind, ShouldEqual, errkind.BudgetUnavailable)
			So(got.Ran, ShouldEqual, errkind.RanNo)
			So(got.RetryAfter, ShouldBeGreaterThan, 0)
		})
	})
}

func TestFailingTargetsAreAvoided(t *testing.T) {
	// end ends an attempt and returns the target that the next request gets.
	end := func(h *hosted, handle uint64, d *event.Dispatch, e event.AttemptEnded) *event.Dispatch {
		e.Attempt, e.UsageKnown = d.Attempt, true
		h.step(event.Event{AttemptEnded: &e})
		return dispatched(h.arrive(handle, 0))
	}
	Convey("Given two targets", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"), targetEntry("t2"))
		d := dispatched(h.arrive(1, 0))
		Convey("a target that lost an attempt is avoided, and for longer after the next loss", func() {
			bad := d.Target
			So(end(h, 2, d, event.AttemptEnded{Outcome: event.AttemptCrashed}).Target, ShouldNotEqual, bad)
			t1 := h.node.members.targets[bad]
			So(t1.avoidUntil-h.now, ShouldEqual, targethealth.AvoidAfterFailure)
			h.advance(targethealth.AvoidAfterFailure)
			for handle := uint64(3); ; handle++ {
				next := dispatched(h.arrive(handle, 0))
				if next.Target == bad {
					end(h, handle+100, next, event.AttemptEnded{Outcome: event.AttemptCrashed})
					break
				}
			}
			So(t1.avoidUntil-h.now, ShouldEqual, 2*targethealth.AvoidAfterFailure)
		})
		Convey("a target that answers with errors no more often than its service is not avoided", func() {
			for handle := uint64(2); handle < 40; handle++ {
				e := event.AttemptEnded{Outcome: event.AttemptCompleted, TargetError: handle%8 == 0}
				d = end(h, handle, d, e)
			}
			for _, target := range h.node.members.targets {
				So(target.avoidUntil, ShouldBeLessThanOrEqualTo, h.now)
			}
		})
		Convey("a target that answers with errors far more often is avoided", func() {
			bad := d.Target
			for handle := uint64(2); handle < 60; handle++ {
				d = end(h, handle, d, event.AttemptEnded{Outcome: event.AttemptCompleted, TargetError: d.Target == bad})
			}
			So(h.node.members.targets[bad].avoidUntil, ShouldBeGreaterThan, h.now)
		})
	})
}

func TestUnlistedTargetIsKeptAfterReconnection(t *testing.T) {
	Convey("A target that is not listed when the platform is reachable again is kept for two seconds", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.advance(5 * time.Second)
		h.list(true)
		So(dispatched(h.arrive(1, 0)), ShouldNotBeNil)
		h.advance(absence.ReturnTime)
		So(dispatched(h.arrive(2, 0)), ShouldBeNil)
	})
	Convey("also if lists follow each other within that time", t, func() {
		// Guards against a target that stays in use for good although it was removed.
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.advance(5 * time.Second)
		for range 4 {
			h.list(true)
			h.advance(absence.ReturnTime / 3)
		}
		So(dispatched(h.arrive(1, 0)), ShouldBeNil)
	})
	Convey("and once it was listed again and may have lapsed again, it is kept anew", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		for handle := range uint64(4) {
			h.advance(5 * time.Second)
			h.list(true)
			h.advance(absence.ReturnTime / 3)
			So(dispatched(h.arrive(handle, 0)), ShouldNotBeNil)
			h.list(true, targetEntry("t1"))
		}
	})
	Convey("but a target that was listed so shortly before that it can't have lapsed gets no work from then on", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.advance(5 * time.Second)
		h.list(true, targetEntry("t1"))
		h.advance(absence.ReturnTime / 3)
		h.list(true)
		So(dispatched(h.arrive(1, 0)), ShouldBeNil)
	})
	Convey("otherwise a target that is not listed gets no work from then on", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.advance(5 * time.Second)
		h.list(false)
		So(dispatched(h.arrive(1, 0)), ShouldBeNil)
	})
}

func TestIsolatedInstanceReturnsAllAddresses(t *testing.T) {
	Convey("An instance that hears from no peer gives callers the addresses of all listed instances that are not leaving", t, func() {
		h := newHosted()
		peer := func(name string, state event.InstanceState) event.Instance {
			return event.Instance{Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", State: state}
		}
		h.list(false, peer("n2", event.StateLive), peer("n3", event.StateLive), peer("n4", event.StateLeaving))
		h.advance(20 * time.Second)
		var got []string
		for _, a := range h.step(event.Event{AddressesRequested: &event.AddressesRequested{Query: 1}}) {
			if a.AnswerAddresses != nil {
				got = a.AnswerAddresses.Addresses
			}
		}
		So(len(got), ShouldEqual, 3)
	})
}

func TestInstancesShareConnectionLimit(t *testing.T) {
	Convey("All instances together open no more connections to a target than it accepts", t, func() {
		h := newHosted()
		entries := []event.Instance{targetEntry("t1")}
		for _, name := range []string{"n2", "n3", "n4"} {
			entries = append(entries, event.Instance{Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", State: event.StateLive})
		}
		h.list(false, entries...)
		sent := 0
		for handle := range uint64(20) {
			if dispatched(h.arrive(handle+1, 0)) != nil {
				sent++
			}
		}
		So(sent, ShouldEqual, 10)
	})
}

func TestLongPromptsGetReservedTargets(t *testing.T) {
	Convey("Given ten targets", t, func() {
		h := newHosted()
		var entries []event.Instance
		for i := range 10 {
			entries = append(entries, targetEntry(fmt.Sprintf("t%d", i)))
		}
		h.list(false, entries...)
		handle := uint64(0)
		send := func(tokens int64) string {
			handle++
			r := &event.RequestArrived{
				Request: handle, Customer: "c", Key: fmt.Sprint(handle), BodyHash: fmt.Sprint(handle), Serves: "app", MaxAttempts: 1, HandedOver: true,
				Deadline: 10 * time.Second, Parts: []placement.Part{{ID: handle, Tokens: tokens}},
			}
			d := dispatched(h.step(event.Event{RequestArrived: r}))
			h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCompleted, UsageKnown: true}})
			return d.Target
		}
		targets := func(tokens int64, requests int) map[string]bool {
			seen := map[string]bool{}
			for range requests {
				seen[send(tokens)] = true
			}
			return seen
		}
		Convey("short prompts go to all targets while there are no long ones", func() {
			So(len(targets(500, 300)), ShouldEqual, 10)
		})
		Convey("after a long prompt short ones avoid the targets of long prompts for longPromptWindow", func() {
			long := targets(40_000, 50)
			So(len(long), ShouldEqual, 2)
			short := targets(500, 300)
			So(len(short), ShouldEqual, 8)
			for name := range long {
				So(short, ShouldNotContainKey, name)
			}
			h.advance(longPromptWindow)
			So(len(targets(500, 300)), ShouldEqual, 10)
		})
	})
}

func TestRetryAfterOfStoppingInstance(t *testing.T) {
	Convey("A request that a stopping instance refuses may be retried at another instance at once", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"), event.Instance{Name: "n2", Role: event.RoleRouter, Address: "n2:1", PeerAddress: "n2:2", State: event.StateLive})
		h.step(event.Event{PeerReceived: &event.PeerReceived{From: "n2", Incarnation: "1", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{}}}})
		h.step(event.Event{ShutdownRequired: &event.ShutdownRequired{}})
		got := refusal(h.arrive(1, 0))
		So(got.Kind, ShouldEqual, errkind.Stopping)
		So(got.RetryAfter, ShouldEqual, otherInstanceRetryAfter)
	})
	Convey("without another instance it gets the default retry-after time", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.step(event.Event{ShutdownRequired: &event.ShutdownRequired{}})
		So(refusal(h.arrive(1, 0)).RetryAfter, ShouldEqual, time.Second)
	})
}

// TestTargetThatAPeerGaveUpIsUsedAgainOnceListsShowIt guards against a target that an
// instance doesn't use for good, because a peer told that it leaves after this instance
// had last seen its entry return.
func TestTargetThatAPeerGaveUpIsUsedAgainOnceListsShowIt(t *testing.T) {
	leaving := func(h *hosted) {
		fact := event.Fact{Kind: event.FactLeaving, Name: "t1", Incarnation: h.node.members.targets["t1"].incarnation()}
		h.step(event.Event{PeerReceived: &event.PeerReceived{From: "n2", Incarnation: "1", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{Facts: []event.Fact{fact}}}}})
	}
	current := func(h *hosted) {
		h.step(event.Event{InstancesListed: &event.InstancesListed{Instances: []event.Instance{targetEntry("t1")}, TargetsCurrent: true}})
	}
	Convey("Given a target whose entry is back and of which a peer tells then that it leaves", t, func() {
		h := newHosted()
		h.list(false, targetEntry("t1"))
		h.advance(5 * time.Second)
		h.list(true)
		h.advance(absence.ReturnTime / 2)
		current(h)
		leaving(h)
		So(dispatched(h.arrive(1, 0)), ShouldBeNil)
		Convey("it gets no attempts as long as nothing newer confirms it", func() {
			h.advance(targetleaving.MinTime / 2)
			current(h)
			h.advance(4 * targetleaving.MinTime)
			h.list(false, targetEntry("t1"))
			h.advance(time.Second)
			So(dispatched(h.arrive(2, 0)), ShouldBeNil)
		})
		Convey("it gets attempts again once a list with all changes shows it later than what the peer said", func() {
			h.advance(targetleaving.MinTime)
			current(h)
			h.advance(time.Second)
			So(dispatched(h.arrive(2, 0)), ShouldNotBeNil)
		})
		Convey("unless the peer goes on saying so", func() {
			for range 4 {
				h.advance(targetleaving.MinTime / 2)
				leaving(h)
				current(h)
			}
			h.advance(time.Second)
			So(dispatched(h.arrive(2, 0)), ShouldBeNil)
		})
	})
}
