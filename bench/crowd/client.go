package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
)

// Request describes the requests that a crowd sends.
type Request struct {
	// Path is the path of the request.
	Path string
	// Header returns the header lines of a client's request, each with its line break,
	// without those that state the length of its body.
	Header func(client int) string
}

// Client is one client of a crowd, with one connection.
type Client struct {
	net.Conn
	id int
	// ignoresResponse is set if the client leaves its response unread.
	ignoresResponse bool
	accepted        atomic.Int64
}

// Accepted returns the number of bytes that the client's kernel took from it.
func (c *Client) Accepted() int64 { return c.accepted.Load() }

func (c *Client) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.accepted.Add(int64(n))
	return n, err
}

// writeHead writes the request line and the header without the blank line at its end.
func (c *Client) writeHead(r Request, framing string) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\n%s%s", r.Path, r.Header(c.id), framing)
	return err
}

// Behaviour sends what a client sends on its connection, up to the first error.
type Behaviour func(c *Client, r Request) error

// headerEnd ends a header.
const headerEnd = "\r\n"

// Sized returns the behaviour of sending a number of bytes, in pieces, of a body whose
// length is stated as another.
func Sized(stated, sent, piece int) Behaviour {
	return func(c *Client, r Request) error {
		if err := c.writeHead(r, fmt.Sprintf("Content-Length: %d\r\n%s", stated, headerEnd)); err != nil {
			return err
		}
		return WritePieces(c, sent, piece)
	}
}

// Body returns the behaviour of sending a body completely, in pieces.
func Body(body string, piece int) Behaviour {
	return func(c *Client, r Request) error {
		if err := c.writeHead(r, fmt.Sprintf("Content-Length: %d\r\n%s", len(body), headerEnd)); err != nil {
			return err
		}
		for rest := body; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// Chunked returns the behaviour of sending a number of bytes of a body in chunks of a
// size, and the last chunk only if the body is complete.
func Chunked(sent, chunk int, complete bool) Behaviour {
	return func(c *Client, r Request) error {
		if err := c.writeHead(r, "Transfer-Encoding: chunked\r\n"+headerEnd); err != nil {
			return err
		}
		buffered := bufio.NewWriterSize(c, chunkBufferBytes)
		if err := WritePieces(chunkWriter{buffered}, sent, chunk); err != nil {
			return err
		}
		if complete {
			if _, err := io.WriteString(buffered, "0\r\n\r\n"); err != nil {
				return err
			}
		}
		return buffered.Flush()
	}
}

const chunkBufferBytes = 64 << 10

// chunkWriter writes each piece as a chunk.
type chunkWriter struct{ io.Writer }

func (w chunkWriter) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(w.Writer, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// WritePieces writes a number of zero bytes in pieces.
func WritePieces(w io.Writer, total, piece int) error {
	block := make([]byte, min(piece, total))
	for sent := 0; sent < total; sent += piece {
		if _, err := w.Write(block[:min(piece, total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// Silent is the behaviour of sending nothing.
func Silent(*Client, Request) error { return nil }

// LongHeader returns the behaviour of sending a header of a length that does not end.
func LongHeader(bytes int) Behaviour {
	return func(c *Client, r Request) error {
		return c.writeHead(r, "X-Long: "+strings.Repeat("x", bytes))
	}
}

// Trailing returns the behaviour of sending a number of bytes behind a complete request.
func Trailing(bytes, piece int) Behaviour {
	return func(c *Client, r Request) error {
		if err := Sized(0, 0, piece)(c, r); err != nil {
			return err
		}
		return WritePieces(c, bytes, piece)
	}
}

// UnreadResponse is the behaviour of sending a complete request and reading nothing.
func UnreadResponse(c *Client, r Request) error {
	c.ignoresResponse = true
	return Sized(0, 0, 1)(c, r)
}
