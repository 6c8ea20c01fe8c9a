package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
)

const (
	// missingAfter is how long an instance must be missing from the instance
	// list without a ledger operation before its grants are closed;
	// replacedAfter is the same for an incarnation that a later one of its
	// instance has replaced.
	missingAfter  = 10 * time.Second
	replacedAfter = 2 * time.Second
	// compactAfter is how long a replaced incarnation must have made no operation
	// before its closed grants are removed. Meanwhile receivers claim what it sent.
	compactAfter = 10 * time.Second
	// refreshPeriod is the minimum time between two reads that only refresh
	// this instance's view of the ledger; refreshPerInstance, for each live
	// instance, limits such reads of the whole fleet to 200 per second.
	refreshPeriod      = 500 * time.Millisecond
	refreshPerInstance = 5 * time.Millisecond
	// refreshRefills is the minimum time between such reads, in refill periods.
	refreshRefills = 3
)

// refreshState schedules the reads that keep the view of the ledger fresh.
type refreshState struct {
	// next is the earliest time of the next read; cursor is the shard at which
	// the search for the one to read starts.
	next   time.Duration
	cursor int
	// idle holds, by budget and holder, since when a holder that is presumed
	// gone has made no ledger operation.
	idle map[grantKey]idleSince
}

// grantKey identifies the grant of one holder in one budget.
type grantKey struct {
	budget string
	holder ledger.Holder
}

// idleSince is when the holder's last operation, by sequence number, was first
// seen.
type idleSince struct {
	sequence uint64
	since    time.Duration
}

// refreshLedgers reads the next shard whose view this instance needs: one in
// which it holds unspent grants, or one in which it closes the grants of
// holders that are gone.
func (n *Node) refreshLedgers() {
	r := &n.ledgers.refresh
	if n.now < r.next {
		return
	}
	r.next = n.now + n.refreshInterval()
	count := len(n.ledgers.shards)
	for i := range count {
		s := n.ledgers.shards[(r.cursor+i)%count]
		if s.inFlight || n.now < s.retryAt || !n.needsRefresh(s) || s.summary && n.now-s.seenAt < n.refreshInterval() {
			continue
		}
		r.cursor = (r.cursor + i + 1) % count
		s.background = n.backgroundUpdateDue(s)
		n.beginLedgerUpdate(s)
		n.refreshView(s)
		return
	}
}

// refreshInterval is the time between two reads that only refresh the view.
func (n *Node) refreshInterval() time.Duration {
	return max(refreshPeriod, refreshRefills*n.refillPeriod(), time.Duration(n.liveInstances())*refreshPerInstance)
}

func (n *Node) needsRefresh(s *ledgerShard) bool {
	if n.closesGrantsIn(s) {
		return true
	}
	for _, name := range n.book.BudgetsInShard(s.index) {
		if n.book.Lookup(name).Available() > 0 {
			return true
		}
	}
	return false
}

// closesGrantsIn reports whether this instance closes the grants of holders
// that are gone in a shard even when it has nothing else to write there. If two
// instances assume so, both may try: the conditional update lets one succeed.
func (n *Node) closesGrantsIn(s *ledgerShard) bool {
	if n.combinesUpdates() {
		return n.ledgerWriter(s) == n.settings.Name
	}
	rank := func(instance string) uint64 { return xxhash.Sum64String(s.name + "\x00" + instance) }
	own := rank(n.settings.Name)
	for _, name := range n.members.peerNames() {
		if n.live(n.members.peers[name]) && rank(name) > own {
			return false
		}
	}
	return true
}

// closeGoneGrants closes the grants of holders that are gone and removes those of
// replaced incarnations that were closed before. Closing is safe at any time, even
// if the holder is still running: what it may spend stays reserved for it, and its
// next report corrects the charge.
// It returns what it closed, by holder.
func (n *Node) closeGoneGrants(s *ledger.Shard) map[ledger.Holder]closedGrants {
	closed := map[ledger.Holder]closedGrants{}
	for _, g := range n.goneGrants(s) {
		b := s.Budgets[g.budget]
		switch {
		case g.budget == ledgerera.StateBudget && !g.compact:
			b.Close(g.holder) // suspends the registration
		case g.compact:
			b.Compact(g.holder)
			delete(n.ledgers.refresh.idle, g.grantKey)
		case b.Close(g.holder):
			grant, c := b.Grants[g.holder], closed[g.holder]
			ledgerera.Lost(s, g.holder)
			c.grants++
			c.charged += grant.Granted
			c.unreported += grant.Granted - grant.Spent
			c.budgets = append(c.budgets, fmt.Sprintf("%s %d/%d", g.budget, grant.Granted, grant.Granted-grant.Spent))
			closed[g.holder] = c
		}
	}
	return closed
}

// closedGrants sums up the grants of one holder that were closed: what they
// charge and the part of it that the holder had not reported as spent, in tokens.
// The same is listed for each budget.
type closedGrants struct {
	grants              int
	charged, unreported int64
	budgets             []string
}

// logClosedGrants logs the grants that an update has closed.
func (n *Node) logClosedGrants(closed map[ledger.Holder]closedGrants) {
	for _, h := range sortedKeys(closed) {
		c := closed[h]
		n.logChange("grants closed", "holder", string(h), "grants", c.grants, "charged", c.charged, "unreported", c.unreported,
			"charged/unreported", strings.Join(c.budgets[:min(len(c.budgets), maxBudgetsLogged)], ", "))
	}
}

// goneGrant is a grant whose holder is gone.
type goneGrant struct {
	grantKey
	// compact is set if the grant is closed and can be removed.
	compact bool
}

// closesAny reports whether grants are to be closed. Removing closed ones is not
// worth a write of its own.
func closesAny(gone []goneGrant) bool {
	return slices.ContainsFunc(gone, func(g goneGrant) bool { return !g.compact })
}

// goneGrants lists the open grants of a shard whose holders are gone, and the
// closed ones that can be removed.
func (n *Node) goneGrants(s *ledger.Shard) []goneGrant {
	var gone []goneGrant
	for _, name := range sortedKeys(s.Budgets) {
		b := s.Budgets[name]
		for _, h := range b.HolderNames() {
			registration := name == ledgerera.StateBudget
			if h == ledger.Unaccounted || registration && ledgerera.Pending(s) {
				continue
			}
			key := grantKey{name, h}
			wait, presumed := n.presumedGone(h)
			if registration {
				wait, presumed = n.presumedSilent(h)
			}
			closed := b.Grants[h].Closed
			if closed {
				presumed = presumed && wait == replacedAfter
				wait = compactAfter
			}
			if !presumed {
				delete(n.ledgers.refresh.idle, key)
				continue
			}
			idle, known := n.ledgers.refresh.idle[key]
			if !known || idle.sequence != b.Grants[h].Sequence {
				idle = idleSince{b.Grants[h].Sequence, n.now}
				n.ledgers.refresh.idle[key] = idle
			}
			if n.now-idle.since >= wait {
				gone = append(gone, goneGrant{key, closed})
			}
		}
	}
	return gone
}

// presumedGone reports whether a later incarnation of the holder's instance is
// known, or the instance is missing from the list, and for how long the holder
// must then make no ledger operation before its grant is closed. That wait
// prevents the grant of a holder that is still running from being closed again
// after each of its reports.
func (n *Node) presumedGone(h ledger.Holder) (time.Duration, bool) {
	name, incarnation := splitHolder(h)
	if name == n.settings.Name {
		return replacedAfter, h != n.holder
	}
	p := n.members.peers[name]
	if p != nil && p.incarnation != "" && p.incarnation != incarnation {
		return replacedAfter, true
	}
	if p != nil && p.listed {
		return replacedAfter, false
	}
	listed := n.members.self.Name != "" // an instance list has arrived, or Settings.Self is set
	return missingAfter, listed
}

// presumedSilent is presumedGone for the registration of a holder, which is
// suspended also while its instance is listed but silent.
func (n *Node) presumedSilent(h ledger.Holder) (time.Duration, bool) {
	wait, gone := n.presumedGone(h)
	name, _ := splitHolder(h)
	if p := n.members.peers[name]; !gone && p != nil && !n.live(p) {
		return missingAfter, true
	}
	return wait, gone
}

// splitHolder returns the name and the incarnation of the instance that a holder is.
func splitHolder(h ledger.Holder) (name, incarnation string) {
	name, incarnation, _ = strings.Cut(string(h), "/")
	return name, incarnation
}
