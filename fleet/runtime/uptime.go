package runtime

import (
	"time"

	"golang.org/x/sys/unix"

	"plantainfield.example/core/event"
)

// uptime returns the time since the machine started, including the time for which it
// was suspended, which time.Since does not count.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// uptimeOf returns the uptime since Run began for an event that needs it, and 0 for
// others, since reading that clock takes a system call.
func (l *Loop) uptimeOf(e event.Event) time.Duration {
	if e.PeerReceived == nil || e.PeerReceived.Message.Exposure == nil {
		return 0
	}
	return uptime() - l.uptimeStart
}
