package budget

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/ledger"
)

func TestTransferRequestIsIdempotent(t *testing.T) {
	Convey("Given an account with 100 tokens", t, func() {
		a := &Account{granted: 100}
		So(a.Send("n2/1", 0, 40), ShouldEqual, 40)
		Convey("a repeated request gets the same total", func() {
			So(a.Send("n2/1", 0, 40), ShouldEqual, 40)
			So(a.Available(), ShouldEqual, 60)
		})
		Convey("a new request after the transfer arrived gets more", func() {
			So(a.Send("n2/1", 40, 40), ShouldEqual, 80)
		})
		Convey("no more than the account has is sent", func() {
			So(a.Send("n2/1", 40, 400), ShouldEqual, 100)
			So(a.Available(), ShouldEqual, 0)
		})
	})
}

func TestLostTransferArrivesThroughTheLedger(t *testing.T) {
	Convey("Given a transfer that was reported and whose message was lost", t, func() {
		b := &ledger.Budget{Prepaid: 100, Target: 100, Grants: map[ledger.Holder]*ledger.Grant{}}
		var sender, receiver Account
		sender.AddShortfall(100)
		b.Apply(*sender.Prepare(0, "n1/1", Sizing{}, false))
		sender.Reconcile(b, "n1/1")
		receiver.ExpectTransfer("n1/1")
		sender.Send("n2/1", 0, 40)
		b.Apply(*sender.Prepare(0, "n1/1", Sizing{}, true))
		Convey("the receiver finds it when it reads the ledger", func() {
			receiver.Reconcile(b, "n2/1")
			So(receiver.Available(), ShouldEqual, 40)
		})
	})
}

func TestReservedAndSentTokensAreExposed(t *testing.T) {
	// Guards against releasing tokens of a killed instance that were reserved for requests
	// in flight or on their way to a peer.
	Convey("An account with a grant of 100 tokens", t, func() {
		book := NewBook(1)
		limit := int64(60)
		book.LimitExposure(func(_ string, exposed int64) int64 { return limit - exposed })
		a := book.Account("b")
		b := &ledger.Budget{Prepaid: 100, Target: 100, Grants: map[ledger.Holder]*ledger.Grant{}}
		b.Apply(ledger.Operation{Holder: self, Sequence: 1, Want: 100})
		a.sequence = 1
		a.Reconcile(b, self)
		So(a.Reserve(50), ShouldBeTrue)
		So(book.Exposed("b"), ShouldEqual, 50)
		Convey("exposes what was sent, reserved and spent", func() {
			So(a.Send("n2/1", 0, 20), ShouldEqual, 10)
			So(book.Exposed("b"), ShouldEqual, 60)
			a.Settle(50, 30)
			So(book.Exposed("b"), ShouldEqual, 40)
		})
		Convey("reserves no more than its marks allow, and says what waits for them", func() {
			So(a.Reserve(11), ShouldBeFalse)
			So(a.Blocked(11), ShouldBeTrue)
			So(book.Uses(0)["b"].Waiting, ShouldEqual, 11)
			So(a.Blocked(51), ShouldBeFalse) // its grant doesn't cover that
			limit = 61
			So(a.Reserve(11), ShouldBeTrue)
		})
	})
}
