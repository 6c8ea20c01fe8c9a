// Package limit adapts the number of concurrent attempts at a target to the
// target's observed latency.
package limit

import (
	"time"

	"plantainfield.example/core/config"
)

const (
	// initial is the limit for a target of which no latency is known yet.
	initial = 8
	// window is the number of samples between two changes of the limit.
	window = 20
	// maxOverPerWindow is the number of samples in a window that may exceed the
	// goal: 5 in 100.
	maxOverPerWindow = window * 5 / 100
	// cleanWindows is the number of windows in full use and without a sample
	// over the goal that precede an increase by one. After slow start, the limit
	// increases in no other way.
	cleanWindows = 3
	// decreaseNumerator and decreaseDenominator are the factor of a decrease.
	decreaseNumerator   = 7
	decreaseDenominator = 8
)

// Limiter holds one target's limit. The limit increases additively while the
// goals are met and the limit is in use, and decreases multiplicatively while
// they are not met.
type Limiter struct {
	limit int
	// slowStart is set until the first decrease. While it is set and at least
	// half of the limit is in use, each sample within the goal raises the limit
	// by one, which doubles the limit in the time of one first token.
	slowStart bool
	// clean counts windows towards cleanWindows.
	clean int
	// samples is the number of samples in this window, over the number of those
	// over the goal.
	samples int
	over    int
	// reached is set if the limit was in full use in this window, halfReached
	// if at least half of it was.
	reached     bool
	halfReached bool
}

// New returns a limiter for a target of which no latency is known yet.
func New() *Limiter { return &Limiter{limit: initial, slowStart: true} }

// Limit returns the number of attempts that may be in flight.
func (l *Limiter) Limit(p config.LimitPolicy) int {
	if p.Policy == config.LimitFixed {
		return int(p.MaxConcurrencyPerTarget)
	}
	return min(l.limit, int(p.MaxConcurrencyPerTarget))
}

// ObserveStart records that an attempt has started and how many are in flight
// now.
func (l *Limiter) ObserveStart(p config.LimitPolicy, inFlight int) {
	l.reached = l.reached || inFlight >= l.Limit(p)
	l.halfReached = l.halfReached || 2*inFlight >= l.Limit(p)
}

// ObserveFirstToken records the time from an attempt's dispatch to its first
// token.
func (l *Limiter) ObserveFirstToken(p config.LimitPolicy, took time.Duration) {
	l.sample(p, took > time.Duration(p.FirstTokenTargetMillis)*time.Millisecond)
}

// ObserveTokenInterval records the mean time between an attempt's tokens.
func (l *Limiter) ObserveTokenInterval(p config.LimitPolicy, mean time.Duration) {
	l.sample(p, mean > time.Duration(p.BetweenTokensTargetMillis)*time.Millisecond)
}

func (l *Limiter) sample(p config.LimitPolicy, over bool) {
	l.samples++
	switch {
	case over:
		l.over++
	case l.slowStart && l.halfReached:
		l.limit = min(l.limit+1, int(p.MaxConcurrencyPerTarget))
	}
	if l.over > maxOverPerWindow {
		l.decrease()
		return
	}
	if l.samples >= window {
		l.increase(int(p.MaxConcurrencyPerTarget))
	}
}

func (l *Limiter) decrease() {
	l.limit = max(1, l.limit*decreaseNumerator/decreaseDenominator)
	l.slowStart, l.clean = false, 0
	l.nextWindow()
}

// increase evaluates a complete window and raises the limit after cleanWindows
// of them that met the goal in full use.
func (l *Limiter) increase(highest int) {
	if l.over > 0 {
		l.clean = 0
	} else if l.reached {
		l.clean++
	}
	if l.clean >= cleanWindows {
		l.limit, l.clean = l.limit+1, 0
	}
	l.limit = min(l.limit, highest)
	l.nextWindow()
}

func (l *Limiter) nextWindow() { l.samples, l.over, l.reached, l.halfReached = 0, 0, false, false }
