package clientconn

import (
	"context"
	"errors"
	"io"
	"time"

	"plantainfield.example/core/clientlimit"
	"plantainfield.example/fleet/blocks"
)

// ErrNoMemory reports that the memory for requests does not suffice for a body.
var ErrNoMemory = errors.New("there is no memory left for the request")

// ReadBody reads a body into blocks. length is its length, or negative if it isn't known
// in advance. copies is the number of bytes that the request holds for each byte of its
// body. If the memory of all requests together is used up, a body that has held much of
// it for long is dropped; its ReadBody returns ErrNoMemory. The body is counted until
// Release.
func (c *Conn) ReadBody(r io.Reader, length int64, copies int64) ([][]byte, error) {
	if length*copies > c.limiter.limits.RequestBytes {
		return nil, ErrNoMemory
	}
	c.setPhase(clientlimit.Receiving)
	size := int64(blocks.FirstBytes)
	for remaining := length; remaining != 0; size = blocks.NextBytes(size) {
		if remaining > 0 {
			size = min(size, remaining)
		}
		block, err := c.addBlock(size, copies)
		if err != nil {
			return nil, c.endBody(err)
		}
		n, err := blocks.Fill(r, block)
		if length < 0 && err == io.EOF {
			c.trimBlock(n)
			break
		}
		if err != nil && (err != io.EOF || int64(n) < remaining) {
			return nil, c.endBody(err)
		}
		if length >= 0 {
			remaining -= int64(n)
		}
	}
	return c.takeBody()
}

// addBlock adds a block of a size to the body.
func (c *Conn) addBlock(size, copies int64) ([]byte, error) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gaveWay {
		return nil, ErrNoMemory
	}
	if !l.reserve(c, size*copies) {
		l.refused++
		l.logGivenWay()
		l.metrics.refused.Inc()
		return nil, ErrNoMemory
	}
	block := make([]byte, size)
	c.blocks = append(c.blocks, block)
	return block, nil
}

// reserve counts bytes for a request whose body arrives. Bodies of others give way if
// they must. The caller holds mu.
func (l *Limiter) reserve(c *Conn, bytes int64) bool {
	for !l.memory.Grow(c.held, bytes) {
		conns, clients := l.snapshot()
		i := l.memory.Victim(clients, c.client(l.now()), bytes)
		if i < 0 || conns[i] == c {
			return false
		}
		l.drop(conns[i])
	}
	c.held += bytes
	return true
}

// drop drops a body that arrives. The caller holds mu.
func (l *Limiter) drop(c *Conn) {
	c.blocks, c.gaveWay = nil, true
	l.memory.Release(c.held)
	c.held = 0
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	l.disconnected++
	l.logGivenWay()
	l.metrics.disconnected.WithLabelValues(reasonMemory).Inc()
}

// trimBlock shortens the last block to the part that is filled.
func (c *Conn) trimBlock(filled int) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if last := len(c.blocks) - 1; last >= 0 {
		c.blocks[last] = c.blocks[last][:filled]
	}
}

// endBody releases a body whose reading ended with an error, and returns the reason.
func (c *Conn) endBody(err error) error {
	c.limiter.mu.Lock()
	gaveWay := c.gaveWay
	c.limiter.mu.Unlock()
	c.Release()
	c.setPhase(clientlimit.Running)
	if gaveWay {
		return ErrNoMemory
	}
	return err
}

// takeBody returns a body that has arrived. From then on it does not give way.
func (c *Conn) takeBody() ([][]byte, error) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.gaveWay {
		return nil, ErrNoMemory
	}
	c.phase, c.since = clientlimit.Running, c.limiter.now()
	body := c.blocks
	c.blocks = nil
	return body, nil
}

// Reserve counts memory for the request, and reports whether there is any left. Nothing
// gives way for it.
func (c *Conn) Reserve(bytes int64) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.limiter.memory.Grow(c.held, bytes) {
		return false
	}
	c.held += bytes
	return true
}

// AwaitReserve counts memory for the request once there is any left, or returns the error
// of ctx. Clients that don't take their responses are disconnected for it.
func (c *Conn) AwaitReserve(ctx context.Context, bytes int64) error {
	for !c.Reserve(bytes) {
		c.limiter.disconnectSender()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reservePeriod):
		}
	}
	return nil
}

// disconnectSender disconnects a client that does not take its response, if there is one.
// What it holds is given back once its handler has noticed.
func (l *Limiter) disconnectSender() {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns, clients := l.snapshot()
	i := clientlimit.ForResponse(clients)
	if i < 0 {
		return
	}
	conns[i].phase, conns[i].since = clientlimit.Closing, l.now()
	_ = conns[i].Conn.Close() // fails only if it is closed already
	l.disconnected++
	l.logGivenWay()
	l.metrics.disconnected.WithLabelValues(reasonMemory).Inc()
}

// reservePeriod is the time between two attempts to reserve memory.
const reservePeriod = 5 * time.Millisecond

// Return gives back a part of the memory that is held for the request.
func (c *Conn) Return(bytes int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.memory.Shrink(c.held, bytes)
	c.held -= bytes
}

// Release gives back the memory that is held for the request.
func (c *Conn) Release() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.memory.Release(c.held)
	c.held, c.blocks, c.gaveWay = 0, nil, false
}
