package gateway

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestIdleConnectionsDontFillTheMemory(t *testing.T) {
	Convey("Connections beyond the limit are closed, the one that has been idle longest first, and never one that is in use", t, func() {
		const limit = 4
		c := NewIdleConnections(limit*idleMemoryShare*idleConnectionBytes, zap.NewNop())
		var ends, far []net.Conn
		for range 3 * limit {
			near, other := net.Pipe()
			ends, far = append(ends, near), append(far, other)
			c.StateChanged(near, http.StateNew)
			c.StateChanged(near, http.StateActive)
		}
		for _, near := range ends {
			c.StateChanged(near, http.StateIdle)
		}
		c.StateChanged(ends[2*limit], http.StateActive) // used again: may not be closed
		for i, near := range ends[:limit] {
			So(near.Close(), ShouldBeNil)
			c.StateChanged(near, http.StateClosed)
			_, err := far[i].Write([]byte("x"))
			So(err, ShouldNotBeNil)
		}
		for i := range 3 * limit {
			open := i >= 2*limit
			go func() { _, _ = ends[i].Read(make([]byte, 1)) }()
			_, err := far[i].Write([]byte("x"))
			So(err == nil, ShouldEqual, open)
		}
		So(c.order.Len(), ShouldEqual, limit-1)
		So(len(c.elements), ShouldEqual, limit-1)
	})
}
