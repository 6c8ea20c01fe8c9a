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
