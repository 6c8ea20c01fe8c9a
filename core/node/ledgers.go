package node

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
	"plantainfield.example/core/ledgersize"
)

// ledgerShard is this instance's view of one ledger object and the state of the
// update of it that is in flight. A shard has at most one update in flight.
type ledgerShard struct {
	index   int
	name    string
	version string
	shard   *ledger.Shard
	// bytes is the size of the encoded shard when it was last read or written.
	bytes int
	// known is set once the object has been read. It is cleared after a
	// conflict, a lost result or a failed call, when the view may be outdated.
	known    bool
	inFlight bool
	// background is set if the update in flight, or else the last one, was due
	// without a request that waits for it.
	background bool
	// startedAt is when the update in flight, or else the last one, started.
	startedAt time.Duration
	// settle is set when the settle period has ended, so that the next update
	// reports spending.
	settle   bool
	failures int
	retryAt  time.Duration
	// conflicts counts the conflicts and lost results of the update in flight
	// after which the object had to be read again; objectConflicts counts its
	// conflicts whose result carried the current object. resumeAt is when the
	// update resumes after a delay, or 0 if it is not delayed.
	conflicts       int
	objectConflicts int
	resumeAt        time.Duration
	// seenAt is when the shard was last read or written. nextBackgroundUpdate
	// is the earliest start of the next update that no request waits for,
	// nextUpdate that of any update; it is delayed after an update with
	// objectConflicts.
	seenAt               time.Duration
	nextBackgroundUpdate time.Duration
	// nextShortRefill is the same for an update before a grant is used up.
	nextShortRefill time.Duration
	nextUpdate      time.Duration
	// nextAdvance is the earliest time of the next operations that take tokens in
	// advance. It is delayed after some for which the object had no room. advances is
	// set if the update in flight contains some.
	nextAdvance time.Duration
	advances    bool
	// nextRegistration is the earliest time of the next registration of this
	// instance in the shard.
	nextRegistration time.Duration
	// nextBudgetLog is the earliest time of the next log line about the budgets.
	nextBudgetLog time.Duration
	// summary is set while the view consists of summaries that a writer sent. It
	// is good for decisions, but no base of a write: known is not set then.
	summary bool
	// delegation is the request to a writer that is in flight, or nil; abandoned
	// is the last one that was given up. writersAsked counts the requests of the
	// update in flight.
	delegation   *delegation
	abandoned    *delegation
	writersAsked int
	// remote are the requests of peers that this instance has accepted and not
	// answered yet, in order of arrival.
	remote []*remoteUpdate
}

type ledgerState struct {
	shards  []*ledgerShard
	refresh refreshState
	// avoidedWriters holds, by name, until when a peer is not asked to write.
	avoidedWriters map[string]time.Duration
	// usualTime is the moving average of the time that updates take.
	usualTime time.Duration
	// usualAcceptTime is the same for the time until a writer accepts a request.
	usualAcceptTime time.Duration
	// returnedAt is when the store last came back from a copy.
	returnedAt time.Duration
	// lastDelegation is the ID of the last request to a writer.
	lastDelegation uint64
}

func newLedgerState(count int) ledgerState {
	s := ledgerState{refresh: refreshState{idle: map[grantKey]idleSince{}}, avoidedWriters: map[string]time.Duration{}}
	for i := range max(1, count) {
		s.shards = append(s.shards, &ledgerShard{index: i, name: fmt.Sprintf("ledger-%05d", i), shard: &ledger.Shard{}})
	}
	return s
}

func (s *ledgerState) shardOf(budgetName string) *ledgerShard {
	return s.shards[ledger.ShardOf(budgetName, len(s.shards))]
}

func (s *ledgerShard) object() event.Object {
	return event.Object{Kind: event.KindLedger, Name: s.name}
}

func (n *Node) tickLedgers() {
	if n.configs.index == nil {
		return
	}
	n.book.MeasureRates(n.now)
	if n.book.SettleDue(n.now, n.refillPeriod()) {
		for _, s := range n.ledgers.shards {
			s.settle = true
		}
	}
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		n.book.Account(r.Budget) // marks its shard as dirty
	}
	for _, s := range n.ledgers.shards {
		switch {
		case s.resumeAt > 0 && n.now >= s.resumeAt:
			s.resumeAt, s.objectConflicts = 0, min(s.objectConflicts, 1)
			if !n.leaveToWriter(s) {
				n.readLedger(s)
			}
		case s.delegation != nil && n.now >= s.delegation.timeout:
			n.abandonDelegation(s, "timed out")
		case n.registrationDue(s) || s.settle || s.failures > 0 || n.book.Dirty(s.index) || n.remoteDue(s):
			n.startLedgerUpdate(s)
		}
	}
	n.refreshLedgers()
}

// startLedgerUpdate starts an update of a shard if one is due and none is in
// flight. Waiting requests that an update can't help ask peers for tokens.
func (n *Node) startLedgerUpdate(s *ledgerShard) {
	if s.inFlight {
		n.expediteDelegation(s)
		return
	}
	if n.configs.index == nil {
		return
	}
	if n.now < s.retryAt {
		n.fallBackToPeers(s, errkind.BudgetUnavailable)
		return
	}
	if n.now < s.nextUpdate {
		return
	}
	s.background = n.backgroundUpdateDue(s)
	if !s.background && len(n.waitingFor(s)) == 0 && !n.remoteDue(s) && (!n.stopping || n.requests.open() > 0) {
		return
	}
	n.prefetch(s)
	n.book.ClearDirty(s.index)
	if n.eras.Unseen(s.index) || n.needsFreshView(s) {
		n.beginLedgerUpdate(s)
		n.refreshView(s)
		return
	}
	ops := n.prepareOperations(s)
	if len(ops) == 0 && len(s.remote) == 0 {
		n.fallBackToPeers(s, errkind.BudgetExhausted)
		return
	}
	n.beginLedgerUpdate(s)
	s.nextBackgroundUpdate, s.nextShortRefill = n.now+n.backgroundUpdatePeriod(), n.now+shortRefillPeriod
	n.writeOperations(s, ops)
}

// writeOperations has operations written by the writer of the shard, which may
// be this instance.
func (n *Node) writeOperations(s *ledgerShard, ops map[string]*ledger.Operation) {
	if writer := n.ledgerWriter(s); writer != n.settings.Name {
		n.delegate(s, writer, ops)
		return
	}
	// The view of the only writer is rarely outdated, and a conflict tells.
	isWriter := n.combinesUpdates() && (len(ops) > 0 || s.hasRemoteOperations())
	if s.known && (n.refillPeriod() == 0 || isWriter || n.now-s.seenAt < maxUpdateViewAge) {
		n.continueLedgerUpdate(s)
	} else {
		n.readLedger(s)
	}
}

func (n *Node) beginLedgerUpdate(s *ledgerShard) {
	s.inFlight, s.startedAt, s.writersAsked = true, n.now, 0
}

// maxExhaustedViewAge is the maximum age of a ledger view on which requests are
// refused for lack of tokens without reading the ledger again: a fifth of the
// time between two updates by one instance.
const maxExhaustedViewAge = 300 * time.Millisecond

// needsFreshView reports whether requests wait for tokens and the view of the
// ledger is too old to conclude that it has none. Without a refill period it is
// always false; a refill period makes updates rare and views old.
func (n *Node) needsFreshView(s *ledgerShard) bool {
	if n.refillPeriod() == 0 || (s.known || s.summary) && n.now-s.seenAt <= maxExhaustedViewAge {
		return false
	}
	waiting := n.waitingFor(s)
	if !n.combinesUpdates() {
		return len(waiting) > 0
	}
	// An update is cheap, so that an old view only matters if it shows too little.
	return slices.ContainsFunc(waiting, func(r *request) bool { return n.sizing(s, r.Budget).LedgerAvailable < r.WorstCaseTokens })
}

// refreshView gets a fresh view of the shard in the update that has begun.
func (n *Node) refreshView(s *ledgerShard) {
	if writer := n.ledgerWriter(s); writer != n.settings.Name {
		n.delegate(s, writer, nil)
		return
	}
	n.readLedger(s)
}

// maxUpdateViewAge is the maximum age of a view of a shard at which the shard
// is probably unchanged, where a refill period makes updates rare. An older
// view is refreshed before an update, since a read costs less than a conflict.
const maxUpdateViewAge = 50 * time.Millisecond

// refillPeriod is the policy's minimum time between two updates that no request
// waits for, or 0 for none.
func (n *Node) refillPeriod() time.Duration {
	return time.Duration(n.configs.index.Document.Policies.Grants.RefillMillis) * time.Millisecond
}

// stoppingUpdatePeriod is the minimum time between two background updates of an
// instance that is stopping, unless refillPeriod is shorter. The instance may
// be killed at any moment, so it doesn't wait for the whole refill period to
// return the tokens that requests leave unspent.
const stoppingUpdatePeriod = 300 * time.Millisecond

// backgroundUpdatePeriod is the minimum time from one update to the next that
// no request waits for.
func (n *Node) backgroundUpdatePeriod() time.Duration {
	if n.stopping {
		return min(n.refillPeriod(), stoppingUpdatePeriod)
	}
	return n.refillPeriod()
}

// shortRefillPeriod is the minimum time between two updates that no request waits
// for yet, but soon would. Where one instance writes the updates of many, they
// cost no write of their own.
const shortRefillPeriod = 300 * time.Millisecond

// backgroundUpdateDue reports whether an update that no request waits for may
// start.
func (n *Node) backgroundUpdateDue(s *ledgerShard) bool {
	if n.now >= s.nextBackgroundUpdate {
		return true
	}
	if !n.combinesUpdates() || n.now < s.nextShortRefill {
		return false
	}
	return slices.ContainsFunc(n.book.BudgetsInShard(s.index), func(name string) bool {
		return n.book.Lookup(name).Lasts(n.now) < s.nextBackgroundUpdate-n.now
	})
}

// prefetch creates the accounts of all budgets of a shard, at an instance that
// serves callers, under the grant policy that holds tokens before requests need
// them.
func (n *Node) prefetch(s *ledgerShard) {
	if n.stopping || n.configs.index.Document.Policies.Grants.Policy != config.GrantSpread || !n.servesCallers() {
		return
	}
	for i := range n.configs.index.Document.Budgets {
		name := n.configs.index.Document.Budgets[i].Name
		if n.ledgers.shardOf(name) == s && n.book.Lookup(name) == nil {
			n.book.Account(name)
		}
	}
}

// prepareOperations returns the operations that are due in a shard, by budget.
func (n *Node) prepareOperations(s *ledgerShard) map[string]*ledger.Operation {
	if n.reportDue(s) {
		return n.restoreOperations(s)
	}
	n.collectShortfalls(s)
	ops := map[string]*ledger.Operation{}
	for _, name := range n.book.BudgetsInShard(s.index) {
		var op *ledger.Operation
		if n.stopping && n.requests.open() == 0 {
			op = n.book.Lookup(name).PrepareFinal(n.holder)
		} else {
			op = n.book.Lookup(name).Prepare(n.now, n.holder, n.sizing(s, name), s.settle)
		}
		if op != nil && !(op.Advance && n.now < s.nextAdvance) {
			ops[name] = op
			s.advances = s.advances || op.Advance
		}
	}
	s.settle = false
	n.addRegistration(s, ops)
	return ops
}

// collectShortfalls records the tokens that waiting requests need in the
// accounts that have no operation open.
func (n *Node) collectShortfalls(s *ledgerShard) {
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		a := n.book.Account(r.Budget)
		if n.ledgers.shardOf(r.Budget) != s || r.askedLedger || a.Open() != nil && !a.Advancing() || n.blocked(r) {
			continue
		}
		r.askedLedger = true
		a.AddShortfall(r.WorstCaseTokens)
	}
}

func (n *Node) sizing(s *ledgerShard, name string) budget.Sizing {
	sz := budget.Sizing{
		Policy: n.configs.index.Document.Policies.Grants, Instances: n.servingInstances(), OnDemand: !n.servesCallers(),
		Waiting: n.waitsForTokens(name), Background: s.background, Stopping: n.stopping,
	}
	if b := n.configs.index.Budget(name); b != nil {
		sz.Prepaid, sz.LedgerAvailable, sz.Unspent = b.PrepaidTokens, b.PrepaidTokens, b.PrepaidTokens
	}
	b := s.shard.Budgets[name]
	if b == nil {
		return sz
	}
	total := n.totalInForce(name, b)
	sz.Prepaid = total
	sz.LedgerAvailable = max(0, total-b.Committed())
	sz.Excess = b.Committed() - total
	withheld := b.Withheld() // neither unspent nor at a holder, as far as is known
	sz.Unspent, sz.Outstanding = max(0, total-b.SettledTotal()-withheld), b.Outstanding()-withheld
	return sz
}

// maxUnspentAge is the maximum age of a view of the ledger that tells for certain
// that a budget does not cover a request. What is unspent only decreases, except
// when a holder that was presumed gone reports again.
const maxUnspentAge = 2 * time.Second

// exceedsBudget reports whether a request needs more than all that was left of its
// budget, in the ledger and at all holders, when the ledger was last seen.
func (n *Node) exceedsBudget(s *ledgerShard, r *request) bool {
	b := s.shard.Budgets[r.Budget]
	if b == nil || n.refillPeriod() == 0 || !s.known && !s.summary || n.now-s.seenAt > maxUnspentAge {
		return false
	}
	return r.WorstCaseTokens > n.totalInForce(r.Budget, b)-b.SettledTotal()
}

// totalInForce returns the total of a budget that the ledger holds.
func (n *Node) totalInForce(name string, b *ledger.Budget) int64 {
	if c := n.configs.index.Budget(name); c != nil && n.configs.index.Generation > b.Generation {
		return c.PrepaidTokens // the next operation writes it to the ledger
	}
	return b.Target
}

// readLedger reads the shard, closes the open operations that took effect and
// continues the update with the others.
func (n *Node) readLedger(s *ledgerShard) {
	n.callPlatform(event.OpGet, s.object(), func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			if !n.setLedgerView(s, r) {
				n.failLedgerUpdate(s)
				return
			}
		case event.PlatformNotFound:
			s.version, s.shard, s.known, s.summary, s.seenAt = "", &ledger.Shard{}, true, false, n.now-r.Age
			n.eras.Seen(s.index, s.shard)
		default:
			n.failLedgerUpdate(s)
			return
		}
		n.reconcileAccounts(s)
		n.continueLedgerUpdate(s)
	})
}

func (n *Node) setLedgerView(s *ledgerShard, r event.PlatformResult) bool {
	// Replaces the view of a shard by the object that the platform returned. The
	// result is false if the object can't be decoded.
	shard, err := ledger.Decode(r.Object.Value)
	if err != nil {
		n.logChange("ledger object unusable", "object", r.Object.Name, "version", r.Object.Version, "error", err.Error())
		return false
	}
	s.version, s.shard, s.bytes, s.known, s.summary, s.seenAt = r.Object.Version, shard, len(r.Object.Value), true, false, n.now-r.Age
	n.eras.Seen(s.index, shard)
	return true
}

// reconcileAccounts updates the accounts from the shard as last seen and closes
// the open operations that it shows as applied.
func (n *Node) reconcileAccounts(s *ledgerShard) {
	n.reconcileBudgets(s, n.book.BudgetsInShard(s.index))
}

// reconcileBudgets is reconcileAccounts for some of the shard's budgets.
func (n *Node) reconcileBudgets(s *ledgerShard, names []string) {
	if n.eras.Outdated(s.shard) { // an operation that it lacks may have taken effect
		names = nil
	}
	for _, name := range names {
		b := s.shard.Budgets[name]
		if b == nil {
			b = &ledger.Budget{}
		}
		if a := n.book.Lookup(name); a != nil {
			a.Reconcile(b, n.holder)
		}
	}
	n.book.MarkDirty(s.index)
}

func (n *Node) continueLedgerUpdate(s *ledgerShard) {
	// Writes a shard that has just been read if operations are due or grants of
	// holders that are gone are to be closed, and ends the update otherwise.
	ops := n.prepareOperations(s)
	if len(ops) == 0 && !s.hasRemoteOperations() && !(n.closesGrantsIn(s) && n.writesForOthers(s)) {
		n.answerRemote(s, s.remote)
		n.finishLedgerUpdate(s)
		return
	}
	n.updateLedger(s, ops)
}

// updateLedger applies operations to the shard as last seen and writes it by
// compare-and-swap on its version.
func (n *Node) updateLedger(s *ledgerShard, ops map[string]*ledger.Operation) {
	next := s.shard.Clone()
	n.beginEra(s, next)
	size := ledgersize.NewUpdate(s.bytes, n.settings.MaxObjectBytes)
	for _, name := range sortedKeys(ops) {
		n.applyOperation(size, next, name, *ops[name])
	}
	remote := slices.Clone(s.remote)
	n.applyRemote(size, next, remote)
	closed := n.closeGoneGrants(next)
	released := n.releaseUnexposed(next)
	n.finishEra(s, next)
	raw, err := n.encodeLedger(s, next)
	if err != nil || ledgersize.Exceeds(raw, n.settings.MaxObjectBytes) {
		n.failLedgerUpdate(s)
		return
	}
	o := s.object()
	o.Version, o.Value = s.version, raw
	op := event.OpUpdate
	if s.version == "" {
		op = event.OpCreate
	}
	n.callPlatform(op, o, func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			s.version, s.shard, s.bytes, s.seenAt = r.Object.Version, next, len(raw), n.now-r.Age
			n.eras.Seen(s.index, next)
			n.observeUpdateTime(s)
			n.logLedgerUpdate(s, len(ops), len(remote), size.Skipped())
			n.logClosedGrants(closed)
			n.logReleased(released)
			n.reconcileAccounts(s)
			n.answerRemote(s, remote)
			n.finishLedgerUpdate(s)
		case event.PlatformUnavailable, event.PlatformTooLarge:
			n.failLedgerUpdate(s)
		case event.PlatformConflict:
			n.ledgerConflict(s, r)
		default: // the result was lost: read the object back
			s.known = false
			n.readAfterConflict(s)
		}
	})
}

// encodeLedger serializes the next version of a shard. If that is too large, it first
// removes the closed grants of replaced holders.
func (n *Node) encodeLedger(s *ledgerShard, next *ledger.Shard) ([]byte, error) {
	raw, err := next.Encode()
	if err != nil || !ledgersize.Exceeds(raw, n.settings.MaxObjectBytes) {
		return raw, err
	}
	removed := ledgersize.CompactReplaced(next, func(h ledger.Holder) bool {
		wait, gone := n.presumedGone(h)
		return gone && wait == replacedAfter
	})
	before := len(raw)
	raw, err = next.Encode()
	n.logChange("ledger object too large", "shard", s.name, "bytes", before, "limit", n.settings.MaxObjectBytes, "grants_removed", removed, "bytes_after", len(raw))
	return raw, err
}

// budgetInForce returns a budget of the next version of a shard, with the total
// of the configuration in force.
func (n *Node) budgetInForce(next *ledger.Shard, name string) *ledger.Budget {
	b := next.Budget(name)
	if c := n.configs.index.Budget(name); c != nil {
		b.SetTarget(c.PrepaidTokens, n.configs.index.Generation)
	}
	return b
}

const (
	// conflictBackoffBase and conflictBackoffMax bound the backoff after
	// conflicts that carry no object: from a few round trips to the platform up
	// to a second, so that about a hundred instances stay within the platform's
	// call rate.
	conflictBackoffBase = 10 * time.Millisecond
	conflictBackoffMax  = time.Second
	// maxImmediateRetries is how many times an update is retried without delay
	// from the object that a conflict carries. Of the instances that write at
	// the same time one succeeds each time, so that all have succeeded after a
	// few retries.
	maxImmediateRetries = 8
	// contentionDelay, multiplied by the number of such conflicts and capped at
	// contentionDelayMax, bounds the random delay after the update, so that the
	// next one serves more requests. The cap is shorter than a request may wait
	// for tokens.
	contentionDelay    = 100 * time.Millisecond
	contentionDelayMax = 200 * time.Millisecond
)

// ledgerConflict retries an update after another instance wrote the shard
// first.
func (n *Node) ledgerConflict(s *ledgerShard, r event.PlatformResult) {
	s.known = false
	if r.Object.Value == nil || !n.setLedgerView(s, r) {
		n.readAfterConflict(s)
		return
	}
	s.objectConflicts++
	n.reconcileAccounts(s)
	if n.leaveToWriter(s) {
		return
	}
	if s.objectConflicts > maxImmediateRetries {
		n.resumeAfterDelay(s, contentionDelayMax)
		return
	}
	n.continueLedgerUpdate(s)
}

// readAfterConflict reads the shard again: immediately after the first conflict
// of an update, then after a jittered exponential backoff, so that many
// instances that write one shard at the same time don't multiply their calls.
func (n *Node) readAfterConflict(s *ledgerShard) {
	s.conflicts++
	if s.conflicts == 1 {
		n.readLedger(s)
		return
	}
	n.resumeAfterDelay(s, backoff.Exponential(conflictBackoffBase, conflictBackoffMax, s.conflicts))
}

// resumeAfterDelay resumes an update after a random delay below maxDelay.
func (n *Node) resumeAfterDelay(s *ledgerShard, maxDelay time.Duration) {
	s.resumeAt = n.now + backoff.Below(maxDelay, n.rng) + 1
}

// logLedgerUpdate logs the state of a shard after an update, summed over its
// budgets.
func (n *Node) logLedgerUpdate(s *ledgerShard, operations, remote, skipped int) {
	var prepaid, settled, unreported, outstanding int64
	grants := 0
	for _, name := range sortedKeys(s.shard.Budgets) {
		b := s.shard.Budgets[name]
		if name == ledgerera.StateBudget {
			continue
		}
		prepaid += b.Prepaid
		settled += b.SettledTotal()
		unreported += b.UnreportedTotal()
		outstanding += b.Outstanding()
		grants += len(b.Grants)
	}
	own := n.ownTokens(s)
	n.logChange("ledger updated", "version", s.version, "operations", operations, "for_peers", remote, "skipped", skipped, "conflicts", s.conflicts+s.objectConflicts, "took", n.now-s.startedAt,
		"bytes", s.bytes, "grants", grants, "prepaid", prepaid, "settled", settled, "unreported", unreported, "outstanding", outstanding, "own_unspent", own.unspent, "own_reserved", own.reserved, "own_unreported", own.unreported)
	n.logBudgets(s)
}

// budgetLogPeriod is the minimum time between two log lines about the budgets of a
// shard, and maxBudgetsLogged the number of budgets, the largest ones, in a line.
const (
	budgetLogPeriod  = 2 * time.Second
	maxBudgetsLogged = 20
)

// logBudgets logs the state of the largest budgets of a shard, at most once in
// budgetLogPeriod.
func (n *Node) logBudgets(s *ledgerShard) {
	if n.now < s.nextBudgetLog {
		return
	}
	s.nextBudgetLog = n.now + budgetLogPeriod
	names := slices.SortedStableFunc(slices.Values(sortedKeys(s.shard.Budgets)), func(a, b string) int {
		return cmp.Compare(s.shard.Budgets[b].Prepaid, s.shard.Budgets[a].Prepaid)
	})
	states := make([]string, 0, maxBudgetsLogged)
	for _, name := range names[:min(len(names), maxBudgetsLogged)] {
		b := s.shard.Budgets[name]
		states = append(states, fmt.Sprintf("%s %d/%d/%d/%d", name, b.Prepaid, b.SettledTotal(), b.UnreportedTotal(), b.Outstanding()))
	}
	n.logChange("budgets", "shard", s.name, "prepaid/settled/unreported/outstanding", strings.Join(states, ", "))
}

// heldTokens is what an instance holds of the budgets of a shard: the tokens that
// are free, those that are reserved for attempts in flight, and those that it has
// spent and the ledger doesn't know of.
type heldTokens struct{ unspent, reserved, unreported int64 }

func (n *Node) ownTokens(s *ledgerShard) heldTokens {
	var own heldTokens
	for _, name := range n.book.BudgetsInShard(s.index) {
		a := n.book.Lookup(name)
		own.unspent += a.Available()
		own.reserved += a.Reserved()
		own.unreported += a.Unreported()
	}
	return own
}

// finishLedgerUpdate ends an update and continues the requests that wait for
// the shard if the grant covers them now. The others ask peers, or another
// update if no operation has asked for their tokens yet.
func (n *Node) finishLedgerUpdate(s *ledgerShard) {
	if s.objectConflicts > 0 {
		s.nextUpdate = n.now + backoff.Below(min(time.Duration(s.objectConflicts)*contentionDelay, contentionDelayMax), n.rng)
	}
	s.inFlight, s.failures, s.conflicts, s.objectConflicts = false, 0, 0, 0
	n.delayAdvance(s)
	notAsked := false
	for _, r := range n.waitingFor(s) {
		switch {
		case n.tryReserve(r):
		case r.askedLedger:
			n.askPeers(r, errkind.BudgetExhausted)
		default:
			notAsked = true
		}
	}
	if notAsked || n.remoteDue(s) {
		n.startLedgerUpdate(s)
	}
}

// advancePause is how long an instance doesn't repeat operations that take tokens in
// advance after an update left some of them out.
const advancePause = 5 * time.Second

// delayAdvance delays operations that take tokens in advance if the update that has
// ended left some out: the object has no room for them.
func (n *Node) delayAdvance(s *ledgerShard) {
	contained := s.advances
	s.advances = false
	if contained && slices.ContainsFunc(n.book.BudgetsInShard(s.index), func(name string) bool { return n.book.Lookup(name).Advancing() }) {
		s.nextAdvance = n.now + advancePause
	}
}

// waitingFor returns the requests that wait for tokens of a shard's budgets.
func (n *Node) waitingFor(s *ledgerShard) []*request {
	var out []*request
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		if n.ledgers.shardOf(r.Budget) == s {
			out = append(out, r)
		}
	}
	return out
}

// failLedgerUpdate ends an update that failed, as when the platform did not
// answer; its operations stay open and are repeated after a backoff.
func (n *Node) failLedgerUpdate(s *ledgerShard) {
	n.logChange("ledger update failed", "shard", s.name, "took", n.now-s.startedAt, "conflicts", s.conflicts+s.objectConflicts, "bytes", s.bytes, "failures", s.failures+1)
	s.inFlight, s.known, s.conflicts, s.objectConflicts, s.advances = false, false, 0, 0, false
	n.refuseRemote(s)
	s.retryAt = n.now + n.backoff(s.failures)
	s.failures++
	n.fallBackToPeers(s, errkind.BudgetUnavailable)
}

// fallBackToPeers makes the requests that wait for a shard ask peers for
// tokens. They are refused with kind if peers can't help.
func (n *Node) fallBackToPeers(s *ledgerShard, kind errkind.Kind) {
	for _, r := range n.waitingFor(s) {
		n.askPeers(r, kind)
	}
}

// returnGrants returns all grants to the ledger and reports whether that is
// complete.
func (n *Node) returnGrants() bool {
	done := true
	for _, s := range n.ledgers.shards {
		n.startLedgerUpdate(s)
		done = done && !s.inFlight && !n.reportDue(s)
	}
	for _, name := range n.book.Names() {
		done = done && n.book.Account(name).Returned()
	}
	return done
}
