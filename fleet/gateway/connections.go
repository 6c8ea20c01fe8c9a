package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// idleConnectionBytes is the memory of a caller's connection that is idle: its
// goroutine's stack and two buffers.
const idleConnectionBytes = 24 << 10

// idleMemoryShare is the part of the memory that idle connections may use.
const idleMemoryShare = 8

// IdleConnections bounds the callers' connections that are idle: the one that has
// been idle longest is closed first. It is safe for concurrent use.
type IdleConnections struct {
	limit int
	log   *zap.Logger
	mu    sync.Mutex
	// order holds the idle connections, the one that has been idle longest first, and
	// elements the place of each in it. Both are guarded by mu.
	order    *list.List
	elements map[net.Conn]*list.Element
	// limited is set once the limit was reached, for the log.
	limited bool
}

// NewIdleConnections returns the IdleConnections of a process that may use the given
// number of bytes.
func NewIdleConnections(memoryBytes int64, log *zap.Logger) *IdleConnections {
	return &IdleConnections{
		limit: int(memoryBytes / idleMemoryShare / idleConnectionBytes), log: log, order: list.New(), elements: map[net.Conn]*list.Element{},
	}
}

// StateChanged is a ConnState function of an http.Server.
func (c *IdleConnections) StateChanged(conn net.Conn, state http.ConnState) {
	if excess := c.update(conn, state); excess != nil {
		_ = excess.Close() // fails only if it is closed already
	}
}

// update records the state of a connection and returns one to close, or nil.
func (c *IdleConnections) update(conn net.Conn, state http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.order.Remove(e)
		delete(c.elements, conn)
	}
	if state != http.StateIdle {
		return nil
	}
	c.elements[conn] = c.order.PushBack(conn)
	if c.order.Len() <= c.limit {
		return nil
	}
	if !c.limited {
		c.limited = true
		c.log.Info("idle connections limited", zap.Int("limit", c.limit))
	}
	oldest := c.order.Remove(c.order.Front()).(net.Conn)
	delete(c.elements, oldest)
	return oldest
}
