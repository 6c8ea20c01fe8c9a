package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	wire "plantainfield.example/fleet/platform"
)

func resource(name, spec string) wire.Resource {
	r := wire.Resource{Spec: []byte(spec)}
	r.Metadata.Name = name
	return r
}

func TestGoingBackToACopy(t *testing.T) {
	Convey("Given a server whose objects have changed since a moment", t, func() {
		s := New(Options{})
		objects := s.ObjectStore()
		objects.Write("ledgers", resource("l", `1`), true)
		objects.Write("ledgers", resource("gone", `1`), true)
		objects.Write("targets", resource("t", `1`), true)
		then := time.Now()
		objects.Write("ledgers", resource("l", `2`), false)
		objects.Write("ledgers", resource("new", `2`), true)
		objects.Delete("ledgers", "gone")
		objects.Write("targets", resource("t", `2`), false)
		_, reached, _, _ := objects.ChangesSince("ledgers", 0)

		s.GoBack(then, "targets")
		Convey("its objects are those of that moment, except those that are kept", func() {
			l, _ := objects.Get("ledgers", "l")
			So(string(l.Spec), ShouldEqual, "1")
			_, exists := objects.Get("ledgers", "gone")
			So(exists, ShouldBeTrue)
			_, exists = objects.Get("ledgers", "new")
			So(exists, ShouldBeFalse)
			target, _ := objects.Get("targets", "t")
			So(string(target.Spec), ShouldEqual, "2")
		})
		Convey("a new era begins, and revisions are given out again", func() {
			So(objects.Era(), ShouldEqual, 2)
			_, _, _, ok := objects.ChangesSince("ledgers", reached)
			So(ok, ShouldBeFalse)
			stored, _ := objects.Write("ledgers", resource("other", `3`), true)
			So(stored.Metadata.ResourceVersion, ShouldEqual, "5")
		})
	})
	Convey("A request to the control path goes back too", t, func() {
		s := New(Options{})
		s.ObjectStore().Write("ledgers", resource("l", `1`), true)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control/back", strings.NewReader(`{"ageMillis":60000}`)))
		So(w.Code, ShouldEqual, http.StatusOK)
		_, exists := s.ObjectStore().Get("ledgers", "l")
		So(exists, ShouldBeFalse)
	})
}
