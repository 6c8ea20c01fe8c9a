package node

import (
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
	"plantainfield.example/core/ledgersize"
)

// maxReturnDelay bounds the random delay after which an instance uses the ledger
// again when the store has come back from a copy.
const maxReturnDelay = 200 * time.Millisecond

// holders implements ledgerera.Fleet.
type holders struct{ *Node }

// Holders returns the incarnations of the other instances that seem to run.
func (f holders) Holders() []ledger.Holder {
	var all []ledger.Holder
	for _, name := range f.members.peerNames() {
		if p := f.members.peers[name]; f.live(p) {
			all = append(all, p.holder())
		}
	}
	return all
}

// Replaced reports whether a later incarnation of a holder's instance is known, or
// the instance has been missing since the store came back.
func (f holders) Replaced(h ledger.Holder) bool {
	wait, gone := f.presumedGone(h)
	if wait == replacedAfter {
		return gone
	}
	name, _ := splitHolder(h)
	return f.members.peers[name] == nil && f.now-f.ledgers.returnedAt >= missingAfter
}

// eraSeen handles the era of an answer of the store, 0 for none. After a return of
// the store, views of the ledger hold no more, and operations without a result may
// be lost.
func (n *Node) eraSeen(era uint64) {
	before := n.eras.Era()
	if !n.eras.Observe(era) {
		return
	}
	n.logChange("store came back from a copy", "era_before", before, "era", era, "own_calls_open", len(n.openCalls))
	n.ledgers.returnedAt = n.now
	for _, s := range n.ledgers.shards {
		var seen *ledger.Shard
		if !s.summary && s.version != "" {
			seen = s.shard
		}
		n.eras.Returned(s.index, seen, s.version, holders{n})
		n.refuseRemote(s)
		s.known, s.summary, s.settle = false, false, true
		s.retryAt, s.nextUpdate, s.nextBackgroundUpdate = n.now+backoff.Below(maxReturnDelay, n.rng), 0, 0
		n.book.MarkDirty(s.index)
	}
	n.quarantine.stored.returned()
}

// reportDue reports whether this instance must repeat its grants in a shard.
func (n *Node) reportDue(s *ledgerShard) bool {
	if n.eras.Unseen(s.index) {
		return n.book.KnownOutside(s.index)
	}
	if !s.known && !s.summary || n.eras.Restored(s.shard) && n.returnsAll(s) {
		return false
	}
	return n.eras.ReportDue(s.shard, n.holder)
}

// restoreOperations returns the operations that repeat this instance's grants.
func (n *Node) restoreOperations(s *ledgerShard) map[string]*ledger.Operation {
	ops := map[string]*ledger.Operation{ledgerera.StateBudget: n.eras.Registration(n.holder)}
	for _, name := range n.book.BudgetsInShard(s.index) {
		if op := n.book.Lookup(name).PrepareRestore(n.holder); op != nil {
			ops[name] = op
		}
	}
	own := n.ownTokens(s)
	n.logChange("grants repeated", "shard", s.name, "era", n.eras.Era(), "budgets", len(ops)-1,
		"own_unspent", own.unspent, "own_reserved", own.reserved, "own_unreported", own.unreported)
	return ops
}

// registrationPeriod is the minimum time between two registrations of an instance
// that has not been seen to be registered.
const registrationPeriod = 2 * time.Second

// needsRegistration reports whether this instance is not known to be registered in a
// shard.
func (n *Node) needsRegistration(s *ledgerShard) bool {
	seen := s.known || s.summary
	return n.eras.Era() > 0 && !n.stopping && (!seen || n.eras.RegistrationDue(s.shard, n.holder))
}

// registrationDue reports whether an update is to be started to register this
// instance in a shard, and schedules the next one.
func (n *Node) registrationDue(s *ledgerShard) bool {
	if n.now < s.nextRegistration || !n.needsRegistration(s) {
		return false
	}
	s.nextRegistration = n.now + registrationPeriod
	return true
}

// addRegistration adds the registration of this instance to its operations, or its
// end to the last ones of an instance that stops.
func (n *Node) addRegistration(s *ledgerShard, ops map[string]*ledger.Operation) {
	switch {
	case n.needsRegistration(s):
		ops[ledgerera.StateBudget] = n.eras.Registration(n.holder)
	case n.eras.Era() > 0 && len(ops) > 0 && n.eras.Restored(s.shard) && n.returnsAll(s):
		ops[ledgerera.StateBudget] = n.eras.Registration(n.holder)
		ops[ledgerera.StateBudget].Final = true
	}
}

// returnsAll reports whether the operations that are open in a shard leave this
// instance, which stops, without a grant.
func (n *Node) returnsAll(s *ledgerShard) bool {
	return n.stopping && n.requests.open() == 0 && !slices.ContainsFunc(n.book.BudgetsInShard(s.index), func(name string) bool {
		a := n.book.Lookup(name)
		return !a.Returned() && (a.Open() == nil || !a.Open().Final)
	})
}

// budgetsToSee returns the budgets whose state this instance needs of a shard.
func (n *Node) budgetsToSee(s *ledgerShard) []string {
	names := n.book.BudgetsInShard(s.index)
	if n.eras.Era() > 0 {
		return append([]string{ledgerera.StateBudget}, names...)
	}
	return slices.Clone(names)
}

// beginEra prepares the next version of a shard for the operations of the store's
// newest era.
func (n *Node) beginEra(s *ledgerShard, next *ledger.Shard) {
	began := n.eras.Begin(s.index, next, s.version, func() {
		for i := range n.configs.index.Document.Budgets {
			if name := n.configs.index.Document.Budgets[i].Name; n.ledgers.shardOf(name) == s {
				n.budgetInForce(next, name)
			}
		}
	})
	if began {
		n.logChange("ledger of an earlier era", "shard", s.name, "version", s.version, "era", n.eras.Era(), "withheld", ledgerera.Withheld(next))
	}
}

// finishEra ends the next version of a shard.
func (n *Node) finishEra(s *ledgerShard, next *ledger.Shard) {
	if o := n.eras.Finish(s.index, next, holders{n}); o != nil {
		n.logChange("ledger restored", "shard", s.name, "era", n.eras.Era(), "withheld", o.Withheld, "unaccounted", fmt.Sprint(o.Unaccounted))
	}
}

// applyOperation applies an operation to a budget of the next version of a shard,
// unless it must wait until its holder has repeated its grants, or the object would get
// too large.
func (n *Node) applyOperation(size *ledgersize.Update, next *ledger.Shard, name string, op ledger.Operation) {
	if name == ledgerera.StateBudget {
		ledgerera.Register(next, op)
		return
	}
	op, admitted := ledgerera.Admit(next, op)
	if b := n.budgetInForce(next, name); admitted && size.Admit(b, op) {
		b.Apply(op)
	}
}

// writesForOthers reports whether a shard is to be written although no operation
// is due: to close grants of holders that are gone, or because all grants have been
// repeated.
func (n *Node) writesForOthers(s *ledgerShard) bool {
	return closesAny(n.goneGrants(s.shard)) || n.releasesDue(s.shard) || n.eras.Complete(s.index, s.shard, holders{n})
}
