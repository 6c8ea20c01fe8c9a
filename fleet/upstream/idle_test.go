package upstream

import (
	"bufio"
	"context"
	"fmt"
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

func TestIdleConnectionsToAllTargetsAreBounded(t *testing.T) {
	// Guards against idle connections that take the descriptors of others.
	Convey("Given more idle connections than all targets together may have", t, func() {
		const limit = 3
		client := NewClient(attemptHeader, nil)
		client.SetMaxIdle(limit)
		var far []net.Conn
		for i := range limit + 2 {
			near, other := net.Pipe()
			far = append(far, other)
			client.putIdle(&conn{Conn: near, address: fmt.Sprint("target-", i%2)}, time.Duration(i+1)*time.Hour)
		}
		Convey("those that may be reused for the shortest time are closed", func() {
			for i, other := range far {
				_ = other.SetReadDeadline(time.Now().Add(time.Millisecond)) // a pipe has no other errors
				_, err := other.Read(make([]byte, 1))
				So(err == io.EOF, ShouldEqual, i < 2)
			}
			So(client.idleCount, ShouldEqual, limit)
			So(client.takeIdle("target-0"), ShouldNotBeNil)
			So(client.idleCount, ShouldEqual, limit-1)
		})
	})
}
