// Package budget is the holder's side of the ledger: it tracks what one
// instance may spend of each budget, what it has reserved and spent, and which
// ledger operation is due.
package budget

import (
	"math"
	"time"

	"plantainfield.example/core/ledger"
)

// Account is one instance's part of one budget. All amounts are in tokens.
// Invariant: spent + reserved + returning + sent <= granted + claimed + unrecorded.
type Account struct {
	// granted and claimed are taken from the last known ledger record.
	granted int64
	claimed int64
	// claimedBy is claimed by holder.
	claimedBy map[ledger.Holder]int64
	// spent is the cumulative spending, whether or not the ledger knows of it.
	spent int64
	// reserved is the amount set aside for attempts in flight.
	reserved int64
	// returning is the amount set aside for the return in the open operation.
	returning int64
	// lastReturn is when the last operation with a return was created.
	lastReturn time.Duration
	// transfers tracks the tokens moved to and from other holders.
	transfers transfers
	// sequence is the number of the last operation created.
	sequence uint64
	// open is the operation that is not yet known to have taken effect, or nil.
	open *ledger.Operation
	// reported is the spending contained in the last operation that took
	// effect.
	reported int64
	// shortfall is the sum of what waiting requests lack; minimum is the
	// smallest of these amounts.
	shortfall int64
	minimum   int64
	// closed is set while the ledger charges the whole grant because this
	// holder was presumed dead.
	closed bool
	// final is set once the final operation has taken effect.
	final bool
	rate  rate
	// steady is the spending averaged over a longer time than rate, demand the
	// same with each attempt counted when its tokens are reserved and corrected
	// once its usage is known.
	steady steadyRate
	demand steadyRate
	// fleet is the same for all holders together, as they report it, and
	// fleetReported the total that it has counted. fleetSeen is set if the ledger
	// was seen since its last window ended.
	fleet         steadyRate
	fleetReported int64
	fleetSeen     bool
	// request is the moving average of the size of reservations.
	request float64
	// blocked is the sum of what waiting requests lack because headroom does not cover
	// them.
	blocked int64
	// headroom, if set, returns by how much exposed may rise.
	headroom func(exposed int64) int64
	// lostShare is the share of the budget's total that closed grants charge
	// without a report of their holders.
	lostShare float64
}

// rate estimates spending in tokens per second as an exponentially weighted
// moving average over windows of at least rateWindow, in which a new window has
// the weight rateAlpha.
type rate struct {
	perSecond float64
	// pending is the number of tokens spent in the current window, which began
	// at since.
	pending int64
	since   time.Duration
}

const (
	rateWindow = time.Second
	rateAlpha  = 0.3
)

func (r *rate) add(tokens int64) { r.pending += tokens }

// at returns the estimate; if the current window has ended, it first adds that
// window and starts the next one.
func (r *rate) at(now time.Duration) float64 {
	elapsed := now - r.since
	if elapsed >= rateWindow {
		current := float64(r.pending) / elapsed.Seconds()
		r.perSecond += rateAlpha * (current - r.perSecond)
		r.pending = 0
		r.since = now
	}
	return r.perSecond
}

// steadyRate estimates spending in tokens per second over about ten seconds, so
// that a few large requests do not move a grant back and forth.
type steadyRate struct {
	perSecond float64
	// pending is the number of tokens spent in the current window, which began
	// at since.
	pending int64
	since   time.Duration
	// running is set from the first spending on; the time before it does not
	// count.
	running bool
	// windows counts the windows that have ended; the first ones are weighted
	// equally.
	windows int
}

// steadyAlpha is the minimum weight of a new window of one second.
const steadyAlpha = 0.1

func (r *steadyRate) at(now time.Duration) float64 {
	r.running = r.running || r.pending != 0
	if !r.running {
		r.since = now
		return 0
	}
	if elapsed := now - r.since; elapsed >= rateWindow {
		r.windows++
		current := float64(r.pending) / elapsed.Seconds()
		r.perSecond = max(0, r.perSecond+max(steadyAlpha, 1/float64(r.windows))*(current-r.perSecond))
		r.pending = 0
		r.since = now
	}
	if r.windows == 0 { // the first window is still open
		return max(0, float64(r.pending)/rateWindow.Seconds())
	}
	return r.perSecond
}

// own returns what is left of the grant that the ledger records for this
// holder.
func (a *Account) own() int64 {
	return a.granted + a.claimed - a.spent - a.reserved - a.returning - a.transfers.sentTotal
}

// Available returns the tokens that new reservations may take.
func (a *Account) Available() int64 { return a.own() + a.transfers.unrecorded() }

// rates returns the demand, the spending and the spending of all holders, in
// tokens per second. A window ends when rates is called after its time, so that
// it must be called often (Book.MeasureRates).
func (a *Account) rates(now time.Duration) (demand, own, fleet float64) {
	demand, own, fleet = a.demand.at(now), a.steady.at(now), a.fleetRate(now)
	// The fleet reports its spending late. Counting it from the first report on
	// would take the spending of some seconds for that of one.
	a.fleet.running = a.fleet.running || a.demand.running
	return demand, own, fleet
}

// fleetRate returns the spending of all holders. While the ledger is not seen,
// the window stays open and the rate as it was.
func (a *Account) fleetRate(now time.Duration) float64 {
	if !a.fleetSeen && a.fleet.windows > 0 {
		return a.fleet.perSecond
	}
	windows := a.fleet.windows
	perSecond := a.fleet.at(now)
	a.fleetSeen = a.fleetSeen && a.fleet.windows == windows
	return perSecond
}

// Lasts returns for how long the available tokens cover the demand.
func (a *Account) Lasts(now time.Duration) time.Duration {
	perSecond, _, _ := a.rates(now)
	if perSecond <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(max(0, a.Available())) / perSecond * float64(time.Second))
}

// Reserve sets n tokens aside for one attempt. It reports false if the grant
// does not cover them.
func (a *Account) Reserve(n int64) bool {
	if n > a.Available() || n > a.room() {
		return false
	}
	a.reserved += n
	a.demand.pending += n
	a.request += requestAlpha * (float64(n) - a.request)
	return true
}

// Settle ends a reservation of n tokens of which used were consumed. It never
// charges more than the reservation.
func (a *Account) Settle(n, used int64) {
	used = min(n, max(0, used))
	a.reserved -= n
	a.spent += used
	a.rate.add(used)
	a.steady.pending += used
	a.demand.pending += used - n
}

// AddShortfall records that a request needs n tokens that the grant does not
// cover.
func (a *Account) AddShortfall(n int64) {
	a.shortfall += n
	if a.minimum == 0 || n < a.minimum {
		a.minimum = n
	}
}

// ClearShortfall resets the recorded shortfalls to 0.
func (a *Account) ClearShortfall() { a.shortfall, a.minimum = 0, 0 }

// Reserved returns the tokens that are set aside for attempts in flight.
func (a *Account) Reserved() int64 { return a.reserved }

// Unreported returns the spending that the ledger doesn't know of.
func (a *Account) Unreported() int64 { return a.spent - a.reported }

// Busy reports whether reservations are open.
func (a *Account) Busy() bool { return a.reserved > 0 }

// Open returns the operation that is not yet known to have taken effect, or
// nil.
func (a *Account) Open() *ledger.Operation { return a.open }

// Reconcile updates the account from a version of the budget that was read from
// the ledger after the holder's last write. It reports whether the open
// operation took effect.
func (a *Account) Reconcile(b *ledger.Budget, self ledger.Holder) bool {
	g := b.Grants[self]
	applied := a.open != nil && (g != nil && g.Sequence >= a.open.Sequence || g == nil && a.open.Final)
	if applied {
		a.resolve()
	}
	switch {
	case g != nil && a.open == nil && g.Sequence == a.sequence:
		a.granted, a.claimed, a.claimedBy = g.Granted, g.ClaimedTotal(), g.Claimed
		a.transfers.reconcile(g)
		a.closed = g.Closed && !a.final
	case g == nil && a.final: // the final operation removed the grant
		a.granted = a.spent + a.transfers.sentTotal - a.claimed - a.transfers.unrecorded()
	}
	for _, from := range b.HolderNames() {
		a.Receive(from, b.Grants[from].Sent[self])
	}
	a.countFleet(b.Consumed())
	if b.Prepaid > 0 {
		a.lostShare = float64(b.UnreportedTotal()) / float64(b.Prepaid)
	}
	return applied
}

// countFleet counts what all holders together have reported as spent since the
// last call. What closed grants charge beyond that is no spending.
func (a *Account) countFleet(reported int64) {
	a.fleet.pending += max(0, reported-a.fleetReported)
	a.fleetReported = max(reported, a.fleetReported)
	a.fleetSeen = true
}

// resolve completes the open operation, which took effect.
func (a *Account) resolve() {
	a.reported = a.open.Spent
	a.transfers.reported = a.open.Sent
	a.returning = 0
	a.final = a.open.Final
	a.open = nil
	a.ClearShortfall()
}

// Returned reports whether the holder has nothing left to return or report.
func (a *Account) Returned() bool {
	return !a.knownOutside() || (a.open == nil && a.final)
}

// knownOutside reports whether the ledger or another holder may know of this
// account.
func (a *Account) knownOutside() bool { return a.sequence > 0 || len(a.transfers.received) > 0 }

// ending reports whether the final operation has been created.
func (a *Account) ending() bool { return a.final || (a.open != nil && a.open.Final) }
