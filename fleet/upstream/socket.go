package upstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ackTimeoutMillis is how long sent data may remain unacknowledged. It is longer
// than the silence that sound targets may fall into, and not longer than callers
// wait for the next event of a stream. On Linux it also decides when keep-alive
// probes give up, whatever probeCount says.
const ackTimeoutMillis = 2000

// TCP keep-alive probes: the first after probeIdleSeconds of silence, then one
// every probeSeconds.
const (
	probeIdleSeconds = 1
	probeSeconds     = 1
	probeCount       = 2
)

// receiveBufferBytes bounds what the kernel receives on a connection before it is read.
// By default it receives megabytes where the client of a response does not keep up.
const receiveBufferBytes = 32 << 10

// socketOption is an option of a socket, and its value.
type socketOption struct{ level, name, value int }

// SetSocketOptions makes the kernel close a connection whose peer no longer responds.
func SetSocketOptions(_, _ string, raw syscall.RawConn) error {
	return setOptions(raw,
		socketOption{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ackTimeoutMillis},
		socketOption{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		socketOption{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdleSeconds},
		socketOption{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeSeconds},
		socketOption{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount})
}

// setTargetOptions is SetSocketOptions for connections to targets, and bounds what the
// kernel receives on them before it is read.
func setTargetOptions(network, address string, raw syscall.RawConn) error {
	if err := setOptions(raw, socketOption{unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes}); err != nil {
		return err
	}
	return SetSocketOptions(network, address, raw)
}

func setOptions(raw syscall.RawConn, options ...socketOption) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, o := range options {
			failed = errors.Join(failed, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
		}
	})
	return errors.Join(err, failed)
}

// isIdle reports whether an unused connection is open and has no unread data.
// Data that arrives without a request belongs to none.
func isIdle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
