package node

import (
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// budgetWait is how far a request came in its search for tokens.
type budgetWait struct {
	// since is when the request began to wait.
	since time.Duration
	// lackAsked is set once a ledger operation asked for the tokens.
	lackAsked bool
	// refusal is the answer if peers can't help; None until they are asked.
	refusal errkind.Kind
	// peersAsked is set once a question to peers included the tokens.
	peersAsked bool
	peersUntil time.Duration
}

// handOverOrRefuse passes an unrun request to a peer that has room, or refuses
// it. A request is handed over at most once.
func (n *Node) handOverOrRefuse(r *request, rd *round) {
	if n.tryReserve(r) {
		return
	}
	if name := n.roomyPeer(r, rd); name != "" {
		offer := rd.offers[name]
		offer.Admissible -= min(offer.Admissible, r.WorstCaseTokens)
		rd.offers[name] = offer
		r.phase = phaseHandedOver
		n.emit(event.Action{HandOver: &event.HandOver{Request: r.Request, Address: n.members.peers[name].Address}})
		return
	}
	n.finishRefused(r, r.refusal)
}

// roomyPeer returns the peer with the most room for an unrun request, or "".
// What a peer may obtain from the ledger counts only if this instance could not
// read the ledger itself.
func (n *Node) roomyPeer(r *request, rd *round) string {
	if rd == nil || r.HandedOver || r.callerGone || r.attempts > 0 || r.record != nil {
		return ""
	}
	best, most := "", int64(0)
	for _, name := range sortedKeys(rd.offers) {
		room := rd.offers[name].Admissible
		if r.refusal == errkind.BudgetUnavailable {
			room += rd.offers[name].LedgerAvailable
		}
		p := n.members.peers[name]
		if p != nil && n.live(p) && room >= r.WorstCaseTokens && room > most {
			best, most = name, room
		}
	}
	return best
}

// handOverEnded ends a request that a peer answered, or refuses one that the
// peer did not run.
func (n *Node) handOverEnded(e event.HandOverEnded) {
	r := n.requests.byHandle[e.Request]
	if r == nil || r.phase != phaseHandedOver {
		return
	}
	switch {
	case !e.Refused:
		n.requests.remove(r)
	case r.callerGone:
		n.finishRefused(r, errkind.CallerGone)
	case n.tryReserve(r):
	case e.Kind == errkind.BudgetExhausted:
		n.finishRefused(r, e.Kind)
	default:
		n.finishRefused(r, r.refusal)
	}
}

// busyRetryAfter is when to come back if a budget covers a request but other
// requests hold its tokens.
const busyRetryAfter = 2 * time.Second

// elsewhereRetryAfter is when to come back, at another instance, if this one can
// obtain no tokens at the moment and does not pass requests on: others may hold
// some.
const elsewhereRetryAfter = 200 * time.Millisecond

const (
	// holdingsAge is the age of the last known ledger up to which what others
	// held then is probably still unspent: a fraction of a grant's runway.
	holdingsAge = 3 * time.Second
	// holdingsRatio is what another holder must have had, in requests of this
	// size, to serve it probably.
	holdingsRatio = 2
)

// othersHold tells whether most other holders probably have tokens for the
// request.
func (n *Node) othersHold(r *request) bool {
	s := n.ledgers.shardOf(r.Budget)
	b := s.shard.Budgets[r.Budget]
	if b == nil || n.now-s.seenAt > holdingsAge {
		return false
	}
	able, others := 0, 0
	for h, g := range b.Grants {
		if h == n.holder || g.Closed {
			continue
		}
		others++
		if g.Granted-g.Spent >= holdingsRatio*r.WorstCaseTokens {
			able++
		}
	}
	return 2*able > others
}

// budgetCovers tells whether a request that is refused for want of tokens may
// be served once others have returned what they hold.
func (n *Node) budgetCovers(r *request, kind errkind.Kind) bool {
	if kind != errkind.BudgetExhausted {
		return false
	}
	b := n.ledgers.shardOf(r.Budget).shard.Budgets[r.Budget]
	return b != nil && b.Prepaid-b.SettledTotal() >= r.WorstCaseTokens
}

// retryAfter is when the caller of a refused request should come back.
func (n *Node) retryAfter(r *request, kind errkind.Kind) time.Duration {
	if r.retryAfter > 0 {
		return r.retryAfter
	}
	if n.budgetCovers(r, kind) {
		return busyRetryAfter
	}
	if kind == errkind.BudgetUnavailable && r.HandedOver && n.othersHold(r) {
		return elsewhereRetryAfter
	}
	return time.Duration(errkind.Lookup(kind).RetryAfterSeconds) * time.Second
}
