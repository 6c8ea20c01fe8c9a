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
)

// exchange is one request and its answer on a connection.
type exchange struct {
	client *Client
	conn   *conn
	// stop ends the watch on the request's context.
	stop func() bool
	// written is closed once a body that is written aside has been written.
	written chan error
	once    sync.Once
	// idle is how long the target keeps the connection.
	idle time.Duration
}

// interrupt ends pending reads and writes; it is safe beside them.
func (x *exchange) interrupt() { _ = x.conn.SetDeadline(time.Unix(1, 0)) }

// roundTrip writes the request and reads the head of its answer.
func (x *exchange) roundTrip(req *http.Request, body []byte) (*http.Response, error) {
	if err := x.write(req, body); err != nil {
		return nil, err
	}
	id := req.Header.Get(x.client.echo)
	for range maxForeign + 1 {
		resp, err := x.readHead(req)
		if err != nil {
			return nil, err
		}
		echoed := resp.Header.Get(x.client.echo)
		if echoed == "" || echoed == id {
			x.idle = keepAlive(resp.Header)
			return resp, nil
		}
		if err := skip(resp); err != nil {
			return nil, errors.Join(ErrForeign, err)
		}
	}
	return nil, ErrForeign
}

// write sends the head and a short body at once; it writes a long body aside,
// for a target may answer before it has read all of it.
func (x *exchange) write(req *http.Request, body []byte) error {
	aside := len(body) > writeAside
	if !aside && len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	req.ContentLength = int64(len(body))
	if !aside {
		return x.writeAll(req)
	}
	head, err := headOf(req)
	if err != nil {
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(body)
		x.written <- err
	}()
	return nil
}

func (x *exchange) writeAll(req *http.Request) error {
	w := bufio.NewWriterSize(x.conn, writeAside+readBuffer)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// headOf is the head of a request with a body of its content length.
func headOf(req *http.Request) ([]byte, error) {
	var out bytes.Buffer
	clone := *req
	clone.Body = io.NopCloser(io.LimitReader(zeros{}, req.ContentLength))
	if err := clone.Write(&headWriter{out: &out}); err != nil && !errors.Is(err, errHeadWritten) {
		return nil, err
	}
	return out.Bytes(), nil
}

// errHeadWritten ends the writing of a request after its head.
var errHeadWritten = errors.New("the head is written")

// headWriter takes bytes up to the blank line after the head.
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

// zeros is an endless body; none of it is sent.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// readHead reads the head of the next final answer.
func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read the answer's head: %w", err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// skip reads the body of an answer to another request.
func skip(resp *http.Response) error {
	if endsWithConnection(resp) {
		return errors.New("it ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = errors.New("it is too long to skip")
	}
	return err
}

// keepAlive is how long the target keeps the connection, with a margin.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// discard closes the connection.
func (x *exchange) discard() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

// finish keeps the connection if nothing of the exchange is left on it.
func (x *exchange) finish() {
	x.once.Do(func() {
		if !x.stop() || !x.bodyWritten() || x.conn.reader.Buffered() > 0 || x.idle <= 0 {
			_ = x.conn.Close()
			return
		}
		x.client.keep(x.conn, x.idle)
	})
}

// bodyWritten tells whether the target has taken the whole body.
func (x *exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// answerBody is an answer's body. Its connection is used again only after a
// whole body.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	reusable bool
	whole    bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	if b.whole && b.reusable {
		b.exchange.finish()
	} else {
		b.exchange.discard()
	}
	return nil
}
