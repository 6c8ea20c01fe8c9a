package retry

import (
	"math/rand/v2"
	"time"

	"plantainfield.example/core/config"
)

// Attempts counts the attempts of one request. The zero value is that of a request that
// was sent nowhere and is retried here.
type Attempts struct {
	// Dispatched is the number of attempts that this instance has dispatched.
	Dispatched int
	// Sent is the number of attempts, of this instance and of the peers that the request
	// was handed over to, that may have reached a target.
	Sent int
	// retries is the number of delays that were taken.
	retries int
	// deposited is set once the request has earned its share of a retry.
	deposited bool
}

// NewAttempts returns the attempts of a request that has just arrived. One that was handed
// over to this instance, and that the instance before retries, earns its share of a retry
// there.
func NewAttempts(retriedElsewhere bool) Attempts { return Attempts{deposited: retriedElsewhere} }

// None reports whether no attempt was made, here or by a peer.
func (a *Attempts) None() bool { return a.Dispatched == 0 && a.Sent == 0 }

// Deposit credits the request's share of a retry to the budget, once.
func (a *Attempts) Deposit(b *Budget, p Policy) {
	if !a.deposited {
		a.deposited = true
		b.Deposit(p)
	}
}

// Charge reports whether the request may be sent to one more target. If it may, the
// attempt is charged to the budget, except for the first one.
func (a *Attempts) Charge(b *Budget, p Policy, maxAttempts int) bool {
	return a.Sent == 0 || a.Sent < maxAttempts && b.TryWithdraw(p)
}

// NextDelay returns the delay before the next retry. It grows with each one, whether the
// attempt that failed was this instance's or a peer's.
func (a *Attempts) NextDelay(p config.RetryPolicy, rng *rand.Rand) time.Duration {
	a.retries++
	return Delay(p, a.retries-1, rng)
}
