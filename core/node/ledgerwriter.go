package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgersize"
)

const (
	// acceptTimeout bounds the wait until a writer accepts a request. It leaves a
	// request of a caller enough of its own wait for another writer. Where writers
	// usually take longer, as seen by an instance that is busy, the bound is
	// usualTimeouts times that, up to maxAcceptTimeout.
	acceptTimeout    = 100 * time.Millisecond
	maxAcceptTimeout = 200 * time.Millisecond
	// maxWritersAsked is how many writers are asked for one update before this
	// instance writes itself. A busy instance, or one with a narrow link, loses
	// the race against a writer that is in time.
	maxWritersAsked = 2
	// writerTimeout bounds the wait for the result of an accepted request. It is
	// longer than a platform call may take. While requests of callers wait, the
	// bound is usualTimeouts times what updates usually take, but at least
	// acceptTimeout: a writer that is cut off from the platform accepts requests,
	// and notices only when its call times out.
	writerTimeout = 1200 * time.Millisecond
	usualTimeouts = 4
	// usualWeight is the weight of one update in the moving average of the time
	// that updates take.
	usualWeight = 0.2
	// writerAvoidTime is how long a peer is not asked to write after it did not
	// answer or could not reach the ledger.
	writerAvoidTime = 2 * time.Second
	// combineDelay is how long the writer waits for further requests if no caller
	// waits for the result.
	combineDelay = 200 * time.Millisecond
)

// delegation is a request to the writer of a shard that is in flight.
type delegation struct {
	event.LedgerRequest
	writer string
	sentAt time.Duration
	// timeout is when the writer must have accepted the request or, once it has,
	// sent the result.
	timeout  time.Duration
	accepted bool
}

// remoteUpdate is a request of a peer that this instance has accepted.
type remoteUpdate struct {
	event.LedgerRequest
	peer   string
	holder ledger.Holder
	// due is when it is written at the latest.
	due time.Duration
}

// combinesUpdates reports whether one instance writes the updates of many.
func (n *Node) combinesUpdates() bool {
	return n.configs.index != nil && n.configs.index.Document.Policies.Grants.CombineUpdates
}

// ledgerWriter returns the name of the instance that writes a shard: the one with
// the largest share of a processor, and among these the first by rendezvous
// hash. Instances may differ in their view of it, and it may fail at any moment:
// every write is conditional, and operations are idempotent.
func (n *Node) ledgerWriter(s *ledgerShard) string {
	if !n.combinesUpdates() || len(s.remote) > 0 {
		return n.settings.Name
	}
	rank := func(in event.Instance) uint64 { return xxhash.Sum64String(s.name + "\x00" + in.Name) }
	best := event.Instance{}
	if !n.stopping {
		best = n.members.self
		best.Name = n.settings.Name
	}
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !n.live(p) || p.PeerAddress == "" || n.now < n.ledgers.avoidedWriters[name] {
			continue
		}
		if best.Name == "" || cmp.Or(cmp.Compare(p.ProcessorMillis, best.ProcessorMillis), cmp.Compare(rank(p.Instance), rank(best))) > 0 {
			best = p.Instance
		}
	}
	if best.Name == "" {
		return n.settings.Name
	}
	return best.Name
}

// delegate asks the writer of a shard to apply this instance's operations, or
// only for the state of its budgets if there are none.
func (n *Node) delegate(s *ledgerShard, writer string, ops map[string]*ledger.Operation) {
	n.ledgers.lastDelegation++
	s.delegation = &delegation{
		LedgerRequest: event.LedgerRequest{
			Shard: s.index, ID: n.ledgers.lastDelegation, Operations: ops,
			Budgets: n.budgetsToSee(s), Urgent: len(n.waitingFor(s)) > 0, Era: n.eras.Era(),
		},
		writer: writer, sentAt: n.now, timeout: n.now + n.acceptWait(),
	}
	s.writersAsked++
	n.sendDelegation(s.delegation)
}

// acceptWait is how long this instance waits until a writer accepts a request.
func (n *Node) acceptWait() time.Duration {
	return min(maxAcceptTimeout, max(acceptTimeout, usualTimeouts*n.ledgers.usualAcceptTime))
}

// observeAccepted counts the time that a writer took to accept a request.
func (n *Node) observeAccepted(d *delegation) {
	if d.accepted {
		return
	}
	d.accepted = true
	n.ledgers.usualAcceptTime += time.Duration(usualWeight * float64(n.now-d.sentAt-n.ledgers.usualAcceptTime))
}

func (n *Node) sendDelegation(d *delegation) {
	m := d.LedgerRequest
	n.send(d.writer, event.PeerMessage{LedgerRequest: &m})
}

// expediteDelegation tells the writer that a request of a caller now waits for
// the result.
func (n *Node) expediteDelegation(s *ledgerShard) {
	if d := s.delegation; d != nil && !d.Urgent && len(n.waitingFor(s)) > 0 {
		d.Urgent, d.timeout = true, n.now+n.acceptWait()
		n.sendDelegation(d)
	}
}

// ledgerReplied continues the update whose request the writer answered. Replies
// to requests of an earlier incarnation are ignored.
func (n *Node) ledgerReplied(p *peer, m *event.LedgerReply) {
	err := ledger.CheckDecoded(m.Budgets)
	if m.Shard < 0 || m.Shard >= len(n.ledgers.shards) || err != nil {
		n.logChange("ledger reply ignored", "peer", p.Name, "shard", m.Shard, "error", fmt.Sprint(err))
		return
	}
	n.eraSeen(m.Era)
	s := n.ledgers.shards[m.Shard]
	d := s.delegation
	if m.To != string(n.holder) {
		return
	}
	if d == nil || d.ID != m.ID || d.writer != p.Name {
		n.lateLedgerReply(s, p, m)
		return
	}
	switch m.Status {
	case event.LedgerAccepted:
		n.observeAccepted(d)
		d.timeout = n.now + n.resultTimeout(d)
	case event.LedgerApplied:
		n.observeUpdateTime(s)
		s.delegation = nil
		n.setSummaries(s, d.Budgets, m.Budgets)
		if m.Era == n.eras.Era() {
			n.eras.Seen(s.index, s.shard)
		}
		n.reconcileBudgets(s, d.Budgets)
		if len(d.Operations) > 0 {
			own := n.ownTokens(s)
			n.logChange("ledger update delegated", "writer", d.writer, "operations", len(d.Operations), "took", n.now-s.startedAt,
				"own_unspent", own.unspent, "own_reserved", own.reserved, "own_unreported", own.unreported)
		}
		n.finishLedgerUpdate(s)
	default:
		n.abandonDelegation(s, "failed")
	}
}

// lateLedgerReply handles a reply to a request that was given up. Operations that
// took effect are not repeated, and the writer is asked again.
func (n *Node) lateLedgerReply(s *ledgerShard, p *peer, m *event.LedgerReply) {
	if d := s.abandoned; d != nil && d.ID == m.ID && d.writer == p.Name && m.Status != event.LedgerFailed {
		n.observeAccepted(d)
		delete(n.ledgers.avoidedWriters, p.Name)
	}
	if m.Status != event.LedgerApplied {
		return
	}
	applied := 0
	for _, name := range sortedKeys(m.Budgets) {
		a, grant := n.book.Lookup(name), m.Budgets[name].Grants[n.holder]
		// A summary that contains the open operation is newer than this instance's view.
		if a == nil || a.Open() == nil || grant == nil || grant.Sequence < a.Open().Sequence {
			continue
		}
		a.Reconcile(m.Budgets[name], n.holder)
		applied++
	}
	if applied == 0 {
		return
	}
	n.logChange("ledger reply came late", "writer", p.Name, "operations", applied, "took", n.now-s.startedAt)
	for _, r := range n.waitingFor(s) {
		n.tryReserve(r)
	}
}

// resultTimeout is how long this instance waits for the result of an accepted
// request.
func (n *Node) resultTimeout(d *delegation) time.Duration {
	if !d.Urgent {
		return writerTimeout
	}
	return min(writerTimeout, max(acceptTimeout, usualTimeouts*n.ledgers.usualTime))
}

// observeUpdateTime counts how long an update took that did not wait for others.
func (n *Node) observeUpdateTime(s *ledgerShard) {
	if d := s.delegation; d != nil && !d.Urgent {
		return
	}
	n.ledgers.usualTime += time.Duration(usualWeight * float64(n.now-s.startedAt-n.ledgers.usualTime))
}

// setSummaries replaces the view of some budgets by the summaries that a writer
// sent.
func (n *Node) setSummaries(s *ledgerShard, names []string, summaries map[string]*ledger.Budget) {
	budgets := make(map[string]*ledger.Budget, len(s.shard.Budgets))
	for name, b := range s.shard.Budgets {
		budgets[name] = b
	}
	for _, name := range names {
		delete(budgets, name)
		if b := summaries[name]; b != nil {
			budgets[name] = b
		}
	}
	s.shard, s.known, s.summary, s.seenAt = &ledger.Shard{Budgets: budgets}, false, true, n.now
}

// abandonDelegation continues the update of a shard without the writer, by
// another one or by a write of this instance: the operations may or may not have
// taken effect, which the ledger tells. Later updates go to another writer.
func (n *Node) abandonDelegation(s *ledgerShard, reason string) {
	d := s.delegation
	n.observeUpdateTime(s)
	s.delegation, s.abandoned = nil, d
	n.ledgers.avoidedWriters[d.writer] = n.now + writerAvoidTime
	n.logChange("ledger writer avoided", "writer", d.writer, "reason", reason, "after", n.now-d.sentAt, "operations", len(d.Operations))
	if writer := n.ledgerWriter(s); writer != n.settings.Name && s.writersAsked < maxWritersAsked {
		n.delegate(s, writer, d.Operations)
		return
	}
	s.startedAt = n.now
	n.readLedger(s)
}

// leaveToWriter sends the operations of an update that met another one to the
// writer, and reports whether there is one besides this instance.
func (n *Node) leaveToWriter(s *ledgerShard) bool {
	writer := n.ledgerWriter(s)
	if writer == n.settings.Name {
		return false
	}
	if ops := n.prepareOperations(s); len(ops) > 0 {
		n.delegate(s, writer, ops)
	} else {
		n.finishLedgerUpdate(s)
	}
	return true
}

// ledgerRequested accepts a peer's operations for the next write, or refuses
// them if this instance can't reach the ledger.
func (n *Node) ledgerRequested(p *peer, m *event.LedgerRequest) {
	u := &remoteUpdate{LedgerRequest: *m, peer: p.Name, holder: p.holder(), due: n.now + combineDelay}
	n.eraSeen(m.Era)
	earlier := m.Era > 0 && m.Era < n.eras.Era() // the sender must repeat its grants first
	if earlier || !n.validRequest(u) || n.configs.index == nil || n.stopping || n.ledgers.shards[m.Shard].failures > 0 {
		n.reply(u, event.LedgerFailed, nil)
		return
	}
	s := n.ledgers.shards[m.Shard]
	u = s.addRemote(u)
	if m.Urgent {
		u.Urgent, u.due = true, n.now
	}
	n.reply(u, event.LedgerAccepted, nil)
	if n.remoteDue(s) {
		n.startLedgerUpdate(s)
	}
}

// addRemote adds a request in place of an earlier one of its peer. If the request
// itself has arrived before, it returns the earlier copy, which a write in flight
// may contain.
func (s *ledgerShard) addRemote(u *remoteUpdate) *remoteUpdate {
	at := slices.IndexFunc(s.remote, func(o *remoteUpdate) bool { return o.peer == u.peer })
	switch {
	case at < 0:
		s.remote = append(s.remote, u)
	case s.remote[at].ID == u.ID && s.remote[at].holder == u.holder:
		return s.remote[at]
	default:
		s.remote[at] = u
	}
	return u
}

// validRequest reports whether a request concerns a known shard and contains only
// operations of its sender.
func (n *Node) validRequest(u *remoteUpdate) bool {
	valid := u.Shard >= 0 && u.Shard < len(n.ledgers.shards)
	for _, op := range u.Operations {
		valid = valid && op != nil && op.Holder == u.holder
	}
	if !valid {
		n.logChange("ledger request refused", "peer", u.peer, "shard", u.Shard, "operations", len(u.Operations))
	}
	return valid
}

// remoteDue reports whether a peer's request is to be written now.
func (n *Node) remoteDue(s *ledgerShard) bool {
	return slices.ContainsFunc(s.remote, func(u *remoteUpdate) bool { return n.stopping || n.now >= u.due })
}

// hasRemoteOperations reports whether peers' requests contain operations.
func (s *ledgerShard) hasRemoteOperations() bool {
	return slices.ContainsFunc(s.remote, func(u *remoteUpdate) bool { return len(u.Operations) > 0 })
}

// applyRemote applies the operations of peers to the next version of a shard.
func (n *Node) applyRemote(size *ledgersize.Update, next *ledger.Shard, remote []*remoteUpdate) {
	for _, u := range remote {
		for _, name := range sortedKeys(u.Operations) {
			b := n.budgetInForce(next, name)
			n.applyOperation(size, next, name, n.limited(name, b, *u.Operations[name], u.Urgent))
		}
	}
}

// limited returns an operation that takes no more in advance than all grants
// together may: the sender chose the amount from an older view.
func (n *Node) limited(name string, b *ledger.Budget, op ledger.Operation, urgent bool) ledger.Operation {
	p := n.configs.index.Document.Policies.Grants
	if p.Policy == config.GrantSpread && !urgent && op.Want > 0 {
		account := n.book.Lookup(name)
		if account == nil {
			account = &budget.Account{}
		}
		spreadable := account.Spreadable(p, b.Target-b.SettledTotal())
		op.Want = min(op.Want, max(0, spreadable-b.Outstanding()))
	}
	return op
}

// answerRemote answers requests of peers whose operations have taken effect in
// the view of the shard.
func (n *Node) answerRemote(s *ledgerShard, answered []*remoteUpdate) {
	for _, u := range answered {
		budgets := map[string]*ledger.Budget{}
		for _, name := range u.Budgets {
			if b := s.shard.Budgets[name]; b != nil {
				budgets[name] = b.Summary(u.holder)
			}
		}
		n.reply(u, event.LedgerApplied, budgets)
	}
	s.remote = slices.DeleteFunc(s.remote, func(u *remoteUpdate) bool { return slices.Contains(answered, u) })
}

// refuseRemote tells peers that their operations could not be written.
func (n *Node) refuseRemote(s *ledgerShard) {
	for _, u := range s.remote {
		n.reply(u, event.LedgerFailed, nil)
	}
	s.remote = nil
}

func (n *Node) reply(u *remoteUpdate, status event.LedgerStatus, budgets map[string]*ledger.Budget) {
	n.send(u.peer, event.PeerMessage{LedgerReply: &event.LedgerReply{Shard: u.Shard, ID: u.ID, To: string(u.holder), Status: status, Budgets: budgets, Era: n.eras.Era()}})
}
