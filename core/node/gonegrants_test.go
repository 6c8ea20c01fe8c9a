package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// listWithout sends all instances an instance list in which one of them is
// missing.
func (w *world) listWithout(missing string) {
	var list []event.Instance
	for _, in := range w.instanceList() {
		if in.Name != missing {
			list = append(list, in)
		}
	}
	for _, name := range w.nodeNames() {
		w.step(w.nodes[name], event.Event{InstancesListed: &event.InstancesListed{Instances: list}})
	}
}

// ledgerCalls counts the reads and writes of ledger objects in a span of
// virtual time.
func (w *world) ledgerCalls(span time.Duration) (reads, writes int) {
	w.hooks.interceptCall = func(_ *instance, call event.PlatformCall) bool {
		switch {
		case call.Object.Kind != event.KindLedger:
		case call.Op == event.OpGet:
			reads++
		default:
			writes++
		}
		return false
	}
	w.runFor(span)
	w.hooks.interceptCall = nil
	return reads, writes
}

func TestGrantOfMissingHolderIsClosed(t *testing.T) {
	Convey("Given an instance that holds a grant and spent a part of it", t, func() {
		w := readyWorld(3, 1000)
		w.send("n1", exampleRequest("k", 100, true))
		w.runFor(3 * time.Second)
		const holder = ledger.Holder("n1/1")
		grant := func() *ledger.Grant { return w.ledgerBudgets()["b"].Grants[holder] }
		spent := w.consumed("b")
		So(grant().Spent, ShouldEqual, spent)
		So(grant().Granted, ShouldBeGreaterThan, spent)
		Convey("its next incarnation closes the grant, which is charged in full", func() {
			w.startNode("n1")
			w.listInstances()
			w.runFor(5 * time.Second)
			So(grant().Closed, ShouldBeTrue)
			So(w.ledgerBudgets()["b"].SettledTotal(), ShouldEqual, grant().Granted)
			Convey("with no further writes", func() {
				reads, writes := w.ledgerCalls(10 * time.Second)
				So(writes, ShouldEqual, 0)
				So(reads, ShouldBeLessThanOrEqualTo, 3*21) // three instances, two reads per second each
			})
		})
		Convey("the closed grant is removed with a later write and stays charged", func() {
			w.startNode("n1")
			w.listInstances()
			w.runFor(5 * time.Second)
			charged := w.ledgerBudgets()["b"].SettledTotal()
			for _, key := range []string{"after closing", "after compactAfter"} {
				c := w.send("n2", exampleRequest(key, 50, true))
				w.runFor(compactAfter + 2*time.Second)
				So(w.answers[c].complete, ShouldBeTrue)
			}
			So(grant(), ShouldBeNil)
			So(w.ledgerBudgets()["b"].SettledTotal(), ShouldEqual, charged+w.consumed("b")-spent)
		})
		Convey("the grant of an instance that is missing from the list for a while is closed, and refunded when the instance comes back", func() {
			w.nodes["n1"].paused = true
			w.listWithout("n1")
			w.runFor(5 * time.Second)
			So(grant().Closed, ShouldBeFalse)
			w.runFor(10 * time.Second)
			So(grant().Closed, ShouldBeTrue)
			w.nodes["n1"].paused = false
			w.listInstances()
			c := w.send("n1", exampleRequest("again", 50, true))
			w.runFor(5 * time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(grant().Closed, ShouldBeFalse)
			So(w.ledgerBudgets()["b"].SettledTotal(), ShouldEqual, w.consumed("b"))
		})
		Convey("the grant of an instance that comes back with nothing to report is refunded too", func() {
			w.nodes["n1"].paused = true
			w.listWithout("n1")
			w.runFor(15 * time.Second)
			So(grant().Closed, ShouldBeTrue)
			w.nodes["n1"].paused = false
			w.listInstances()
			w.runFor(5 * time.Second)
			So(grant().Closed, ShouldBeFalse)
			So(w.ledgerBudgets()["b"].SettledTotal(), ShouldEqual, spent)
		})
		Convey("the grant of a running instance that is not listed is not closed after each report", func() {
			w.listWithout("n1")
			closed := 0
			for i := range 20 {
				w.send("n1", exampleRequest(string(rune('a'+i)), 10, true))
				w.runFor(time.Second)
				if grant().Closed {
					closed++
				}
			}
			So(closed, ShouldEqual, 0)
			So(w.violations(map[string]int64{"b": 1000}), ShouldBeEmpty)
		})
	})
}
