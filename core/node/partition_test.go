package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// partitionedWorld returns a world in which attempts and probes of n1 reach no
// target, and n1 knows it.
func partitionedWorld(instances int) *world {
	w := readyWorldWith(instances, 100_000, func(p *config.GrantPolicy) { p.SizeTokens = 2000 })
	for i := range instances {
		w.send(w.nodeNames()[i], exampleRequest("first", 10, true))
	}
	w.runFor(time.Second)
	w.cutTargets["n1"] = true
	w.send("n1", exampleRequest("cut-1", 10, true))
	w.runFor(2 * time.Second)
	return w
}

func TestRequestsOfPartitionedInstanceRunAtPeers(t *testing.T) {
	Convey("Given an instance that reaches no target", t, func() {
		w := partitionedWorld(3)
		So(w.nodes["n1"].node.reach.Unreached("m"), ShouldBeTrue)
		Convey("requests run at peers, also calls that may run once", func() {
			for _, idempotent := range []bool{true, false} {
				c := w.send("n1", exampleRequest("k"+map[bool]string{true: "1", false: "2"}[idempotent], 30, idempotent))
				So(w.answeredWithin(c, time.Second), ShouldBeTrue)
				So(w.answers[c].complete, ShouldBeTrue)
			}
			So(w.violations(map[string]int64{"b": 100_000}), ShouldBeEmpty)
		})
		Convey("a peer that refuses for a reason of its own is followed by another", func() {
			var handedTo []string
			w.hooks.onAction = func(_ *instance, a event.Action) {
				if a.HandOver != nil {
					handedTo = append(handedTo, a.HandOver.Peer)
				}
			}
			w.cutPeers[pair("n1", "n2")] = true
			for i := range 8 {
				c := w.send("n1", exampleRequest(fmt.Sprint("k", i), 30, true))
				So(w.answeredWithin(c, time.Second), ShouldBeTrue)
				So(w.answers[c].complete, ShouldBeTrue)
				if len(handedTo) > 1 {
					break
				}
			}
			So(handedTo, ShouldContain, "n2")
		})
		Convey("callers are directed to the others, until targets are reached again", func() {
			addresses := func(name string) []string {
				var named []string
				w.hooks.onAction = func(_ *instance, a event.Action) {
					if a.AnswerAddresses != nil {
						named = a.AnswerAddresses.Addresses
					}
				}
				w.step(w.nodes[name], event.Event{AddressesRequested: &event.AddressesRequested{Query: 1}})
				return named
			}
			So(addresses("n1"), ShouldHaveLength, 2)
			So(addresses("n1"), ShouldNotContain, "n1:1")
			w.cutTargets["n1"] = false
			w.runFor(time.Second)
			So(w.nodes["n1"].node.reach.Unreached("m"), ShouldBeFalse)
			So(addresses("n1"), ShouldHaveLength, 3)
		})
	})
}

// The decision loop panicked, and with it the process ended, when a request that was
// handed over before any attempt here was lost with the peer.
func TestInstanceGoesOnAfterHandOversAreLostWithTheirPeers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := partitionedWorld(4)
		var open []event.HandOver
		w.hooks.onAction = func(_ *instance, a event.Action) {
			if a.HandOver != nil {
				open = append(open, *a.HandOver)
			}
		}
		for i := range rapid.IntRange(1, 20).Draw(rt, "requests") {
			r := exampleRequest(fmt.Sprint("k", i), 10, rapid.Bool().Draw(rt, "idempotent"))
			r.Resumable = r.Idempotent && rapid.Bool().Draw(rt, "resumable")
			r.MaxAttempts = rapid.IntRange(0, 3).Draw(rt, "attempts")
			w.send("n1", r)
			for len(open) > 0 && rapid.Bool().Draw(rt, "lose") {
				lost := event.HandOverEnded{Request: open[0].Request, Lost: true, BytesDelivered: rapid.Bool().Draw(rt, "bytes delivered"), Attempts: open[0].MaxAttempts}
				open = open[1:]
				w.step(w.nodes["n1"], event.Event{HandOverEnded: &lost})
			}
			w.tick(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
		}
		w.cutTargets["n1"] = false
		w.runFor(2 * time.Second)
		c := w.send("n1", exampleRequest("last", 10, true))
		if !w.answeredWithin(c, 2*time.Second) || !w.answers[c].complete {
			rt.Fatalf("n1 serves no request after the losses: %+v", w.answers[c])
		}
	})
}
