package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
)

// changeTotal applies a configuration with another prepaid total at an
// instance.
func (w *world) changeTotal(at string, total int64, policy config.GrantPolicy) {
	d := budgetDocument(total)
	d.Policies.Grants = policy
	d.BasedOnGeneration = w.nodes[at].node.configs.generation()
	w.apply(at, "change", d)
}

func TestPrepaidTotalChanges(t *testing.T) {
	var policy config.GrantPolicy
	start := func(set func(*config.GrantPolicy)) *world {
		return readyWorldWith(3, 1000, func(p *config.GrantPolicy) { set(p); policy = *p })
	}
	Convey("Lowering a total takes back the grants of idle instances", t, func() {
		w := start(func(p *config.GrantPolicy) { p.Policy = config.GrantFixed })
		for _, name := range w.nodeNames() {
			w.send(name, exampleRequest("first-"+name, 4, true))
		}
		w.runFor(3 * time.Second)
		So(w.ledgerBudgets()["b"].Committed(), ShouldEqual, 600)
		w.changeTotal("n1", 100, policy)
		w.runFor(10 * time.Second)
		So(w.ledgerBudgets()["b"].Prepaid, ShouldEqual, 100)
		So(w.ledgerBudgets()["b"].Committed(), ShouldBeLessThanOrEqualTo, 100)
		So(w.violations(map[string]int64{"b": 1000}), ShouldBeEmpty)
	})
	Convey("A top-up during a partition", t, func() {
		w := start(func(p *config.GrantPolicy) { p.PeerTransfer = false })
		w.cutPlatform["n3"], w.cutPeers["n1|n3"], w.cutPeers["n2|n3"] = true, true, true
		first := w.send("n1", exampleRequest("a", 1000, true))
		w.runFor(3 * time.Second)
		So(w.answers[first].complete, ShouldBeTrue)
		w.changeTotal("n2", 2000, policy)
		w.runFor(3 * time.Second)
		Convey("is in force at instances that know it, and not at others", func() {
			known := w.send("n2", exampleRequest("b", 900, true))
			unknown := w.send("n3", exampleRequest("c", 900, true))
			w.runFor(time.Second)
			So(w.answers[known].complete, ShouldBeTrue)
			So(w.answers[unknown].refused, ShouldEqual, errkind.BudgetUnavailable)
			So(w.violations(map[string]int64{"b": 2000}), ShouldBeEmpty)
		})
		Convey("is in force everywhere once the partition heals", func() {
			clear(w.cutPlatform)
			clear(w.cutPeers)
			w.runFor(8 * time.Second)
			c := w.send("n3", exampleRequest("d", 900, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
		})
	})
}
