package ledgerera

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/ledger"
)

// fleet is a Fleet of fixed holders.
type fleet struct {
	running  []ledger.Holder
	replaced map[ledger.Holder]bool
}

func (f fleet) Holders() []ledger.Holder      { return f.running }
func (f fleet) Replaced(h ledger.Holder) bool { return f.replaced[h] }

func decoded(text string) *ledger.Shard {
	s, err := ledger.Decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return s
}

const (
	// unmarked is an object as a build that knows no eras writes it.
	unmarked = `{"budgets":{"b":{"prepaid":100,"target":100,"generation":1,"settled":10,"grants":{"n1/1":{"sequence":3,"granted":20,"spent":5}}}}}`
	// registered is an object of era 2 in which n1 and n2 are registered.
	registered = `{"budgets":{"":{"prepaid":0,"target":0,"generation":2,"settled":0,"grants":{"n1/1":{"sequence":2,"granted":0,"spent":0},"n2/1":{"sequence":2,"granted":0,"spent":0}}},` +
		`"b":{"prepaid":100,"target":100,"generation":1,"settled":10,"grants":{"n1/1":{"sequence":3,"granted":20,"spent":5}}}}}`
)

func noBudgets() {}

func TestObjectsOfTheBuildBefore(t *testing.T) {
	Convey("An object without an era is marked, and nothing is withheld, if the store never came back from a copy", t, func() {
		k := NewKeeper(1)
		k.Observe(2)
		s := decoded(unmarked)
		So(k.Begin(0, s, "7", noBudgets), ShouldBeFalse)
		So(Pending(s), ShouldBeFalse)
		So(s.Budgets["b"].Available(), ShouldEqual, 70)
	})
	Convey("After a return all that such an object shows as available is withheld", t, func() {
		k := NewKeeper(1)
		k.Observe(2)
		So(k.Observe(3), ShouldBeTrue)
		s := decoded(unmarked)
		So(k.Begin(0, s, "7", noBudgets), ShouldBeTrue)
		So(s.Budgets["b"].Available(), ShouldEqual, 0)
		Convey("and stays so when the build before closes and rewrites the object", func() {
			s.Budgets["b"].Close(ledger.Unaccounted)
			s.Budgets["b"].Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 50})
			raw, err := s.Encode()
			So(err, ShouldBeNil)
			again := decoded(string(raw))
			So(Pending(again), ShouldBeTrue)
			So(again.Budgets["b"].Grants["n2/1"].Granted, ShouldEqual, 0)
		})
	})
}

func TestTokensAreWithheldUntilAllGrantsAreRepeated(t *testing.T) {
	Convey("Given an object of an earlier era with two registered instances", t, func() {
		k := NewKeeper(1)
		k.Observe(2)
		k.Observe(3)
		all := fleet{running: []ledger.Holder{"n2/1"}, replaced: map[ledger.Holder]bool{}}
		k.Returned(0, nil, "", all)
		s := decoded(registered)
		So(k.Begin(0, s, "7", noBudgets), ShouldBeTrue)
		report := func(h ledger.Holder, sequence uint64, total, spent int64) {
			Register(s, *k.Registration(h))
			if total > 0 {
				s.Budget("b").Apply(ledger.Operation{Holder: h, Sequence: sequence, Spent: spent, Restore: &ledger.Restore{Total: total}})
			}
		}
		report("n1/1", 9, 60, 45)
		So(k.Finish(0, s, all), ShouldBeNil)
		So(s.Budgets["b"].Available(), ShouldEqual, 0)
		Convey("an operation before the report of its holder waits", func() {
			_, admitted := Admit(s, ledger.Operation{Holder: "n2/1", Sequence: 2})
			So(admitted, ShouldBeFalse)
		})
		Convey("the rest is available once the last one has repeated its grant", func() {
			report("n2/1", 0, 0, 0)
			o := k.Finish(0, s, all)
			So(o.Unaccounted, ShouldBeEmpty)
			So(s.Budgets["b"].Available(), ShouldEqual, 100-10-60)
			So(Pending(s), ShouldBeFalse)
		})
		Convey("the rest stays withheld if one has ended", func() {
			all.running, all.replaced["n2/1"] = []ledger.Holder{"n2/2"}, true
			So(k.Finish(0, s, all), ShouldBeNil)
			report("n2/2", 0, 0, 0)
			o := k.Finish(0, s, all)
			So(o.Unaccounted, ShouldResemble, []ledger.Holder{"n2/1", "n2/2"})
			So(o.Withheld, ShouldEqual, 100-10-60)
			So(s.Budgets["b"].Available(), ShouldEqual, 0)
		})
		Convey("an operation of the earlier era that comes late changes nothing", func() {
			before, _ := s.Encode()
			s.Budget("b").Apply(ledger.Operation{Holder: "n1/1", Sequence: 8, Want: 40})
			after, _ := s.Encode()
			So(string(after), ShouldEqual, string(before))
		})
	})
}

func TestALaterViewTellsWhatAnEndedInstanceHeld(t *testing.T) {
	Convey("A view in which the successor of an ended instance is registered accounts for it", t, func() {
		k := NewKeeper(1)
		k.Observe(2)
		seen := decoded(registered)
		Register(seen, ledger.Operation{Holder: "n2/2", Sequence: 2})
		seen.Budget("b").Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Want: 30})
		k.Observe(3)
		all := fleet{running: []ledger.Holder{"n2/2"}}
		k.Returned(0, seen, "9", all)
		s := decoded(registered)
		k.Begin(0, s, "7", noBudgets)
		Register(s, *k.Registration("n1/1"))
		s.Budget("b").Apply(ledger.Operation{Holder: "n1/1", Sequence: 9, Restore: &ledger.Restore{Total: 20}})
		Register(s, *k.Registration("n2/2"))
		o := k.Finish(0, s, all)
		So(o.Unaccounted, ShouldBeEmpty)
		So(s.Budgets["b"].Available(), ShouldEqual, 100-10-20-30)
	})
}

// TestAVersionThatIsNotWrittenChangesNothing guards against an instance that forgets
// whom to wait for when its update, which would have ended the restoring, meets
// another one.
func TestAVersionThatIsNotWrittenChangesNothing(t *testing.T) {
	Convey("Given an update that would end the restoring of a shard, and fails", t, func() {
		k := NewKeeper(1)
		k.Observe(2)
		k.Observe(3)
		k.Returned(0, nil, "", fleet{running: []ledger.Holder{"n3/1"}})
		report := func(s *ledger.Shard, holders ...ledger.Holder) *Outcome {
			k.Begin(0, s, "7", noBudgets)
			for _, h := range holders {
				Register(s, *k.Registration(h))
				s.Budget("b").Apply(ledger.Operation{Holder: h, Sequence: 9, Restore: &ledger.Restore{Total: 5}})
			}
			return k.Finish(0, s, fleet{})
		}
		So(report(decoded(registered), "n1/1", "n2/1", "n3/1"), ShouldNotBeNil)
		Convey("the next one waits for the same holders", func() {
			So(report(decoded(registered), "n1/1", "n2/1"), ShouldBeNil)
		})
	})
}
