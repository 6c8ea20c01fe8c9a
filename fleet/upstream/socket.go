package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unackedMillis is how long sent bytes may stay unacknowledged: many round
// trips within a region, and well below the time after which callers give up a
// silent stream.
const unackedMillis = 1500

// Probes of a silent connection: the first after probeIdleSeconds, then one
// each probeSeconds.
const (
	probeIdleSeconds = 1
	probeSeconds     = 1
	probeCount       = 2
)

// SetSocketOptions lets the kernel end a connection whose peer has gone silent.
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
		set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedMillis),
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

// quiet tells whether an unused connection is open and holds no bytes: bytes
// that came without a request belong to none.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		sound = err == syscall.EAGAIN
		return true
	})
	return err == nil && sound
}
