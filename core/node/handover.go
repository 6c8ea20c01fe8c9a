package node

import (
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// budgetWait is the state of a request that waits for tokens of its budget.
type budgetWait struct {
	// since is when the request began to wait.
	since time.Duration
	// askedLedger is set once a ledger operation has asked for the tokens.
	askedLedger bool
	// refusal is the error kind if peers can't help; None until they are asked.
	refusal errkind.Kind
	// askedPeers is set once transfer requests to peers have included the
	// tokens.
	askedPeers bool
	// peerDeadline is when the wait for peers ends.
	peerDeadline time.Duration
}

// handOverOrRefuse continues a request whose tokens have arrived. Otherwise it
// hands the request over, if it has not run, to a peer that can admit it, or
// refuses it. A request is handed over at most once.
func (n *Node) handOverOrRefuse(r *request, rd *transferRound) {
	if n.tryReserve(r) {
		return
	}
	if name := n.handOverPeer(r, rd); name != "" {
		offer := rd.offers[name]
		offer.Admissible -= min(offer.Admissible, r.WorstCaseTokens)
		rd.offers[name] = offer
		r.phase = phaseHandedOver
		n.emit(event.Action{HandOver: &event.HandOver{Request: r.Request, Peer: name, Address: n.members.peers[name].Address}})
		return
	}
	n.logTokensUnavailable(r, rd)
	n.finishRefused(r, r.refusal)
}

// logTokensUnavailable logs on what grounds a request is refused for lack of
// tokens.
func (n *Node) logTokensUnavailable(r *request, rd *transferRound) {
	s := n.ledgers.shardOf(r.Budget)
	updating, peersAsked := time.Duration(0), 0
	if s.inFlight {
		updating = n.now - s.startedAt
	}
	if rd != nil {
		peersAsked = len(rd.offers) + len(rd.pending)
	}
	b := n.lastKnown(r.Budget)
	n.logChange("tokens unavailable", "request", r.Key, "budget", r.Budget, "kind", string(n.budgetRefusal(r, r.refusal)), "tokens", r.WorstCaseTokens, "waited", n.now-r.since,
		"own_available", n.book.Lookup(r.Budget).Available(), "ledger_available", n.sizing(s, r.Budget).LedgerAvailable, "ledger_age", n.now-s.seenAt,
		"updating", updating, "conflicts", s.conflicts+s.objectConflicts, "failures", s.failures, "peers_asked", peersAsked,
		"prepaid", b.Prepaid, "settled", b.SettledTotal(), "unreported", b.UnreportedTotal(), "outstanding", b.Outstanding())
}

// handOverPeer returns the peer that can admit a request that has not run and
// has the most tokens for it, or "" if there is none. What a peer may obtain
// from the ledger counts only if this instance could not read the ledger
// itself.
func (n *Node) handOverPeer(r *request, rd *transferRound) string {
	if rd == nil || r.HandedOver || r.NoTokenHandOver || r.callerGone || !r.attempts.None() || r.record != nil {
		return ""
	}
	best, bestAdmissible := "", int64(0)
	for _, name := range sortedKeys(rd.offers) {
		admissible := rd.offers[name].Admissible
		if r.refusal == errkind.BudgetUnavailable {
			admissible += rd.offers[name].LedgerAvailable
		}
		p := n.members.peers[name]
		if p != nil && n.live(p) && admissible >= r.WorstCaseTokens && admissible > bestAdmissible {
			best, bestAdmissible = name, admissible
		}
	}
	return best
}

// handOverEnded ends a request that a peer answered. One that the peer did not
// run continues here if the grant covers it now, and is refused otherwise.
func (n *Node) handOverEnded(e event.HandOverEnded) {
	r := n.requests.byHandle[e.Request]
	if r == nil || r.phase != phaseHandedOver {
		return
	}
	switch {
	case !e.Refused && !e.Lost:
		n.requests.remove(r)
	case e.Lost || len(r.handedTo) > 0:
		n.peerHandOverEnded(r, e)
	case r.callerGone:
		n.finishRefused(r, errkind.CallerGone)
	case n.tryReserve(r):
	case e.Kind == errkind.BudgetExhausted || e.Kind == errkind.BudgetUnsettled:
		n.finishRefused(r, e.Kind)
	default:
		n.finishRefused(r, r.refusal)
	}
}

// otherHolderRetryAfter is the time until a caller should retry, at another
// instance, if this one can obtain no tokens at the moment and may not hand the
// request over (a peer already did, or this instance never does): others may
// hold some.
const otherHolderRetryAfter = 200 * time.Millisecond

const (
	// maxHoldingsAge is the maximum age of the last known ledger at which the
	// tokens that others held then are probably still unspent: a fraction of a
	// grant's runway.
	maxHoldingsAge = 3 * time.Second
	// minHoldingsRatio is the minimum ratio of another holder's unspent tokens
	// to the tokens of a request at which that holder can probably serve it.
	minHoldingsRatio = 2
)

// othersHaveTokens reports whether most other holders probably have tokens for
// the request.
func (n *Node) othersHaveTokens(r *request) bool {
	s := n.ledgers.shardOf(r.Budget)
	b := s.shard.Budgets[r.Budget]
	if b == nil || n.now-s.seenAt > maxHoldingsAge {
		return false
	}
	if s.summary {
		count := n.servingInstances() - 1
		rest := b.Grants[ledger.Others]
		return rest != nil && count > 0 && (rest.Granted-rest.Spent)/count >= minHoldingsRatio*r.WorstCaseTokens
	}
	canServe, others := 0, 0
	for h, g := range b.Grants {
		if h == n.holder || h == ledger.Unaccounted || g.Closed {
			continue
		}
		others++
		if g.Granted-g.Spent >= minHoldingsRatio*r.WorstCaseTokens {
			canServe++
		}
	}
	return 2*canServe > others
}

// budgetRefusal returns the kind of a refusal for lack of tokens: the budget counts
// as exhausted only if what its holders have reported as spent leaves too little.
// What holders have or did not report may come back, a newer configuration raise the total.
func (n *Node) budgetRefusal(r *request, kind errkind.Kind) errkind.Kind {
	if kind != errkind.BudgetExhausted {
		return kind
	}
	b := n.lastKnown(r.Budget)
	if n.totalInForce(r.Budget, b)-b.Consumed() >= r.WorstCaseTokens {
		return errkind.BudgetUnsettled
	}
	return n.configs.newer.Denial(kind)
}

// lastKnown returns a budget as it was when the ledger was last seen.
func (n *Node) lastKnown(budgetName string) *ledger.Budget {
	if b := n.ledgers.shardOf(budgetName).shard.Budgets[budgetName]; b != nil {
		return b
	}
	return &ledger.Budget{}
}

// lostTokensRetryAfter is the time until a caller should retry if only tokens of
// holders that are gone would cover its request: these are returned or charged for
// good within compactAfter.
const lostTokensRetryAfter = compactAfter

// retryAfter is the time until the caller of a refused request should retry.
func (n *Node) retryAfter(r *request, kind errkind.Kind) time.Duration {
	switch {
	case r.retryAfter > 0:
		return r.retryAfter
	case kind == errkind.BudgetUnsettled && n.lacksLostTokens(r):
		return lostTokensRetryAfter
	case kind == errkind.BudgetUnavailable && (r.HandedOver || r.NoTokenHandOver) && n.othersHaveTokens(r):
		return otherHolderRetryAfter
	}
	return time.Duration(errkind.Lookup(kind).RetryAfterSeconds) * time.Second
}

// lacksLostTokens reports whether only tokens that are charged without a report of
// their holders, or withheld, would cover a request.
func (n *Node) lacksLostTokens(r *request) bool {
	b := n.lastKnown(r.Budget)
	return n.totalInForce(r.Budget, b)-b.SettledTotal()-b.Withheld() < r.WorstCaseTokens
}
