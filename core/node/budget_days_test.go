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

// dayAudit is what a day did for its callers.
type dayAudit struct {
	Requests, Owed, OwedRefused int
	// Over is what was delivered beyond the largest totals, Stranded what closed
	// grants charge beyond what was delivered; both in tokens.
	Over, Stranded int64
	// Refused counts the owed requests that were refused, by kind.
	Refused map[errkind.Kind]int
	Writes  int
	Reads   int
}

func (d *budgetDay) audit() dayAudit {
	a := dayAudit{Requests: len(d.requests), Refused: map[errkind.Kind]int{}, Writes: d.writes, Reads: d.reads}
	delivered := map[string]int64{}
	for _, r := range d.requests {
		if r.owed {
			a.Owed++
		}
		if r.owed && r.refused != errkind.None {
			a.OwedRefused++
			a.Refused[r.refused]++
		}
		if r.done {
			delivered[r.budget] += r.delivered
		}
	}
	shard, err := ledger.Decode(d.store.Value)
	if err != nil {
		panic(err)
	}
	for name, sum := range delivered {
		a.Over += max(0, sum-d.most[name])
		if b := shard.Budgets[name]; b != nil {
			a.Stranded += b.SettledTotal() - sum
		}
	}
	return a
}

func (a dayAudit) String() string {
	refused, _ := json.Marshal(a.Refused)
	return fmt.Sprintf("requests %d, owed %d, refused of these %d %s, over %d, stranded %d, writes %d, reads %d", a.Requests, a.Owed, a.OwedRefused, refused, a.Over, a.Stranded, a.Writes, a.Reads)
}

func spreadPolicy() config.GrantPolicy {
	return config.GrantPolicy{
		Policy: config.GrantSpread, SizeTokens: 20_000, RunwaySeconds: 16, MaxSharePerMille: 400,
		PeerTransfer: true, RefillMillis: 1500, MaxWaitMillis: 250,
	}
}

// playCutsAndKill is a day of fifty seconds: all instances are cut off twice for
// nine seconds while a customer sends three times its usual, totals are raised
// in between, one is lowered, and all processes are killed at 34 s.
func playCutsAndKill(d *budgetDay) {
	for _, step := range []struct {
		at time.Duration
		do func()
	}{
		{6 * time.Second, func() { d.cutAll(true); d.factor["c1"] = 3 }},
		{15 * time.Second, func() { d.cutAll(false) }},
		{16 * time.Second, func() { d.setTotal("c1", d.totals["c1"]*5/4) }},
		{20 * time.Second, func() { d.cutAll(true) }},
		{21 * time.Second, func() { d.setTotal("c2", d.totals["c2"]*9/10) }},
		{29 * time.Second, func() { d.cutAll(false); d.factor["c1"] = 1 }},
		{34 * time.Second, func() { d.killAll(time.Second) }},
	} {
		d.runUntil(step.at)
		step.do()
	}
	d.runUntil(50 * time.Second)
}

func (d *budgetDay) cutAll(cut bool) {
	for _, in := range d.nodes {
		d.cut[in.name] = cut
	}
}

func (d *budgetDay) killAll(restart time.Duration) {
	for _, in := range slices.Clone(d.nodes) {
		if in.dead {
			continue
		}
		d.kill(in, restart+time.Duration(d.rng.Int64N(int64(500*time.Millisecond))))
	}
}

// TestBudgetDays plays a day of cuts, a hot customer, changed totals and a loss
// of all processes under each policy, and prints what it did for callers (go
// test -v). No policy may overspend; spread refuses the fewest owed requests.
func TestBudgetDays(t *testing.T) {
	Convey("A day of cuts that ends with a loss of all processes", t, func() {
		refused := map[string]int{}
		for _, name := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive, config.GrantSpread} {
			for seed := range uint64(1) {
				policy := spreadPolicy()
				policy.Policy = name
				d := newBudgetDay(seed, policy, 2_250_000)
				playCutsAndKill(d)
				a := d.audit()
				t.Logf("%s, seed %d: %v", name, seed, a)
				So(a.Over, ShouldEqual, 0)
				refused[name] += a.OwedRefused
			}
		}
		for _, name := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive} {
			So(refused[config.GrantSpread], ShouldBeLessThan, refused[name])
		}
	})
}

// TestBudgetsHoldOnRandomDays lets anything happen at any moment: cuts of some
// or all instances, kills, totals that rise and fall, hot customers.
func TestBudgetsHoldOnRandomDays(t *testing.T) {
	for seed := range uint64(8) {
		d := newBudgetDay(seed, spreadPolicy(), 500_000)
		for d.now < 20*time.Second {
			d.disturb()
			d.runUntil(d.now + time.Duration(d.rng.Int64N(int64(2*time.Second))))
		}
		if a := d.audit(); a.Over > 0 {
			t.Errorf("seed %d: %v", seed, a)
		}
	}
}

// disturb does one thing that may happen to a fleet.
func (d *budgetDay) disturb() {
	customer := customerName(d.rng.IntN(dayCustomers))
	in := d.nodes[d.rng.IntN(len(d.nodes))]
	switch d.rng.IntN(8) {
	case 0:
		d.cutAll(true)
	case 1, 2:
		d.cutAll(false)
	case 3:
		d.cut[in.name] = !d.cut[in.name]
	case 4:
		if !in.dead {
			d.kill(in, 500*time.Millisecond)
		}
	case 5:
		d.setTotal(customer, d.totals[customer]*int64(700+d.rng.IntN(800))/1000)
	case 6:
		d.factor[customer] = float64(1 + d.rng.IntN(3))
	case 7:
		if d.rng.IntN(4) == 0 {
			d.killAll(500 * time.Millisecond)
		}
	}
}

// rushForTokens is two seconds in which all instances need more tokens of the
// ledger again and again.
func rushForTokens(d *budgetDay) {
	for c := range dayCustomers {
		d.factor[customerName(c)] = 0 // no other load
	}
	d.runUntil(2 * time.Second)
	for d.now < 4*time.Second {
		for _, in := range d.nodes {
			d.send(in, customerName(d.rng.IntN(dayCustomers)), 30_000)
		}
		d.runUntil(d.now + 40*time.Millisecond)
	}
	d.runUntil(d.now + 3*time.Second)
}

func TestConflictsDoNotStarveRequests(t *testing.T) {
	Convey("Requests that need tokens of the ledger at all instances at once get them in time", t, func() {
		refused, writes := 0, 0
		for seed := range uint64(10) {
			d := newBudgetDay(seed, spreadPolicy(), 100_000_000)
			rushForTokens(d)
			a := d.audit()
			So(a.Requests, ShouldEqual, 50*dayInstances)
			refused += a.OwedRefused
			if a.OwedRefused > 0 {
				for _, r := range d.requests {
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
