package budget

import (
	"maps"
	"math"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/ledger"
)

const (
	perMille = 1000
	// settlePeriod limits how long spending stays unreported.
	settlePeriod = 2 * time.Second
	// settleRefills is the same limit as a multiple of the minimum time between
	// two ledger updates.
	settleRefills = 2
	// lowWaterPerMille is the share of the wanted size, in per mille, below
	// which a refill is due.
	lowWaterPerMille = 500
	// recentReturn is how long a return counts as recent.
	recentReturn = 500 * time.Millisecond
	// highWaterPerMille is the multiple of the wanted size, in per mille, above
	// which a return is due.
	highWaterPerMille = 3000
	// spreadLowPerMille and spreadHighPerMille are the same thresholds under
	// "spread", which tracks a budget that is running low more closely.
	spreadLowPerMille  = 700
	spreadHighPerMille = 1500
	// unevenRatio is the ratio of a holder's spending to that of a mean holder
	// from which on its part of a budget follows its spending. It is larger than
	// the ratios that a few large requests cause.
	unevenRatio = 3
	// unevenWindows is the number of windows of the fleet's spending that must
	// have ended before.
	unevenWindows = 2
	// minSharePerMille is the share of a budget, in per mille, that grants may take
	// even if it is nearly spent, so that not every request waits for the ledger.
	minSharePerMille = 50
	// lossWeight weighs the part of a budget that losses of instances have taken:
	// what grants may take is divided by 1 plus that many times the part. It is
	// large, so that all losses together take a small part of a budget, however
	// many they are.
	lossWeight = 300
	// idleRate is the spending of the fleet below which nobody draws on a budget, in
	// tokens per second.
	idleRate = 1
	// unknownPartDivisor divides what may still be granted to get the part of an
	// on-demand holder while the fleet's spending is not known yet.
	unknownPartDivisor = 2
)

// Sizing holds the inputs from which a grant's size is chosen.
type Sizing struct {
	Policy config.GrantPolicy
	// Prepaid is the budget's total and LedgerAvailable the amount that could
	// be granted when the ledger was last read, both in tokens.
	Prepaid         int64
	LedgerAvailable int64
	// Unspent is the amount that is neither spent nor charged according to the
	// last known ledger, and Outstanding the part of it that all holders
	// together have, in tokens.
	Unspent     int64
	Outstanding int64
	// Instances is the number of instances that hold grants in advance.
	Instances int64
	// OnDemand is set if this instance is none of them: callers are not directed
	// to it.
	OnDemand bool
	// Excess is the amount granted beyond a total that has been lowered, in
	// tokens.
	Excess int64
	// Waiting is set while requests wait for tokens; nothing is returned then.
	Waiting bool
	// Background is set if an update is due even if no request waits for it. An
	// update for waiting requests of other budgets refills nothing.
	Background bool
	// Stopping is set once the instance is stopping; it then holds no tokens in
	// advance.
	Stopping bool
}

// WantedSize returns the unspent grant that the policy aims for, in tokens.
func (a *Account) WantedSize(now time.Duration, s Sizing) int64 {
	switch s.Policy.Policy {
	case config.GrantStatic:
		used := a.spent + a.reserved + a.transfers.sentTotal - a.transfers.receivedTotal
		return max(0, s.Prepaid/max(1, s.Instances)-used)
	case config.GrantFixed:
		return s.Policy.SizeTokens
	case config.GrantSpread:
		return a.spreadSize(now, s)
	default:
		runway := int64(a.rate.at(now) * float64(s.Policy.RunwaySeconds))
		share := (s.LedgerAvailable + a.Available()) * s.Policy.MaxSharePerMille / perMille
		return min(max(s.Policy.SizeTokens, runway), max(share, 0))
	}
}

// spreadSize returns the unspent grant that the policy "spread" aims for. It is
// at most an equal part of what may be granted or, if callers are not spread
// evenly, this holder's part of the fleet's spending.
func (a *Account) spreadSize(now time.Duration, s Sizing) int64 {
	if s.Stopping {
		return 0
	}
	demand, own, fleet := a.rates(now)
	spreadable := a.Spreadable(s.Policy, s.Unspent)
	equalPart := spreadable / max(1, s.Instances)
	limit := equalPart
	switch {
	case a.fleet.windows < unevenWindows:
		if s.OnDemand { // its callers stay here, so that the others probably hold few tokens
			limit = max(equalPart, (spreadable-s.Outstanding)/unknownPartDivisor)
		}
	case own*float64(s.Instances) > unevenRatio*fleet:
		limit = int64(float64(spreadable) * min(1, own/fleet))
	}
	size := min(int64(demand*float64(s.Policy.RunwaySeconds)), limit)
	if !s.OnDemand {
		size = max(size, min(s.Policy.SizeTokens, equalPart, s.idlePart(demand, fleet)))
	}
	return size
}

// idlePart is what this holder may hold in advance of a budget on which nobody
// draws. While it is drawn on, there is no such limit.
func (s Sizing) idlePart(demand, fleet float64) int64 {
	if s.Policy.IdleSharePerMille == 0 || max(demand, fleet) >= idleRate {
		return math.MaxInt64
	}
	return s.Prepaid * s.Policy.IdleSharePerMille / perMille / max(1, s.Instances)
}

// Spreadable returns the part of a budget that all grants together may take
// under "spread", in tokens, if unspent tokens of it are left. The rest stays in
// the ledger for the instances that run after holders have crashed. The more
// earlier crashes have taken of the budget, the smaller the part is.
func (a *Account) Spreadable(p config.GrantPolicy, unspent int64) int64 {
	share := p.MaxSharePerMille
	if fleet := a.fleet.perSecond; p.FullShareSeconds > 0 && a.fleet.windows >= unevenWindows && fleet > 0 {
		lasts := float64(unspent) / fleet
		share = int64(float64(share) * min(1, lasts/float64(p.FullShareSeconds)))
		share = max(share, min(minSharePerMille, p.MaxSharePerMille))
	}
	part := unspent * share / perMille
	return max(0, int64(float64(part)/(1+lossWeight*a.lostShare)))
}

// refillable returns what a grant may take from the ledger while no request
// waits.
func (a *Account) refillable(s Sizing) int64 {
	if s.Policy.Policy != config.GrantSpread {
		return s.LedgerAvailable
	}
	return min(s.LedgerAvailable, max(0, a.Spreadable(s.Policy, s.Unspent)-s.Outstanding))
}

// lowWater returns the unspent grant below which a refill is due.
func (s Sizing) lowWater(wanted int64) int64 {
	if s.Policy.Policy == config.GrantSpread {
		return wanted * spreadLowPerMille / perMille
	}
	return wanted * lowWaterPerMille / perMille
}

// Advancing reports whether the open operation only takes tokens in advance, so that
// it may be changed to one for waiting requests.
func (a *Account) Advancing() bool { return a.open != nil && a.open.Advance }

// raiseWant lets an open operation that takes tokens in advance, and that may not be
// applied for lack of room in the ledger, ask for those that requests wait for. Which of
// the two takes effect shows only in what is granted. Tokens from other holders that the
// ledger doesn't record yet need the operation as well.
func (a *Account) raiseWant(now time.Duration, s Sizing) {
	if !a.Advancing() || a.shortfall == 0 && a.transfers.unrecorded() == 0 {
		return
	}
	op := *a.open
	if a.shortfall > 0 {
		op.Want, op.Minimum = a.requestAmounts(a.WantedSize(now, s), s)
		a.ClearShortfall()
	}
	op.Advance = op.Want == 0 && a.transfers.unrecorded() == 0
	a.open = &op
}

// Prepare returns the operation that is due, or nil. The operation stays open
// until Reconcile finds that it took effect.
func (a *Account) Prepare(now time.Duration, holder ledger.Holder, s Sizing, settleDue bool) *ledger.Operation {
	if a.open != nil || a.final {
		a.raiseWant(now, s)
		return a.open
	}
	wanted := a.WantedSize(now, s)
	available := a.Available()
	op := ledger.Operation{Holder: holder}
	waits := a.shortfall > 0
	if waits {
		op.Want, op.Minimum = a.requestAmounts(wanted, s)
		a.ClearShortfall()
	}
	switch {
	case op.Want > 0:
	case s.Excess > 0 && available > 0 && !s.Waiting:
		op.Return = min(available, s.Excess)
	case s.Background && available < s.lowWater(wanted) && a.refillable(s) > 0 && (a.sequence > 0 || s.Policy.Policy == config.GrantSpread):
		op.Want = min(wanted-available, a.refillable(s))
	case s.returnDue(available, wanted):
		op.Return = available - wanted
	case s.Background && a.transfers.unrecorded() > 0: // records received tokens, so that they can be transferred on
	case settleDue && a.reportDue():
	default:
		return nil
	}
	if op.Return > 0 {
		a.lastReturn = now
	}
	op.Advance = !waits && op.Want > 0
	return a.begin(op)
}

// requestAmounts returns the amount to request when requests wait, and the
// smallest amount that is useful.
func (a *Account) requestAmounts(wanted int64, s Sizing) (want, minimum int64) {
	available := a.Available()
	if s.LedgerAvailable <= 0 && s.Policy.Policy == config.GrantSpread {
		return 0, 0
	}
	want = max(a.shortfall, wanted-available)
	if s.Policy.Policy == config.GrantStatic {
		want = wanted - available
	}
	if !s.Policy.PeerTransfer { // peers can't supply what the ledger lacks
		minimum = a.minimum - max(0, available)
	}
	if want < minimum {
		return 0, 0
	}
	return want, minimum
}

// returnDue reports whether an adaptive or spread grant is larger than its use
// warrants. Where peers can obtain small amounts directly, returning these is
// not worth a write.
func (s Sizing) returnDue(available, wanted int64) bool {
	if s.Policy.Policy == config.GrantSpread {
		return !s.Waiting && available > wanted*spreadHighPerMille/perMille
	}
	if s.Policy.Policy != config.GrantAdaptive || s.Waiting {
		return false
	}
	if s.Policy.PeerTransfer && available-wanted < s.Policy.SizeTokens {
		return false
	}
	return available > wanted*highWaterPerMille/perMille
}

// Returning reports whether a return to the ledger is in flight or was created
// within the last recentReturn.
func (a *Account) Returning(now time.Duration) bool {
	return a.returning > 0 || (a.lastReturn > 0 && now-a.lastReturn < recentReturn)
}

// reportDue reports whether the ledger lacks spending or transfers, or presumes
// this holder dead.
func (a *Account) reportDue() bool {
	return a.spent > a.reported || a.transfers.reportDue() || a.closed
}

// PrepareFinal returns the operation that returns all unspent tokens. It must
// be called only when no reservation is open. An account that the ledger does
// not know reports first, because a final operation is never a holder's first.
func (a *Account) PrepareFinal(holder ledger.Holder) *ledger.Operation {
	if a.open != nil {
		return a.open
	}
	if !a.knownOutside() || a.final {
		return nil
	}
	if a.sequence == 0 {
		return a.begin(ledger.Operation{Holder: holder})
	}
	return a.begin(ledger.Operation{Holder: holder, Return: a.Available(), Final: true})
}

// PrepareRestore returns the operation that repeats the holder's grant after the
// store came back from an older copy, or nil if there is nothing to repeat. It
// takes the place of an operation that was open: the later sequence number keeps
// that one from taking effect afterwards.
func (a *Account) PrepareRestore(holder ledger.Holder) *ledger.Operation {
	if a.open != nil && a.open.Restore != nil {
		return a.open
	}
	if !a.knownOutside() {
		return nil
	}
	a.final = false
	op := ledger.Operation{Holder: holder, Restore: &ledger.Restore{
		Total:    max(a.granted+a.claimed, a.spent+a.reserved+a.transfers.sentTotal-a.transfers.unrecorded()),
		Received: maps.Clone(a.transfers.recorded), Claimed: maps.Clone(a.claimedBy),
	}}
	return a.begin(op)
}

func (a *Account) begin(op ledger.Operation) *ledger.Operation {
	// Makes op the open operation and fills in the account's cumulative values.
	a.sequence++
	op.Sequence = a.sequence
	op.Spent = a.spent
	op.Received = maps.Clone(a.transfers.received)
	op.Sent = maps.Clone(a.transfers.sent)
	a.returning = op.Return
	a.open = &op
	return a.open
}
