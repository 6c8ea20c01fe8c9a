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
			for _, r := range s.requests {
				if r.arrived < from || !r.guaranteed {
					continue
				}
				covered++
				if r.refused == errkind.None {
					served++
				}
			}
		}
		t.Logf("%d of %d covered requests served", served, covered)
		So(covered, ShouldBeGreaterThan, 0)
		So(served*1000, ShouldBeGreaterThanOrEqualTo, covered*minRecoveredPerMille)
	})
}
