package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/targethealth"
)

const suspectBody = "suspect"

// maxEnds is more targets than any body may end.
const maxEnds = 6

// newSuspectHosted returns a hosted node with a number of targets and of peers,
// p1, p2 and so on.
func newSuspectHosted(targets, peers int) *hosted {
	h := newHosted()
	var entries []event.Instance
	for i := range targets {
		e := targetEntry(fmt.Sprint("t", i+1))
		e.StartMillis = int64(i + 1)
		entries = append(entries, e)
	}
	for i := range peers {
		entries = append(entries, event.Instance{Name: fmt.Sprint("p", i+1), Role: event.RoleRouter, Address: "10.0.1.1:1", PeerAddress: "10.0.1.1:2"})
	}
	h.list(false, entries...)
	return h
}

// arriveWith sends a request with a body and returns the resulting actions.
func (h *hosted) arriveWith(body string) []event.Action {
	h.handle++
	return h.step(event.Event{RequestArrived: &event.RequestArrived{
		Request: h.handle, Customer: "c", Key: fmt.Sprint(body, h.handle), BodyHash: body, Serves: "app", MaxAttempts: 1, HandedOver: true,
		Deadline: 10 * time.Second,
	}})
}

// endAttempt ends the attempt of the last request.
func (h *hosted) endAttempt(outcome event.AttemptOutcome, targetError bool) {
	attempt := h.node.requests.byHandle[h.handle].attempt
	h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: attempt, Outcome: outcome, TargetError: targetError, UsageKnown: true}})
}

// crashWith runs a request with a body until its target ends.
func (h *hosted) crashWith(body string) {
	So(dispatched(h.arriveWith(body)), ShouldNotBeNil)
	h.endAttempt(event.AttemptCrashed, false)
}

// receive delivers a message of a peer.
func (h *hosted) receive(from string, m event.PeerMessage) []event.Action {
	return h.step(event.Event{PeerReceived: &event.PeerReceived{From: from, Incarnation: "1", Message: m}})
}

// hearDigest delivers a heartbeat with a digest and returns the records that are sent
// in return.
func (h *hosted) hearDigest(from string, digest uint64) []event.PeerMessage {
	return recordsSent(h.receive(from, event.PeerMessage{Heartbeat: &event.Heartbeat{Suspects: digest}}))
}

func recordsSent(actions []event.Action) []event.PeerMessage {
	var out []event.PeerMessage
	for _, a := range actions {
		if a.SendPeer != nil && a.SendPeer.Message.QuarantineRecords != nil {
			out = append(out, a.SendPeer.Message)
		}
	}
	return out
}

func TestErrorAnswersDoNotClearCrashes(t *testing.T) {
	// Guards against bodies that are cleared because a target failed, or stopped at the deadline, before it ended.
	Convey("Given a body that ends each target that runs it to the end", t, func() {
		h := newSuspectHosted(12, 0)
		Convey("targets that answer it with errors in between don't let it end more of them", func() {
			ended := 0
			for refusal(h.arriveWith(suspectBody)) == nil {
				h.endAttempt(event.AttemptCrashed, false)
				ended++
				if ended > maxEnds || refusal(h.arriveWith(suspectBody)) != nil {
					break
				}
				h.endAttempt(event.AttemptCompleted, true)
				h.advance(targethealth.MaxAvoidTime)
			}
			So(ended, ShouldEqual, h.node.configs.index.Document.Policies.Quarantine.MaxTargets)
			So(refusal(h.arriveWith(suspectBody)).Kind, ShouldEqual, errkind.Quarantined)
		})
		Convey("a whole answer that is no error clears it", func() {
			h.crashWith(suspectBody)
			So(refusal(h.arriveWith(suspectBody)), ShouldBeNil)
			h.endAttempt(event.AttemptCompleted, false)
			So(h.node.quarantine.byBody[suspectBody].record.Count(), ShouldEqual, 0)
		})
	})
}

func TestInstancesAgreeOnOldSuspects(t *testing.T) {
	// Guards against instances that hold the same crashes to be new for different times, and exchange them all the while.
	Convey("Given a suspect that is almost too old to be exchanged", t, func() {
		h, later := newSuspectHosted(2, 1), newSuspectHosted(2, 1)
		h.crashWith(suspectBody)
		h.advance(exchangedSuspectAge - time.Second)
		later.now = h.now
		sent := h.hearDigest("p1", 0)
		So(sent, ShouldHaveLength, 1)
		Convey("an instance that has just learnt of it ceases to exchange it when the others do", func() {
			later.receive("p1", sent[0])
			So(later.node.quarantineDigest(), ShouldEqual, h.node.quarantineDigest())
			h.advance(2 * time.Second)
			later.advance(2 * time.Second)
			So(h.node.quarantineDigest(), ShouldEqual, 0)
			So(later.node.quarantineDigest(), ShouldEqual, 0)
		})
	})
	Convey("Given suspects that are older than that", t, func() {
		h, later := newSuspectHosted(2, 1), newSuspectHosted(2, 1)
		h.crashWith(suspectBody)
		h.advance(2 * exchangedSuspectAge)
		later.now = h.now
		Convey("an instance that starts does not make them new", func() {
			for _, m := range recordsSent(h.receive("p1", event.PeerMessage{Heartbeat: &event.Heartbeat{Unready: true}})) {
				later.receive("p1", m)
			}
			So(later.node.quarantineDigest(), ShouldEqual, h.node.quarantineDigest())
		})
	})
}

func TestOldSuspectsAreForgotten(t *testing.T) {
	// Guards against instances that keep each suspect because another one stores them.
	Convey("Given an instance that does not store the suspects", t, func() {
		h := newSuspectHosted(2, 1)
		h.crashWith(suspectBody)
		So(h.node.quarantine.byBody, ShouldHaveLength, 1)
		Convey("it forgets a suspect that is old", func() {
			h.advance(maxSuspectAge + time.Second)
			So(h.node.quarantine.byBody, ShouldBeEmpty)
			So(h.node.quarantine.byKey, ShouldBeEmpty)
		})
	})
}

func TestExchangeOfSuspectsIsBounded(t *testing.T) {
	// Guards against a change that makes all instances send all records to each other until it is known everywhere.
	Convey("Given an instance of a large fleet whose peers do not yet know of a crash", t, func() {
		const fleet, seconds = 60, 10
		h := newSuspectHosted(2, fleet)
		h.crashWith(suspectBody)
		h.advance(100 * time.Millisecond)
		Convey("it sends its records to one of them in a heartbeat period", func() {
			sent := 0
			for range seconds * int(time.Second/heartbeatPeriod) {
				for i := range fleet {
					sent += len(h.hearDigest(fmt.Sprint("p", i+1), 0))
				}
				sent += len(recordsSent(h.advance(heartbeatPeriod)))
			}
			So(sent, ShouldBeBetweenOrEqual, 1, seconds*int(time.Second/heartbeatPeriod))
		})
	})
}

func TestStoredSuspectsAreReadSoonAfterTheStoreReturns(t *testing.T) {
	// Guards against an instance that is bound by rules again before it has asked for what was known before a loss of all.
	Convey("Given a store that is down when the instance that stores the suspects starts", t, func() {
		h := newSuspectHosted(2, 0)
		h.list(false, append([]event.Instance{targetEntry("t1")}, h.node.members.self)...)
		Convey("the suspects are asked for at least every second and a half", func() {
			last, answered := h.now, 0
			for h.now < 30*time.Second {
				for ; answered < len(h.calls); answered++ {
					c := h.calls[answered]
					if c.Op == event.OpGet && c.Object.Kind == event.KindQuarantine {
						last = h.now
					}
					h.step(event.Event{PlatformResult: &event.PlatformResult{Call: c.Call, Status: event.PlatformUnavailable}})
				}
				So(h.now-last, ShouldBeLessThanOrEqualTo, 1500*time.Millisecond)
				h.advance(25 * time.Millisecond)
			}
		})
	})
}

func TestCrashAfterItsCallerLeftCounts(t *testing.T) {
	// Guards against bodies whose callers leave just before their targets end.
	Convey("A body whose attempts were cancelled before their targets ended is given up, one whose targets go on is not", t, func() {
		for _, ended := range []bool{true, false} {
			h := newSuspectHosted(maxEnds, 0)
			for range config.Defaults().Policies.Quarantine.MaxTargets {
				d := dispatched(h.arriveWith(suspectBody))
				So(d, ShouldNotBeNil)
				h.step(event.Event{CallerGone: &event.CallerGone{Request: h.handle}})
				h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCancelled, TargetEnded: ended, UsageKnown: true}})
				h.advance(100 * time.Millisecond)
			}
			So(refusal(h.arriveWith(suspectBody)) != nil, ShouldEqual, ended)
		}
	})
}
