// Package retry decides whether and when a failed attempt is retried.
package retry

import (
	"math/rand/v2"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/config"
)

const (
	perMille = 1000
	// maxDelay limits the exponential delay, before jitter.
	maxDelay = 2 * time.Second
	// DefaultReserve is the number of retries that an instance may make before
	// any first attempt has earned one.
	DefaultReserve = 10
)

// Policy is the fleet's policy with one instance's share of the reserve.
type Policy struct {
	config.RetryPolicy
	// Reserve is the maximum number of retries that can be saved up.
	Reserve int64
}

// Budget limits retries to a share of first attempts, so that a failure of many
// targets does not multiply the load.
type Budget struct {
	// started is set once the reserve has been credited.
	started bool
	// credit is in thousandths of a retry.
	credit int64
	// unearned is the part of the initial credit that first attempts have not
	// earned yet.
	unearned int64
}

// NewBudget returns a budget whose reserve is full.
func NewBudget() *Budget { return &Budget{} }

// start credits the reserve in advance, once.
func (b *Budget) start(p Policy) {
	if !b.started {
		b.started, b.credit, b.unearned = true, p.Reserve*perMille, p.Reserve*perMille
	}
}

// Deposit credits a first attempt's share of a retry. Shares first repay the
// reserve that was credited in advance.
func (b *Budget) Deposit(p Policy) {
	b.start(p)
	repaid := min(b.unearned, p.BudgetPerMille)
	b.unearned -= repaid
	b.credit = min(b.credit+p.BudgetPerMille-repaid, p.Reserve*perMille)
}

// TryWithdraw spends one retry. It reports false if the budget is exhausted.
func (b *Budget) TryWithdraw(p Policy) bool {
	b.start(p)
	if b.credit < perMille {
		return false
	}
	b.credit -= perMille
	return true
}

// Delay returns the exponential delay with jitter before the retry that follows a number
// of earlier ones.
func Delay(p config.RetryPolicy, earlier int, rng *rand.Rand) time.Duration {
	base := time.Duration(p.BaseDelayMillis) * time.Millisecond
	return backoff.Jittered(backoff.Exponential(base, maxDelay, earlier), rng)
}

const (
	// MinWaitSpread and waitSpread, a divisor of the wait, bound the random time
	// over which callers return after targets have waited.
	MinWaitSpread = 500 * time.Millisecond
	waitSpread    = 4
)

// AfterWait returns when a caller may come back if all targets want no requests for
// a time: some time later, so that callers don't return together.
func AfterWait(wait time.Duration, rng *rand.Rand) time.Duration {
	return wait + backoff.Below(max(MinWaitSpread, wait/waitSpread), rng)
}
