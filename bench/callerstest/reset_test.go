package callerstest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnframedServiceResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	// Guards against a part of a response that passes for all of it because the writing of the request took note of the reset.
	Convey("Given a service that answers uploads at once and resets its connection", t, func() {
		r := newFixture(t, options{})
		r.service.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart of an answer") // the instance may have left
			_ = conn.(*net.TCPConn).SetLinger(0)                                // fails only on a closed connection
			_ = conn.Close()
		}))
		Convey("no caller gets a complete answer", func() {
			for i := range 100 {
				got := r.send(http.MethodPost, "/v1/services/records/x", strings.NewReader(strings.Repeat("x", 3<<20)), "Idempotency-Key", fmt.Sprint("upload-", i))
				So(got.status == http.StatusOK && got.err == nil, ShouldBeFalse)
			}
		})
	})
}
