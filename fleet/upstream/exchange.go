package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"plantainfield.example/fleet/blocks"
	"plantainfield.example/fleet/httpstatus"
)

// exchange is one request and its response on a connection.
type exchange struct {
	client *Client
	conn   *conn
	// stopCancelWatch stops watching the request's context. It returns false if
	// the context has already ended.
	stopCancelWatch func() bool
	// upload is the writing of a body in the background, or nil if the body was written
	// together with the header.
	upload *upload
	// headRead is set once the head of the response is read, and interrupted once
	// the request's context has ended. They are guarded by mu.
	mu                    sync.Mutex
	headRead, interrupted bool
	// once makes only the first call of closeConnection or release take effect.
	once sync.Once
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
}

// HeadGrace is how long the head of a response is waited for after the request's
// context has ended: the target may say in it that it did not run the request, or
// when it wants the next one. It is short against the time after which a target's
// work for a caller that has left is wasted.
const HeadGrace = 100 * time.Millisecond

// interrupt ends pending reads and writes, after HeadGrace if the head of the
// response is not read yet. It may be called concurrently with them.
func (x *exchange) interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.interrupted = true
	deadline := time.Unix(1, 0)
	if !x.headRead {
		deadline = time.Now().Add(HeadGrace)
	}
	_ = x.conn.SetDeadline(deadline)
}

// endHead makes an interruption that comes from now on, or has come, take effect at
// once.
func (x *exchange) endHead() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.headRead = true
	if x.interrupted {
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// roundTrip writes the request and reads the header of its response.
func (x *exchange) roundTrip(req *http.Request, body [][]byte) (*http.Response, error) {
	if err := x.write(req, body); err != nil {
		return nil, err
	}
	id := req.Header.Get(x.client.attemptHeader)
	reused := len(x.conn.sent) > 0
	x.conn.remember(id)
	for range maxMismatchedResponses + 1 {
		resp, err := x.readHead(req)
		if err != nil {
			return nil, err
		}
		echoed := resp.Header.Get(x.client.attemptHeader)
		if echoed == "" && reused && !x.client.servesPeers {
			return nil, fmt.Errorf("%w, or has no attempt ID", ErrResponseMismatch)
		}
		if echoed == "" || echoed == id {
			x.idleTimeout = keepAliveTimeout(resp.Header)
			return resp, nil
		}
		if err := discardResponse(resp); err != nil {
			return nil, errors.Join(ErrResponseMismatch, err)
		}
	}
	return nil, ErrResponseMismatch
}

// write sends the header and a short body together. It writes a long body in
// the background, because a target may respond before it has read all of the
// body.
func (x *exchange) write(req *http.Request, body [][]byte) error {
	req.ContentLength = blocks.Length(body)
	background := req.ContentLength > backgroundWriteBytes
	if !background && req.ContentLength > 0 {
		req.Body = io.NopCloser(blocks.NewReader(body))
	}
	if !background {
		return x.writeAll(req)
	}
	head, err := encodeHead(req)
	if err != nil {
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.upload = &upload{done: make(chan struct{})}
	go func() {
		defer close(x.upload.done)
		x.upload.err = blocks.Write(x.conn, body)
	}()
	return nil
}

// upload is the writing of a body in the background.
type upload struct {
	// done is closed once the writing has ended. err is its error, and set before.
	done chan struct{}
	err  error
}

func (x *exchange) writeAll(req *http.Request) error {
	w := bufio.NewWriterSize(x.conn, backgroundWriteBytes+readBufferBytes)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// encodeHead returns the encoded header of a request that has a body of its
// content length.
func encodeHead(req *http.Request) ([]byte, error) {
	var out bytes.Buffer
	clone := *req
	clone.Body = io.NopCloser(io.LimitReader(zeroReader{}, req.ContentLength))
	if err := clone.Write(&headWriter{out: &out}); err != nil && !errors.Is(err, errHeadWritten) {
		return nil, err
	}
	return out.Bytes(), nil
}

// errHeadWritten stops the encoding of a request after its header.
var errHeadWritten = errors.New("the header is written")

// headWriter keeps the bytes up to the blank line after the header.
type headWriter struct{ out *bytes.Buffer }

func (w *headWriter) Write(p []byte) (int, error) {
	before := w.out.Len()
	w.out.Write(p)
	end := bytes.Index(w.out.Bytes(), []byte("\r\n\r\n"))
	if end < 0 {
		return len(p), nil
	}
	end += len("\r\n\r\n")
	w.out.Truncate(end)
	return max(0, end-before), errHeadWritten
}

// zeroReader is an endless body. None of it is sent.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// readHead reads the header of the next final response. It skips informational
// (1xx) responses.
func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	source := x.conn.source
	source.limited, source.left = true, maxHeadBytes
	defer func() { source.limited = false }()
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil && source.left == 0 {
			err = errors.Join(ErrHeadTooLong, err) // the head may break off within a line
		}
		if err != nil {
			return nil, fmt.Errorf("read the response header: %w", err)
		}
		if err := httpstatus.Check(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// discardResponse reads and discards the body of a response to another request.
func discardResponse(resp *http.Response) error {
	if endsWithConnection(resp) {
		return errors.New("the response ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBodyBytes))
	if err == nil && n == maxMismatchedBodyBytes {
		err = errors.New("the response is too long to discard")
	}
	return err
}

// keepAliveTimeout returns how long the connection may stay idle before reuse:
// the target's Keep-Alive timeout minus a margin, or the default.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// closeConnection closes the connection.
func (x *exchange) closeConnection() {
	x.once.Do(func() {
		x.stopCancelWatch()
		_ = x.conn.Close()
	})
}

// release returns the connection to the pool if no data of the exchange remains
// on it; otherwise it closes the connection.
func (x *exchange) release() {
	x.once.Do(func() {
		if !x.stopCancelWatch() || !x.bodyWritten() || x.conn.reader.Buffered() > 0 || x.idleTimeout <= 0 {
			_ = x.conn.Close()
			return
		}
		x.client.putIdle(x.conn, x.idleTimeout)
	})
}

// bodyWritten reports whether the whole request body has been written to the
// connection.
func (x *exchange) bodyWritten() bool {
	if x.upload == nil {
		return true
	}
	select {
	case <-x.upload.done:
		return x.upload.err == nil
	default:
		return false
	}
}

// ErrReset reports that the connection was reset while the request was being written, so
// that a response which ends with the connection is not complete.
var ErrReset = errors.New("the connection broke while the request was being written")

// awaitUpload waits until the body has been written, and returns ErrReset if that failed.
// The kernel reports a reset once: if a write takes note of it, the next read finds what
// looks like the end of the connection.
func (x *exchange) awaitUpload() error {
	if x.upload == nil {
		return nil
	}
	<-x.upload.done
	if x.upload.err != nil {
		return fmt.Errorf("%w: %w", ErrReset, x.upload.err)
	}
	return nil
}

// responseBody is a response body. Its connection is reused only if the body
// was read to its end.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	reusable bool
	// unframed is set if only the end of the connection ends the body.
	unframed bool
	atEOF    bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.unframed {
		if failed := b.exchange.awaitUpload(); failed != nil {
			return n, failed
		}
	}
	if err == io.EOF {
		b.atEOF = true
	}
	return n, err
}

// Close ends the exchange.
func (b *responseBody) Close() error {
	if b.atEOF && b.reusable {
		b.exchange.release()
	} else {
		b.exchange.closeConnection()
	}
	return nil
}
