package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
)

// spendAll sends requests to random instances, up to three at a time, that the
// budget covers together, until it covers no request of the size any more. All
// of them must be served.
func spendAll(rt *rapid.T, w *world, prepaid, most int64) {
	for i := 0; ; i++ {
		left := prepaid - w.consumed("b")
		if left < 1 {
			return
		}
		var sent []caller
		for range rapid.IntRange(1, 3).Draw(rt, "together") {
			size := min(left, rapid.Int64Range(1, most).Draw(rt, "tokens"))
			if size < 1 {
				break
			}
			left -= size
			to := rapid.SampledFrom(w.nodeNames()).Draw(rt, "to")
			sent = append(sent, w.send(to, exampleRequest(fmt.Sprintf("k%d-%d", i, len(sent)), size, true)))
		}
		w.runFor(answerLimit + billHold)
		for _, c := range sent {
			if an := w.answers[c]; !an.complete {
				rt.Fatalf("%s: request for %d tokens refused (%s) with %d of %d consumed: %v", c.instance,
					an.request.WorstCaseTokens, an.refused, w.consumed("b"), prepaid, w.tokensEverywhere("b"))
			}
		}
	}
}

// TestBudgetIsSpentToTheLastRequest checks that without faults no request is
// refused that the budget covers.
func TestBudgetIsSpentToTheLastRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const prepaid, most = 1500, 150
		w := readyWorldWith(rapid.IntRange(1, 5).Draw(rt, "instances"), prepaid, func(p *config.GrantPolicy) {
			p.Policy = rapid.SampledFrom([]string{config.GrantFixed, config.GrantAdaptive}).Draw(rt, "policy")
		})
		spendAll(rt, w, prepaid, most)
		w.runFor(3 * time.Second)
		if v := w.violations(map[string]int64{"b": prepaid}); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
	})
}

// tokensEverywhere describes where a budget's tokens lie.
func (w *world) tokensEverywhere(budgetName string) string {
	raw, _ := json.Marshal(w.ledgerBudgets()[budgetName])
	where := "ledger " + string(raw)
	for _, name := range w.nodeNames() {
		for _, v := range w.nodes[name].node.book.Views() {
			where += fmt.Sprintf("; %s %+v", name, v)
		}
	}
	return where
}
