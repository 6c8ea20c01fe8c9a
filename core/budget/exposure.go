package budget

import (
	"math"
	"time"

	"plantainfield.example/core/exposure"
)

// requestAlpha is the weight of a reservation in the moving average of their sizes.
const requestAlpha = 0.2

// exposed is the cumulative amount that this holder can't return any more if its
// process ends: what it spent, reserved and sent to others.
func (a *Account) exposed() int64 { return a.spent + a.reserved + a.transfers.sentTotal }

// room returns by how much exposed may rise.
func (a *Account) room() int64 {
	if a.headroom == nil {
		return math.MaxInt64
	}
	return a.headroom(a.exposed())
}

// Blocked reports whether the grant covers n tokens, but the marks that witnesses know
// don't, and records that a request waits for them.
func (a *Account) Blocked(n int64) bool {
	if n > a.Available() || n <= a.room() {
		return false
	}
	a.blocked = max(a.blocked, n)
	return true
}

// SendBlocked reports whether the marks that witnesses know don't cover tokens that a
// peer wants. The marks are then to cover all that can be sent, since the peer asks for
// more once it knows that there is more.
func (a *Account) SendBlocked(want int64) bool {
	if want <= a.room() || a.ending() || a.own() <= 0 {
		return false
	}
	a.blocked = max(a.blocked, a.own())
	return true
}

// LimitExposure sets the function that limits by how much the exposed amount of a
// budget may rise. It must be called before the first account is created.
func (b *Book) LimitExposure(headroom func(budget string, exposed int64) int64) {
	b.headroom = headroom
}

// Exposed returns what is exposed of a budget, in tokens.
func (b *Book) Exposed(name string) int64 {
	if a := b.accounts[name]; a != nil {
		return a.exposed()
	}
	return 0
}

// Uses returns what is exposed of the budgets that have been drawn on here, and forgets
// what waiting requests need.
func (b *Book) Uses(now time.Duration) map[string]exposure.Use {
	uses := map[string]exposure.Use{}
	for name, a := range b.accounts {
		if a.exposed() > 0 {
			uses[name] = exposure.Use{Exposed: a.exposed(), Waiting: a.blocked, Request: int64(a.request), Demand: a.demand.at(now)}
		}
		a.blocked = 0
	}
	return uses
}
