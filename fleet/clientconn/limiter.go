// Package clientconn bounds the connections of clients and the memory that an instance
// holds for their requests, on the listeners that clients use.
package clientconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"plantainfield.example/core/clientlimit"
)

// Limits are the limits of one listener.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int
	// RequestBytes is the largest memory that is held for requests, in bytes.
	RequestBytes int64
	// WriteTimeout is how long a client may leave a part of its response unread, or 0
	// for no limit.
	WriteTimeout time.Duration
	// TracksReads is set if the server does not call ConnState: a connection then waits
	// from the last time that something was read from it.
	TracksReads bool
}

// Limiter applies Limits to the connections of its listener. It is safe for concurrent
// use.
type Limiter struct {
	limits  Limits
	log     *zap.Logger
	began   time.Time
	metrics metrics
	// mu guards the fields below, and those of the connections that say so.
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	memory clientlimit.Memory
	// disconnected counts the clients that gave way since nextLog was set, which is
	// when they are logged next.
	disconnected, refused int
	nextLog               time.Time
	// snapshotConns and snapshotClients are what snapshot returns.
	snapshotConns   []*Conn
	snapshotClients []clientlimit.Client
}

// logPeriod is the time between two log lines about clients that give way.
const logPeriod = time.Second

// New returns a Limiter. name tells its metrics from those of other limiters.
func New(name string, limits Limits, log *zap.Logger) *Limiter {
	return &Limiter{
		limits: limits, log: log.With(zap.String("listener", name)), began: time.Now(), metrics: newMetrics(name),
		conns: map[*Conn]struct{}{}, memory: clientlimit.Memory{Limit: limits.RequestBytes},
	}
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

// receiveBufferBytes bounds what the kernel receives on a connection before it is read.
// By default it receives megabytes from clients that send fast.
const receiveBufferBytes = 16 << 10

// Listen listens at an IP:port. Its connections are limited, and, where the server tells of
// them, what they receive.
func (l *Limiter) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{}
	if !l.limits.TracksReads {
		config.Control = limitReceiveBuffer
	}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.Listener(inner), nil
}

func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, failed)
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that is within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // nothing was read from it or written to it
	}
}

// add counts a connection, after it has disconnected another client if there are too
// many. It returns nil if the new one is refused.
func (l *Limiter) add(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, limiter: l}
	victim, admitted := l.admit(c)
	if !admitted {
		l.metrics.refused.Inc()
		return nil
	}
	if victim != nil {
		l.metrics.disconnected.WithLabelValues(reasonConnections).Inc()
		_ = victim.Conn.Close() // fails only if it is closed already
	}
	return c
}

// admit counts a connection and returns the one that gives way to it, or nil if there is
// room. It returns false if none gives way.
func (l *Limiter) admit(c *Conn) (victim *Conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections {
		conns, clients := l.snapshot()
		i := clientlimit.ForConnection(clients)
		if i < 0 {
			l.refused++
			l.logGivenWay()
			return nil, false
		}
		victim = conns[i]
		delete(l.conns, victim)
		l.disconnected++
		l.logGivenWay()
	}
	c.since = l.now()
	l.conns[c] = struct{}{}
	return victim, true
}

// now returns the time since the limiter was made.
func (l *Limiter) now() time.Duration { return time.Since(l.began) }

// snapshot returns the connections and their states, until it is called again. The caller
// holds mu.
func (l *Limiter) snapshot() ([]*Conn, []clientlimit.Client) {
	clear(l.snapshotConns)
	conns, clients := l.snapshotConns[:0], l.snapshotClients[:0]
	now := l.now()
	for c := range l.conns {
		conns, clients = append(conns, c), append(clients, c.client(now))
	}
	l.snapshotConns, l.snapshotClients = conns, clients
	return conns, clients
}

// logGivenWay logs how many clients gave way, at a bounded rate. The caller holds mu.
func (l *Limiter) logGivenWay() {
	now := time.Now()
	if now.Before(l.nextLog) {
		return
	}
	l.log.Info("clients limited", zap.Int("disconnected", l.disconnected), zap.Int("refused", l.refused), zap.Int("connections", len(l.conns)),
		zap.Int("connection_limit", l.limits.Connections), zap.Int64("request_bytes", l.memory.Total()), zap.Int64("request_byte_limit", l.limits.RequestBytes))
	l.disconnected, l.refused, l.nextLog = 0, 0, now.Add(logPeriod)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is a ConnContext function of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// OfRequest returns the connection that a request arrived on. The server must use a
// Listener and ConnContext.
func OfRequest(r *http.Request) (*Conn, error) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		return c, nil
	}
	return nil, errors.New("the request's connection is not limited")
}

// ReleaseRequest gives back the memory that is held for a request, if its connection is
// limited.
func ReleaseRequest(r *http.Request) {
	if c, err := OfRequest(r); err == nil {
		c.Release()
	}
}

// ConnState is a ConnState function of an http.Server.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(clientlimit.Running)
	case http.StateIdle:
		c.setIdle()
	case http.StateHijacked, http.StateClosed:
		c.forget()
	}
}

// Usage is what the clients of a listener use, beside its limits.
type Usage struct {
	// Connections is the number of open connections.
	Connections     int `json:"connections"`
	ConnectionLimit int `json:"connectionLimit"`
	// RequestBytes is the memory that is held for requests, in bytes.
	RequestBytes int64 `json:"requestBytes"`
	RequestLimit int64 `json:"requestByteLimit"`
}

// Usage returns what the clients use now.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Connections: len(l.conns), ConnectionLimit: l.limits.Connections, RequestBytes: l.memory.Total(), RequestLimit: l.limits.RequestBytes}
}

// Collectors returns the limiter's metrics.
func (l *Limiter) Collectors() []prometheus.Collector { return l.metrics.collectors(l) }
