package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
)

// ErrReset reports that the connection was reset while the request was being written, so
// that a response which ends with the connection is not complete.
var ErrReset = errors.New("the connection was reset while the request was being written")

// targetConn is a connection to a target that remembers whether a write found it reset.
type targetConn struct {
	net.Conn
	reset atomic.Bool
}

func (c *targetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.reset.Store(true)
	}
	return n, err
}

// dialTarget opens a connection to a target.
func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &targetConn{Conn: conn}, nil
}

// doUpload sends a request that has a body. The kernel reports a reset once: if a write of
// the body takes note of it, the next read finds what looks like the end of the
// connection. A response that only the end of the connection ends is therefore complete
// once the writing has ended without a reset.
func (c *Client) doUpload(req *http.Request) (*http.Response, error) {
	u := &upload{ctx: req.Context(), written: make(chan struct{}, 1)}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { u.conn, _ = info.Conn.(*targetConn) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			select {
			case u.written <- struct{}{}:
			default: // requests are sent once, so that there is no other
			}
		},
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(u.ctx, trace)))
	if err != nil || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return resp, err
	}
	resp.Body = &unframedBody{ReadCloser: resp.Body, upload: u}
	return resp, nil
}

// upload is the writing of a request.
type upload struct {
	ctx  context.Context
	conn *targetConn
	// written receives once the writing has ended.
	written chan struct{}
}

// wait waits until the request is written, and returns ErrReset if a write found the
// connection reset.
func (u *upload) wait() error {
	select {
	case <-u.written:
	case <-u.ctx.Done():
		return u.ctx.Err()
	}
	if u.conn != nil && u.conn.reset.Load() {
		return ErrReset
	}
	return nil
}

// unframedBody is a response body that only the end of the connection ends.
type unframedBody struct {
	io.ReadCloser
	upload *upload
	// end is the error at the end of the body, once it is known.
	end error
}

func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	b.end = io.EOF
	if failed := b.upload.wait(); failed != nil {
		b.end = failed
	}
	return n, b.end
}
