package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/event"
)

// rarely returns an event with what drivers report only now and then.
func rarely(rt *rapid.T, w *world, e event.Event) event.Event {
	switch {
	case e.AttemptEnded != nil:
		end := *e.AttemptEnded
		end.Ago = time.Duration(rapid.Int64Range(0, 2e9).Draw(rt, "ago"))
		end.BetweenTokens = time.Duration(rapid.Int64Range(0, 1e9).Draw(rt, "between tokens"))
		end.TargetLeaving = end.Outcome == event.AttemptNotStarted && rapid.Bool().Draw(rt, "target leaving")
		e.AttemptEnded = &end
	case e.HandOverEnded != nil:
		end := *e.HandOverEnded
		end.RetryAfter = time.Duration(rapid.Int64Range(0, 60e9).Draw(rt, "retry after"))
		e.HandOverEnded = &end
	case e.InstancesListed != nil:
		list := *e.InstancesListed
		list.UnusableTargets = rapid.SliceOfN(rapid.SampledFrom(sortedKeys(w.targets)), 0, 1).Draw(rt, "unusable targets")
		e.InstancesListed = &list
	}
	return e
}

// The event that ended a process was one that no test had sent.
func TestRareEventsLeaveRequestsAnswered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := readyWorld(3, 100_000)
		w.era = 2
		w.runFor(time.Second)
		w.hooks.receive = func(_ *instance, e event.Event) event.Event { return rarely(rt, w, e) }
		node := func() *instance { return w.nodes[rapid.SampledFrom(w.nodeNames()).Draw(rt, "instance")] }
		target := func() string { return rapid.SampledFrom(sortedKeys(w.targets)).Draw(rt, "target") }
		var sent []caller
		hashes := rapid.SliceOfN(rapid.Uint64Range(1, 9), 0, 4)
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				r := exampleRequest(fmt.Sprint("k", len(sent)), 10, true)
				r.PrefixHashes = hashes.Draw(rt, "prefixes")
				sent = append(sent, w.send(node().name, r))
			},
			"arrive": w.deliverAny,
			"tick":   func(rt *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond) },
			"report": func(rt *rapid.T) {
				w.step(node(), event.Event{TargetReported: &event.TargetReported{
					Target: target(), Running: rapid.IntRange(0, 100).Draw(rt, "running"), Waiting: rapid.IntRange(0, 100).Draw(rt, "waiting"),
					CachedPrefixes: hashes.Draw(rt, "cached"), EvictedPrefixes: hashes.Draw(rt, "evicted"), CacheEventGap: rapid.Bool().Draw(rt, "gap"),
				}})
			},
			"brittle": func(rt *rapid.T) {
				name := target()
				w.step(node(), event.Event{TargetNotice: &event.TargetNotice{Target: name, Address: w.targets[name].info.Address, Brittle: rapid.Bool().Draw(rt, "brittle")}})
			},
			"target": w.disruptTarget,
			"cut targets": func(rt *rapid.T) {
				w.cutTargets["n1"] = rapid.Bool().Draw(rt, "cut")
			},
			"list":   func(*rapid.T) { w.listInstances() },
			"status": func(*rapid.T) { w.step(node(), event.Event{StatusRequested: &event.StatusRequested{Query: 1 << 40}}) },
			"era":    func(*rapid.T) { w.step(node(), event.Event{EraSeen: &event.EraSeen{Era: w.era}}) },
		})
		w.hooks.receive = nil
		clear(w.cutTargets)
		for _, t := range w.targets {
			t.dead, t.cutNext = false, false
		}
		w.listInstances()
		w.runFor(30 * time.Second)
		for _, c := range sent {
			if !w.answers[c].done {
				rt.Fatalf("request %s was never answered", w.answers[c].request.Key)
			}
		}
		if v := w.violations(map[string]int64{"b": 100_000}); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
	})
}
