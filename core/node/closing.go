package node

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/ledger"
)

const (
	// missingAfter is how long an instance must be missing from the instance
	// list without an operation before its grants are closed; replacedAfter is
	// the same for a life of an instance that a later one was heard of.
	missingAfter  = 10 * time.Second
	replacedAfter = 2 * time.Second
	// refreshPeriod is the least time between two reads that only refresh this
	// instance's view of the ledger; refreshPerInstance bounds such reads of
	// the whole fleet to 200 a second.
	refreshPeriod      = 500 * time.Millisecond
	refreshPerInstance = 5 * time.Millisecond
	// refreshRefills is the least time between them in least times between two
	// updates.
	refreshRefills = 3
)

// refreshState paces the reads that keep the view of the ledger fresh.
type refreshState struct {
	next   time.Duration
	cursor int
	// quiet holds, by budget and holder, since when a holder that seems gone
	// has made no operation.
	quiet map[quietKey]quietSince
}

type quietKey struct {
	budget string
	holder ledger.Holder
}

type quietSince struct {
	sequence uint64
	since    time.Duration
}

// refreshLedgers reads the next shard whose view matters here: one that this
// instance holds unspent grants in, or one that it looks after.
func (n *Node) refreshLedgers() {
	r := &n.ledgers.refresh
	if n.now < r.next {
		return
	}
	r.next = n.now + max(refreshPeriod, refreshRefills*n.refillPeriod(), time.Duration(n.liveInstances())*refreshPerInstance)
	count := len(n.ledgers.shards)
	for i := range count {
		s := n.ledgers.shards[(r.cursor+i)%count]
		if s.inFlight || n.now < s.retryAt || !n.wantsRefresh(s) {
			continue
		}
		r.cursor = (r.cursor + i + 1) % count
		s.inFlight = true
		n.readLedger(s)
		return
	}
}

func (n *Node) wantsRefresh(s *ledgerShard) bool {
	if n.looksAfter(s) {
		return true
	}
	for _, name := range n.book.BudgetsInShard(s.index) {
		if n.book.Lookup(name).Available() > 0 {
			return true
		}
	}
	return false
}

// looksAfter tells whether this instance closes the grants of missing holders
// in a shard when it has nothing else to write there. If two instances believe
// so, both may try: the conditional update lets one win.
func (n *Node) looksAfter(s *ledgerShard) bool {
	rank := func(instance string) uint64 { return xxhash.Sum64String(s.name + "\x00" + instance) }
	own := rank(n.settings.Name)
	for _, name := range n.members.peerNames() {
		if n.live(n.members.peers[name]) && rank(name) > own {
			return false
		}
	}
	return true
}

// closeGone closes the grants of holders that are gone. It is safe at any
// moment, also if the holder still lives: what it may spend stays set aside for
// it, and its next report corrects the charge.
func (n *Node) closeGone(s *ledger.Shard) {
	for _, g := range n.goneGrants(s) {
		s.Budgets[g.budget].Close(g.holder)
	}
}

// goneGrants lists the open grants of a shard whose holders are gone.
func (n *Node) goneGrants(s *ledger.Shard) []quietKey {
	var gone []quietKey
	for _, name := range sortedKeys(s.Budgets) {
		b := s.Budgets[name]
		for _, h := range b.HolderNames() {
			key := quietKey{name, h}
			wait, seems := n.seemsGone(h)
			if !seems || b.Grants[h].Closed {
				delete(n.ledgers.refresh.quiet, key)
				continue
			}
			q, known := n.ledgers.refresh.quiet[key]
			if !known || q.sequence != b.Grants[h].Sequence {
				q = quietSince{b.Grants[h].Sequence, n.now}
				n.ledgers.refresh.quiet[key] = q
			}
			if n.now-q.since >= wait {
				gone = append(gone, key)
			}
		}
	}
	return gone
}

// seemsGone tells whether a later life of the holder's instance was heard, or
// the instance is missing from the list, and for how long the holder must then
// make no operation. That wait keeps a holder that lives after all from being
// closed again after each of its reports.
func (n *Node) seemsGone(h ledger.Holder) (time.Duration, bool) {
	name, incarnation, _ := strings.Cut(string(h), "/")
	if name == n.settings.Name {
		return replacedAfter, h != n.holder
	}
	p := n.members.peers[name]
	if p != nil && p.heardDirectly && p.incarnation != incarnation {
		return replacedAfter, true
	}
	if p != nil && p.listed {
		return replacedAfter, false
	}
	listed := n.members.self.Name != "" // a list has arrived
	return missingAfter, listed
}
