package callerstest

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
)

func TestServiceResponseWithoutAValidStatusIsAnError(t *testing.T) {
	// Guards against statuses that are relayed, or with which the response can't be written.
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		Convey("Given a service whose responses have the status "+status, t, func() {
			r := newFixture(t, options{})
			r.service.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { _ = conn.Close() })                                               // the instance may have closed it
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 4\r\n\r\nbody", status) // likewise
			}))
			Convey("a caller gets an error of the instance's own", func() {
				got := r.send(http.MethodPost, "/v1/services/records/bookings", http.NoBody, "Idempotency-Key", "odd-"+status)
				So(got.err, ShouldBeNil)
				So(got.errorDetail().Code, ShouldBeIn, errkind.TargetFailed, errkind.OutcomeUnknown)
			})
		})
	}
}
