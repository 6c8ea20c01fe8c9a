package upstream

import (
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

// SetSocketOptions makes the kernel close a connection whose peer no longer
// responds.
func SetSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	set := func(level, option, value int) func(uintptr) {
		return func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), level, option, value); err != nil && failed == nil {
				failed = err
			}
		}
	}
	options := []func(uintptr){
		set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ackTimeoutMillis),
		set(unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		set(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdleSeconds),
		set(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeSeconds),
		set(unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount),
	}
	for _, o := range options {
		if err := raw.Control(o); err != nil {
			return err
		}
	}
	return failed
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
