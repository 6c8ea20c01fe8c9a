package node

import (
	"slices"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/reach"
)

// targetAnswered records that a target showed a sign of life.
func (n *Node) targetAnswered(t *target) {
	for _, serves := range t.Serves {
		n.reach.Contact(n.now, serves)
	}
}

// targetLost records that a target did not answer.
func (n *Node) targetLost(t *target) {
	for _, serves := range t.Serves {
		n.reach.Loss(n.now, serves, t.Name, len(n.members.targetsOf(serves)))
	}
}

// tickReach logs changes in which services this instance reaches, and probes
// targets of those that it may not reach.
func (n *Node) tickReach() {
	for _, serves := range n.reach.Update(n.now) {
		n.logChange("reach changed", "serves", serves, "unreached", n.reach.Unreached(serves), "targets", len(n.members.targetsOf(serves)), "peers_that_reach", len(n.peersThatReach(serves)))
	}
	for _, serves := range n.reach.ProbesDue(n.now) {
		var names []string
		for _, t := range n.members.targetsOf(serves) {
			if !t.Leaving {
				names = append(names, t.Name)
			}
		}
		if len(names) > 0 {
			t := n.members.targets[names[n.reach.ChooseProbe(serves, names, n.rng)]]
			n.emit(event.Action{ProbeTarget: &event.ProbeTarget{Target: t.Name, Address: t.Address}})
		}
	}
}

// witnessCount is the number of other targets that are asked whether this instance
// is partitioned.
const witnessCount = 2

// witnesses returns random other targets that this instance has no reason to avoid.
func (n *Node) witnesses(t *target) []event.ProbeTarget {
	names := n.members.targetNames()
	start := n.rng.IntN(len(names))
	var chosen []event.ProbeTarget
	for i := range names {
		o := n.members.targets[names[(start+i)%len(names)]]
		if o == t || !o.usable(n.now) {
			continue
		}
		if chosen = append(chosen, event.ProbeTarget{Target: o.Name, Address: o.Address}); len(chosen) == witnessCount {
			break
		}
	}
	return chosen
}

// targetProbed handles the result of a probe.
func (n *Node) targetProbed(e event.TargetProbed) {
	t := n.members.targets[e.Target]
	switch {
	case t == nil || t.Address != e.Address:
	case e.Reached:
		n.targetAnswered(t)
	default:
		n.targetLost(t)
	}
}

// peersThatReach returns the peers that can serve requests for a service, as far as
// this instance knows.
func (n *Node) peersThatReach(serves string) []reach.Peer {
	var peers []reach.Peer
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; n.live(p) && p.Address != "" && p.loads.Reaches(n.now, serves) {
			peers = append(peers, reach.Peer{Name: name, Requests: p.loads.Requests})
		}
	}
	return peers
}

// handOverUnreached hands a request over to a peer if this instance reaches no
// target of its service, and reports whether it did.
func (n *Node) handOverUnreached(r *request) bool {
	return n.reach.Unreached(r.Serves) && n.handOverToPeer(r)
}

// targetsRefused reports whether targets were tried for a request that is to be
// refused, none of them got it, and none asked to be left alone.
func (n *Node) targetsRefused(r *request) bool {
	return len(r.failedTargets) > 0 && r.attempts.Sent == 0 && n.shortestWait(r.Serves) == 0
}

// handOverToPeer hands a request that no target runs over to a peer that may reach
// a target of its service, and reports whether there is one. The peer may make one
// attempt, so that the number of attempts is known if the peer is lost.
func (n *Node) handOverToPeer(r *request) bool {
	if r.HandedOver || r.callerGone || r.record != nil || len(r.handedTo) >= reach.MaxHandOvers {
		return false
	}
	peers := slices.DeleteFunc(n.peersThatReach(r.Serves), func(p reach.Peer) bool { return slices.Contains(r.handedTo, p.Name) })
	name := reach.ChoosePeer(peers, n.rng)
	if name == "" {
		return false
	}
	n.waiting.remove(r)
	if r.reserved > 0 {
		n.book.Account(r.Budget).Settle(r.reserved, 0)
		r.reserved = 0
	}
	r.attempts.Deposit(n.retryBudget, n.retryPolicy())
	r.handedTo = append(r.handedTo, name)
	r.phase = phaseHandedOver
	n.emit(event.Action{HandOver: &event.HandOver{
		Request: r.Request, Peer: name, Address: n.members.peers[name].Address, MaxAttempts: 1, MayHaveRun: r.mayHaveRun,
	}})
	return true
}

// peerHandOverEnded continues a request that was handed over and that the peer did not
// run, or whose attempt at the peer failed or was lost with it.
func (n *Node) peerHandOverEnded(r *request, e event.HandOverEnded) {
	r.attempts.Sent += e.Attempts
	switch {
	case e.Lost:
		r.attemptLost(e.BytesDelivered)
		if answered := e.Kind != errkind.None; answered {
			r.handedTo = r.handedTo[:max(0, len(r.handedTo)-1)] // this peer may make the next attempt
		}
		n.retryOrRefuse(r, r.repeatable(e.BytesDelivered))
	case r.callerGone:
		n.finishRefused(r, errkind.CallerGone)
	case e.Attempts > 0 && !n.chargeAttempt(r):
		n.finishRefused(r, errkind.TargetNotStarted)
	case n.handOverToPeer(r):
	case n.reach.Unreached(r.Serves):
		r.retryAfter = e.RetryAfter
		n.finishRefused(r, errkind.NoTarget)
	default:
		n.reserveOrWait(r)
	}
}
