package clientconn

import (
	"net"
	"sync/atomic"
	"time"

	"plantainfield.example/core/clientlimit"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	limiter *Limiter
	// writingSince is when the write in progress began, as the time since the limiter
	// was made, or 0 if there is none.
	writingSince atomic.Int64
	// The fields below are guarded by the limiter's mu. since is when the connection's
	// phase began.
	phase  clientlimit.Phase
	since  time.Duration
	served bool
	// held is the memory that is held for the request, and blocks what has arrived of its
	// body until that is complete. gaveWay is set once the body was dropped.
	held    int64
	blocks  [][]byte
	gaveWay bool
}

// client returns the state of the connection. The caller holds the limiter's mu.
func (c *Conn) client(now time.Duration) clientlimit.Client {
	state := clientlimit.Client{Phase: c.phase, Age: now - c.since, Bytes: c.held, Served: c.served}
	if writing := c.writingSince.Load(); writing > 0 && c.phase == clientlimit.Running {
		state.Phase, state.Age = clientlimit.Sending, now-time.Duration(writing)
	}
	return state
}

func (c *Conn) setPhase(phase clientlimit.Phase) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase, c.since = phase, c.limiter.now()
}

// setIdle records that a request is complete and the connection waits for the next one.
func (c *Conn) setIdle() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase, c.since, c.served = clientlimit.Waiting, c.limiter.now(), true
}

// SetClosing records that the connection ends with the response that is sent next.
func (c *Conn) SetClosing() { c.setPhase(clientlimit.Closing) }

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.limiter.limits.TracksReads {
		c.setPhase(clientlimit.Waiting)
	}
	return n, err
}

// Write writes within the write timeout.
func (c *Conn) Write(b []byte) (int, error) {
	if timeout := c.limiter.limits.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	c.writingSince.Store(int64(c.limiter.now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// CloseWrite ends the sending direction, so that a client that is still sending gets the
// response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is net.TCPConn.SetLinger.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// forget counts the connection no longer. What it holds is counted until Release.
func (c *Conn) forget() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	delete(c.limiter.conns, c)
}
