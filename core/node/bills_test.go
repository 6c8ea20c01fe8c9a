package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// lastHolder reports whether an instance is the last holder of a line that is
// not in the log and that a second instance held before. Killing it causes the
// one loss that the design accepts: the owner and all backups of a line die
// before one of them has detected the end of the others. An instance that is
// stopping does not count.
func (w *world) lastHolder(name string) bool {
	billed := w.bills()
	for _, c := range w.callers {
		an := w.answers[c]
		id := bill.RequestID{Customer: an.request.Customer, Key: an.request.Key}
		if !an.complete || billed[id] > 0 || len(w.holders[id]) < 2 {
			continue
		}
		holders := slices.DeleteFunc(w.nodeNames(), func(n string) bool {
			return w.nodes[n].node.stopping || w.nodes[n].node.bills.held.byID[id] == nil
		})
		if len(holders) == 0 || slices.Equal(holders, []string{name}) {
			return true
		}
	}
	return false
}

// heal ends all faults, starts stopped instances again and lets the fleet run
// for a span of virtual time.
func (w *world) heal(span time.Duration) {
	w.platformDown, w.loss = false, loseNothing
	w.cutPlatform, w.cutPeers = map[string]bool{}, map[string]bool{}
	for _, name := range w.nodeNames() {
		w.nodes[name].paused = false
		if w.nodes[name].stopped {
			w.startNode(name)
		}
	}
	w.listInstances()
	w.runFor(span)
}

// billViolations lists complete answers that don't have exactly one bill line,
// and instances that still hold lines.
func (w *world) billViolations() []string {
	var out []string
	billed := w.bills()
	for _, c := range w.callers {
		an := w.answers[c]
		id := bill.RequestID{Customer: an.request.Customer, Key: an.request.Key}
		if an.complete && billed[id] != 1 {
			out = append(out, fmt.Sprintf("request %s: complete answer, %d bills", id.Key, billed[id]))
		}
	}
	for _, name := range w.nodeNames() {
		in := w.nodes[name]
		if held := len(in.node.bills.held.order); held > 0 && !in.stopped {
			out = append(out, fmt.Sprintf("%s still holds %d lines", name, held))
		}
	}
	return out
}

// faultActions returns the fault injections that the property tests of this
// package share. An instance is killed only if mayKill allows it.
func (w *world) faultActions(mayKill func(string) bool) map[string]func(*rapid.T) {
	node := func(rt *rapid.T) string { return rapid.SampledFrom(w.nodeNames()).Draw(rt, "instance") }
	return map[string]func(*rapid.T){
		"arrive":       w.deliverAny,
		"arrive again": w.deliverAny,
		"arrive first": func(*rapid.T) {
			if len(w.pending) > 0 {
				w.deliver(0)
			}
		},
		"tick":   func(rt *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond) },
		"settle": func(*rapid.T) { w.runFor(50 * time.Millisecond) },
		"pass":   func(*rapid.T) { w.runFor(4 * time.Second) },
		"platform": func(rt *rapid.T) {
			w.platformDown = rapid.Bool().Draw(rt, "down")
		},
		"lose": func(rt *rapid.T) {
			w.loss = rapid.SampledFrom([]writeLoss{loseWrite, loseAnswer, loseLate}).Draw(rt, "loss")
		},
		"cut": func(rt *rapid.T) { w.cutPlatform[node(rt)] = rapid.Bool().Draw(rt, "cut") },
		"cut peers": func(rt *rapid.T) {
			w.cutPeers[pair(node(rt), node(rt))] = rapid.Bool().Draw(rt, "cut")
		},
		"pause": func(rt *rapid.T) { w.nodes[node(rt)].paused = rapid.Bool().Draw(rt, "paused") },
		"kill": func(rt *rapid.T) {
			if name := node(rt); mayKill(name) {
				w.startNode(name)
				w.listInstances()
			}
		},
	}
}

func TestEachCompleteAnswerIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := readyWorld(3, 100_000)
		sent := 0
		actions := w.faultActions(func(name string) bool { return !w.lastHolder(name) })
		actions["send"] = func(rt *rapid.T) {
			sent++
			key := fmt.Sprintf("k%d", rapid.IntRange(1, max(1, sent/2)).Draw(rt, "key"))
			w.send(rapid.SampledFrom(w.nodeNames()).Draw(rt, "to"), exampleRequest(key, 10, true))
		}
		actions["send and settle"] = func(rt *rapid.T) {
			actions["send"](rt)
			w.runFor(50 * time.Millisecond)
		}
		actions["stop"] = func(rt *rapid.T) {
			in := w.nodes[rapid.SampledFrom(w.nodeNames()).Draw(rt, "instance")]
			w.step(in, event.Event{ShutdownRequired: &event.ShutdownRequired{}})
		}
		rt.Repeat(actions)
		w.heal(15 * time.Second)
		if v := append(w.billViolations(), w.violations(map[string]int64{"b": 100_000})...); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
	})
}

func TestBillsWhilePlatformIsDown(t *testing.T) {
	Convey("Given a fleet whose platform goes down", t, func() {
		w := readyWorld(2, 10_000)
		w.send("n1", exampleRequest("first", 100, true)) // fetches a grant
		w.runFor(time.Second)
		w.platformDown = true
		Convey("an answer is released once a peer holds its line, and the line survives its instance", func() {
			c := w.send("n1", exampleRequest("k", 10, true))
			w.runFor(100 * time.Millisecond)
			So(w.answers[c].complete, ShouldBeTrue)
			w.startNode("n1")
			w.listInstances()
			w.heal(10 * time.Second)
			So(w.billViolations(), ShouldBeEmpty)
		})
		Convey("an instance without a peer refuses new requests immediately as not run", func() {
			w.cutPeers[pair("n1", "n2")] = true
			w.runFor(5 * time.Second)
			c := w.send("n1", exampleRequest("k", 10, true))
			So(w.answers[c].refused, ShouldEqual, errkind.Isolated)
			So(w.answers[c].ran, ShouldEqual, errkind.RanNo)
		})
		Convey("an instance whose policy is to serve when isolated serves", func() {
			w.cutPeers[pair("n1", "n2")] = true
			w.runFor(5 * time.Second)
			w.nodes["n1"].node.configs.index.Document.Policies.Billing.WhenIsolated = config.IsolatedServe
			c := w.send("n1", exampleRequest("k", 10, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
		})
	})
}
