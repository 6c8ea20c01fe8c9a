// Package upstream is an HTTP/1.1 client of targets that never repeats a
// request by itself, matches answers to requests by their attempt id, and keeps
// connections to use them again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout is several round trips within a region and far below the
	// shortest deadline of a request.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long an unused connection is kept if the target does
	// not say how long it keeps it.
	defaultIdle = 10 * time.Second
	// idleMargin keeps a connection from being used just as its target closes
	// it: a few round trips.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerTarget bounds the kept connections to one target.
	maxIdlePerTarget = 64
	// writeAside is the body size from which on a body is written while the
	// answer is read: smaller ones fit into the sockets' buffers.
	writeAside = 16 << 10
	readBuffer = 4 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 2
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 64 << 10
)

var (
	// ErrUnsent reports that no byte of the request reached the target.
	ErrUnsent = errors.New("the request was not sent")
	// ErrForeign reports an answer that belongs to another request.
	ErrForeign = errors.New("the answer belongs to another request")
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	// echo is the header in which targets return the attempt id.
	echo   string
	dialer net.Dialer
	// Opened counts new connections.
	Opened atomic.Uint64

	mu sync.Mutex
	// idle holds unused connections by address, the last used at the end; mu
	// guards it.
	idle map[string][]*conn
}

// NewClient returns a client of targets that echo attempt ids in a header.
func NewClient(echoHeader string) *Client {
	return &Client{
		echo:   echoHeader,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: SetSocketOptions},
		idle:   map[string][]*conn{},
	}
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// until is when the connection should be used no more.
	until time.Time
}

// Do sends a request and returns its answer. The answer's body must be closed.
// When ctx ends, the connection is closed, which cancels the request.
func (c *Client) Do(ctx context.Context, address string, req *http.Request, body []byte) (*http.Response, error) {
	k, err := c.connection(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	x := &exchange{client: c, conn: k}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	resp, err := x.roundTrip(req, body)
	if err != nil {
		x.discard()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, exchange: x, reusable: !endsWithConnection(resp)}
	return resp, nil
}

// endsWithConnection tells whether an answer's end is the end of its connection.
func endsWithConnection(r *http.Response) bool {
	return r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// connection returns an unused connection that is sound, or a new one.
func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	for k := c.takeIdle(address); k != nil; k = c.takeIdle(address) {
		if time.Now().Before(k.until) && quiet(k.Conn) {
			return k, nil
		}
		_ = k.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.Opened.Add(1)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	k := kept[len(kept)-1]
	if len(kept) == 1 {
		delete(c.idle, address)
	} else {
		c.idle[address] = kept[:len(kept)-1]
	}
	return k
}

// keep puts a connection aside for the next request.
func (c *Client) keep(k *conn, idle time.Duration) {
	k.until = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= maxIdlePerTarget {
		_ = k.Close()
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}
