// Package relay is a TCP proxy for failure tests. It can close, stall and delay
// the connections that it forwards, and rewrite addresses in answers.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode selects how a relay treats its connections.
type Mode int

const (
	// Open forwards all bytes.
	Open Mode = iota
	// Cut closes existing connections, and new ones as soon as they are accepted.
	Cut
	// Frozen keeps connections open and forwards nothing.
	Frozen
)

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
)

// Relay listens on a loopback address and forwards connections to an upstream
// address.
type Relay struct {
	listener net.Listener
	upstream string
	rewrite  Rewriter

	mu sync.Mutex
	// The fields below are guarded by mu.
	mode   Mode
	delay  time.Duration
	conns  map[net.Conn]struct{}
	closed bool
	// changed is closed and replaced when the mode changes or the relay is closed.
	changed chan struct{}
}

// New starts a relay that forwards to the IP:port upstream. rewrite is applied to
// the bytes that the upstream sends; it may be nil.
func New(upstream string, rewrite Rewriter) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, upstream: upstream, rewrite: rewrite, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Address returns the IP:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Upstream returns the IP:port that the relay forwards to.
func (r *Relay) Upstream() string { return r.upstream }

// SetMode changes the mode of existing and new connections.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == Cut {
		r.closeAll()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDelay sets the delay of each chunk of bytes, in both directions, and of each
// new connection.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed = true
	r.closeAll()
	close(r.changed)
	r.changed = make(chan struct{})
	return r.listener.Close()
}

// closeAll closes all connections. The caller must hold mu.
func (r *Relay) closeAll() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// track registers a connection. It returns false if the relay is closed or cut;
// the caller must then close the connection.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.mode == Cut {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.track(c) {
			_ = c.Close()
			continue
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(from net.Conn) {
	defer r.closeConn(from)
	if r.waitUntilForwarding() != nil {
		return
	}
	to, err := net.DialTimeout("tcp", r.upstream, dialTimeout)
	if err != nil {
		return
	}
	defer r.closeConn(to)
	if !r.track(to) {
		return
	}
	ended := make(chan struct{}, 2)
	go func() {
		r.forward(to, from, nil)
		ended <- struct{}{}
	}()
	go func() {
		r.forward(from, to, r.rewrite)
		ended <- struct{}{}
	}()
	<-ended
}

var errClosed = errors.New("relay: closed or cut")

// waitUntilForwarding blocks while the relay is frozen and then sleeps for the
// delay. It returns an error if the relay is cut or closed.
func (r *Relay) waitUntilForwarding() error {
	for {
		r.mu.Lock()
		mode, delay, closed, changed := r.mode, r.delay, r.closed, r.changed
		r.mu.Unlock()
		switch {
		case closed || mode == Cut:
			return errClosed
		case mode == Frozen:
			<-changed
		default:
			time.Sleep(delay)
			return nil
		}
	}
}

// forward copies bytes in one direction until either connection ends.
func (r *Relay) forward(to, from net.Conn, rewrite Rewriter) {
	buffer := make([]byte, bufferBytes)
	var pending []byte
	for {
		n, err := from.Read(buffer)
		if r.waitUntilForwarding() != nil {
			return
		}
		out := buffer[:n]
		if rewrite != nil {
			out, pending = rewrite.apply(append(pending, out...))
		}
		if _, writeErr := to.Write(out); writeErr != nil {
			return
		}
		if err != nil {
			_, _ = to.Write(pending)
			return
		}
	}
}
