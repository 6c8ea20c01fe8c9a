package node

import (
	"plantainfield.example/core/event"
	"plantainfield.example/core/exposure"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
)

// exposureState is what this instance reports to its witnesses and what it witnesses
// of peers.
type exposureState struct {
	own      exposure.Holder
	peers    exposure.Witness
	releases exposure.Releases
}

// limitExposure makes reservations and transfers obey the marks that witnesses know.
func (n *Node) limitExposure() {
	n.exposure.peers.Incarnation = n.settings.Incarnation
	if n.settings.SoleProcess {
		n.book.LimitExposure(func(budget string, exposed int64) int64 {
			return n.exposure.own.Headroom(n.now, budget, exposed)
		})
	}
}

// tickExposure sends the reports that are due, continues requests that waited for
// their marks, and tells the writers of the ledger what ended incarnations can have
// exposed.
func (n *Node) tickExposure() {
	if !n.settings.SoleProcess || n.configs.index == nil {
		return
	}
	blocked := false
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		blocked = n.blocked(r) || blocked
	}
	n.reportExposure(blocked)
	n.serveUnblocked()
	for _, e := range n.exposure.releases.Due(n.now) {
		n.sendEnded(e)
	}
}

// blocked reports whether the grant covers a request that waits, but the marks that
// witnesses know don't.
func (n *Node) blocked(r *request) bool {
	a := n.book.Lookup(r.Budget)
	return a != nil && a.Blocked(r.WorstCaseTokens)
}

// serveUnblocked continues waiting requests that the marks cover now.
func (n *Node) serveUnblocked() {
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		if n.book.Account(r.Budget).Available() >= r.WorstCaseTokens {
			n.tryReserve(r)
		}
	}
}

// reportExposure sends the reports that are due. blocked is set if marks are to be
// raised at once.
func (n *Node) reportExposure(blocked bool) {
	if !n.settings.SoleProcess {
		return
	}
	witnesses := n.members.ring(n.settings.Name).MonitorsOf(n.settings.Name, n.unfitAsMonitor)
	reports := n.exposure.own.Reports(n.now, witnesses, blocked, func() map[string]exposure.Use { return n.book.Uses(n.now) })
	for _, name := range sortedKeys(reports) {
		n.sendOften(name, event.PeerMessage{Exposure: &exposure.Message{Report: reports[name]}})
	}
}

// sendOften sends a message that is sent often and may be lost.
func (n *Node) sendOften(to string, m event.PeerMessage) {
	if p := n.members.peers[to]; p != nil && p.DatagramAddress != "" {
		n.emit(event.Action{SendPeer: &event.SendPeer{To: to, Address: p.DatagramAddress, Message: m, Datagram: true}})
		return
	}
	n.send(to, m)
}

// exposureReceived handles a report of a peer, a witness's acknowledgement or what a
// witness knows of an incarnation that has ended.
func (n *Node) exposureReceived(p *peer, m *exposure.Message) {
	switch {
	case !n.settings.SoleProcess:
	case m.Report != nil:
		ack, ended := n.exposure.peers.Received(n.uptime, p.Name, p.incarnation, *m.Report)
		if ack != nil {
			n.sendOften(p.Name, event.PeerMessage{Exposure: &exposure.Message{Acknowledgement: ack}})
		}
		if ended != nil && n.exposure.releases.Add(n.now, *ended, true) {
			n.logChange("incarnation ended", "instance", ended.Instance, "incarnation", ended.Incarnation, "budgets", len(ended.Exposed), "successor", p.incarnation)
		}
	case m.Acknowledgement != nil && m.Acknowledgement.To == n.settings.Incarnation:
		n.exposure.own.Acknowledged(n.now, p.Name, *m.Acknowledgement, n.book.Exposed)
		n.serveUnblocked()
	case m.Ended != nil:
		n.exposure.releases.Add(n.now, *m.Ended, false)
	}
}

// sendEnded tells the writers of the ledger what an incarnation can have exposed.
func (n *Node) sendEnded(e exposure.Ended) {
	told := map[string]bool{n.settings.Name: true}
	for _, s := range n.ledgers.shards {
		if writer := n.ledgerWriter(s); !told[writer] {
			told[writer] = true
			n.send(writer, event.PeerMessage{Exposure: &exposure.Message{Ended: &e}})
		}
	}
}

// releasesDue reports whether grants of ended incarnations can be reduced in a shard.
// While grants are repeated after a return of the store, nothing is released.
func (n *Node) releasesDue(s *ledger.Shard) bool {
	return !ledgerera.Pending(s) && n.exposure.releases.Applicable(s)
}

// releaseUnexposed reduces the grants of ended incarnations in the next version of a
// shard, and returns the tokens that become available by holder.
func (n *Node) releaseUnexposed(next *ledger.Shard) map[ledger.Holder]int64 {
	if ledgerera.Pending(next) {
		return nil
	}
	return n.exposure.releases.Apply(next)
}

// releasedSubject is the subject of the log line about released tokens.
const releasedSubject = "unspent tokens of an ended holder released"

func (n *Node) logReleased(released map[ledger.Holder]int64) {
	for _, h := range sortedKeys(released) {
		n.logChange(releasedSubject, "holder", string(h), "tokens", released[h])
	}
}
