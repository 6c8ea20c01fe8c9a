package httpabort

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestAbortedResponseIsNotCompleteInEitherVersionOfHTTP(t *testing.T) {
	Convey("Given a handler that aborts its response after a part of it", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			Abort(w, r, zap.NewNop())
		}))
		defer server.Close()
		read := func(proto string) error {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", proto)
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return err
			}
			_, err = io.ReadAll(resp.Body)
			return err
		}
		Convey("a client of HTTP/1.1 misses the last chunk", func() {
			So(errors.Is(read("HTTP/1.1"), io.ErrUnexpectedEOF), ShouldBeTrue)
		})
		Convey("a client of HTTP/1.0 sees a reset", func() {
			So(errors.Is(read("HTTP/1.0"), syscall.ECONNRESET), ShouldBeTrue)
		})
	})
}
