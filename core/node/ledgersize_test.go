package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
)

// grantsBytes is the room for each pair of an instance and a customer in an object of
// the platform, in bytes: enough for all grants of one incarnation each.
const grantsBytes = 80

// newManyCustomersSimulation returns nine instances and many customers of which each
// request is one of a random one.
func newManyCustomersSimulation(seed uint64, requestInterval time.Duration) *budgetSimulation {
	const instances, customers, prepaid, tokens = 9, 100, 60_000, 12_376
	s := newBudgetSimulation(seed, spreadPolicy(), simulatedFleet{
		instances: instances, customers: customers, prepaid: prepaid * customers, requestInterval: time.Hour,
		maxObjectBytes: grantsBytes * instances * customers,
	})
	for c := range customers {
		s.totals[customerName(c)] = prepaid
	}
	s.setTotal(customerName(0), prepaid)
	s.sendToAny(requestInterval, customers, tokens)
	return s
}

// sendToAny sends requests, each for the budget of a random customer.
func (s *budgetSimulation) sendToAny(interval time.Duration, customers int, tokens int64) {
	s.schedule(interval, func() {
		s.send(s.chooseInstance(), customerName(s.rng.IntN(customers)), tokens)
		s.sendToAny(interval, customers, tokens)
	})
}

// guaranteedServed counts the covered requests that arrived in a time, and those of
// them that were served.
func (s *budgetSimulation) guaranteedServed(from, until time.Duration) (covered, served int) {
	for _, r := range s.requests {
		if !r.guaranteed || r.arrived < from || r.arrived >= until {
			continue
		}
		covered++
		if r.refused == errkind.None {
			served++
		}
	}
	return covered, served
}

// TestLedgerOfManyCustomersOutlastsALossOfAllInstances guards against a ledger object
// that the platform refuses as too large, so that nothing is granted any more.
func TestLedgerOfManyCustomersOutlastsALossOfAllInstances(t *testing.T) {
	Convey("All instances of a fleet with many customers are killed", t, func() {
		for seed := range uint64(2) {
			const lossOfAll, restart = 20 * time.Second, 900 * time.Millisecond
			s := newManyCustomersSimulation(seed, 170*time.Millisecond)
			s.runUntil(lossOfAll)
			s.killAll(restart)
			from := lossOfAll + restartTime + recoveryTime
			s.runUntil(from + 20*time.Second)
			covered, served := s.guaranteedServed(from, s.now)
			t.Logf("seed %d: %d of %d covered requests served; %d objects refused; %d bytes of %d", seed, served, covered, s.refused, len(s.store.Value), s.maxObjectBytes)
			So(s.audit().Overspent, ShouldEqual, 0)
			So(covered, ShouldBeGreaterThan, 0)
			So(served*1000, ShouldBeGreaterThanOrEqualTo, covered*minRecoveredPerMille)
			So(s.refused, ShouldEqual, 0)
		}
	})
}

// TestOperationsInAdvanceAreRepeatedAfterAnUpdateThatFailed guards against instances that
// hold no tokens for some time after an outage because their operations were taken for
// left out.
func TestOperationsInAdvanceAreRepeatedAfterAnUpdateThatFailed(t *testing.T) {
	Convey("Given an operation in advance whose update failed", t, func() {
		h := newHosted()
		s := h.node.ledgers.shards[0]
		h.advance(100 * time.Millisecond)
		So(h.node.book.Lookup("b").Advancing(), ShouldBeTrue)
		h.node.failLedgerUpdate(s)
		Convey("an update without it does not delay it", func() {
			h.node.beginLedgerUpdate(s)
			h.node.finishLedgerUpdate(s)
			So(s.nextAdvance, ShouldEqual, 0)
		})
		Convey("one that left it out does", func() {
			So(h.node.prepareOperations(s), ShouldNotBeEmpty)
			h.node.beginLedgerUpdate(s)
			h.node.finishLedgerUpdate(s)
			So(s.nextAdvance, ShouldEqual, h.node.now+advancePause)
			So(h.node.prepareOperations(s), ShouldBeEmpty)
		})
	})
}
