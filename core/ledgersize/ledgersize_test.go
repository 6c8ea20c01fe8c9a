package ledgersize

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/ledger"
)

func TestGrantsInAdvanceLeaveRoomForRequests(t *testing.T) {
	Convey("Given an object that is half as large as it may be", t, func() {
		const limit = 100_000
		b := &ledger.Budget{Grants: map[ledger.Holder]*ledger.Grant{"n1/1": {}}}
		u := NewUpdate(limit/2, limit)
		Convey("no grant is added in advance, but one for a request is", func() {
			So(u.Admit(b, ledger.Operation{Holder: "n2/1", Advance: true}), ShouldBeFalse)
			So(u.Admit(b, ledger.Operation{Holder: "n2/1"}), ShouldBeTrue)
			So(u.Skipped(), ShouldEqual, 1)
		})
		Convey("operations on grants that it has are admitted, and those that repeat a grant", func() {
			So(u.Admit(b, ledger.Operation{Holder: "n1/1", Advance: true}), ShouldBeTrue)
			So(u.Admit(b, ledger.Operation{Holder: "n2/1", Restore: &ledger.Restore{}}), ShouldBeTrue)
		})
		Convey("grants for requests are admitted up to the limit, less a margin", func() {
			admitted := 0
			for i := range limit {
				if u.Admit(b, ledger.Operation{Holder: ledger.Holder(fmt.Sprint(i))}) {
					admitted++
				}
			}
			So(limit/2+admitted*grantBytes, ShouldBeBetween, limit-2*limit/marginDivisor, limit)
		})
	})
	Convey("Without a limit all are admitted", t, func() {
		So(NewUpdate(1<<30, 0).Admit(&ledger.Budget{}, ledger.Operation{Holder: "n1/1", Advance: true}), ShouldBeTrue)
		So(Exceeds(make([]byte, 1<<20), 0), ShouldBeFalse)
	})
}

func TestGrantsOfReplacedHoldersMakeRoom(t *testing.T) {
	Convey("Only closed grants of replaced holders are removed, and stay charged", t, func() {
		b := &ledger.Budget{}
		s := &ledger.Shard{Budgets: map[string]*ledger.Budget{"b": b}}
		b = s.Budget("b")
		b.SetTarget(1000, 1)
		for _, h := range []ledger.Holder{"n1/1", "n2/1", "n3/1"} {
			b.Apply(ledger.Operation{Holder: h, Sequence: 1, Want: 100})
		}
		b.Close("n1/1")
		b.Close("n2/1")
		So(CompactReplaced(s, func(h ledger.Holder) bool { return h != "n2/1" }), ShouldEqual, 1)
		So(b.HolderNames(), ShouldResemble, []ledger.Holder{"n2/1", "n3/1"})
		So(b.Committed(), ShouldEqual, 300)
		So(b.Settled, ShouldEqual, 100)
	})
}
