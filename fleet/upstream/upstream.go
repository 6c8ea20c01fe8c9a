// Package upstream is an HTTP/1.1 client for targets. It never retries a
// request on its own, matches responses to requests by attempt ID, and pools
// connections.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dialTimeout is several round trips within a region and far below the
	// shortest deadline of a request.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an unused connection is kept if the target
	// does not send a Keep-Alive timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin prevents reuse of a connection just as its target closes it.
	// It is a few round trips.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// backgroundWriteBytes is the body size above which the body is written
	// while the response is read. Smaller bodies fit into the socket buffers.
	backgroundWriteBytes = 16 << 10
	readBufferBytes      = 4 << 10
	// maxMismatchedResponses bounds the responses to other requests that are
	// skipped.
	maxMismatchedResponses = 2
	// maxMismatchedBodyBytes bounds the body of a response that is skipped.
	maxMismatchedBodyBytes = 64 << 10
	// maxRememberedIDs bounds the attempt IDs that a connection remembers.
	maxRememberedIDs = 4
)

var (
	// ErrUnsent reports that no byte of the request reached the target.
	ErrUnsent = errors.New("the request was not sent")
	// ErrResponseMismatch reports a response that belongs to another request.
	ErrResponseMismatch = errors.New("the response belongs to another request")
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	// attemptHeader is the header in which targets return the attempt ID.
	attemptHeader string
	openConn      DialFunc
	settleTime    time.Duration
	// servesPeers is set if the targets are instances: their own responses have no
	// attempt ID, and they write none twice.
	servesPeers bool
	// ConnectionsOpened counts new connections.
	ConnectionsOpened atomic.Uint64

	mu sync.Mutex
	// idle holds the idle connections by address, with the most recently used
	// one last. It is guarded by mu.
	idle map[string][]*conn
	// idleCount is the number of idle connections, and maxIdle its limit, or 0 for none.
	// They are guarded by mu.
	idleCount, maxIdle int
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a Client for targets that return the attempt ID in
// attemptHeader. Connections are opened with dial, or over TCP if it is nil.
func NewClient(attemptHeader string, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setTargetOptions}).DialContext
	}
	return &Client{
		attemptHeader: attemptHeader,
		openConn:      dial,
		settleTime:    defaultSettleTime,
		idle:          map[string][]*conn{},
	}
}

// NewPeerClient returns a Client that sends requests to other instances.
func NewPeerClient(attemptHeader string) *Client {
	c := NewClient(attemptHeader, nil)
	c.servesPeers = true
	return c
}

// ErrHeadTooLong reports that the head of a response, informational responses
// before it included, is longer than maxHeadBytes.
var ErrHeadTooLong = errors.New("the response header is too long")

// maxHeadBytes bounds the head of a response, up to what one read brings beyond
// it.
const maxHeadBytes = 64 << 10

// headLimiter reads from a connection and bounds what is read for a head.
type headLimiter struct {
	net.Conn
	// limited is set while a head is read, of which left bytes may still arrive.
	limited bool
	left    int
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	// source is what reader reads from.
	source  *headLimiter
	reader  *bufio.Reader
	address string
	// sent holds the attempt IDs of the last requests on this connection: a response
	// with one of them may belong to that request.
	sent []string
	// reuseUntil is the time after which the connection must not be reused.
	reuseUntil time.Time
}

// remember records that a request was sent on the connection.
func (pc *conn) remember(id string) {
	if len(pc.sent) == maxRememberedIDs {
		pc.sent = slices.Delete(pc.sent, 0, 1)
	}
	pc.sent = append(pc.sent, id)
}

// Do sends a request with a body in blocks and returns its response. The caller must close the
// response body. If ctx ends, the connection is closed, which cancels the
// request; a head that arrives until HeadGrace later is returned nevertheless.
func (c *Client) Do(ctx context.Context, address string, req *http.Request, body [][]byte) (*http.Response, error) {
	pc, err := c.connection(ctx, address, req.Header.Get(c.attemptHeader))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	x := &exchange{client: c, conn: pc}
	x.stopCancelWatch = context.AfterFunc(ctx, x.interrupt)
	resp, err := x.roundTrip(req, body)
	x.endHead()
	if err != nil {
		x.closeConnection()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: x, reusable: !endsWithConnection(resp), unframed: IsUnframed(resp)}
	return resp, nil
}

// endsWithConnection reports whether the connection ends with the response.
func endsWithConnection(r *http.Response) bool { return r.Close || IsUnframed(r) }

// IsUnframed reports whether only the end of the connection ends a response.
func IsUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// connection returns an idle connection that is still usable for a request with an
// attempt ID, or a new one.
func (c *Client) connection(ctx context.Context, address, id string) (*conn, error) {
	for pc := c.takeIdle(address); pc != nil; pc = c.takeIdle(address) {
		if time.Now().Before(pc.reuseUntil) && !slices.Contains(pc.sent, id) && isIdle(pc.Conn) {
			return pc, nil
		}
		_ = pc.Close()
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := c.openConn(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.ConnectionsOpened.Add(1)
	source := &headLimiter{Conn: raw}
	return &conn{Conn: raw, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), address: address}, nil
}

const (
	// probeTimeout bounds one connection attempt of Refuses and Accepts.
	probeTimeout = 250 * time.Millisecond
	// defaultSettleTime is how long a new connection must stay open to show that
	// its target runs: a process that is ending may still accept one.
	defaultSettleTime = 20 * time.Millisecond
)

// Refuses reports whether nothing listens at an address. Neither silence nor a
// connection that is closed at once proves that: a target that has too many
// connections closes new ones. A connection that stays open is kept for later
// requests.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	for range 2 {
		dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		pc, err := c.dial(dialCtx, address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNRESET): // accepted and closed at once
			continue
		case err != nil:
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if pc.staysOpen(c.settleTime) {
			c.putIdle(pc, defaultIdleTimeout)
			return false
		}
		_ = pc.Close()
	}
	return false
}

// Accepts reports whether a new connection to an address can be opened and stays
// open. It is kept for later requests.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pc, err := c.dial(dialCtx, address)
	if err != nil {
		return false
	}
	if !pc.staysOpen(c.settleTime) {
		_ = pc.Close()
		return false
	}
	c.putIdle(pc, defaultIdleTimeout)
	return true
}

// staysOpen reports whether nothing arrives on a new connection, not even its
// end, for a time.
func (pc *conn) staysOpen(d time.Duration) bool {
	if err := pc.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := pc.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && pc.SetReadDeadline(time.Time{}) == nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	pc := idle[len(idle)-1]
	c.idleCount--
	c.setIdle(address, idle[:len(idle)-1])
	return pc
}

// putIdle returns a connection to the pool of idle connections.
func (c *Client) putIdle(pc *conn, timeout time.Duration) {
	pc.reuseUntil = time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[pc.address]) >= maxIdlePerTarget {
		_ = pc.Close()
		return
	}
	if c.maxIdle > 0 && c.idleCount >= c.maxIdle {
		c.closeStalest()
	}
	c.idle[pc.address] = append(c.idle[pc.address], pc)
	c.idleCount++
}

// SetMaxIdle limits the idle connections to all targets together. Beyond it, the one
// that may be reused for the shortest time is closed.
func (c *Client) SetMaxIdle(connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = connections
}

// closeStalest closes the idle connection that may be reused for the shortest time among
// those that each target has left unused for longest. The caller holds mu.
func (c *Client) closeStalest() {
	var stalest *conn
	for _, idle := range c.idle {
		if stalest == nil || idle[0].reuseUntil.Before(stalest.reuseUntil) {
			stalest = idle[0]
		}
	}
	if stalest == nil {
		return
	}
	_ = stalest.Close() // it is not used
	c.setIdle(stalest.address, c.idle[stalest.address][1:])
	c.idleCount--
}

// setIdle replaces the idle connections to an address. The caller holds mu.
func (c *Client) setIdle(address string, idle []*conn) {
	if len(idle) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = idle
}
