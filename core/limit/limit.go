// Package limit adapts the number of concurrent attempts at a target to the
// latency that it shows.
package limit

import (
	"time"

	"plantainfield.example/core/config"
)

const (
	// initial is the limit before anything is known of a target.
	initial = 8
	// window is the number of samples between two changes of the limit.
	window = 20
	// maxOverPerWindow is how many of them may exceed the goal: 5 in 100.
	maxOverPerWindow = window * 5 / 100
	// cleanWindows is how many windows without a sample over the goal come
	// before an increase, once the limit has met the goal's edge.
	cleanWindows = 3
	// decreaseNumerator and decreaseDenominator are the factor of a decrease.
	decreaseNumerator   = 7
	decreaseDenominator = 8
)

// Limiter holds one target's limit: additive increase while the goals are met
// and the limit is in use, multiplicative decrease while they are not.
type Limiter struct {
	limit int
	// slowStart raises the limit by one for each good sample, which doubles it
	// in the time of one first token, until the first decrease.
	slowStart bool
	clean     int
	samples   int
	over      int
	// reached is set if the limit was in full use in this window, halfReached
	// if half of it was.
	reached     bool
	halfReached bool
}

// New returns a limiter for a target that nothing is known of.
func New() *Limiter { return &Limiter{limit: initial, slowStart: true} }

// Limit is the number of attempts that may be in flight.
func (l *Limiter) Limit(p config.LimitPolicy) int {
	if p.Policy == config.LimitFixed {
		return int(p.MaxConcurrencyPerTarget)
	}
	return min(l.limit, int(p.MaxConcurrencyPerTarget))
}

// ObserveStart takes that an attempt began, and how many are then in flight.
func (l *Limiter) ObserveStart(p config.LimitPolicy, inFlight int) {
	l.reached = l.reached || inFlight >= l.Limit(p)
	l.halfReached = l.halfReached || 2*inFlight >= l.Limit(p)
}

// ObserveFirstToken takes the time from an attempt's dispatch to its first token.
func (l *Limiter) ObserveFirstToken(p config.LimitPolicy, took time.Duration) {
	l.sample(p, took > time.Duration(p.FirstTokenTargetMillis)*time.Millisecond)
}

// ObserveTokenInterval takes the mean time between an attempt's tokens.
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

// increase raises the limit by the samples of a whole window.
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
