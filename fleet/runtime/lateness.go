package runtime

import (
	"sync"
	"time"
)

// Lateness tells how late the loop processes its ticks, and so how long other
// events wait for it. It is safe for concurrent use.
type Lateness struct {
	mu sync.Mutex
	// period is what was observed since the last Reset. It is guarded by mu.
	period LatenessPeriod
}

// LatenessPeriod is the lateness of the ticks of a period.
type LatenessPeriod struct {
	Ticks     int
	Sum, Most time.Duration
}

// Mean returns the mean lateness of a tick.
func (p LatenessPeriod) Mean() time.Duration { return p.Sum / time.Duration(max(1, p.Ticks)) }

func (l *Lateness) observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = max(0, late)
	l.period.Ticks++
	l.period.Sum += late
	l.period.Most = max(l.period.Most, late)
}

// Reset returns what was observed since the last Reset.
func (l *Lateness) Reset() LatenessPeriod {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.period
	l.period = LatenessPeriod{}
	return p
}
