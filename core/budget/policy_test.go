package budget

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/ledger"
)

const (
	self    = ledger.Holder("n1/1")
	prepaid = 1000
)

// newBudget returns a budget and a function that applies the operation that is
// due on an account and reports whether there was one.
func newBudget(policy config.GrantPolicy) (*ledger.Budget, func(*Account, time.Duration) bool) {
	b := &ledger.Budget{Prepaid: prepaid, Target: prepaid, Grants: map[ledger.Holder]*ledger.Grant{}}
	return b, func(a *Account, now time.Duration) bool {
		s := Sizing{
			Policy: policy, Prepaid: b.Prepaid, LedgerAvailable: b.Available(), Instances: 4, Background: true, Excess: b.Committed() - b.Target,
			Unspent: max(0, b.Target-b.SettledTotal()), Outstanding: b.Outstanding(),
		}
		op := a.Prepare(now, self, s, false)
		if op == nil {
			return false
		}
		b.Apply(*op)
		a.Reconcile(b, self)
		return true
	}
}

// spendInTurn lets a and a number of other holders each spend tokens in a second.
func spendInTurn(b *ledger.Budget, a *Account, step func(*Account, time.Duration) bool, second time.Duration, tokens int64, others int) {
	if a.Reserve(tokens) {
		a.Settle(tokens, tokens)
	}
	for i := range others {
		b.Apply(ledger.Operation{
			Holder: ledger.Holder(fmt.Sprintf("n%d/1", i+2)), Sequence: uint64(second) + 1, Want: tokens, Spent: tokens * (int64(second) + 1),
		})
	}
	step(a, second*time.Second)
}

func TestGrantPolicies(t *testing.T) {
	Convey("A static policy grants an equal part of the total and no more", t, func() {
		var a Account
		_, step := newBudget(config.GrantPolicy{Policy: config.GrantStatic})
		a.AddShortfall(10)
		So(step(&a, 0), ShouldBeTrue)
		So(a.Available(), ShouldEqual, prepaid/4)
		a.Reserve(200)
		So(step(&a, 0), ShouldBeFalse)
		a.Settle(200, 200)
		a.AddShortfall(100)
		So(step(&a, 0), ShouldBeFalse)
		So(a.Available(), ShouldEqual, 50)
	})
	Convey("A fixed policy requests its size at a time", t, func() {
		var a Account
		b, step := newBudget(config.GrantPolicy{Policy: config.GrantFixed, SizeTokens: 100})
		a.AddShortfall(10)
		step(&a, 0)
		So(a.Available(), ShouldEqual, 100)
		a.Reserve(60)
		a.Settle(60, 60)
		So(step(&a, 0), ShouldBeTrue)
		So(a.Available(), ShouldEqual, 100)
		So(b.Committed(), ShouldEqual, 160)
	})
	Convey("An adaptive policy", t, func() {
		p := config.GrantPolicy{Policy: config.GrantAdaptive, SizeTokens: 10, RunwaySeconds: 10, MaxSharePerMille: 250}
		b, step := newBudget(p)
		var a Account
		a.AddShortfall(10)
		step(&a, 0)
		Convey("grows the grant with the rate of spending", func() {
			for second := range 5 {
				a.AddShortfall(20)
				step(&a, time.Duration(second)*time.Second)
				a.Reserve(20)
				a.Settle(20, 20)
			}
			step(&a, 5*time.Second)
			So(a.Available(), ShouldBeGreaterThan, 50)
			Convey("returns it when the holder is idle", func() {
				for second := range 30 {
					step(&a, time.Duration(6+second)*time.Second)
				}
				So(a.Available(), ShouldBeLessThanOrEqualTo, 3*p.SizeTokens)
			})
		})
		Convey("grants no more than its share of the remaining tokens", func() {
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 950})
			left := b.Available() + a.Available()
			a.rate.perSecond = 1000
			step(&a, 0)
			So(a.Available(), ShouldBeLessThanOrEqualTo, left*p.MaxSharePerMille/perMille)
		})
	})
	Convey("A spread policy", t, func() {
		p := config.GrantPolicy{Policy: config.GrantSpread, SizeTokens: 100, RunwaySeconds: 10, MaxSharePerMille: 600}
		b, step := newBudget(p)
		var a Account
		Convey("obtains tokens before requests need them", func() {
			So(step(&a, 0), ShouldBeTrue)
			So(a.Available(), ShouldEqual, 100)
		})
		Convey("takes an equal part at most while the others spend as much", func() {
			for second := range 20 * time.Second / time.Second {
				spendInTurn(b, &a, step, second, 10, 3)
			}
			So(a.Available(), ShouldBeLessThanOrEqualTo, (prepaid-b.SettledTotal())*600/perMille/4+20)
		})
		Convey("follows the spending of a holder that serves a customer alone", func() {
			for second := range 20 * time.Second / time.Second {
				spendInTurn(b, &a, step, second, 30, 0)
			}
			So(a.Available(), ShouldBeGreaterThan, 2*(prepaid-b.SettledTotal())*600/perMille/4)
			So(b.Outstanding(), ShouldBeLessThanOrEqualTo, (prepaid-b.SettledTotal())*600/perMille)
		})
		Convey("counts the rate of spending from the first spending on", func() {
			a.WantedSize(30*time.Second, Sizing{Policy: p})
			step(&a, 31*time.Second)
			So(a.Reserve(50), ShouldBeTrue)
			a.Settle(50, 50)
			So(a.steady.at(32*time.Second), ShouldEqual, 50)
		})
		Convey("counts attempts in flight at what they have reserved, until their usage is known", func() {
			step(&a, 0)
			So(a.Reserve(90), ShouldBeTrue)
			So(a.WantedSize(time.Millisecond, Sizing{Policy: p, Unspent: 100_000}), ShouldEqual, 900)
			So(a.Lasts(time.Second), ShouldEqual, 10*time.Second/90)
			a.Settle(90, 10)
			So(a.WantedSize(2*time.Second, Sizing{Policy: p, Unspent: 100_000}), ShouldBeLessThan, 600)
		})
		Convey("is not limited to an equal part at a holder that callers are not directed to", func() {
			step(&a, 0)
			So(a.Reserve(90), ShouldBeTrue)
			s := Sizing{Policy: p, Unspent: 1000, Instances: 10, OnDemand: true}
			So(a.WantedSize(time.Millisecond, s), ShouldEqual, 300)
			s.OnDemand = false
			So(a.WantedSize(time.Millisecond, s), ShouldEqual, 60)
		})
		Convey("holds little of a budget on which nobody draws", func() {
			p.IdleSharePerMille = 40
			s := Sizing{Policy: p, Prepaid: prepaid, Unspent: prepaid, Instances: 4}
			So(a.WantedSize(0, s), ShouldEqual, prepaid*40/perMille/4)
			step(&a, 0)
			So(a.Reserve(5), ShouldBeTrue)
			So(a.WantedSize(time.Second, s), ShouldEqual, p.SizeTokens)
			a.Settle(5, 5)
			Convey("and little again some time after the last spending", func() {
				for second := range 120 {
					a.rates(time.Duration(second) * time.Second)
				}
				So(a.WantedSize(120*time.Second, s), ShouldEqual, prepaid*40/perMille/4)
			})
		})
		Convey("takes a smaller share of a budget that will not last fullShareSeconds", func() {
			p.FullShareSeconds = 60
			So(a.Spreadable(p, 6000), ShouldEqual, 3600) // the rate of spending is not known yet
			a.fleet = steadyRate{perSecond: 100, windows: unevenWindows}
			So(a.Spreadable(p, 12_000), ShouldEqual, 7200)
			So(a.Spreadable(p, 6000), ShouldEqual, 3600)
			So(a.Spreadable(p, 3000), ShouldEqual, 900)
			So(a.Spreadable(p, 100), ShouldEqual, 100*minSharePerMille/perMille)
			So(a.Spreadable(p, -5), ShouldEqual, 0)
		})
		Convey("takes a smaller share of a budget of which losses of instances have taken a part", func() {
			So(a.Spreadable(p, 6000), ShouldEqual, 3600)
			b.Unreported, b.Settled = b.Prepaid/100, b.Prepaid/100
			a.Reconcile(b, self)
			So(a.Spreadable(p, 6000), ShouldEqual, 900)
		})
		Convey("leaves its reserve in the ledger", func() {
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 550})
			step(&a, 0)
			So(b.Outstanding(), ShouldEqual, 600)
			Convey("except for waiting requests", func() {
				a.AddShortfall(200)
				step(&a, 0)
				So(a.Available(), ShouldBeGreaterThanOrEqualTo, 200)
			})
		})
		Convey("returns tokens as the budget runs low", func() {
			step(&a, 0)
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 800, Spent: 0})
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 2, Spent: 800})
			step(&a, time.Second)
			So(a.Available(), ShouldEqual, 200*600/perMille/4)
		})
		Convey("returns tokens when it has over half more than its part", func() {
			step(&a, 0)
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 600, Spent: 0})
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 2, Spent: 600})
			So(step(&a, time.Second), ShouldBeTrue)
			So(a.Available(), ShouldEqual, (prepaid-600)*600/perMille/4)
		})
		Convey("returns unspent tokens after the total is lowered", func() {
			a.AddShortfall(200)
			step(&a, 0)
			a.Reserve(30)
			b.SetTarget(50, 1)
			for range 5 {
				step(&a, 0)
			}
			So(b.Prepaid, ShouldEqual, 50)
			So(a.Available(), ShouldBeLessThanOrEqualTo, 20)
		})
	})
	Convey("Under each policy, unspent tokens are returned after the total is lowered", t, func() {
		for _, name := range []string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive} {
			var a Account
			b, step := newBudget(config.GrantPolicy{Policy: name, SizeTokens: 100, MaxSharePerMille: 250, PeerTransfer: true})
			a.AddShortfall(200)
			step(&a, 0)
			a.Reserve(30)
			b.SetTarget(50, 1)
			for range 5 {
				step(&a, 0)
			}
			So(b.Prepaid, ShouldEqual, 50)
			So(a.Available(), ShouldEqual, 20)
		}
	})
}

func TestRequestsRaiseAnOperationThatTakesTokensInAdvance(t *testing.T) {
	// Guards against requests that wait behind an operation that the ledger has no room for.
	Convey("Given an operation in advance that was not applied", t, func() {
		p := config.GrantPolicy{Policy: config.GrantSpread, SizeTokens: 100, RunwaySeconds: 10, MaxSharePerMille: 600}
		var a Account
		s := Sizing{Policy: p, Prepaid: prepaid, LedgerAvailable: prepaid, Unspent: prepaid, Instances: 4, Background: true}
		first := a.Prepare(0, self, s, false)
		So(first.Advance, ShouldBeTrue)
		So(a.Prepare(0, self, s, false), ShouldEqual, first)
		a.AddShortfall(500)
		raised := a.Prepare(0, self, s, false)
		So(raised.Want, ShouldBeGreaterThanOrEqualTo, 500)
		So(raised.Advance, ShouldBeFalse)
		So(raised.Sequence, ShouldEqual, first.Sequence)
		Convey("either may take effect, and the grant is what the ledger says", func() {
			for _, op := range []*ledger.Operation{first, raised} {
				b := &ledger.Budget{Prepaid: prepaid, Target: prepaid, Grants: map[ledger.Holder]*ledger.Grant{}}
				account := a
				b.Apply(*op)
				b.Apply(*raised)
				So(account.Reconcile(b, self), ShouldBeTrue)
				So(account.Available(), ShouldEqual, op.Want)
			}
		})
	})
}
