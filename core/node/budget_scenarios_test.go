package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/ledger"
)

// acceptableTokenWait is a tenth of the time in which a caller expects the first
// part of an answer.
const acceptableTokenWait = 50 * time.Millisecond

// budgetAudit summarizes the outcome of a simulation.
type budgetAudit struct {
	Requests, Guaranteed, GuaranteedRefused int
	// Waited counts the requests that waited longer than acceptableTokenWait for
	// tokens before they were sent to a target.
	Waited int
	// Overspent is what was delivered beyond the largest totals; Stranded is what
	// closed grants charge beyond what was delivered. Both are in tokens.
	Overspent, Stranded int64
	// Refused counts the guaranteed requests that were refused, by kind.
	Refused map[errkind.Kind]int
	Writes  int
	Reads   int
}

func (s *budgetSimulation) audit() budgetAudit {
	a := budgetAudit{Requests: len(s.requests), Refused: map[errkind.Kind]int{}, Writes: s.writes, Reads: s.reads}
	delivered := map[string]int64{}
	for _, r := range s.requests {
		if r.guaranteed {
			a.Guaranteed++
		}
		if r.started-r.arrived > acceptableTokenWait {
			a.Waited++
		}
		if r.guaranteed && r.refused != errkind.None {
			a.GuaranteedRefused++
			a.Refused[r.refused]++
		}
		if r.done {
			delivered[r.budget] += r.delivered
		}
	}
	shard, err := ledger.Decode(s.store.Value)
	if err != nil {
		panic(err)
	}
	for name, sum := range delivered {
		a.Overspent += max(0, sum-s.maxTotals[name])
		if b := shard.Budgets[name]; b != nil {
			a.Stranded += b.SettledTotal() - sum
		}
	}
	return a
}

func (a budgetAudit) String() string {
	refused, _ := json.Marshal(a.Refused)
	return fmt.Sprintf("requests %d, waited %d, guaranteed %d, refused of these %d %s, overspent %d, stranded %d, writes %d, reads %d", a.Requests, a.Waited, a.Guaranteed, a.GuaranteedRefused, refused, a.Overspent, a.Stranded, a.Writes, a.Reads)
}

func spreadPolicy() config.GrantPolicy {
	return config.GrantPolicy{
		Policy: config.GrantSpread, SizeTokens: 20_000, RunwaySeconds: 10, MaxSharePerMille: 400, FullShareSeconds: 60, IdleSharePerMille: 30,
		PeerTransfer: true, RefillMillis: 1500, MaxWaitMillis: 250, CombineUpdates: true,
	}
}

// runOutagesAndKill runs fifty seconds in which all instances are cut off twice
// for nine seconds while a customer sends three times its usual load, totals
// are raised in between, one is lowered, and all processes are killed at 34 s.
func runOutagesAndKill(s *budgetSimulation) {
	for _, step := range []struct {
		at time.Duration
		do func()
	}{
		{6 * time.Second, func() { s.cutAll(true); s.loadFactor["c1"] = 3 }},
		{15 * time.Second, func() { s.cutAll(false) }},
		{16 * time.Second, func() { s.setTotal("c1", s.totals["c1"]*5/4) }},
		{20 * time.Second, func() { s.cutAll(true) }},
		{21 * time.Second, func() { s.setTotal("c2", s.totals["c2"]*9/10) }},
		{29 * time.Second, func() { s.cutAll(false); s.loadFactor["c1"] = 1 }},
		{34 * time.Second, func() { s.killAll(time.Second) }},
	} {
		s.runUntil(step.at)
		step.do()
	}
	s.runUntil(50 * time.Second)
}

func (s *budgetSimulation) cutAll(cut bool) {
	for _, in := range s.nodes {
		s.cut[in.name] = cut
	}
}

func (s *budgetSimulation) killAll(restart time.Duration) {
	for _, in := range slices.Clone(s.nodes) {
		if in.dead {
			continue
		}
		s.kill(in, restart+time.Duration(s.rng.Int64N(int64(500*time.Millisecond))))
	}
}

// TestGrantPoliciesUnderOutages runs a scenario of outages, a customer with a
// high load, changed totals and a crash of all processes under each policy, and
// prints the outcome (go test -v). No policy may overspend; spread refuses the
// fewest guaranteed requests.
func TestGrantPoliciesUnderOutages(t *testing.T) {
	Convey("A scenario of outages that ends with a crash of all processes", t, func() {
		refused := map[string]int{}
		for _, name := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive, config.GrantSpread} {
			for seed := range uint64(1) {
				policy := spreadPolicy()
				policy.Policy = name
				s := newBudgetSimulation(seed, policy, smallFleet(2_250_000))
				runOutagesAndKill(s)
				a := s.audit()
				t.Logf("%s, seed %d: %v", name, seed, a)
				So(a.Overspent, ShouldEqual, 0)
				refused[name] += a.GuaranteedRefused
			}
		}
		for _, name := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive} {
			So(refused[config.GrantSpread], ShouldBeLessThan, refused[name])
		}
	})
}

// TestBudgetsHoldUnderRandomFaults injects random faults at random times: cuts
// of some or all instances, kills, totals that rise and fall, customers with a
// high load.
func TestBudgetsHoldUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		s := newBudgetSimulation(seed, spreadPolicy(), smallFleet(500_000))
		for s.now < 20*time.Second {
			s.injectFault()
			s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
		}
		if a := s.audit(); a.Overspent > 0 {
			t.Errorf("seed %d: %v", seed, a)
		}
	}
}

// injectFault applies one random fault or load change.
func (s *budgetSimulation) injectFault() {
	customer := customerName(s.rng.IntN(s.fleet.customers))
	in := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(8) {
	case 0:
		s.cutAll(true)
	case 1, 2:
		s.cutAll(false)
	case 3:
		s.cut[in.name] = !s.cut[in.name]
	case 4:
		if !in.dead {
			s.kill(in, 500*time.Millisecond)
		}
	case 5:
		s.setTotal(customer, s.totals[customer]*int64(700+s.rng.IntN(800))/1000)
	case 6:
		s.loadFactor[customer] = float64(1 + s.rng.IntN(3))
	case 7:
		if s.rng.IntN(4) == 0 {
			s.killAll(500 * time.Millisecond)
		}
	}
}

// contendForTokens runs two seconds in which all instances repeatedly need more
// tokens from the ledger.
func contendForTokens(s *budgetSimulation) {
	for c := range s.fleet.customers {
		s.loadFactor[customerName(c)] = 0 // no other load
	}
	s.runUntil(2 * time.Second)
	for s.now < 4*time.Second {
		for _, in := range s.nodes {
			s.send(in, customerName(s.rng.IntN(s.fleet.customers)), 30_000)
		}
		s.runUntil(s.now + 40*time.Millisecond)
	}
	s.runUntil(s.now + 3*time.Second)
}

func TestConflictsDoNotStarveRequests(t *testing.T) {
	// All instances need tokens of the ledger at once, so that their updates
	// conflict. No guaranteed request may be refused.
	Convey("Requests that need tokens of the ledger at all instances at once are not refused", t, func() {
		refused, writes := 0, 0
		for seed := range uint64(10) {
			s := newBudgetSimulation(seed, spreadPolicy(), smallFleet(100_000_000))
			contendForTokens(s)
			a := s.audit()
			So(a.Requests, ShouldEqual, 50*s.fleet.instances)
			refused += a.GuaranteedRefused
			if a.GuaranteedRefused > 0 {
				for _, r := range s.requests {
					if r.refused != errkind.None {
						t.Log(seed, r.arrived, r.ended, r.refused)
					}
				}
			}
			writes += a.Writes
		}
		t.Logf("%d requests refused, %d writes", refused, writes)
		So(refused, ShouldEqual, 0)
	})
}

func TestSpentBudgetsCauseFewUpdates(t *testing.T) {
	// Guards against updates of the ledger that can't bring any tokens.
	Convey("When budgets are spent, only requests that what is left may cover cause updates, beside those in the background", t, func() {
		const measured = 5 * time.Second
		for seed := range uint64(3) {
			s := newBudgetSimulation(seed, spreadPolicy(), smallFleet(400_000))
			s.runUntil(20 * time.Second)
			writes, requests := s.writes, len(s.requests)
			s.runUntil(s.now + measured)
			coverable := 0
			for _, r := range s.requests[requests:] {
				if r.coverable {
					coverable++
				}
			}
			t.Logf("seed %d: %d writes in %v, %d coverable of %d requests, %v", seed, s.writes-writes, measured, coverable, len(s.requests)-requests, s.audit())
			So(s.writes-writes, ShouldBeLessThanOrEqualTo, coverable+int(measured/combineDelay))
			So(s.audit().Overspent, ShouldEqual, 0)
		}
	})
}
