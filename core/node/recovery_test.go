package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
)

const (
	// restartTime is the longest time that killAll(time.Second) takes to start all
	// instances again.
	restartTime = 1500 * time.Millisecond
	// recoveryTime is the time after a loss of all instances from which on
	// platforms require service, and minRecoveredPerMille the part of the requests,
	// in thousandths, that is then to be served.
	recoveryTime         = 12 * time.Second
	minRecoveredPerMille = 250
)

// runRepeatedLosses runs 51 seconds in which all instances are cut off, some are
// killed shortly after and again later, one customer has a high load, and all
// processes are killed. It returns when requests are to be served again.
func runRepeatedLosses(s *budgetSimulation) time.Duration {
	const lossOfAll = 34 * time.Second
	for _, step := range []struct {
		at time.Duration
		do func()
	}{
		{8 * time.Second, func() { s.cutAll(true) }},
		{14500 * time.Millisecond, func() { s.cutAll(false); s.loadFactor["c1"] = 4 }},
		{16 * time.Second, func() { s.killSome(3) }},
		{21 * time.Second, func() { s.killSome(5) }},
		{22500 * time.Millisecond, func() { s.loadFactor["c1"] = 1 }},
		{29 * time.Second, func() { s.killSome(1) }},
		{lossOfAll, func() { s.killAll(time.Second) }},
	} {
		s.runUntil(step.at)
		step.do()
	}
	s.runUntil(51 * time.Second)
	return lossOfAll + restartTime + recoveryTime
}

// killSome kills a number of instances that run; they start again soon.
func (s *budgetSimulation) killSome(count int) {
	for i := range count {
		if in := s.nodes[i*3%len(s.nodes)]; !in.dead {
			s.kill(in, 500*time.Millisecond)
		}
	}
}

// coveredSince counts the requests that arrived from a time on and that the budgets
// covered, and those of them that were served.
func (s *budgetSimulation) coveredSince(from time.Duration) (covered, served int) {
	for _, r := range s.requests {
		if r.arrived < from || !r.guaranteed {
			continue
		}
		covered++
		if r.refused == errkind.None {
			served++
		}
	}
	return covered, served
}

func TestBudgetsOutlastRepeatedLossesOfInstances(t *testing.T) {
	// Guards against budgets that are spent because lost instances held much of them.
	Convey("After losses of some instances and of all, a quarter of the covered requests is served", t, func() {
		covered, served := 0, 0
		for seed := range uint64(6) {
			s := newBudgetSimulation(seed, spreadPolicy(), smallFleet(2_250_000))
			from := runRepeatedLosses(s)
			a := s.audit()
			t.Logf("seed %d: %v", seed, a)
			So(a.Overspent, ShouldEqual, 0)
			c, ok := s.coveredSince(from)
			covered, served = covered+c, served+ok
		}
		t.Logf("%d of %d covered requests served", served, covered)
		So(covered, ShouldBeGreaterThan, 0)
		So(served*1000, ShouldBeGreaterThanOrEqualTo, covered*minRecoveredPerMille)
	})
}

// runLossesOfHolders runs 51 seconds in which the instances that serve the two
// largest customers are killed, one of them twice, and then all processes. It
// returns when requests are to be served again.
func runLossesOfHolders(s *budgetSimulation) time.Duration {
	const lossOfAll = 34 * time.Second
	for _, step := range []struct {
		at time.Duration
		do func()
	}{
		{5 * time.Second, func() { s.killInstanceOf(1) }},
		{14 * time.Second, func() { s.killInstanceOf(0) }},
		{23 * time.Second, func() { s.killInstanceOf(1) }},
		{lossOfAll, func() { s.killAll(time.Second) }},
	} {
		s.runUntil(step.at)
		step.do()
	}
	s.runUntil(51 * time.Second)
	return lossOfAll + restartTime + recoveryTime
}

// killInstanceOf kills the instance on which a customer's callers stay; it starts
// again soon.
func (s *budgetSimulation) killInstanceOf(customer int) {
	s.kill(s.instanceFor(customer), 500*time.Millisecond)
}

func TestBudgetsOutlastLossesOfTheInstancesThatHoldMost(t *testing.T) {
	// Guards against budgets that are spent because one instance held much of them.
	Convey("After losses of the instances of the largest customers and of all, a quarter of the covered requests is served", t, func() {
		covered, served := 0, 0
		for seed := range uint64(6) {
			fleet := smallFleet(2_000_000)
			fleet.staying = 2
			s := newBudgetSimulation(seed, spreadPolicy(), fleet)
			from := runLossesOfHolders(s)
			a := s.audit()
			t.Logf("seed %d: %v", seed, a)
			So(a.Overspent, ShouldEqual, 0)
			c, ok := s.coveredSince(from)
			covered, served = covered+c, served+ok
		}
		t.Logf("%d of %d covered requests served", served, covered)
		So(covered, ShouldBeGreaterThan, 0)
		So(served*1000, ShouldBeGreaterThanOrEqualTo, covered*minRecoveredPerMille)
	})
}
