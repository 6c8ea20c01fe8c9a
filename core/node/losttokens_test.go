package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/ledger"
)

// sendEvery sends requests of one size of a customer to the instances that callers
// are told, from now until a time.
func (s *budgetSimulation) sendEvery(interval, until time.Duration, budgetName string, tokens int64) {
	if s.now >= until {
		return
	}
	s.send(s.chooseInstance(), budgetName, tokens)
	s.schedule(interval, func() { s.sendEvery(interval, until, budgetName, tokens) })
}

// coveredRefused counts the requests for a budget that were refused although the
// budget covered them, and all of them.
func (s *budgetSimulation) coveredRefused(budgetName string) (refused, all int) {
	for _, r := range s.requests {
		if r.budget != budgetName {
			continue
		}
		all++
		if r.guaranteed && r.refused != errkind.None {
			refused++
		}
	}
	return refused, all
}

const (
	// lossAt is when a half of the instances is killed; lossRestart is the time until
	// they start again.
	lossAt      = 8 * time.Second
	lossRestart = time.Second
	// falseRefusalBase and falseRefusalDivisor give the refusals of covered requests
	// that are tolerated: 5 and one in 500.
	falseRefusalBase    = 5
	falseRefusalDivisor = 500
)

// runLossOfHalf kills a half of the instances. A small budget is drawn on for some
// time before that, if drawn is set, and to its end afterwards.
func runLossOfHalf(seed uint64, drawn bool) *budgetSimulation {
	s := newLossSimulation(seed, drawn)
	s.runUntil(lossAt)
	s.killSome(2)
	s.runUntil(lossAt + lossRestart + 9*time.Second)
	s.sendEvery(lossInterval, s.now+60*time.Second, "small", lossTokens)
	s.runUntil(90 * time.Second)
	return s
}

const (
	lossTokens   = 1120
	lossInterval = 100 * time.Millisecond
)

// newLossSimulation returns four instances, a customer with a large budget that keeps
// them busy, and one with a small budget that draws on it until lossAt, if drawn is
// set.
func newLossSimulation(seed uint64, drawn bool) *budgetSimulation {
	s := newBudgetSimulation(seed, spreadPolicy(), simulatedFleet{instances: 4, customers: 1, prepaid: 60_000_000, requestInterval: 40 * time.Millisecond})
	s.totals["small"] = 200_000
	s.setTotal("small", s.totals["small"])
	if drawn {
		s.schedule(3*time.Second, func() { s.sendEvery(lossInterval, lossAt, "small", lossTokens) })
	}
	return s
}

// TestTokensThatAnIdleCustomerHasPrepaidOutlastALossOfInstances guards against
// tokens that killed instances held in advance for a customer that sent nothing.
func TestTokensThatAnIdleCustomerHasPrepaidOutlastALossOfInstances(t *testing.T) {
	Convey("A half of the instances is killed before a customer's first request", t, func() {
		for seed := range uint64(5) {
			s := runLossOfHalf(seed, false)
			refused, all := s.coveredRefused("small")
			t.Logf("seed %d: %d of %d covered requests refused; %v", seed, refused, all, s.audit())
			So(s.audit().Overspent, ShouldEqual, 0)
			So(refused, ShouldBeLessThanOrEqualTo, falseRefusalBase+all/falseRefusalDivisor)
		}
	})
}

// TestTokensThatKilledInstancesDidNotSpendAreServed guards against charging the
// whole grants of killed instances of a customer that draws on its budget.
func TestTokensThatKilledInstancesDidNotSpendAreServed(t *testing.T) {
	Convey("A half of the instances is killed while a customer draws on its budget", t, func() {
		for seed := range uint64(5) {
			s := runLossOfHalf(seed, true)
			refused, all := s.coveredRefused("small")
			t.Logf("seed %d: %d of %d covered requests refused; %v", seed, refused, all, s.audit())
			So(s.audit().Overspent, ShouldEqual, 0)
			So(refused, ShouldBeLessThanOrEqualTo, falseRefusalBase+all/falseRefusalDivisor)
		}
	})
}

// TestKilledInstancesAreChargedAtMostWhatTheirMarksAllowed guards against charging the
// whole grants of killed instances whose witnesses run.
func TestKilledInstancesAreChargedAtMostWhatTheirMarksAllowed(t *testing.T) {
	Convey("A quarter of the instances is killed while a customer draws on its budget", t, func() {
		for seed := range uint64(10) {
			s := newLossSimulation(seed, true)
			s.runUntil(lossAt)
			victim := s.nodes[0]
			held, reserved := victim.node.book.Lookup("small").Available(), victim.node.book.Lookup("small").Reserved()
			exposed := victim.node.book.Exposed("small")
			// The marks that count may be those of the report before the last one.
			until := s.now + lossRestart/2 + listDelay + time.Second
			allowed := reserved + victim.node.exposure.own.Headroom(until, "small", exposed)
			consumed := exposed - reserved
			s.kill(victim, lossRestart/2)
			s.runUntil(lossAt + 5*time.Second)
			shard, err := ledger.Decode(s.store.Value)
			So(err, ShouldBeNil)
			g := shard.Budgets["small"].Grants[ledger.Holder(victim.name+"/1")]
			t.Logf("seed %d: %d charged beyond what was consumed, %d reserved at the kill, %d allowed, %d of the whole grant", seed, g.Granted-consumed, reserved, allowed, held+reserved)
			So(g.Closed, ShouldBeTrue)
			So(g.Granted, ShouldBeGreaterThanOrEqualTo, consumed)
			So(g.Granted-consumed, ShouldBeLessThanOrEqualTo, allowed)
			So(g.Granted-consumed, ShouldBeLessThan, held+reserved)
		}
	})
}
