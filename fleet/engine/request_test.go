package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// newBreakingServer starts a server that answers the first request and, for
// each later one, closes the connection after reading the request.
func newBreakingServer(count *atomic.Int64) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
}

func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "body"} {
			Convey("A "+method+" with the body '"+body+"' on a reused connection that breaks is sent once", t, func() {
				var count atomic.Int64
				server := newBreakingServer(&count)
				defer server.Close()
				c := NewClient()
				var last error
				for range 2 {
					req, err := NewRequest(context.Background(), method, server.URL, []byte(body))
					So(err, ShouldBeNil)
					req.Header.Set("Idempotency-Key", "k")
					resp, err := c.Do(req)
					if err == nil {
						_ = resp.Body.Close()
					}
					last = err
				}
				So(last, ShouldNotBeNil)
				So(NotStarted(last), ShouldBeFalse)
				So(count.Load(), ShouldEqual, 2)
			})
		}
	}
}
