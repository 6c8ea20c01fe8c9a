package departure

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDepartureIsFinalForAnIncarnationOnly(t *testing.T) {
	Convey("An incarnation that departed stays so, and a later one of the instance is not concerned", t, func() {
		r := Registry{}
		So(r.Departed("n1", "a"), ShouldBeFalse)
		So(r.Record("n1", "a"), ShouldBeTrue)
		So(r.Record("n1", "a"), ShouldBeFalse)
		So(r.Departed("n1", "a"), ShouldBeTrue)
		So(r.Departed("n1", "b"), ShouldBeFalse)
		So(r.Departed("n1", ""), ShouldBeFalse)
		So(r.Record("n1", ""), ShouldBeFalse)
		So(r.Record("n1", "b"), ShouldBeTrue)
		So(r.Departed("n1", "b"), ShouldBeTrue)
	})
}

func TestDeparturesAreBoundedInNumber(t *testing.T) {
	Convey("Of more departures than are kept, the last ones are remembered", t, func() {
		r := Registry{}
		for i := range 3 * maxInstances {
			r.Record(fmt.Sprint("n", i), "a")
		}
		So(r.Len(), ShouldEqual, maxInstances)
		So(r.Departed(fmt.Sprint("n", 3*maxInstances-1), "a"), ShouldBeTrue)
		So(r.Departed("n0", "a"), ShouldBeFalse)
	})
}
