package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
)

// A bill line is held by its owner, the instance that served the request, and
// by at least one witness until it stands in the bill log. The first writer of
// a shard, the same for all instances that see the same fleet, writes the
// shard's lines; others write only if it does not. If the owner's life ends, a
// witness becomes an owner. Since the log takes a line once, any number of
// instances may try to write it. A line is lost only if all its holders die
// before one of them has written it or found a new witness.

const (
	// maxHeldBills bounds the memory for lines that wait to be written.
	maxHeldBills = 50_000
	reviewPeriod = 50 * time.Millisecond
	// holdRetryBase and holdRetryMax bound the delay before a peer is asked
	// again to hold a line.
	holdRetryBase = 100 * time.Millisecond
	holdRetryMax  = 2 * time.Second
	// heldRepeat is the period at which a witness tells an owner again that it
	// holds a line, in case the owner's message that it is written was lost.
	heldRepeat = 2 * time.Second
	// writerDelay is what each next instance in a shard's order waits before
	// it writes a line itself.
	writerDelay    = 2 * time.Second
	writerDelayMax = 30 * time.Second
)

// peerIncarnation is one life of a peer.
type peerIncarnation struct{ name, incarnation string }

// heldBill is a line that is not known to stand in the log.
type heldBill struct {
	line  bill.Line
	since time.Duration
	// own is set where this instance must see to the line itself: it served
	// the request, or the life that did has ended.
	own bool
	// owners asked this instance to hold the line; holders hold it for this one.
	owners  []peerIncarnation
	holders []peerIncarnation
	asked   int
	// nextAsk and nextTell are when the next messages about the line are due.
	nextAsk  time.Duration
	nextTell time.Duration
	queued   bool
}

// heldTable finds held lines by request, in order of arrival.
type heldTable struct {
	byID  map[bill.RequestID]*heldBill
	order []*heldBill
}

func (t *heldTable) full() bool { return len(t.order) >= maxHeldBills }

// add returns the held line of the request and makes it if there is none.
func (t *heldTable) add(line bill.Line, now time.Duration) *heldBill {
	if h := t.byID[line.ID()]; h != nil {
		return h
	}
	h := &heldBill{line: line, since: now, nextTell: now + heldRepeat}
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

// pendingBills counts the lines that a graceful stop must still see to. While
// the platform can't be reached it is enough that a peer holds a line.
func (n *Node) pendingBills() int {
	if n.platformReachable() {
		return len(n.bills.held.order)
	}
	count := 0
	for _, h := range n.bills.held.order {
		if !n.safe(h) {
			count++
		}
	}
	return count
}

// witnesses lists the peers that may hold lines: heard lately, not stopping.
func (n *Node) witnesses() []*peer {
	var out []*peer
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; p.heardDirectly && n.live(p) {
			out = append(out, p)
		}
	}
	return out
}

// alive tells whether a life of a peer still runs, as far as is known.
func (n *Node) alive(l peerIncarnation) bool {
	p := n.members.peers[l.name]
	return p != nil && p.incarnation == l.incarnation && n.reachable(p)
}

// safe tells whether a second instance that is not stopping holds the line.
func (n *Node) safe(h *heldBill) bool {
	keeps := func(l peerIncarnation) bool { return n.alive(l) && n.live(n.members.peers[l.name]) }
	if slices.ContainsFunc(h.holders, keeps) {
		return true
	}
	return !n.stopping && slices.ContainsFunc(h.owners, keeps)
}

// writerRank orders the instances for a name by rendezvous hash.
func writerRank(instance string, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d\x00%s", shard, instance))
}

// place is this instance's place in the order of a shard's writers; 0 writes.
func (n *Node) place(shard int, witnesses []*peer) int {
	self, place := writerRank(n.settings.Name, shard), 0
	for _, p := range witnesses {
		if writerRank(p.Name, shard) > self {
			place++
		}
	}
	return place
}

// candidates orders the peers to ask for holding a line: the shard's writer,
// then those in other data centres, then the rest.
func (n *Node) candidates(shard int) []*peer {
	list := n.witnesses()
	slices.SortStableFunc(list, func(a, b *peer) int {
		return cmp.Compare(writerRank(b.Name, shard), writerRank(a.Name, shard))
	})
	rest := list
	if n.place(shard, list) > 0 {
		rest = list[1:]
	}
	slices.SortStableFunc(rest, func(a, b *peer) int {
		return cmp.Compare(n.nearness(a), n.nearness(b))
	})
	return list
}

// nearness is 1 for a peer in this instance's data centre and 0 for others.
func (n *Node) nearness(p *peer) int {
	if p.DataCentre == n.settings.DataCentre {
		return 1
	}
	return 0
}

// askToHold asks the next candidate to hold a line. The first time it asks a
// peer in another data centre too if the writer is in this one.
func (n *Node) askToHold(h *heldBill) {
	list := n.candidates(bill.Shard(h.line.ID()))
	if len(list) == 0 {
		return
	}
	first := list[h.asked%len(list)]
	n.sendHold(first, h)
	if h.asked == 0 && len(list) > 1 && n.nearness(first) == 1 && n.nearness(list[1]) == 0 {
		n.sendHold(list[1], h)
	}
	h.nextAsk = n.now + min(holdRetryBase<<min(h.asked, 10), holdRetryMax)
	h.asked++
}

func (n *Node) sendHold(p *peer, h *heldBill) {
	n.send(p.Name, event.PeerMessage{BillHoldRequest: &event.BillHoldRequest{Lines: []bill.Line{h.line}, Round: n.bills.round}})
}

// reconfirmBackups starts a new round at the start of a graceful stop: each line
// must be written or acknowledged anew, since a holder that was heard before
// may be gone by now.
func (n *Node) reconfirmBackups() {
	n.bills.round++
	for _, h := range n.bills.held.order {
		h.holders, h.nextAsk = nil, 0
	}
}

// reviewBills looks all held lines over from time to time.
func (n *Node) reviewBills() {
	if n.now < n.bills.nextReview {
		return
	}
	n.bills.nextReview = n.now + reviewPeriod
	tell := map[peerIncarnation][]bill.RequestID{}
	for _, h := range n.bills.held.order {
		n.reviewLine(h)
		if n.now < h.nextTell {
			continue
		}
		h.nextTell = n.now + heldRepeat
		for _, l := range h.owners {
			tell[l] = append(tell[l], h.line.ID())
		}
	}
	for _, name := range n.members.peerNames() {
		life := peerIncarnation{name, n.members.peers[name].incarnation}
		if ids := tell[life]; len(ids) > 0 {
			n.send(name, event.PeerMessage{BillHoldAck: &event.BillHoldAck{Incarnation: life.incarnation, Requests: ids}})
		}
	}
}

// reviewLine adopts a line whose owners died, finds a witness for an own line
// and queues the line for the log once this instance should write it.
func (n *Node) reviewLine(h *heldBill) {
	h.holders = slices.DeleteFunc(h.holders, func(l peerIncarnation) bool { return !n.alive(l) })
	h.owners = slices.DeleteFunc(h.owners, func(l peerIncarnation) bool { return !n.alive(l) })
	if len(h.owners) == 0 || n.stopping {
		h.own = true
	}
	unsafe := !n.safe(h)
	if h.own && unsafe && n.now >= h.nextAsk {
		n.askToHold(h)
	}
	if !h.queued && (n.stopping || n.writeDue(h, unsafe)) {
		h.queued = true
		n.bills.logs[bill.Shard(h.line.ID())].log.Add(h.line)
	}
}

// writeDue tells whether this instance should write the line by now.
func (n *Node) writeDue(h *heldBill, unsafe bool) bool {
	witnesses := n.witnesses()
	place := n.place(bill.Shard(h.line.ID()), witnesses)
	switch {
	case place == 0:
		return true
	case !h.own:
		return false
	case unsafe:
		return n.now-h.since >= holdRetryBase
	}
	return n.now-h.since >= min(time.Duration(place)*writerDelay, writerDelayMax)
}

// billHoldReceived takes lines to hold for a peer.
func (n *Node) billHoldReceived(from *peer, m *event.BillHoldRequest) {
	life := peerIncarnation{from.Name, from.incarnation}
	var held, written []bill.RequestID
	for _, line := range m.Lines {
		id := line.ID()
		switch {
		case n.bills.logs[bill.Shard(id)].log.Written(id):
			written = append(written, id)
		case n.bills.held.byID[id] != nil || !n.bills.held.full():
			h := n.bills.held.add(line, n.now)
			if !slices.Contains(h.owners, life) {
				h.owners = append(h.owners, life)
			}
			held = append(held, id)
		}
	}
	if len(held) > 0 {
		n.send(from.Name, event.PeerMessage{BillHoldAck: &event.BillHoldAck{Incarnation: life.incarnation, Requests: held, Round: m.Round}})
	}
	n.tellWritten(from.Name, written)
}

// billHeldReceived takes a witness's acknowledgement. A line that this life does not
// hold any more was written.
func (n *Node) billHeldReceived(from *peer, m *event.BillHoldAck) {
	if m.Incarnation != n.settings.Incarnation {
		n.sendStartupState(from) // tells the witness that the life which asked has ended
		return
	}
	life := peerIncarnation{from.Name, from.incarnation}
	var written []bill.RequestID
	for _, id := range m.Requests {
		h := n.bills.held.byID[id]
		if h == nil {
			written = append(written, id)
			continue
		}
		if m.Round != n.bills.round {
			continue // from before the graceful stop began
		}
		if !slices.Contains(h.holders, life) {
			h.holders = append(h.holders, life)
		}
		n.releaseBilled(id)
	}
	n.tellWritten(from.Name, written)
}

// sendStartupState tells a peer that is starting what it can't wait for the platform to
// say.
func (n *Node) sendStartupState(p *peer) {
	if n.quarantine.loaded {
		n.tellSuspects(sortedKeys(n.quarantine.byBody), []string{p.Name})
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

// billLogEndsKnown tells whether the ends of all bill logs are known, so that a new
// line can say from where on it may stand.
func (n *Node) billLogEndsKnown() bool {
	return n.settings.Disabled.Bills || !slices.ContainsFunc(n.bills.logs, func(l *billLog) bool {
		_, ok := l.log.Head()
		return !ok
	})
}

func (n *Node) tellWritten(to string, ids []bill.RequestID) {
	if len(ids) > 0 {
		n.send(to, event.PeerMessage{BillWritten: &event.BillWritten{Requests: ids}})
	}
}

// releaseBilled lets the answer of a request go whose bill is safe.
func (n *Node) releaseBilled(id bill.RequestID) {
	if r := n.requests.byID[id]; r != nil && r.phase == phaseBilling {
		n.releaseAnswer(r)
	}
}

// billsWritten forgets lines that stand in the log, releases their answers and
// tells the other holders but the one that said so.
func (n *Node) billsWritten(ids []bill.RequestID, from string) {
	tell := map[string][]bill.RequestID{}
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
		for _, l := range append(slices.Clone(h.owners), h.holders...) {
			if l.name != from {
				tell[l.name] = append(tell[l.name], id)
			}
		}
	}
	for _, name := range sortedKeys(tell) {
		n.tellWritten(name, slices.CompactFunc(tell[name], func(a, b bill.RequestID) bool { return a == b }))
	}
}
