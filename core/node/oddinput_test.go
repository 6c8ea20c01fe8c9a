package node

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
)

// frequentGrants makes instances exchange tokens, and write for each other, all the time.
func frequentGrants(p *config.GrantPolicy) {
	p.SizeTokens, p.PeerTransfer, p.CombineUpdates = 300, true, true
}

// fromOutside reports whether an event holds what another process has sent.
func fromOutside(e event.Event) bool {
	return e.PeerReceived != nil || e.PlatformResult != nil || e.InstancesListed != nil || e.ObjectSeen != nil || e.TargetReported != nil
}

// mutate replaces one value inside a decoded JSON value by an odd one.
func mutate(rt *rapid.T, v any) any {
	switch c := v.(type) {
	case map[string]any:
		if len(c) > 0 && rapid.IntRange(0, 9).Draw(rt, "deeper") > 0 {
			key := rapid.SampledFrom(sortedKeys(c)).Draw(rt, "key")
			c[key] = mutate(rt, c[key])
			return c
		}
	case []any:
		if len(c) > 0 && rapid.IntRange(0, 9).Draw(rt, "deeper") > 0 {
			i := rapid.IntRange(0, len(c)-1).Draw(rt, "index")
			c[i] = mutate(rt, c[i])
			return c
		}
	}
	odd := []any{nil, map[string]any{}, []any{}, []any{nil}, "", "x", 0, -1, 1, math.MaxInt64, math.MinInt64, uint64(math.MaxUint64), 1 << 40, true, map[string]any{"x": nil}, map[string]any{"x": map[string]any{}}}
	return odd[rapid.IntRange(0, len(odd)-1).Draw(rt, "odd")]
}

// mutated returns an event with some odd values, or false if the event could not be
// received with them.
func mutated(rt *rapid.T, e event.Event) (event.Event, bool) {
	var v any
	if o := objectOf(&e); o != nil && len(o.Value) > 0 && rapid.Bool().Draw(rt, "in the object's value") {
		if json.Unmarshal(o.Value, &v) != nil {
			return e, false
		}
		raw, err := json.Marshal(mutate(rt, v))
		o.Value = raw
		return e, err == nil
	}
	raw, _ := json.Marshal(e)
	if json.Unmarshal(raw, &v) != nil {
		return e, false
	}
	for field, inner := range v.(map[string]any) {
		v = map[string]any{field: mutate(rt, inner)}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return e, false
	}
	var out event.Event
	err = json.Unmarshal(raw, &out)
	return out, err == nil && fromOutside(out)
}

// objectOf returns the object of the store that an event carries, as a copy inside the
// event, or nil.
func objectOf(e *event.Event) *event.Object {
	switch {
	case e.PlatformResult != nil:
		r := *e.PlatformResult
		e.PlatformResult = &r
		return &r.Object
	case e.ObjectSeen != nil:
		o := *e.ObjectSeen
		e.ObjectSeen = &o
		return &o.Object
	}
	return nil
}

// A panic that an odd message of a peer or an odd object of the store causes ends the
// process, and with it all that it has in progress.
func TestOddInputsOfOtherProcessesEndNoProcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"))
		if rapid.Bool().Draw(rt, "hosted") {
			w.disabled = Features{Bills: true, BegunRecords: true, QuarantineClaims: true}
		}
		w.ready(3, 6000, frequentGrants)
		d := budgetDocument(6000)
		frequentGrants(&d.Policies.Grants)
		d.Policies.Routing.Policy = config.RoutingLeastWork
		w.apply("n2", "op-2", d)
		w.poisonBodies["hash-poison"] = true
		w.runFor(time.Second)
		oneIn := rapid.IntRange(1, 20).Draw(rt, "one input in")
		w.hooks.receive = func(in *instance, e event.Event) event.Event {
			if in.name != "n1" || !fromOutside(e) || rapid.IntRange(0, oneIn).Draw(rt, "mutate") > 0 {
				return e
			}
			if odd, ok := mutated(rt, e); ok {
				return odd
			}
			return e
		}
		for round := range rapid.IntRange(1, 8).Draw(rt, "rounds") {
			w.sendOfEachKind(round)
			w.runFor(time.Duration(rapid.IntRange(20, 500).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				w.startNode("n2")
				w.listInstances()
			}
		}
	})
}

// sendOfEachKind sends requests at all instances that make them exchange messages of most
// kinds: resumed streams, long prompts, a body that crashes targets.
func (w *world) sendOfEachKind(round int) {
	for i, name := range w.nodeNames() {
		r := exampleRequest(fmt.Sprint(round, "-", i), 80, i%2 == 0)
		r.Parts = []placement.Part{{ID: 1, Tokens: 10}, {ID: uint64(round), Tokens: 20}}
		r.Resumable, r.Resumed, r.Resumes = true, round%3 == 1, fmt.Sprint(round-1, "-", i)
		w.send(name, r)
		poison := exampleRequest("poison", 1, true)
		poison.Parts = []placement.Part{{ID: 7, Tokens: 10}, {ID: uint64(i), Tokens: 20}}
		w.send(name, poison)
	}
}
