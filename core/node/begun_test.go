package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// begunViolations checks non-idempotent requests against the targets' records:
// a key ran at most once, each replay returns the answer of that run, and a key
// whose callers were all told that it did not run can be used again. The last
// is not checked for a key whose instance died before it released the record.
func (w *world) begunViolations() []string {
	var out []string
	refusedOnly := map[bill.RequestID]bool{}
	for _, c := range w.callers {
		an := w.answers[c]
		id := bill.RequestID{Customer: an.request.Customer, Key: an.request.Key}
		runs := w.runsOf(id)
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("request %s ran %d times", id.Key, len(runs)))
		}
		if an.replayed && !slices.Equal(runs, []string{an.body}) {
			out = append(out, fmt.Sprintf("request %s: replay of %q, ran %v", id.Key, an.body, runs))
		}
		notRun := an.done && an.refused != errkind.None && an.ran == errkind.RanNo
		if _, ok := refusedOnly[id]; !ok {
			refusedOnly[id] = true
		}
		refusedOnly[id] = refusedOnly[id] && notRun && w.nodes[c.instance].incarnation == c.incarnation
	}
	for _, id := range w.requestIDs() {
		if !refusedOnly[id] {
			continue
		}
		c := w.send(w.nodeNames()[0], exampleRequest(id.Key, 10, false))
		w.runFor(2 * time.Second)
		if an := w.answers[c]; !an.complete {
			out = append(out, fmt.Sprintf("request %s was only ever refused as not run, but its key is now refused as %s", id.Key, an.refused))
		}
	}
	return out
}

// requestIDs lists the requests that were sent, in order.
func (w *world) requestIDs() []bill.RequestID {
	var ids []bill.RequestID
	for _, c := range w.callers {
		r := w.answers[c].request
		if id := (bill.RequestID{Customer: r.Customer, Key: r.Key}); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := readyWorld(3, 100_000)
		sent := 0
		actions := w.faultActions(func(name string) bool { return !w.lastHolder(name) })
		actions["send"] = func(rt *rapid.T) {
			sent++
			key := fmt.Sprintf("k%d", rapid.IntRange(1, max(1, sent/3)).Draw(rt, "key"))
			w.send(rapid.SampledFrom(w.nodeNames()).Draw(rt, "to"), exampleRequest(key, 10, false))
		}
		actions["send and settle"] = func(rt *rapid.T) {
			actions["send"](rt)
			w.runFor(50 * time.Millisecond)
		}
		actions["lose and send"] = func(rt *rapid.T) {
			actions["send"](rt)
			actions["lose"](rt)
			w.runFor(20 * time.Millisecond)
		}
		actions["caller leaves"] = w.disconnectCaller
		actions["target"] = w.disruptTarget
		rt.Repeat(actions)
		for _, target := range w.targets {
			target.dead, target.cutNext = false, false
		}
		w.heal(15 * time.Second)
		v := append(w.begunViolations(), w.billViolations()...)
		if v = append(v, w.violations(map[string]int64{"b": 100_000})...); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
	})
}

func TestCallerLeavesBeforeDispatch(t *testing.T) {
	Convey("Given a request whose begun record is being written", t, func() {
		w := readyWorld(2, 10_000)
		w.send("n1", exampleRequest("other", 10, true)) // fetches a grant
		w.runFor(time.Second)
		c := w.send("n1", exampleRequest("k", 10, false))
		Convey("a caller that leaves is told that it did not run, and the key can be used again", func() {
			w.step(w.nodes["n1"], event.Event{CallerGone: &event.CallerGone{Request: c.handle}})
			w.runFor(time.Second)
			So(w.answers[c].ran, ShouldEqual, errkind.RanNo)
			again := w.send("n2", exampleRequest("k", 10, false))
			w.runFor(time.Second)
			So(w.answers[again].complete, ShouldBeTrue)
		})
	})
}

func TestNonIdempotentRequestIsResent(t *testing.T) {
	Convey("Given a non-idempotent request that runs at one instance", t, func() {
		w := readyWorld(2, 10_000)
		w.send("n2", exampleRequest("other", 10, true)) // fetches a grant
		w.runFor(time.Second)
		w.send("n1", exampleRequest("k", 10, false))
		for len(w.runsOf(bill.RequestID{Customer: "c", Key: "k"})) == 0 {
			w.deliver(0)
		}
		Convey("another instance answers that it is in progress", func() {
			w.nodes["n1"].paused = true
			c := w.send("n2", exampleRequest("k", 10, false))
			w.runFor(time.Second)
			So(w.answers[c].refused, ShouldEqual, errkind.InProgress)
			So(w.answers[c].ran, ShouldEqual, errkind.RanUnknown)
		})
		Convey("the next incarnation of that instance answers that the outcome is unknown", func() {
			w.startNode("n1")
			w.listInstances()
			w.runFor(2 * time.Second)
			c := w.send("n1", exampleRequest("k", 10, false))
			w.runFor(time.Second)
			So(w.answers[c].refused, ShouldEqual, errkind.OutcomeUnknown)
		})
		Convey("another body under its key is refused", func() {
			r := exampleRequest("k", 10, false)
			r.BodyHash = "another"
			c := w.send("n2", r)
			w.runFor(time.Second)
			So(w.answers[c].refused, ShouldEqual, errkind.KeyReused)
		})
		Convey("with the platform down, a new request is refused immediately as not run", func() {
			w.runFor(time.Second)
			w.platformDown = true
			c := w.send("n2", exampleRequest("k2", 10, false))
			w.runFor(50 * time.Millisecond)
			So(w.answers[c].refused, ShouldEqual, errkind.PlatformUnavailable)
			So(w.answers[c].ran, ShouldEqual, errkind.RanNo)
		})
	})
}
