package node

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

const (
	// peerWait bounds how long a request waits for peers, peerWaitShare the part
	// of the whole wait for tokens that this is where the policy bounds it.
	peerWait      = 250 * time.Millisecond
	peerWaitShare = 2
	// askTimeout bounds the wait for the answers to one set of questions.
	askTimeout = 80 * time.Millisecond
	// askPause is the least time between two rounds for one budget.
	askPause = 30 * time.Millisecond
	// maxAsked bounds the peers that are asked at a time, maxAsks the sets of
	// questions in a round.
	maxAsked = 16
	maxAsks  = 4
)

// round asks peers for parts of their grants of one budget.
type round struct {
	asks    int
	timeout time.Duration
	// open names the peers whose answers are awaited.
	open map[string]bool
	// offers holds the last answers by peer name.
	offers map[string]event.Transfer
}

type transferState struct {
	// rounds and nextRound are keyed by budget.
	rounds    map[string]*round
	nextRound map[string]time.Duration
}

func newTransferState() transferState {
	return transferState{rounds: map[string]*round{}, nextRound: map[string]time.Duration{}}
}

// askPeers lets a request that the ledger can't help wait for peers. The kind
// is its answer if they can't either.
func (n *Node) askPeers(r *request, kind errkind.Kind) {
	if r.refusal != errkind.None {
		if kind == errkind.BudgetExhausted { // the ledger was read after all
			r.refusal = kind
		}
		return
	}
	r.refusal = kind
	r.peersUntil = n.now + n.peerWait()
	n.startRound(r.Budget)
}

// peerWait is how long a request waits for peers.
func (n *Node) peerWait() time.Duration {
	if most := n.maxWait(); most > 0 {
		return min(peerWait, most/peerWaitShare)
	}
	return peerWait
}

// maxWait is how long a request may wait for tokens, or 0.
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

// lacksTokens tells whether a request waits for tokens of a budget.
func (n *Node) lacksTokens(budgetName string) bool {
	return slices.ContainsFunc(n.requests.inPhase(phaseWaitingForGrant), func(r *request) bool { return r.Budget == budgetName })
}

// startRound asks all suitable peers for equal parts of what is lacking.
func (n *Node) startRound(budgetName string) {
	t := &n.transfers
	if t.rounds[budgetName] != nil || n.now < t.nextRound[budgetName] || len(n.waitingForPeers(budgetName)) == 0 {
		return
	}
	rd := &round{open: map[string]bool{}, offers: map[string]event.Transfer{}}
	t.rounds[budgetName] = rd
	peers := n.transferPeers(budgetName)
	count := int64(max(1, len(peers)))
	share := (n.lackForPeers(budgetName) + count - 1) / count
	for _, name := range peers {
		n.askPeer(rd, name, budgetName, share)
	}
	n.continueRound(budgetName, rd)
}

// lackForPeers is what waiting requests lack; it marks them as asked for.
func (n *Node) lackForPeers(budgetName string) int64 {
	lack := -max(0, n.book.Account(budgetName).Available())
	for _, r := range n.waitingForPeers(budgetName) {
		r.peersAsked = true
		lack += r.WorstCaseTokens
	}
	return max(0, lack)
}

// transferPeers returns the live peers to ask, those with the largest unspent
// grants in the last known ledger first.
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
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(unspent[b], unspent[a]) })
	return peers[:min(len(peers), maxAsked)]
}

func (p *peer) holder() ledger.Holder { return ledger.Holder(p.Name + "/" + p.incarnation) }

func (n *Node) askPeer(rd *round, name, budgetName string, want int64) {
	p := n.members.peers[name]
	if p == nil {
		return
	}
	if !n.configs.index.Document.Policies.Grants.PeerTransfer {
		want = 0 // asks only for room
	}
	rd.open[name] = true
	n.send(name, event.PeerMessage{TransferRequest: &event.TransferRequest{
		Budget: budgetName, To: string(p.holder()), Have: n.book.Account(budgetName).ExpectTransfer(p.holder()), Want: want,
	}})
}

// transferRequested gives a peer what this instance has left. A repeated
// request gets the same answer.
func (n *Node) transferRequested(p *peer, m *event.TransferRequest) {
	if n.configs.index == nil || n.configs.index.Budget(m.Budget) == nil || m.To != string(n.holder) {
		return
	}
	a := n.book.Account(m.Budget)
	transfer := n.configs.index.Document.Policies.Grants.PeerTransfer
	lacks := n.lacksTokens(m.Budget)
	// Of two instances that lack tokens, the first by name collects them.
	gives := transfer && !(lacks && p.Name > n.settings.Name)
	want := m.Want
	if !gives {
		want = 0
	}
	reply := &event.Transfer{Budget: m.Budget, To: string(p.holder()), Total: a.Send(p.holder(), m.Have, want)}
	if gives {
		reply.Transferable = a.Transferable()
	}
	reply.RetrySoon = transfer && (lacks || a.Available() > reply.Transferable || a.Returning(n.now))
	if !n.stopping {
		reply.Admissible = max(0, a.Available())
		reply.LedgerAvailable = n.ledgerRoom(m.Budget)
	}
	n.send(p.Name, event.PeerMessage{Transfer: reply})
}

// ledgerRoom is what this instance could obtain from the ledger, in tokens.
func (n *Node) ledgerRoom(budgetName string) int64 {
	s := n.ledgers.shardOf(budgetName)
	if s.failures > 0 || !n.platformReachable() {
		return 0
	}
	return n.sizing(s, budgetName).LedgerAvailable
}

// transferReceived takes a peer's tokens and its offer.
func (n *Node) transferReceived(p *peer, m *event.Transfer) {
	if m.To != string(n.holder) {
		return // meant for an earlier life of this instance
	}
	n.book.Account(m.Budget).Receive(p.holder(), m.Total)
	n.serveWaiting(m.Budget)
	if rd := n.transfers.rounds[m.Budget]; rd != nil {
		delete(rd.open, p.Name)
		rd.offers[p.Name] = *m
		n.continueRound(m.Budget, rd)
	}
}

// serveWaiting lets requests go on whose tokens have arrived.
func (n *Node) serveWaiting(budgetName string) {
	for _, r := range n.waitingForPeers(budgetName) {
		n.tryReserve(r)
	}
}

// tryReserve lets a waiting request go on if the grant covers it.
func (n *Node) tryReserve(r *request) bool {
	if !n.book.Account(r.Budget).Reserve(r.WorstCaseTokens) {
		return false
	}
	r.reserved = r.WorstCaseTokens
	r.budgetWait = budgetWait{}
	n.afterReserve(r)
	return true
}

// continueRound asks again where more was offered once all answers are there,
// and ends the round when nothing more can come.
func (n *Node) continueRound(budgetName string, rd *round) {
	waiting := len(n.waitingForPeers(budgetName)) > 0
	if waiting && len(rd.open) > 0 && (rd.asks == 0 || n.now < rd.timeout) {
		if rd.asks == 0 {
			rd.asks, rd.timeout = 1, n.now+askTimeout
		}
		return
	}
	if waiting && rd.asks < maxAsks && n.askForRest(budgetName, rd) {
		rd.asks++
		rd.timeout = n.now + askTimeout
		return
	}
	n.endRound(budgetName, rd)
}

// askForRest asks the peers that have tokens left for what is still lacking.
func (n *Node) askForRest(budgetName string, rd *round) bool {
	names := sortedKeys(rd.offers)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rd.offers[b].Transferable, rd.offers[a].Transferable) })
	rd.open = map[string]bool{}
	lack := n.lackForPeers(budgetName)
	for _, name := range names {
		want := min(lack, rd.offers[name].Transferable)
		if want <= 0 {
			break
		}
		lack -= want
		n.askPeer(rd, name, budgetName, want)
	}
	return len(rd.open) > 0
}

// endRound hands the requests over that were asked for in vain, or refuses
// them. If a peer may have more in a moment, they wait for another round.
func (n *Node) endRound(budgetName string, rd *round) {
	delete(n.transfers.rounds, budgetName)
	if rd.asks > 0 {
		n.transfers.nextRound[budgetName] = n.now + askPause
	}
	busy := false
	for _, offer := range rd.offers {
		busy = busy || offer.RetrySoon
	}
	for _, r := range n.waitingForPeers(budgetName) {
		switch {
		case !r.peersAsked:
		case busy && r.peersUntil-n.now > askPause:
			r.peersAsked, r.lackAsked = false, false // asks the ledger again too
		default:
			n.handOverOrRefuse(r, rd)
		}
	}
}

// waitedTooLong tells whether a request has waited for tokens for as long as the
// policy allows. Its refusal is then what is known of the budget.
func (n *Node) waitedTooLong(r *request) bool {
	most := n.maxWait()
	if most == 0 || n.now-r.since < most {
		return false
	}
	if r.refusal == errkind.None {
		r.refusal = errkind.BudgetUnavailable
	}
	return true
}

// tickTransfers ends waits that are over and starts rounds that are due.
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
		if r.refusal == errkind.None {
			continue
		}
		if n.now >= r.peersUntil {
			n.handOverOrRefuse(r, n.transfers.rounds[r.Budget])
			continue
		}
		n.startRound(r.Budget)
	}
}
