package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// tokenRun is one run of a fleet whose instances are cut off, paused and
// killed, and whose budget gets other totals, at any moment.
type tokenRun struct {
	*world
	document config.Document
	// maxTotal is the largest prepaid total so far.
	maxTotal int64
	sent     int
	killed   bool
}

func newTokenRun(rt *rapid.T) *tokenRun {
	return newTokenRunOf(rt, rapid.Bool().Draw(rt, "sole process"))
}

func newTokenRunOf(rt *rapid.T, soleProcess bool) *tokenRun {
	r := &tokenRun{maxTotal: 600}
	policy := rapid.SampledFrom([]string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive, config.GrantSpread}).Draw(rt, "policy")
	transfer, combine := rapid.Bool().Draw(rt, "transfer"), rapid.Bool().Draw(rt, "combine")
	set := func(p *config.GrantPolicy) { p.Policy, p.PeerTransfer, p.CombineUpdates = policy, transfer, combine }
	r.world = newWorld(1)
	r.soleProcess = soleProcess
	r.ready(3, r.maxTotal, set)
	r.document = budgetDocument(r.maxTotal)
	set(&r.document.Policies.Grants)
	return r
}

func (r *tokenRun) node(rt *rapid.T) string {
	return rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(rt, "instance")
}

// total applies another prepaid total at a random instance.
func (r *tokenRun) total(rt *rapid.T) {
	at := r.nodes[r.node(rt)]
	r.document.BasedOnGeneration = at.node.configs.generation()
	r.document.Budgets[0].PrepaidTokens = rapid.Int64Range(100, 1200).Draw(rt, "total")
	r.maxTotal = max(r.maxTotal, r.document.Budgets[0].PrepaidTokens)
	r.apply(at.name, fmt.Sprintf("op-%d", r.handle), r.document)
}

func (r *tokenRun) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": func(rt *rapid.T) {
			r.sent++
			r.send(r.node(rt), exampleRequest(fmt.Sprintf("k%d", r.sent), rapid.Int64Range(1, 300).Draw(rt, "tokens"), true))
		},
		"arrive":       r.deliverAny,
		"arrive again": r.deliverAny,
		"arrive more":  r.deliverAny,
		"tick": func(rt *rapid.T) {
			r.tick(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
		},
		"settle":   func(*rapid.T) { r.runFor(100 * time.Millisecond) },
		"platform": func(rt *rapid.T) { r.platformDown = rapid.Bool().Draw(rt, "down") },
		"cut platform": func(rt *rapid.T) {
			r.cutPlatform[r.node(rt)] = rapid.Bool().Draw(rt, "cut")
		},
		"cut peers": func(rt *rapid.T) {
			r.cutPeers[pair(r.node(rt), r.node(rt))] = rapid.Bool().Draw(rt, "cut")
		},
		"lose answers": func(rt *rapid.T) { r.loseAnswers = rapid.Bool().Draw(rt, "lose") },
		"repeat message": func(rt *rapid.T) {
			for _, f := range r.pending {
				if f.label == "peer" {
					r.schedule(f.label, f.run)
					return
				}
			}
		},
		"pause": func(rt *rapid.T) { r.nodes[r.node(rt)].paused = rapid.Bool().Draw(rt, "paused") },
		"kill": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "chance") == 0 {
				r.killed = true
				r.startNode(r.node(rt))
				r.listInstances()
			}
		},
		"total": r.total,
		"": func(rt *rapid.T) {
			if v := r.violations(map[string]int64{"b": r.maxTotal}); len(v) > 0 {
				rt.Fatalf("violations: %v", v)
			}
		},
	}
}

// stopAll ends all faults and stops all instances.
func (r *tokenRun) stopAll(rt *rapid.T) {
	r.platformDown, r.loseAnswers = false, false
	clear(r.cutPlatform)
	clear(r.cutPeers)
	for _, in := range r.nodes {
		in.paused = false
	}
	r.runFor(8 * time.Second)
	for _, name := range r.nodeNames() {
		r.step(r.nodes[name], event.Event{ShutdownRequired: &event.ShutdownRequired{}})
	}
	r.runFor(15 * time.Second)
	for _, name := range r.nodeNames() {
		if !r.nodes[name].stopped {
			rt.Fatalf("instance %s did not stop: %+v", name, r.nodes[name].node.Dump())
		}
	}
}

// finish stops all instances and compares the ledger with what the targets
// recorded.
func (r *tokenRun) finish(rt *rapid.T) {
	r.stopAll(rt)
	b := r.ledgerBudgets()["b"]
	if b == nil {
		return
	}
	consumed := r.consumed("b")
	if b.SettledTotal() < consumed || (!r.killed && (b.SettledTotal() != consumed || b.Outstanding() != 0)) {
		rt.Fatalf("consumed %d, settled %d, outstanding %d", consumed, b.SettledTotal(), b.Outstanding())
	}
}

// TestTokensUnderRandomInterleavings checks that no budget is overspent, and
// that after a graceful stop of all instances exactly the consumption is
// charged (at least that, if an instance was killed).
func TestTokensUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newTokenRun(rt)
		rt.Repeat(r.actions())
		r.finish(rt)
	})
}
