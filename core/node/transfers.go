package node

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/peerload"
)

const (
	// maxPeerWait bounds how long a request waits for peers. Where the policy
	// bounds the whole wait for tokens, the wait for peers is at most that
	// bound divided by peerWaitDivisor.
	maxPeerWait     = 250 * time.Millisecond
	peerWaitDivisor = 2
	// askTimeout bounds the wait for the answers to one set of transfer
	// requests.
	askTimeout = 80 * time.Millisecond
	// roundPause is the minimum time between two rounds for one budget.
	roundPause = 30 * time.Millisecond
	// maxPeersAsked bounds the peers that are asked at a time, maxAsksPerRound
	// the sets of transfer requests in a round.
	maxPeersAsked   = 16
	maxAsksPerRound = 4
)

// transferRound is one round of asking peers for parts of their grants of one
// budget.
type transferRound struct {
	// asks counts the sets of transfer requests sent; timeout is when the wait
	// for the answers to the last set ends.
	asks    int
	timeout time.Duration
	// pending names the peers whose answers are outstanding.
	pending map[string]bool
	// offers holds the last answer of each peer, by name.
	offers map[string]event.Transfer
}

type transferState struct {
	// rounds holds the open rounds, nextRound the earliest start of the next
	// one, both by budget.
	rounds    map[string]*transferRound
	nextRound map[string]time.Duration
}

func newTransferState() transferState {
	return transferState{rounds: map[string]*transferRound{}, nextRound: map[string]time.Duration{}}
}

// askPeers makes a request for which the ledger has no tokens wait for peers.
// It is refused with kind if they have none either.
func (n *Node) askPeers(r *request, kind errkind.Kind) {
	if n.blocked(r) { // it has the tokens, and waits for marks to be raised
		n.reportExposure(true)
		return
	}
	if r.refusal != errkind.None {
		if kind == errkind.BudgetExhausted { // the ledger has been read in the meantime
			r.refusal = kind
		}
		if r.askedPeers && n.transfers.rounds[r.Budget] == nil { // peers had none before
			n.handOverOrRefuse(r, nil)
		}
		return
	}
	r.refusal = kind
	r.peerDeadline = n.now + n.peerWait()
	n.startRound(r.Budget)
}

// peerWait is the maximum time that a request waits for peers.
func (n *Node) peerWait() time.Duration {
	if limit := n.maxWait(); limit > 0 {
		return min(maxPeerWait, limit/peerWaitDivisor)
	}
	return maxPeerWait
}

// maxWait is the policy's maximum time that a request waits for tokens, or 0
// for no maximum.
func (n *Node) maxWait() time.Duration {
	return time.Duration(n.configs.index.Document.Policies.Grants.MaxWaitMillis) * time.Millisecond
}

// waitingForPeers returns the requests of a budget that wait for peers.
func (n *Node) waitingForPeers(budgetName string) []*request {
	var out []*request
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		if r.Budget == budgetName && r.refusal != errkind.None {
			out = append(out, r)
		}
	}
	return out
}

// waitsForTokens reports whether a request waits for tokens of a budget.
func (n *Node) waitsForTokens(budgetName string) bool {
	return slices.ContainsFunc(n.requests.inPhase(phaseWaitingForGrant), func(r *request) bool { return r.Budget == budgetName })
}

// startRound asks all suitable peers for equal parts of the shortfall.
func (n *Node) startRound(budgetName string) {
	t := &n.transfers
	if t.rounds[budgetName] != nil || n.now < t.nextRound[budgetName] || len(n.waitingForPeers(budgetName)) == 0 {
		return
	}
	rd := &transferRound{pending: map[string]bool{}, offers: map[string]event.Transfer{}}
	t.rounds[budgetName] = rd
	peers := n.transferPeers(budgetName)
	count := int64(max(1, len(peers)))
	share := (n.shortfallForPeers(budgetName) + count - 1) / count
	for _, name := range peers {
		n.askPeer(rd, name, budgetName, share)
	}
	n.continueRound(budgetName, rd)
}

// shortfallForPeers returns the tokens that the requests waiting for peers lack
// and marks these requests as asked for.
func (n *Node) shortfallForPeers(budgetName string) int64 {
	shortfall := -max(0, n.book.Account(budgetName).Available())
	for _, r := range n.waitingForPeers(budgetName) {
		r.askedPeers = true
		shortfall += r.WorstCaseTokens
	}
	return max(0, shortfall)
}

// transferPeers returns the live peers to ask: those with the largest unspent
// grants in the last known ledger first, then those that have work and therefore
// probably grants.
func (n *Node) transferPeers(budgetName string) []string {
	unspent := map[string]int64{}
	if b := n.ledgers.shardOf(budgetName).shard.Budgets[budgetName]; b != nil {
		for _, h := range b.HolderNames() {
			name, _, _ := strings.Cut(string(h), "/")
			unspent[name] += b.Grants[h].Granted - b.Grants[h].Spent
		}
	}
	var peers []string
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; p.heardDirectly && n.live(p) {
			peers = append(peers, name)
		}
	}
	slices.SortStableFunc(peers, func(a, b string) int {
		return cmp.Or(cmp.Compare(unspent[b], unspent[a]), peerload.CompareWorking(n.working(a), n.working(b)))
	})
	return peers[:min(len(peers), maxPeersAsked)]
}

func (p *peer) holder() ledger.Holder { return ledger.Holder(p.Name + "/" + p.incarnation) }

func (n *Node) askPeer(rd *transferRound, name, budgetName string, want int64) {
	p := n.members.peers[name]
	if p == nil {
		return
	}
	if !n.configs.index.Document.Policies.Grants.PeerTransfer {
		want = 0 // asks only how much the peer could admit
	}
	rd.pending[name] = true
	n.send(name, event.PeerMessage{TransferRequest: &event.TransferRequest{
		Budget: budgetName, To: string(p.holder()), Have: n.book.Account(budgetName).ExpectTransfer(p.holder()), Want: want,
	}})
}

// transferRequested answers a peer's request for tokens with what this instance
// can spare. It is idempotent: a repeated request gets the same answer.
func (n *Node) transferRequested(p *peer, m *event.TransferRequest) {
	if n.configs.index == nil || n.configs.index.Budget(m.Budget) == nil || m.To != string(n.holder) {
		return
	}
	a := n.book.Account(m.Budget)
	transfer := n.configs.index.Document.Policies.Grants.PeerTransfer
	waits := n.waitsForTokens(m.Budget)
	// Of two instances that lack tokens, the first by name collects them.
	gives := transfer && !(waits && p.Name > n.settings.Name)
	want := m.Want
	if !gives {
		want = 0
	}
	if a.SendBlocked(want) {
		n.reportExposure(true)
	}
	reply := &event.Transfer{Budget: m.Budget, To: string(p.holder()), Total: a.Send(p.holder(), m.Have, want)}
	if gives {
		reply.Transferable = a.Transferable()
	}
	reply.RetrySoon = transfer && (waits || a.Available() > reply.Transferable || a.Returning(n.now))
	if !n.stopping {
		reply.Admissible = max(0, a.Available())
		reply.LedgerAvailable = n.obtainableFromLedger(m.Budget)
	}
	n.send(p.Name, event.PeerMessage{Transfer: reply})
}

// obtainableFromLedger is what this instance could obtain from the ledger, in
// tokens.
func (n *Node) obtainableFromLedger(budgetName string) int64 {
	s := n.ledgers.shardOf(budgetName)
	if s.failures > 0 || !n.platformReachable() {
		return 0
	}
	return n.sizing(s, budgetName).LedgerAvailable
}

// transferReceived credits the tokens that a peer sent and records its offer.
func (n *Node) transferReceived(p *peer, m *event.Transfer) {
	if m.To != string(n.holder) {
		return // addressed to an earlier incarnation of this instance
	}
	n.book.Account(m.Budget).Receive(p.holder(), m.Total)
	n.serveWaiting(m.Budget)
	if rd := n.transfers.rounds[m.Budget]; rd != nil {
		delete(rd.pending, p.Name)
		rd.offers[p.Name] = *m
		n.continueRound(m.Budget, rd)
	}
}

// serveWaiting continues the waiting requests that the account now covers.
func (n *Node) serveWaiting(budgetName string) {
	for _, r := range n.waitingForPeers(budgetName) {
		n.tryReserve(r)
	}
}

// tryReserve reserves a waiting request's tokens and continues the request. It
// reports whether the grant covers it.
func (n *Node) tryReserve(r *request) bool {
	if !n.book.Account(r.Budget).Reserve(r.WorstCaseTokens) {
		return false
	}
	r.reserved = r.WorstCaseTokens
	r.budgetWait = budgetWait{}
	n.afterReserve(r)
	return true
}

// continueRound asks the peers that offered more again, once all answers have
// arrived or the wait for them has timed out, and ends the round when no more
// tokens can be obtained.
func (n *Node) continueRound(budgetName string, rd *transferRound) {
	waiting := len(n.waitingForPeers(budgetName)) > 0
	if waiting && len(rd.pending) > 0 && (rd.asks == 0 || n.now < rd.timeout) {
		if rd.asks == 0 {
			rd.asks, rd.timeout = 1, n.now+askTimeout
		}
		return
	}
	if waiting && rd.asks < maxAsksPerRound && n.askForRest(budgetName, rd) {
		rd.asks++
		rd.timeout = n.now + askTimeout
		return
	}
	n.endRound(budgetName, rd)
}

// askForRest asks the peers that have tokens left for the remaining shortfall.
// It reports whether it asked any.
func (n *Node) askForRest(budgetName string, rd *transferRound) bool {
	names := sortedKeys(rd.offers)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rd.offers[b].Transferable, rd.offers[a].Transferable) })
	rd.pending = map[string]bool{}
	shortfall := n.shortfallForPeers(budgetName)
	for _, name := range names {
		want := min(shortfall, rd.offers[name].Transferable)
		if want <= 0 {
			break
		}
		shortfall -= want
		n.askPeer(rd, name, budgetName, want)
	}
	return len(rd.pending) > 0
}

// endRound hands over or refuses the requests for which peers were asked
// without success. If a peer may soon have more tokens, they wait for another
// round.
func (n *Node) endRound(budgetName string, rd *transferRound) {
	delete(n.transfers.rounds, budgetName)
	if rd.asks > 0 {
		n.transfers.nextRound[budgetName] = n.now + roundPause
	}
	retrySoon := false
	for _, offer := range rd.offers {
		retrySoon = retrySoon || offer.RetrySoon
	}
	for _, r := range n.waitingForPeers(budgetName) {
		switch {
		case !r.askedPeers:
		case retrySoon && r.peerDeadline-n.now > roundPause:
			r.askedPeers, r.askedLedger = false, false // asks the ledger again too
		case n.updateRunsFor(r):
		default:
			n.handOverOrRefuse(r, rd)
		}
	}
}

// offerPending reports whether a peer that offered tokens of a budget was asked for
// them and may still answer.
func (n *Node) offerPending(budgetName string) bool {
	rd := n.transfers.rounds[budgetName]
	return rd != nil && rd.asks > 1 && len(rd.pending) > 0 && n.now < rd.timeout
}

// updateRunsFor reports whether an update of the ledger runs that may bring the
// tokens of a request. Where the policy doesn't bound the wait for tokens, peers
// are asked only after an update, so that none is waited for.
func (n *Node) updateRunsFor(r *request) bool {
	s := n.ledgers.shardOf(r.Budget)
	return n.maxWait() > 0 && s.inFlight && s.failures == 0 && !n.waitedTooLong(r)
}

// peersDue reports whether a request has waited for an update of the ledger for so
// long that peers are to be asked as well.
func (n *Node) peersDue(r *request) bool {
	limit := n.maxWait()
	return r.refusal == errkind.None && limit > 0 && n.now-r.since >= limit/peerWaitDivisor
}

// waitedTooLong reports whether a request has waited for tokens for as long as
// the policy allows. Its refusal is then set to what is known of the budget.
func (n *Node) waitedTooLong(r *request) bool {
	limit := n.maxWait()
	if limit == 0 || n.now-r.since < limit {
		return false
	}
	if r.refusal == errkind.None {
		r.refusal = errkind.BudgetUnavailable
	}
	return true
}

// tickTransfers continues rounds that have timed out, ends the waits for tokens
// that have reached their limit and starts the rounds that are due.
func (n *Node) tickTransfers() {
	for _, name := range sortedKeys(n.transfers.rounds) {
		if rd := n.transfers.rounds[name]; n.now >= rd.timeout {
			n.continueRound(name, rd)
		}
	}
	for _, r := range n.requests.inPhase(phaseWaitingForGrant) {
		if n.waitedTooLong(r) {
			n.handOverOrRefuse(r, n.transfers.rounds[r.Budget])
			continue
		}
		if n.peersDue(r) {
			n.askPeers(r, errkind.BudgetUnavailable)
		}
		if r.refusal == errkind.None || n.updateRunsFor(r) && r.askedPeers {
			continue
		}
		if n.now >= r.peerDeadline && !n.updateRunsFor(r) && !n.offerPending(r.Budget) {
			n.handOverOrRefuse(r, n.transfers.rounds[r.Budget])
			continue
		}
		n.startRound(r.Budget)
	}
}
