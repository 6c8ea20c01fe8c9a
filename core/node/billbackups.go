package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
)

// Until a bill line is in the bill log, it is held by its owner, the instance
// that served the request, and by at least one backup, another instance. The
// first instance in a shard's writer order, which is the same at all instances
// that see the same fleet, writes the shard's lines; others write only if it
// does not. If the owner's incarnation ends, a backup becomes an owner. Since
// the log accepts a line only once, any number of instances may try to write
// it. A line is lost only if all its holders die before one of them has written
// it or found a new backup.

const (
	// maxHeldBills bounds the number of lines held in memory until they are
	// written.
	maxHeldBills = 50_000
	reviewPeriod = 50 * time.Millisecond
	// holdRetryBase and holdRetryMax bound the backoff before a peer is asked
	// again to hold a line.
	holdRetryBase = 100 * time.Millisecond
	holdRetryMax  = 2 * time.Second
	// heldReminderPeriod is the period at which a backup reminds an owner that
	// it holds a line, in case the owner's message that the line is written was
	// lost.
	heldReminderPeriod = 2 * time.Second
	// writerDelay, multiplied by an instance's place in a shard's writer order
	// and capped at writerDelayMax, is how long it waits before it writes a
	// line itself.
	writerDelay    = 2 * time.Second
	writerDelayMax = 30 * time.Second
)

// peerIncarnation identifies one incarnation of a peer: its process from start
// to end.
type peerIncarnation struct{ name, incarnation string }

// heldBill is a line that is not known to be in the log.
type heldBill struct {
	line  bill.Line
	since time.Duration
	// owned is set if this instance is an owner of the line: it served the
	// request, the incarnation that did has ended, or this instance is
	// stopping.
	owned bool
	// owners asked this instance to hold the line; backups hold it for this
	// one.
	owners  []peerIncarnation
	backups []peerIncarnation
	// askCount counts the times that a peer was asked to hold the line.
	askCount int
	// nextAsk is when a peer is asked next to hold the line, nextReminder when
	// its owners are reminded next that this instance holds it.
	nextAsk      time.Duration
	nextReminder time.Duration
	// queued is set once the line waits to be written by this instance.
	queued bool
}

// heldTable holds the held lines by request and in order of arrival.
type heldTable struct {
	byID  map[bill.RequestID]*heldBill
	order []*heldBill
}

func (t *heldTable) full() bool { return len(t.order) >= maxHeldBills }

// add returns the held line of the request and creates it if there is none.
func (t *heldTable) add(line bill.Line, now time.Duration) *heldBill {
	if h := t.byID[line.ID()]; h != nil {
		return h
	}
	h := &heldBill{line: line, since: now, nextReminder: now + heldReminderPeriod}
	if t.byID == nil {
		t.byID = map[bill.RequestID]*heldBill{}
	}
	t.byID[line.ID()] = h
	t.order = append(t.order, h)
	return h
}

func (t *heldTable) remove(h *heldBill) {
	delete(t.byID, h.line.ID())
	if i := slices.Index(t.order, h); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// pendingBills counts the lines that a graceful stop must still wait for. While
// the platform can't be reached, it is enough that a peer holds a line.
func (n *Node) pendingBills() int {
	if n.platformReachable() {
		return len(n.bills.held.order)
	}
	count := 0
	for _, h := range n.bills.held.order {
		if !n.replicated(h) {
			count++
		}
	}
	return count
}

// eligibleBackups lists the peers that may hold lines: live ones, thus
// not stopping, that have sent this instance a message themselves.
func (n *Node) eligibleBackups() []*peer {
	var out []*peer
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; p.heardDirectly && n.live(p) {
			out = append(out, p)
		}
	}
	return out
}

// alive reports whether an incarnation of a peer is still running, as far as is
// known.
func (n *Node) alive(id peerIncarnation) bool {
	p := n.members.peers[id.name]
	return p != nil && p.incarnation == id.incarnation && n.reachable(p)
}

// replicated reports whether a second instance that is not stopping holds the
// line.
func (n *Node) replicated(h *heldBill) bool {
	holds := func(id peerIncarnation) bool { return n.alive(id) && n.live(n.members.peers[id.name]) }
	if slices.ContainsFunc(h.backups, holds) {
		return true
	}
	return !n.stopping && slices.ContainsFunc(h.owners, holds)
}

// writerRank is an instance's rendezvous hash for a shard. A shard's writer
// order is by descending rank.
func writerRank(instance string, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\x00%s", shard, instance))
}

// writerPlace is this instance's place in a shard's writer order. The instance
// at place 0 writes.
func (n *Node) writerPlace(shard int, peers []*peer) int {
	self, place := writerRank(n.settings.Name, shard), 0
	for _, p := range peers {
		if writerRank(p.Name, shard) > self {
			place++
		}
	}
	return place
}

// backupCandidates lists the peers to ask to hold a line, in order: the shard's
// writer, then those in other data centres, then the rest.
func (n *Node) backupCandidates(shard int) []*peer {
	list := n.eligibleBackups()
	slices.SortStableFunc(list, func(a, b *peer) int {
		return cmp.Compare(writerRank(b.Name, shard), writerRank(a.Name, shard))
	})
	rest := list
	if n.writerPlace(shard, list) > 0 {
		rest = list[1:]
	}
	slices.SortStableFunc(rest, func(a, b *peer) int {
		return cmp.Compare(n.localityRank(a), n.localityRank(b))
	})
	return list
}

// localityRank is 1 for a peer in this instance's data centre and 0 for others.
func (n *Node) localityRank(p *peer) int {
	if p.DataCentre == n.settings.DataCentre {
		return 1
	}
	return 0
}

// askToHold asks the next candidate to hold a line. The first time, it also
// asks a peer in another data centre if the writer is in this one.
func (n *Node) askToHold(h *heldBill) {
	list := n.backupCandidates(bill.Shard(h.line.ID()))
	if len(list) == 0 {
		return
	}
	first := list[h.askCount%len(list)]
	n.sendHoldRequest(first, h)
	if h.askCount == 0 && len(list) > 1 && n.localityRank(first) == 1 && n.localityRank(list[1]) == 0 {
		n.sendHoldRequest(list[1], h)
	}
	h.nextAsk = n.now + backoff.Exponential(holdRetryBase, holdRetryMax, h.askCount)
	h.askCount++
}

func (n *Node) sendHoldRequest(p *peer, h *heldBill) {
	n.send(p.Name, event.PeerMessage{BillHoldRequest: &event.BillHoldRequest{Lines: []bill.Line{h.line}, Round: n.bills.round}})
}

// reconfirmBackups starts a new acknowledgement round at the start of a
// graceful stop: each line must be written or acknowledged again, since a
// backup that acknowledged it before may be gone by now.
func (n *Node) reconfirmBackups() {
	n.bills.round++
	for _, h := range n.bills.held.order {
		h.backups, h.nextAsk = nil, 0
	}
}

// reviewBills reviews all held lines once per reviewPeriod and sends the
// reminders that are due.
func (n *Node) reviewBills() {
	if n.now < n.bills.nextReview {
		return
	}
	n.bills.nextReview = n.now + reviewPeriod
	reminders := map[peerIncarnation][]bill.RequestID{}
	for _, h := range n.bills.held.order {
		n.reviewLine(h)
		if n.now < h.nextReminder {
			continue
		}
		h.nextReminder = n.now + heldReminderPeriod
		for _, owner := range h.owners {
			reminders[owner] = append(reminders[owner], h.line.ID())
		}
	}
	for _, name := range n.members.peerNames() {
		owner := peerIncarnation{name, n.members.peers[name].incarnation}
		if ids := reminders[owner]; len(ids) > 0 {
			n.send(name, event.PeerMessage{BillHoldAck: &event.BillHoldAck{Incarnation: owner.incarnation, Requests: ids}})
		}
	}
}

// reviewLine takes ownership of a line whose owners died, asks a peer to hold
// an owned line that has no backup and queues the line for the log once this
// instance should write it.
func (n *Node) reviewLine(h *heldBill) {
	h.backups = slices.DeleteFunc(h.backups, func(id peerIncarnation) bool { return !n.alive(id) })
	h.owners = slices.DeleteFunc(h.owners, func(id peerIncarnation) bool { return !n.alive(id) })
	if len(h.owners) == 0 || n.stopping {
		h.owned = true
	}
	unreplicated := !n.replicated(h)
	if h.owned && unreplicated && n.now >= h.nextAsk {
		n.askToHold(h)
	}
	if !h.queued && (n.stopping || n.writeDue(h, unreplicated)) {
		h.queued = true
		n.bills.logs[bill.Shard(h.line.ID())].log.Add(h.line)
	}
}

// writeDue reports whether this instance should write the line by now: the
// first instance in the writer order immediately, other owners after
// holdRetryBase if no second instance holds the line, and otherwise after
// writerDelay for each instance before them in the order.
func (n *Node) writeDue(h *heldBill, unreplicated bool) bool {
	peers := n.eligibleBackups()
	place := n.writerPlace(bill.Shard(h.line.ID()), peers)
	switch {
	case place == 0:
		return true
	case !h.owned:
		return false
	case unreplicated:
		return n.now-h.since >= holdRetryBase
	}
	return n.now-h.since >= min(time.Duration(place)*writerDelay, writerDelayMax)
}

// billHoldRequested handles a peer's request to hold lines. It acknowledges
// those that it holds and reports those that are written.
func (n *Node) billHoldRequested(from *peer, m *event.BillHoldRequest) {
	owner := peerIncarnation{from.Name, from.incarnation}
	var held, written []bill.RequestID
	for _, line := range m.Lines {
		id := line.ID()
		switch {
		case n.bills.logs[bill.Shard(id)].log.Written(id):
			written = append(written, id)
		case n.bills.held.byID[id] != nil || !n.bills.held.full():
			h := n.bills.held.add(line, n.now)
			if !slices.Contains(h.owners, owner) {
				h.owners = append(h.owners, owner)
			}
			held = append(held, id)
		}
	}
	if len(held) > 0 {
		n.send(from.Name, event.PeerMessage{BillHoldAck: &event.BillHoldAck{Incarnation: owner.incarnation, Requests: held, Round: m.Round}})
	}
	n.sendWritten(from.Name, written)
}

// billHoldAckReceived handles a backup's acknowledgement. A line that this
// incarnation no longer holds has been written.
func (n *Node) billHoldAckReceived(from *peer, m *event.BillHoldAck) {
	if m.Incarnation != n.settings.Incarnation {
		n.sendStartupState(from) // tells the backup that the incarnation that asked has ended
		return
	}
	backup := peerIncarnation{from.Name, from.incarnation}
	var written []bill.RequestID
	for _, id := range m.Requests {
		h := n.bills.held.byID[id]
		if h == nil {
			written = append(written, id)
			continue
		}
		if m.Round != n.bills.round {
			continue // acknowledged before the graceful stop began
		}
		if !slices.Contains(h.backups, backup) {
			h.backups = append(h.backups, backup)
		}
		n.releaseBilled(id)
	}
	n.sendWritten(from.Name, written)
}

// sendStartupState sends a peer that is starting the quarantine records and the
// ends of the bill logs, so that it need not wait for the platform.
func (n *Node) sendStartupState(p *peer) {
	if n.quarantine.loaded {
		n.sendQuarantineRecords(sortedKeys(n.quarantine.byBody), n.quarantine.parts.Records(n.now), []string{p.Name})
	}
	var heads []uint64
	for _, l := range n.bills.logs {
		head, ok := l.log.Head()
		if !ok {
			return
		}
		heads = append(heads, head)
	}
	n.send(p.Name, event.PeerMessage{BillHeads: &event.BillHeads{Heads: heads}})
}

func (n *Node) billHeadsReceived(m *event.BillHeads) {
	if len(m.Heads) != len(n.bills.logs) {
		return
	}
	for i, l := range n.bills.logs {
		l.log.ObserveHead(m.Heads[i])
	}
}

// billLogEndsKnown reports whether the ends of all bill logs are known, so that
// a new line can name the first segment that can hold it.
func (n *Node) billLogEndsKnown() bool {
	return n.settings.Disabled.Bills || !slices.ContainsFunc(n.bills.logs, func(l *billLog) bool {
		_, ok := l.log.Head()
		return !ok
	})
}

func (n *Node) sendWritten(to string, ids []bill.RequestID) {
	if len(ids) > 0 {
		n.send(to, event.PeerMessage{BillWritten: &event.BillWritten{Requests: ids}})
	}
}

// releaseBilled releases the answer of a request whose bill line is durable.
func (n *Node) releaseBilled(id bill.RequestID) {
	if r := n.requests.byID[id]; r != nil && r.phase == phaseBilling {
		n.releaseAnswer(r)
	}
}

// billsWritten removes held lines that are in the log, releases their answers
// and tells their other holders, except the peer from, which reported them.
func (n *Node) billsWritten(ids []bill.RequestID, from string) {
	notify := map[string][]bill.RequestID{}
	for _, id := range ids {
		n.releaseBilled(id)
		h := n.bills.held.byID[id]
		if h == nil {
			continue
		}
		n.bills.held.remove(h)
		n.bills.recent.add(id, h.line.BodyHash)
		n.recordBilled(id)
		n.bills.logs[bill.Shard(id)].log.RemovePending(id)
		for _, holder := range append(slices.Clone(h.owners), h.backups...) {
			if holder.name != from {
				notify[holder.name] = append(notify[holder.name], id)
			}
		}
	}
	for _, name := range sortedKeys(notify) {
		n.sendWritten(name, slices.CompactFunc(notify[name], func(a, b bill.RequestID) bool { return a == b }))
	}
}
