package runtime

import (
	"sync"
	"time"
)

// Lateness tells how late the loop processes something: its ticks, or the events
// that are posted to it. It is safe for concurrent use.
type Lateness struct {
	mu sync.Mutex
	// period is what was observed since the last Reset. It is guarded by mu.
	period LatenessPeriod
}

// LatenessPeriod is the lateness of what was processed in a period.
type LatenessPeriod struct {
	Count     int
	Sum, Most time.Duration
}

// Mean returns the mean lateness.
func (p LatenessPeriod) Mean() time.Duration { return p.Sum / time.Duration(max(1, p.Count)) }

func (l *Lateness) observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late = max(0, late)
	l.period.Count++
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
