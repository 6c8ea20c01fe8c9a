package budget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/ledger"
)

func TestFleetRateCountsOnlyReportedSpending(t *testing.T) {
	const perSecond = 1000
	Convey("A fleet of which another holder reports 1,000 tokens a second", t, func() {
		var a Account
		b := &ledger.Budget{Prepaid: 1_000_000, Target: 1_000_000, Grants: map[ledger.Holder]*ledger.Grant{}}
		second := int64(0)
		report := func(seconds int64) {
			for range seconds {
				second++
				b.Apply(ledger.Operation{Holder: "n2/1", Sequence: uint64(second), Want: 2 * perSecond, Spent: perSecond * second})
				a.Reconcile(b, self)
				a.rates(time.Duration(second) * time.Second)
			}
		}
		rate := func() float64 {
			_, _, fleet := a.rates(time.Duration(second) * time.Second)
			return fleet
		}
		a.Reserve(0)
		a.rates(0)
		a.Settle(0, 1)
		report(20)
		before := rate()
		So(before, ShouldAlmostEqual, perSecond, perSecond/5)
		Convey("has the same rate after the grant of a lost holder was closed and removed", func() {
			b.Apply(ledger.Operation{Holder: "n3/1", Sequence: 1, Want: 100_000})
			b.Close("n3/1")
			report(1)
			So(rate(), ShouldAlmostEqual, before, perSecond/5)
			b.Compact("n3/1")
			report(1)
			So(rate(), ShouldAlmostEqual, before, perSecond/5)
		})
		Convey("keeps its rate while the ledger is not seen, and what is reported then counts for that time", func() {
			for range 8 {
				second++
				So(rate(), ShouldAlmostEqual, before, perSecond/5)
			}
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: uint64(second), Want: 2 * perSecond, Spent: perSecond * second})
			a.Reconcile(b, self)
			So(rate(), ShouldAlmostEqual, before, perSecond/5)
		})
	})
}
