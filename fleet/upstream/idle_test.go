package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIdleConnectionOnWhichATargetGoesOnSendingIsClosed guards against connections
// that stay open, with full receive buffers, because a target sends bytes that belong
// to no request.
func TestIdleConnectionOnWhichATargetGoesOnSendingIsClosed(t *testing.T) {
	Convey("A target goes on sending after its response", t, func() {
		closed := make(chan struct{})
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, requests *bufio.Reader) {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get(attemptHeader)+"\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(50 * time.Millisecond) // the connection is idle then
			for junk := make([]byte, 4096); ; {
				if _, err := c.Write(junk); err != nil {
					close(closed)
					return
				}
			}
		})
		client := NewClient(attemptHeader, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go client.Run(ctx)
		_, err := post(client, address, "a", nil)
		So(err, ShouldBeNil)
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			So("the connection", ShouldEqual, "closed")
		}
	})
	Convey("Quiet connections are kept until their target's timeout, and closed then", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, _ net.Conn, requests *bufio.Reader) { _, _ = requests.ReadByte() })
		client := NewClient(attemptHeader, nil)
		So(client.Accepts(context.Background(), address), ShouldBeTrue)
		client.closeUnusable(time.Now())
		So(client.idle[address], ShouldHaveLength, 1)
		client.closeUnusable(time.Now().Add(2 * defaultIdleTimeout))
		So(client.idle, ShouldBeEmpty)
	})
}
