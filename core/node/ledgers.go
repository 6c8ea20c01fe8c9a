package node

import (
	"fmt"
	"time"

	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// ledgerShard is one ledger object as this instance last saw it, and the
// update of it that is in flight. There is at most one flight per shard.
type ledgerShard struct {
	// index is the shard's number.
	index    int
	name     string
	version  string
	shard    *ledger.Shard
	known    bool
	inFlight bool
	// settle is set when the settle period is over.
	settle   bool
	failures int
	retryAt  time.Duration
	// conflicts counts the updates of one flight that others forestalled, carried
	// those of them whose answer carried the object; resumeAt is when the flight
	// goes on after such a one, or 0.
	conflicts int
	carried   int
	resumeAt  time.Duration
	// seenAt is when the shard was last read or written; nextFlight is when the
	// next update may begin that no request waits for, nextUrgent any other: later
	// after one that met conflicts.
	seenAt     time.Duration
	nextFlight time.Duration
	nextUrgent time.Duration
}

type ledgerState struct {
	shards  []*ledgerShard
	refresh refreshState
}

func newLedgerState(count int) ledgerState {
	s := ledgerState{refresh: refreshState{quiet: map[quietKey]quietSince{}}}
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
	if n.book.SettleDue(n.now, n.refillPeriod()) {
		for _, s := range n.ledgers.shards {
			s.settle = true
		}
	}
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		n.book.Account(r.Budget) // its shard is due
	}
	for _, s := range n.ledgers.shards {
		switch {
		case s.resumeAt > 0 && n.now >= s.resumeAt:
			s.resumeAt, s.carried = 0, min(s.carried, 1)
			n.readLedger(s)
		case s.settle || s.failures > 0 || n.book.Dirty(s.index):
			n.startLedgerUpdate(s)
		}
	}
	n.refreshLedgers()
}

// startLedgerUpdate starts an update of a shard if one is due and none is in flight.
// Requests that no update can help turn to peers.
func (n *Node) startLedgerUpdate(s *ledgerShard) {
	if s.inFlight || n.configs.index == nil {
		return
	}
	if n.now < s.retryAt {
		n.ledgerDenies(s, errkind.BudgetUnavailable)
		return
	}
	if n.now < s.nextUrgent {
		return
	}
	if n.now < s.nextFlight && len(n.waitingFor(s)) == 0 && (!n.stopping || n.requests.open() > 0) {
		return
	}
	n.prefetch(s)
	n.book.ClearDirty(s.index)
	if n.waitsForView(s) {
		s.inFlight = true
		n.readLedger(s)
		return
	}
	ops := n.prepareOperations(s)
	if len(ops) == 0 {
		n.ledgerDenies(s, errkind.BudgetExhausted)
		return
	}
	s.inFlight = true
	s.nextFlight = n.now + n.flightPause()
	if s.known && (n.refillPeriod() == 0 || n.now-s.seenAt < freshLedger) {
		n.updateLedger(s, ops)
	} else {
		n.readLedger(s)
	}
}

// exhaustedAge is the age of the view of a ledger up to which requests are
// refused for want of tokens without reading it again: a fifth of the time
// between two updates by one instance.
const exhaustedAge = 300 * time.Millisecond

// waitsForView tells whether requests wait for tokens and the view of the ledger
// is too old to tell that it has none, where updates are to be rare.
func (n *Node) waitsForView(s *ledgerShard) bool {
	return n.refillPeriod() > 0 && (!s.known || n.now-s.seenAt > exhaustedAge) && len(n.waitingFor(s)) > 0
}

// freshLedger is the age up to which a shard is probably unchanged where
// updates are rare: a read first costs less than a conflict.
const freshLedger = 50 * time.Millisecond

// refillPeriod is the least time between two updates that no request waits for.
func (n *Node) refillPeriod() time.Duration {
	return time.Duration(n.configs.index.Document.Policies.Grants.RefillMillis) * time.Millisecond
}

// stopFlightPause is the least time between two updates of an instance that is
// stopping: it returns what requests leave while it may be killed any moment.
const stopFlightPause = 300 * time.Millisecond

// flightPause is the time from one update to the next that no request waits for.
func (n *Node) flightPause() time.Duration {
	if n.stopping {
		return min(n.refillPeriod(), stopFlightPause)
	}
	return n.refillPeriod()
}

// prefetch opens the accounts of all budgets of a shard under a policy that
// holds tokens before they are asked for.
func (n *Node) prefetch(s *ledgerShard) {
	if n.stopping || n.configs.index.Document.Policies.Grants.Policy != config.GrantSpread {
		return
	}
	for i := range n.configs.index.Document.Budgets {
		name := n.configs.index.Document.Budgets[i].Name
		if n.ledgers.shardOf(name) == s && n.book.Lookup(name) == nil {
			n.book.Account(name)
		}
	}
}

// prepareOperations collects the operations that are due in a shard.
func (n *Node) prepareOperations(s *ledgerShard) map[string]*ledger.Operation {
	n.collectLacks(s)
	ops := map[string]*ledger.Operation{}
	for _, name := range n.book.BudgetsInShard(s.index) {
		var op *ledger.Operation
		if n.stopping && n.requests.open() == 0 {
			op = n.book.Lookup(name).PrepareFinal(n.holder)
		} else {
			op = n.book.Lookup(name).Prepare(n.now, n.holder, n.sizing(s, name), s.settle)
		}
		if op != nil {
			ops[name] = op
		}
	}
	s.settle = false
	return ops
}

// collectLacks records what waiting requests need in accounts that can ask.
func (n *Node) collectLacks(s *ledgerShard) {
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		a := n.book.Account(r.Budget)
		if n.ledgers.shardOf(r.Budget) != s || r.lackAsked || a.Open() != nil {
			continue
		}
		r.lackAsked = true
		a.AddShortfall(r.WorstCaseTokens)
	}
}

func (n *Node) sizing(s *ledgerShard, name string) budget.Sizing {
	sz := budget.Sizing{
		Policy: n.configs.index.Document.Policies.Grants, Instances: n.liveInstances(),
		Waiting: n.lacksTokens(name), Stopping: n.stopping,
	}
	if b := n.configs.index.Budget(name); b != nil {
		sz.Prepaid, sz.LedgerAvailable, sz.Unspent = b.PrepaidTokens, b.PrepaidTokens, b.PrepaidTokens
	}
	b := s.shard.Budgets[name]
	if b == nil {
		return sz
	}
	total := b.Target
	if c := n.configs.index.Budget(name); c != nil && n.configs.index.Generation > b.Generation {
		total = c.PrepaidTokens // the next operation brings it into the ledger
	}
	sz.Prepaid = total
	sz.LedgerAvailable = max(0, total-b.Committed())
	sz.Excess = b.Committed() - total
	sz.Unspent, sz.Outstanding = max(0, total-b.SettledTotal()), b.Outstanding()
	return sz
}

// readLedger reads the shard, settles operations that took effect, and goes on
// with the others.
func (n *Node) readLedger(s *ledgerShard) {
	n.callPlatform(event.OpGet, s.object(), func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			if !n.takeLedger(s, r.Object) {
				n.ledgerFailed(s)
				return
			}
		case event.PlatformNotFound:
			s.version, s.shard, s.known = "", &ledger.Shard{}, true
		default:
			n.ledgerFailed(s)
			return
		}
		n.resolveApplied(s)
		n.continueFlight(s)
	})
}

func (n *Node) takeLedger(s *ledgerShard, o event.Object) bool {
	shard, err := ledger.Decode(o.Value)
	if err != nil {
		return false
	}
	s.version, s.shard, s.known, s.seenAt = o.Version, shard, true, n.now
	return true
}

// resolveApplied takes the shard as read into the accounts and closes open
// operations that it shows as applied.
func (n *Node) resolveApplied(s *ledgerShard) {
	for _, name := range n.book.BudgetsInShard(s.index) {
		b := s.shard.Budgets[name]
		if b == nil {
			b = &ledger.Budget{}
		}
		n.book.Lookup(name).Reconcile(b, n.holder)
	}
	n.book.MarkDirty(s.index)
}

func (n *Node) continueFlight(s *ledgerShard) {
	ops := n.prepareOperations(s)
	if len(ops) == 0 && !(n.looksAfter(s) && len(n.goneGrants(s.shard)) > 0) {
		n.ledgerLanded(s)
		return
	}
	n.updateLedger(s, ops)
}

// updateLedger applies operations to the shard as last seen and writes it
// under the condition that it is unchanged.
func (n *Node) updateLedger(s *ledgerShard, ops map[string]*ledger.Operation) {
	next := s.shard.Clone()
	for _, name := range sortedKeys(ops) {
		b := next.Budget(name)
		if c := n.configs.index.Budget(name); c != nil {
			b.SetTarget(c.PrepaidTokens, n.configs.index.Generation)
		}
		b.Apply(*ops[name])
	}
	n.closeGone(next)
	raw, err := next.Encode()
	if err != nil {
		n.ledgerFailed(s)
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
			s.version, s.shard, s.seenAt = r.Object.Version, next, n.now
			n.noteLedger(s, len(ops))
			n.resolveApplied(s)
			n.ledgerLanded(s)
		case event.PlatformUnavailable:
			n.ledgerFailed(s)
		case event.PlatformConflict:
			n.ledgerConflict(s, r.Object)
		default: // the answer was lost: read back
			s.known = false
			n.readAfterConflict(s)
		}
	})
}

const (
	// conflictBase and conflictMax bound the delays after conflicts that carry no
	// object: from a few round trips to the platform up to a second, so that some
	// hundred instances stay within the calls that it takes.
	conflictBase = 10 * time.Millisecond
	conflictMax  = time.Second
	// carriedAtOnce is how many times a flight goes on at once from the object
	// that a conflict carries. One of the instances that write at the same time
	// succeeds each time, so that all are through after a few.
	carriedAtOnce = 8
	// contendedPause, for each such conflict, up to contendedMax bounds the pause
	// after the flight: the next one then serves more requests. The maximum is
	// shorter than a request may wait for tokens.
	contendedPause = 100 * time.Millisecond
	contendedMax   = 200 * time.Millisecond
)

// ledgerConflict goes on after another instance wrote the shard first.
func (n *Node) ledgerConflict(s *ledgerShard, current event.Object) {
	s.known = false
	if current.Value == nil || !n.takeLedger(s, current) {
		n.readAfterConflict(s)
		return
	}
	s.carried++
	if s.carried > carriedAtOnce {
		n.resumeLater(s, contendedMax)
		return
	}
	n.resolveApplied(s)
	n.continueFlight(s)
}

// readAfterConflict reads the shard again: at once after the first conflict of
// a flight, then after a jittered exponential delay, so that many instances
// that write one shard at the same time don't multiply their calls.
func (n *Node) readAfterConflict(s *ledgerShard) {
	s.conflicts++
	if s.conflicts == 1 {
		n.readLedger(s)
		return
	}
	n.resumeLater(s, min(conflictBase<<min(s.conflicts, 10), conflictMax))
}

// resumeLater goes on with a flight at a random time up to a delay from now.
func (n *Node) resumeLater(s *ledgerShard, most time.Duration) {
	s.resumeAt = n.now + n.upTo(most) + 1
}

// upTo draws a time below a bound.
func (n *Node) upTo(most time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(most)))
}

// noteLedger logs what an update of the ledger left, summed over its budgets.
func (n *Node) noteLedger(s *ledgerShard, operations int) {
	var prepaid, settled, outstanding, own int64
	for _, name := range sortedKeys(s.shard.Budgets) {
		b := s.shard.Budgets[name]
		prepaid += b.Prepaid
		settled += b.SettledTotal()
		outstanding += b.Outstanding()
	}
	for _, name := range n.book.BudgetsInShard(s.index) {
		own += n.book.Lookup(name).Available()
	}
	n.logChange("ledger updated", "version", s.version, "operations", operations, "conflicts", s.conflicts+s.carried, "prepaid", prepaid, "settled", settled, "outstanding", outstanding, "own_unspent", own)
}

// ledgerLanded ends a flight and lets waiting requests try again.
func (n *Node) ledgerLanded(s *ledgerShard) {
	if s.carried > 0 {
		s.nextUrgent = n.now + n.upTo(min(time.Duration(s.carried)*contendedPause, contendedMax))
	}
	s.inFlight, s.failures, s.conflicts, s.carried = false, 0, 0, 0
	unasked := false
	for _, r := range n.waitingFor(s) {
		switch {
		case n.tryReserve(r):
		case r.lackAsked:
			n.askPeers(r, errkind.BudgetExhausted)
		default:
			unasked = true
		}
	}
	if unasked {
		n.startLedgerUpdate(s)
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

// ledgerFailed ends a flight that the platform did not answer; its operations
// stay open and are repeated.
func (n *Node) ledgerFailed(s *ledgerShard) {
	s.inFlight, s.known, s.conflicts, s.carried = false, false, 0, 0
	s.retryAt = n.now + n.backoff(s.failures)
	s.failures++
	n.ledgerDenies(s, errkind.BudgetUnavailable)
}

// ledgerDenies lets the requests that wait for a shard turn to peers. The kind
// is their answer if peers can't help.
func (n *Node) ledgerDenies(s *ledgerShard, kind errkind.Kind) {
	for _, r := range n.waitingFor(s) {
		n.askPeers(r, kind)
	}
}

// returnGrants gives all grants back and tells whether that is done.
func (n *Node) returnGrants() bool {
	done := true
	for _, s := range n.ledgers.shards {
		n.startLedgerUpdate(s)
		done = done && !s.inFlight
	}
	for _, name := range n.book.Names() {
		done = done && n.book.Account(name).Returned()
	}
	return done
}
