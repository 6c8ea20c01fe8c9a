package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// The load of one comparison run: five instances, until well after the budget
// is spent. Half of the requests go to the first instance, the others to any.
// comparePrepaid and compareWorstCase are in tokens.
const (
	compareInstances = 5
	comparePrepaid   = 20_000
	compareWorstCase = 200
	compareSpan      = 25 * time.Second
	compareInterval  = 100 * time.Millisecond
	outageFrom       = 5 * time.Second
	outageUntil      = 15 * time.Second
	crashEvery       = 4 * time.Second
)

// comparison is the outcome of one run. The fields overspend and stranded are in
// tokens; stranded is what closed grants charge beyond what was spent. The field
// calls counts the platform calls for the ledger; the others count requests.
type comparison struct {
	overspend, served, falseRefusals, stranded, calls int64
}

// compare runs the load under a grant policy and a fault: "none", "outage" (of
// the platform) or "crashes" (of instances, each restarted at once).
func compare(policy string, transfer bool, fault string) comparison {
	w := readyWorldWith(compareInstances, comparePrepaid, func(p *config.GrantPolicy) {
		p.Policy, p.PeerTransfer, p.SizeTokens, p.RunwaySeconds = policy, transfer, 1000, 10
	})
	rng := rand.New(rand.NewPCG(20261203, 1))
	var c comparison
	w.hooks.interceptCall = func(in *instance, call event.PlatformCall) bool {
		if call.Object.Kind == event.KindLedger && !w.platformDown && !w.cutPlatform[in.name] {
			c.calls++
		}
		return false
	}
	open := map[caller]bool{}
	start := w.now
	for i := 0; w.now-start < compareSpan; i++ {
		at := w.now - start
		w.platformDown = fault == "outage" && at >= outageFrom && at < outageUntil
		if fault == "crashes" && i > 0 && at%crashEvery < compareInterval {
			crashed := w.startNode(fmt.Sprintf("n%d", 1+rng.IntN(compareInstances)))
			for o := range open {
				if o.instance == crashed.name {
					delete(open, o)
				}
			}
			w.listInstances()
		}
		to := "n1"
		if rng.IntN(2) == 0 {
			to = fmt.Sprintf("n%d", 1+rng.IntN(compareInstances))
		}
		open[w.send(to, exampleRequest(fmt.Sprint(i), compareWorstCase, true))] = true
		for end := w.now + compareInterval; w.now < end; {
			w.runFor(event.TickPeriod)
			c.countAnswers(w, open)
		}
	}
	w.platformDown = false
	w.runFor(15 * time.Second)
	c.overspend = max(0, w.consumed("b")-comparePrepaid)
	for _, g := range w.ledgerBudgets()["b"].Grants {
		if g.Closed {
			c.stranded += g.Granted - g.Spent
		}
	}
	return c
}

// countAnswers counts the requests that were answered. A refusal for lack of
// tokens is false if the budget covered the request in addition to all other
// open requests at their worst case. A remainder that no instance can obtain
// therefore counts once for each later request; tokens stranded by a crash are
// such a remainder.
func (c *comparison) countAnswers(w *world, open map[caller]bool) {
	refused := int64(0)
	for o := range open {
		an := w.answers[o]
		if !an.done {
			continue
		}
		delete(open, o)
		switch {
		case an.complete:
			c.served++
		case an.refused == errkind.BudgetExhausted || an.refused == errkind.BudgetUnavailable || an.refused == errkind.NotReady:
			refused++
		}
	}
	left := comparePrepaid - w.consumed("b") - int64(len(open))*compareWorstCase
	if left >= compareWorstCase {
		c.falseRefusals += refused
	}
}

// TestGrantPoliciesCompared prints a table of the policies under faults (go
// test -v) and checks that none overspends, and that adaptive grants with peer
// transfers have no false refusals without faults.
func TestGrantPoliciesCompared(t *testing.T) {
	t.Logf("%-9s %-9s %-8s %9s %7s %14s %9s %12s", "policy", "transfers", "fault", "overspend", "served", "false refusals", "stranded", "ledger calls")
	for _, fault := range []string{"none", "outage", "crashes"} {
		for _, policy := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive, config.GrantSpread} {
			for _, transfer := range []bool{false, true} {
				c := compare(policy, transfer, fault)
				t.Logf("%-9s %-9v %-8s %9d %7d %14d %9d %12d", policy, transfer, fault, c.overspend, c.served, c.falseRefusals, c.stranded, c.calls)
				if c.overspend > 0 {
					t.Errorf("%s, transfers %v, %s: overspend of %d tokens", policy, transfer, fault, c.overspend)
				}
				if fault == "none" && transfer && policy == config.GrantAdaptive && c.falseRefusals > 0 {
					t.Errorf("%d false refusals without faults", c.falseRefusals)
				}
			}
		}
	}
}
