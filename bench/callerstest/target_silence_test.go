package callerstest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/settings"
)

func TestTargetSilenceTimeout(t *testing.T) {
	limits := func(l *settings.Limits) { l.TargetSilenceMillis = 200 }
	hang := func(before string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if before != "" {
				_, _ = io.WriteString(w, tokenFrame(r.Header.Get("X-Request-Id"), 0, before))
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		})
	}
	Convey("A request to an engine that never answers ends with an error", t, func() {
		r := newFixture(t, options{limits: limits})
		r.setChatHandler(hang(""))
		a := r.send(http.MethodPost, chatPath, chatBody(true, 5))
		So(a.err, ShouldBeNil)
		So(a.errorDetail().Ran, ShouldEqual, errkind.RanUnknown)
		r.waitIdle()
	})
	Convey("A stream from an engine that stops sending ends with an error frame", t, func() {
		r := newFixture(t, options{limits: limits})
		r.setChatHandler(hang("one"))
		a := r.send(http.MethodPost, chatPath, chatBody(true, 5))
		So(a.err, ShouldBeNil)
		So(a.body, ShouldContainSubstring, "one")
		So(a.body, ShouldContainSubstring, string(errkind.StreamCut))
		So(a.body, ShouldNotContainSubstring, "[DONE]")
		r.waitIdle()
	})
	Convey("A non-idempotent call to a service that never answers has an unknown outcome", t, func() {
		r := newFixture(t, options{limits: limits})
		r.service.set(hang(""))
		a := r.send(http.MethodPost, "/v1/services/records/bookings", strings.NewReader("{}"))
		So(a.err, ShouldBeNil)
		So(a.errorDetail().Code, ShouldEqual, errkind.OutcomeUnknown)
		r.waitIdle()
	})
}
