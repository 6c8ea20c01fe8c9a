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
	"plantainfield.example/core/retry"
)

// handOverWorld is a world in which n1 reaches no target, and losses of what it hands
// over are drawn.
type handOverWorld struct {
	*world
	sent []caller
}

const handOverPrepaid = 1_000_000

func newHandOverWorld(rt *rapid.T) *handOverWorld {
	w := newWorld(rapid.Uint64Range(1, 1<<32).Draw(rt, "seed"))
	w.disabled = Features{Bills: true, BegunRecords: rapid.Bool().Draw(rt, "no begun records"), QuarantineClaims: true}
	w.addTarget("t3", "m")
	w.addTarget("t4", "m")
	w.ready(4, handOverPrepaid, func(p *config.GrantPolicy) { p.SizeTokens = 2000 })
	h := &handOverWorld{world: w}
	for _, name := range w.nodeNames() {
		w.send(name, exampleRequest("first-"+name, 10, true))
	}
	w.runFor(time.Second)
	w.cutTargets["n1"] = true
	w.send("n1", exampleRequest("cut-1", 10, true))
	w.runFor(3 * time.Second)
	return h
}

func (h *handOverWorld) sendDrawn(rt *rapid.T) {
	r := exampleRequest(fmt.Sprint("k", len(h.sent)), rapid.Int64Range(1, 100).Draw(rt, "tokens"), false)
	switch rapid.IntRange(0, 2).Draw(rt, "kind") {
	case 0:
		r.Idempotent = true
	case 1:
		r.Idempotent, r.Resumable = rapid.Bool().Draw(rt, "idempotent"), true
	}
	r.MaxAttempts = rapid.IntRange(0, 3).Draw(rt, "attempts")
	r.NoTokenHandOver = rapid.Bool().Draw(rt, "no token hand-over")
	h.sent = append(h.sent, h.send("n1", r))
}

// open returns a hand-over that has not ended, or nil if there is none.
func (h *handOverWorld) open(rt *rapid.T) *handOver {
	var open []*handOver
	for _, o := range h.handOvers {
		if !o.ended {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(rt, "hand-over")
}

// mayHaveDelivered reports whether the peer of a hand-over has sent the request to a
// target, so that a part of the response may have reached the caller.
func (h *handOverWorld) mayHaveDelivered(o *handOver) bool { return len(h.answers[o.at].attempts) > 0 }

func (h *handOverWorld) actions() map[string]func(*rapid.T) {
	peer := func(rt *rapid.T) string { return rapid.SampledFrom([]string{"n2", "n3", "n4"}).Draw(rt, "peer") }
	target := func(rt *rapid.T) *fakeTarget {
		return h.targets[rapid.SampledFrom(sortedKeys(h.targets)).Draw(rt, "target")]
	}
	return map[string]func(*rapid.T){
		"send": h.sendDrawn, "send another": h.sendDrawn, "arrive": h.deliverAny, "arrive again": h.deliverAny, "arrive third": h.deliverAny,
		"tick": func(rt *rapid.T) { h.tick(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond) },
		"reset": func(rt *rapid.T) {
			if o := h.open(rt); o != nil {
				h.loseHandOver(o, h.mayHaveDelivered(o) && rapid.Bool().Draw(rt, "bytes delivered"))
			}
		},
		"silent": func(rt *rapid.T) {
			if o := h.open(rt); o != nil {
				h.timeOutHandOver(o)
			}
		},
		"kill": func(rt *rapid.T) {
			h.startNode(peer(rt))
			h.listInstances()
		},
		"stop": func(rt *rapid.T) {
			h.step(h.nodes[peer(rt)], event.Event{ShutdownRequired: &event.ShutdownRequired{Linger: time.Second}})
		},
		"restart": func(rt *rapid.T) {
			if name := peer(rt); h.nodes[name].stopped {
				h.startNode(name)
				h.listInstances()
			}
		},
		"leave": func(rt *rapid.T) {
			if len(h.sent) > 0 {
				c := rapid.SampledFrom(h.sent).Draw(rt, "caller")
				h.stepAt(c, event.Event{CallerGone: &event.CallerGone{Request: c.handle}})
			}
		},
		"target dies":    func(rt *rapid.T) { target(rt).dead = rapid.Bool().Draw(rt, "dead") },
		"target fails":   func(rt *rapid.T) { target(rt).cutNext = true },
		"target rejects": func(rt *rapid.T) { target(rt).rejectNext = true },
		"cut targets":    func(rt *rapid.T) { h.cutTargets["n1"] = rapid.IntRange(0, 3).Draw(rt, "reached") > 0 },
		"cut peers":      func(rt *rapid.T) { h.cutPeers[pair("n1", peer(rt))] = rapid.Bool().Draw(rt, "cut") },
		"cut platform":   func(rt *rapid.T) { h.cutPlatform[peer(rt)] = rapid.Bool().Draw(rt, "cut") },
	}
}

// heal ends all disturbances and lets everything that is open end.
func (h *handOverWorld) heal() {
	clear(h.cutTargets)
	clear(h.cutPeers)
	clear(h.cutPlatform)
	for _, t := range h.targets {
		t.dead, t.cutNext, t.rejectNext = false, false, false
	}
	for _, name := range h.nodeNames() {
		if in := h.nodes[name]; in.stopped || in.node.stopping {
			h.startNode(name)
		}
	}
	h.listInstances()
	h.runFor(15 * time.Second)
}

// arrivals returns how often a request reached a target.
func (h *handOverWorld) arrivals(key string) int {
	count := len(h.runsOf(bill.RequestID{Customer: "c", Key: key}))
	for _, t := range h.targets {
		for _, rejected := range t.rejected {
			if rejected == key {
				count++
			}
		}
	}
	return count
}

func (h *handOverWorld) problemsFound() []string {
	out := h.violations(map[string]int64{"b": handOverPrepaid})
	first, beyond := 0, 0
	for _, c := range h.sent {
		an := h.answers[c]
		arrivals := h.arrivals(an.request.Key)
		allowed := an.request.MaxAttempts
		if allowed == 0 {
			allowed = int(config.Defaults().Policies.Retries.MaxAttempts)
		}
		if arrivals > allowed {
			out = append(out, fmt.Sprintf("request %s: %d arrivals at targets, %d allowed", an.request.Key, arrivals, allowed))
		}
		if !an.done {
			out = append(out, fmt.Sprintf("request %s was never answered", an.request.Key))
		}
		if an.done && an.refused != errkind.None && an.ran == errkind.RanNo && len(h.runsOf(bill.RequestID{Customer: "c", Key: an.request.Key})) > 0 {
			out = append(out, fmt.Sprintf("request %s: refused as not run (%s), but ran", an.request.Key, an.refused))
		}
		first++
		beyond += max(0, arrivals-1)
	}
	share := config.Defaults().Policies.Retries.BudgetPerMille
	if most := int64(h.incarnations())*retry.DefaultReserve + int64(first)*share/1000; int64(beyond) > most {
		out = append(out, fmt.Sprintf("%d arrivals beyond the first of %d requests, at most %d allowed", beyond, first, most))
	}
	for _, name := range h.nodeNames() {
		if open := h.nodes[name].node.requests.open(); open > 0 {
			out = append(out, fmt.Sprintf("%s has %d open requests", name, open))
		}
	}
	return out
}

// incarnations is the number of processes that have run.
func (h *handOverWorld) incarnations() int {
	sum := 0
	for _, name := range h.nodeNames() {
		sum += h.nodes[name].incarnation
	}
	return sum
}

// An instance panicked when a request that it had handed over before any attempt of its
// own was lost with the peer, and sent requests to more targets than they may be sent to.
func TestLostHandOversKeepThePromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHandOverWorld(rt)
		rt.Repeat(h.actions())
		h.heal()
		if found := h.problemsFound(); len(found) > 0 {
			rt.Fatalf("%v", found)
		}
		c := h.send("n1", exampleRequest("last", 10, true))
		if !h.answeredWithin(c, 2*time.Second) || !h.answers[c].complete {
			rt.Fatalf("n1 serves no request after the disturbances: %+v", h.answers[c])
		}
	})
}

// handedOver returns a world of which n1 has handed a request over that its peer has
// sent to a target, and that hand-over.
func handedOver(r event.RequestArrived) (*world, caller, *handOver) {
	w := partitionedWorld(3)
	c := w.send("n1", r)
	for {
		i := slices.IndexFunc(w.handOvers, func(h *handOver) bool { return h.from == c })
		if i >= 0 && len(w.answers[w.handOvers[i].at].attempts) > 0 {
			return w, c, w.handOvers[i]
		}
		w.deliver(0)
	}
}

func TestRequestWhoseHandOverIsLostIsServedByAnotherPeer(t *testing.T) {
	Convey("Given a request that a peer has sent to a target", t, func() {
		for name, kind := range map[string]func(*event.RequestArrived){
			"may be repeated": func(r *event.RequestArrived) { r.Idempotent = true },
			"may be resumed":  func(r *event.RequestArrived) { r.Resumable = true },
		} {
			for _, delivered := range []bool{false, true} {
				Convey(fmt.Sprintf("which %s: after the loss, with a part delivered: %v", name, delivered), func() {
					r := exampleRequest("k", 10, false)
					r.MaxAttempts = 2
					kind(&r)
					w, c, h := handedOver(r)
					w.loseHandOver(h, delivered)
					So(w.answeredWithin(c, time.Second), ShouldBeTrue)
					if delivered && !r.Resumable {
						So(w.answers[c].refused, ShouldEqual, errkind.StreamCut)
						So(w.answers[c].ran, ShouldEqual, errkind.RanUnknown)
						return
					}
					So(w.answers[c].complete, ShouldBeTrue)
					So(len(w.runsOf(bill.RequestID{Customer: "c", Key: "k"})), ShouldBeLessThanOrEqualTo, 2)
				})
			}
		}
		Convey("which may run once: it is not sent again, and its answer doesn't say that it has not run", func() {
			w, c, h := handedOver(exampleRequest("k", 10, false))
			w.loseHandOver(h, false)
			So(w.answeredWithin(c, time.Second), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.OutcomeUnknown)
			So(w.answers[c].ran, ShouldEqual, errkind.RanUnknown)
			So(len(w.runsOf(bill.RequestID{Customer: "c", Key: "k"})), ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("which may be sent to one target: it is not sent again", func() {
			r := exampleRequest("k", 10, true)
			r.MaxAttempts = 1
			w, c, h := handedOver(r)
			w.loseHandOver(h, false)
			So(w.answeredWithin(c, time.Second), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.TargetFailed)
		})
	})
}

func TestLostHandOverIsNotAFailedTarget(t *testing.T) {
	Convey("A request that no target was tried for here counts none as failed after the loss of its hand-over", t, func() {
		w, _, h := handedOver(exampleRequest("k", 10, true))
		r := w.nodes["n1"].node.requests.byHandle[h.from.handle]
		w.loseHandOver(h, false)
		for !h.ended || slices.ContainsFunc(w.pending, func(d delivery) bool { return d.label == "hand over lost" }) {
			w.deliver(0)
		}
		So(r.failedTargets, ShouldBeEmpty)
	})
}
