package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

const poisonBody = "hash-poison"

// poisonRequest returns a request that crashes each target that runs it, if the
// world's poisonBodies contains poisonBody.
func poisonRequest(key string, idempotent bool) event.RequestArrived {
	r := exampleRequest(key, 10, idempotent)
	r.BodyHash = poisonBody
	return r
}

// poisonWorld returns a world with n instances and four targets.
func poisonWorld(n int) *world {
	w := readyWorld(n, 1_000_000)
	w.addTarget("t3", "m")
	w.addTarget("t4", "m")
	w.poisonBodies[poisonBody] = true
	w.listInstances()
	w.runFor(time.Second)
	return w
}

// crashes is the number of targets that crashed.
func (w *world) crashes() int {
	sum := 0
	for _, t := range w.targets {
		sum += t.crashes
	}
	return sum
}

// knowsCrash reports whether an instance knows that the body crashed a target.
func (w *world) knowsCrash(name string) bool {
	s := w.nodes[name].node.quarantine.byBody[poisonBody]
	return s != nil && s.record.Count() > 0
}

// poisonOpen reports whether a poison request is open at a running incarnation.
func (w *world) poisonOpen() bool {
	for _, c := range w.callers {
		if an := w.answers[c]; an.request.BodyHash == poisonBody && !an.done && w.nodes[c.instance].incarnation == c.incarnation {
			return true
		}
	}
	return false
}

// poisonMayArrive reports whether the bound on crashes covers a poison request
// that arrives at an instance: the first crash is known there, or no attempt of
// the body can have been started elsewhere.
func (w *world) poisonMayArrive(name string) bool {
	return w.knowsCrash(name) || (w.crashes() == 0 && !w.poisonOpen() && len(w.pending) == 0)
}

func TestAPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := poisonWorld(3)
		actions := w.faultActions(func(string) bool { return true })
		send := func(rt *rapid.T) {
			to := rapid.SampledFrom(w.nodeNames()).Draw(rt, "to")
			key := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(rt, "key")
			if w.poisonMayArrive(to) {
				w.send(to, poisonRequest(key, key != "p3"))
			}
		}
		actions["send"], actions["send again"] = send, send
		actions["send to all"] = func(*rapid.T) {
			for i, name := range w.nodeNames() {
				if w.poisonMayArrive(name) {
					w.send(name, poisonRequest(fmt.Sprintf("p%d", 4+i), true))
				}
			}
		}
		actions["send other"] = func(rt *rapid.T) {
			key := fmt.Sprintf("k%d", rapid.IntRange(1, 9).Draw(rt, "key"))
			w.send(rapid.SampledFrom(w.nodeNames()).Draw(rt, "to"), exampleRequest(key, 10, true))
		}
		actions[""] = func(rt *rapid.T) {
			if n := w.crashes(); n > 2 {
				rt.Fatalf("%d targets crashed", n)
			}
		}
		rt.Repeat(actions)
		w.heal(10 * time.Second)
		if w.crashes() < 2 {
			return
		}
		w.checkQuarantineLasts(rt)
	})
}

// checkQuarantineLasts checks that after a restart of all instances the request
// is refused as quarantined and crashes no target. The refusal may need one read
// from the platform if an instance died while it held the claim.
func (w *world) checkQuarantineLasts(rt *rapid.T) {
	crashes := w.crashes()
	for _, name := range w.nodeNames() {
		w.startNode(name)
	}
	w.listInstances()
	w.runFor(8 * time.Second)
	for i, name := range w.nodeNames() {
		c := w.send(name, poisonRequest(fmt.Sprintf("again%d", i), true))
		w.runFor(time.Second)
		if an := w.answers[c]; an.refused != errkind.Quarantined {
			rt.Fatalf("a resend to %s after restarts got %q", name, an.refused)
		}
	}
	if n := w.crashes(); n != crashes {
		rt.Fatalf("%d targets crashed, %d before the restarts", n, crashes)
	}
}

func TestQuarantineAnswers(t *testing.T) {
	Convey("Given a request that crashes its targets", t, func() {
		w := poisonWorld(3)
		c := w.send("n1", poisonRequest("p", true))
		w.runFor(3 * time.Second)
		So(w.crashes(), ShouldEqual, 2)
		So(w.answers[c].refused, ShouldEqual, errkind.Quarantined)
		So(w.answers[c].ran, ShouldEqual, errkind.RanUnknown)
		Convey("its key and its body get the same answer immediately at every instance", func() {
			for _, name := range w.nodeNames() {
				sameKey := exampleRequest("p", 10, true)
				So(w.answers[w.send(name, sameKey)].refused, ShouldEqual, errkind.Quarantined)
				So(w.answers[w.send(name, poisonRequest("other", false))].refused, ShouldEqual, errkind.Quarantined)
			}
			w.runFor(time.Second)
			So(w.crashes(), ShouldEqual, 2)
		})
	})
	Convey("Given an instance that dies while its claimed attempt crashes the second target", t, func() {
		w := poisonWorld(3)
		w.send("n1", poisonRequest("p", true))
		for w.crashes() < 2 && w.now < time.Minute {
			if len(w.pending) == 0 {
				w.tick(event.TickPeriod)
				continue
			}
			w.deliver(0)
		}
		w.startNode("n1")
		w.listInstances()
		w.runFor(time.Second)
		Convey("the claim counts as a crash", func() {
			c := w.send("n2", poisonRequest("p", true))
			w.runFor(time.Second)
			So(w.answers[c].refused, ShouldEqual, errkind.Quarantined)
			So(w.crashes(), ShouldEqual, 2)
		})
	})
	Convey("Given a target that crashes while it runs an innocent request", t, func() {
		w := poisonWorld(2)
		c := w.send("n1", exampleRequest("k", 10, true))
		for len(w.pending) > 0 && len(w.answers[c].attempts) == 0 {
			w.deliver(0)
		}
		w.poisonBodies["hash-k"] = true
		for w.crashes() == 0 {
			w.deliver(0)
		}
		w.poisonBodies["hash-k"] = false
		Convey("it completes at another target and is no longer suspect", func() {
			w.runFor(3 * time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.nodes["n2"].node.quarantine.byBody["hash-k"].record.Count(), ShouldEqual, 0)
		})
	})
}

// TestInnocentRequestsAreNotQuarantined checks that requests complete although
// a poison request crashes targets that run them, with messages and platform
// answers in any order.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := poisonWorld(3)
		var innocents []caller
		send := func(rt *rapid.T) {
			to := rapid.SampledFrom(w.nodeNames()).Draw(rt, "to")
			innocents = append(innocents, w.send(to, exampleRequest(fmt.Sprintf("k%d", len(innocents)), 10, true)))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"send": send, "send another": send, "send one more": send,
			"poison": func(rt *rapid.T) {
				to := rapid.SampledFrom(w.nodeNames()).Draw(rt, "to")
				if w.poisonMayArrive(to) {
					w.send(to, poisonRequest(fmt.Sprintf("p%d", rapid.IntRange(1, 3).Draw(rt, "key")), true))
				}
			},
			"arrive": w.deliverAny, "arrive again": w.deliverAny, "arrive more": w.deliverAny,
			"tick":   func(rt *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond) },
			"settle": func(*rapid.T) { w.runFor(50 * time.Millisecond) },
			"pass":   func(*rapid.T) { w.runFor(2 * time.Second) },
		})
		w.heal(10 * time.Second)
		for _, c := range innocents {
			if an := w.answers[c]; !an.complete {
				rt.Fatalf("innocent request %s was refused as %q", an.request.Key, an.refused)
			}
		}
	})
}
