// Package budget is the holder's side of the ledger: what one instance may
// spend of each budget, what it has reserved and spent, and which ledger
// operation is due.
package budget

import (
	"time"

	"plantainfield.example/core/ledger"
)

// Account is one instance's part of one budget. All amounts are in tokens.
// Invariant: spent + reserved + returning + sent <= granted + claimed + unrecorded.
type Account struct {
	// granted and claimed are the values of the last known ledger record.
	granted int64
	claimed int64
	// spent is the cumulative spending, reported or not.
	spent int64
	// reserved is set aside for attempts in flight.
	reserved int64
	// returning is set aside for the open operation's return.
	returning int64
	// lastReturn is when the last operation with a return was made.
	lastReturn time.Duration
	// transfers counts what was moved to and from other holders.
	transfers transfers
	// sequence is the number of the last operation made.
	sequence uint64
	// open is the operation that is not known to have taken effect, or nil.
	open *ledger.Operation
	// reported is the spending in the last operation that took effect.
	reported int64
	// shortfall is what waiting requests lack; minimum is the least of them.
	shortfall int64
	minimum   int64
	// closed is set while the ledger charges the whole grant because this
	// holder was taken for gone.
	closed bool
	// final is set once the final operation took effect.
	final bool
	rate  rate
	// steady is the spending over a longer time.
	steady steadyRate
}

// rate estimates spending in tokens per second as an exponential average.
type rate struct {
	perSecond float64
	pending   int64
	since     time.Duration
}

const (
	rateWindow   = time.Second
	rateNewShare = 0.3
)

func (r *rate) add(tokens int64) { r.pending += tokens }

// at returns the estimate after closing the windows that ended before now.
func (r *rate) at(now time.Duration) float64 {
	elapsed := now - r.since
	if elapsed >= rateWindow {
		current := float64(r.pending) / elapsed.Seconds()
		r.perSecond += rateNewShare * (current - r.perSecond)
		r.pending = 0
		r.since = now
	}
	return r.perSecond
}

// steadyRate estimates spending in tokens per second over about ten seconds: a
// few large requests must not move a grant back and forth.
type steadyRate struct {
	perSecond float64
	pending   int64
	since     time.Duration
	// windows counts those that ended: the first ones count alike.
	windows int
}

// steadyShare is the weight of a window of one second.
const steadyShare = 0.1

func (r *steadyRate) at(now time.Duration) float64 {
	if elapsed := now - r.since; elapsed >= rateWindow {
		r.windows++
		current := float64(r.pending) / elapsed.Seconds()
		r.perSecond += max(steadyShare, 1/float64(r.windows)) * (current - r.perSecond)
		r.pending = 0
		r.since = now
	}
	return r.perSecond
}

// own is what is left of the part that the ledger records as this holder's.
func (a *Account) own() int64 {
	return a.granted + a.claimed - a.spent - a.reserved - a.returning - a.transfers.sentTotal
}

// Available is what new reservations may take.
func (a *Account) Available() int64 { return a.own() + a.transfers.unrecorded() }

// Reserve sets n tokens aside for one attempt, or reports that the grant does
// not cover them.
func (a *Account) Reserve(n int64) bool {
	if n > a.Available() {
		return false
	}
	a.reserved += n
	return true
}

// Settle ends a reservation of n tokens of which used were consumed. More
// than the reservation is never charged.
func (a *Account) Settle(n, used int64) {
	used = min(n, max(0, used))
	a.reserved -= n
	a.spent += used
	a.rate.add(used)
	a.steady.pending += used
}

// AddShortfall records that a request needs n tokens that the grant does not cover.
func (a *Account) AddShortfall(n int64) {
	a.shortfall += n
	if a.minimum == 0 || n < a.minimum {
		a.minimum = n
	}
}

// ClearLack forgets recorded shortfalls.
func (a *Account) ClearLack() { a.shortfall, a.minimum = 0, 0 }

// Busy tells whether reservations are open.
func (a *Account) Busy() bool { return a.reserved > 0 }

// Open returns the operation that waits for its effect to be known, or nil.
func (a *Account) Open() *ledger.Operation { return a.open }

// Reconcile takes a version of the budget that was read from the ledger after the
// holder's last write. It tells whether the open operation took effect.
func (a *Account) Reconcile(b *ledger.Budget, self ledger.Holder) bool {
	g := b.Grants[self]
	applied := a.open != nil && (g != nil && g.Sequence >= a.open.Sequence || g == nil && a.open.Final)
	if applied {
		a.resolve()
	}
	switch {
	case g != nil && a.open == nil && g.Sequence == a.sequence:
		a.granted, a.claimed = g.Granted, g.ClaimedTotal()
		a.transfers.see(g)
		a.closed = g.Closed && !a.final
	case g == nil && a.final: // folded
		a.granted = a.spent + a.transfers.sentTotal - a.claimed - a.transfers.unrecorded()
	}
	for _, from := range b.HolderNames() {
		a.Receive(from, b.Grants[from].Sent[self])
	}
	return applied
}

// resolve ends the open operation, which took effect.
func (a *Account) resolve() {
	a.reported = a.open.Spent
	a.transfers.reported = a.open.Sent
	a.returning = 0
	a.final = a.open.Final
	a.open = nil
	a.ClearLack()
}

// Returned tells whether the holder has nothing left to give back or report.
func (a *Account) Returned() bool {
	return !a.touched() || (a.open == nil && a.final)
}

// touched tells whether another holder or the ledger may know of this account.
func (a *Account) touched() bool { return a.sequence > 0 || len(a.transfers.received) > 0 }

// ending tells whether the final operation was made.
func (a *Account) ending() bool { return a.final || (a.open != nil && a.open.Final) }
