package ledger

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOperationsAreIdempotent(t *testing.T) {
	Convey("Given a budget with one holder's grant", t, func() {
		b := (&Shard{Budgets: map[string]*Budget{}}).Budget("b")
		b.SetTarget(100, 1)
		op := Operation{Holder: "n1/1", Sequence: 1, Want: 60}
		So(b.Apply(op), ShouldBeTrue)
		Convey("the same operation again changes nothing", func() {
			So(b.Apply(op), ShouldBeFalse)
			So(b.Committed(), ShouldEqual, 60)
		})
		Convey("a final operation removes the grant and is not applied again", func() {
			final := Operation{Holder: "n1/1", Sequence: 2, Spent: 10, Return: 50, Final: true}
			So(b.Apply(final), ShouldBeTrue)
			So(b.Apply(final), ShouldBeFalse)
			So(b.SettledTotal(), ShouldEqual, 10)
			So(b.Available(), ShouldEqual, 90)
		})
		Convey("an older configuration does not change the total", func() {
			So(b.SetTarget(200, 1), ShouldBeFalse)
			So(b.Prepaid, ShouldEqual, 100)
		})
		Convey("a lowered total takes effect as grants are returned", func() {
			b.SetTarget(20, 2)
			So(b.Prepaid, ShouldEqual, 60)
			b.Apply(Operation{Holder: "n1/1", Sequence: 2, Return: 50})
			So(b.Prepaid, ShouldEqual, 20)
		})
	})
}

func TestCloneSharesNothing(t *testing.T) {
	Convey("Operations on a clone leave the original shard unchanged", t, func() {
		s := &Shard{Budgets: map[string]*Budget{}}
		b := s.Budget("b")
		b.SetTarget(1000, 1)
		b.Apply(Operation{Holder: "n1/1", Sequence: 1, Want: 300})
		b.Apply(Operation{Holder: "n2/1", Sequence: 1, Want: 300})
		b.Apply(Operation{Holder: "n1/1", Sequence: 2, Sent: map[Holder]int64{"n2/1": 50}})
		before, err := s.Encode()
		So(err, ShouldBeNil)
		c := s.Clone()
		same, err := c.Encode()
		So(err, ShouldBeNil)
		So(string(same), ShouldEqual, string(before))
		c.Budget("b").Apply(Operation{Holder: "n2/1", Sequence: 2, Received: map[Holder]int64{"n1/1": 50}, Want: 100})
		c.Budget("b").Apply(Operation{Holder: "n1/1", Sequence: 3, Sent: map[Holder]int64{"n2/1": 60}})
		c.Budget("c")
		after, err := s.Encode()
		So(err, ShouldBeNil)
		So(string(after), ShouldEqual, string(before))
	})
}

func TestClaimedTransfersAreRecordedOnce(t *testing.T) {
	// Guards against an object that grows with each transfer more than needed.
	Convey("Once a transfer is claimed, the sender's record of what it sent is dropped", t, func() {
		b := &Budget{Prepaid: 1000, Target: 1000, Grants: map[Holder]*Grant{}}
		b.Apply(Operation{Holder: "a/1", Sequence: 1, Want: 500})
		b.Apply(Operation{Holder: "a/1", Sequence: 2, Sent: map[Holder]int64{"b/1": 200}})
		So(b.Grants["a/1"].Unclaimed(), ShouldEqual, 200)
		b.Apply(Operation{Holder: "b/1", Sequence: 1, Received: map[Holder]int64{"a/1": 200}})
		So(b.Grants["a/1"].Sent, ShouldBeEmpty)
		So(b.Grants["a/1"].ClaimedTotal(), ShouldEqual, 200)
		Convey("and a later report that repeats it changes nothing", func() {
			b.Apply(Operation{Holder: "a/1", Sequence: 3, Sent: map[Holder]int64{"b/1": 200}})
			So(b.Grants["a/1"].Sent, ShouldBeEmpty)
			So(b.Grants["a/1"].Granted, ShouldEqual, 300)
			So(b.Check(), ShouldBeNil)
		})
		Convey("and a further transfer is recorded until it is claimed", func() {
			b.Apply(Operation{Holder: "a/1", Sequence: 3, Sent: map[Holder]int64{"b/1": 250}})
			So(b.Grants["a/1"].Unclaimed(), ShouldEqual, 50)
		})
	})
}
