package reach

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
)

func TestRequestRefusedByPeer(t *testing.T) {
	after := func(kind errkind.Kind, ran errkind.Ran) Continuation {
		return AfterRefusal(Refusal{Kind: kind, Ran: ran})
	}
	Convey("Only a peer's own state sends a request that has not run to another", t, func() {
		for kind := range errkind.Table {
			if errkind.Lookup(kind).Ran != errkind.RanNo {
				So(after(kind, errkind.RanNo), ShouldNotEqual, TryOther)
			}
		}
		So(after(errkind.NotReady, errkind.RanNo), ShouldEqual, TryOther)
		So(after(errkind.InstanceOverloaded, errkind.RanNo), ShouldEqual, TryOther)
		So(after(errkind.MemoryExhausted, errkind.RanNo), ShouldEqual, TryOther)
		So(after(errkind.BudgetExhausted, errkind.RanNo), ShouldEqual, PassOn)
	})
	Convey("A request that may have run is not tried again as one that has not", t, func() {
		for kind := range errkind.Table {
			So(after(kind, errkind.RanUnknown), ShouldNotEqual, TryOther)
		}
		So(after(errkind.TargetFailed, errkind.RanUnknown), ShouldEqual, Repeat)
		So(after(errkind.StreamCut, errkind.RanUnknown), ShouldEqual, Repeat)
		So(after(errkind.OutcomeUnknown, errkind.RanUnknown), ShouldEqual, Repeat)
		So(after(errkind.Quarantined, errkind.RanUnknown), ShouldEqual, PassOn)
	})
	Convey("A peer doesn't know what was sent before the hand-over", t, func() {
		So(AfterRefusal(Refusal{Kind: errkind.BudgetExhausted, Ran: errkind.RanNo, MayHaveRun: true}), ShouldEqual, PassOnAsUnknown)
		So(AfterRefusal(Refusal{Kind: errkind.Quarantined, Ran: errkind.RanUnknown, MayHaveRun: true}), ShouldEqual, PassOn)
		So(AfterRefusal(Refusal{Kind: errkind.NotReady, Ran: errkind.RanNo, MayHaveRun: true}), ShouldEqual, TryOther)
	})
	Convey("An error response can't be passed on after a part of a response", t, func() {
		for kind := range errkind.Table {
			So(AfterRefusal(Refusal{Kind: kind, Ran: errkind.RanNo, Started: true}), ShouldEqual, TryOther)
			So(AfterRefusal(Refusal{Kind: kind, Ran: errkind.RanUnknown, Started: true}), ShouldEqual, Repeat)
		}
	})
}
