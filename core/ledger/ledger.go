// Package ledger defines the value of a ledger object and the operations on it.
//
// A ledger shard is one object of the platform, replaced only by conditional
// update. It records for each budget the prepaid total and, for each holder,
// the cumulative tokens granted and spent. At every version the granted and
// settled tokens of a budget are at most its prepaid total. A holder may spend
// only what its recorded grant allows, so that safety depends on neither clocks
// nor leases.
package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Holder identifies one incarnation of one instance: "name/incarnation".
type Holder string

// Shard is the value of one ledger object.
type Shard struct {
	// Budgets is keyed by budget name.
	Budgets map[string]*Budget `json:"budgets"`
}

// Budget is the account of one prepaid budget. All amounts are in tokens.
type Budget struct {
	// Prepaid is the total in force: Target, or more while grants above a
	// lowered target are outstanding.
	Prepaid int64 `json:"prepaid"`
	// Target is the total set by the configuration.
	Target int64 `json:"target"`
	// Generation is the configuration generation that set Target; it never
	// decreases.
	Generation uint64 `json:"generation"`
	// Settled is the spending of final grants that have been removed from
	// Grants.
	Settled int64 `json:"settled"`
	// Unreported is the part of Settled that no holder reported as spent: what
	// removed grants charged beyond the last report of their holders.
	Unreported int64 `json:"unreported,omitempty"`
	// Grants holds the open and closed grants by holder.
	Grants map[Holder]*Grant `json:"grants,omitempty"`
}

// Grant is what one holder may spend. All counters except Granted only
// increase.
type Grant struct {
	// Sequence is the number of the holder's last applied operation.
	Sequence uint64 `json:"sequence"`
	// Granted is the amount that the holder may have spent, or transferred
	// without the receiver having claimed it yet.
	Granted int64 `json:"granted"`
	// Spent is the last reported spending, at most Granted.
	Spent int64 `json:"spent"`
	// Received is the cumulative amount moved here from each other holder's
	// grant.
	Received map[Holder]int64 `json:"received,omitempty"`
	// Sent is the cumulative amount that the holder reported as transferred to
	// each other holder, except where all of it is claimed; Claimed is the part of
	// it that has been moved to that holder's grant.
	Sent    map[Holder]int64 `json:"sent,omitempty"`
	Claimed map[Holder]int64 `json:"claimed,omitempty"`
	// Ended is set for receivers that have ended; they will claim nothing more.
	Ended map[Holder]bool `json:"ended,omitempty"`
	// Closed is set when the holder is presumed dead: the whole grant is
	// charged until the holder reports its true spending.
	Closed bool `json:"closed,omitempty"`
	// Final is set when the holder itself reported that it will not spend
	// again.
	Final bool `json:"final,omitempty"`
}

// Unclaimed returns the amount that the holder reported as sent and that
// receivers may still claim.
func (g *Grant) Unclaimed() int64 {
	var sum int64
	for to, total := range g.Sent {
		if !g.Ended[to] {
			sum += max(0, total-g.Claimed[to])
		}
	}
	return sum
}

// ClaimedTotal returns the amount that has been moved to other holders' grants.
func (g *Grant) ClaimedTotal() int64 {
	var sum int64
	for _, total := range g.Claimed {
		sum += total
	}
	return sum
}

// ShardOf returns the index of the shard that holds a budget, given the number
// of shards.
func ShardOf(budgetName string, shards int) int {
	return int(xxhash.Sum64String(budgetName) % uint64(shards))
}

// CheckDecoded returns an error if a budget, or a grant of one, is null. Budgets that the
// store or a peer has sent must be checked before anything else reads them.
func CheckDecoded(budgets map[string]*Budget) error {
	for name, b := range budgets {
		if b == nil {
			return fmt.Errorf("budget %q is null", name)
		}
		for holder, g := range b.Grants {
			if g == nil {
				return fmt.Errorf("grant of %q in budget %q is null", holder, name)
			}
		}
	}
	return nil
}

// Decode parses a shard; empty input is an empty shard.
func Decode(raw []byte) (*Shard, error) {
	s := &Shard{}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, s); err != nil {
			return nil, fmt.Errorf("ledger shard: %w", err)
		}
	}
	if err := CheckDecoded(s.Budgets); err != nil {
		return nil, fmt.Errorf("ledger shard: %w", err)
	}
	if s.Budgets == nil {
		s.Budgets = map[string]*Budget{}
	}
	return s, nil
}

// Clone returns a deep copy of the shard.
func (s *Shard) Clone() *Shard {
	c := &Shard{Budgets: make(map[string]*Budget, len(s.Budgets))}
	for name, b := range s.Budgets {
		copied := *b
		copied.Grants = make(map[Holder]*Grant, len(b.Grants))
		for h, g := range b.Grants {
			copied.Grants[h] = g.clone()
		}
		c.Budgets[name] = &copied
	}
	return c
}

func (g *Grant) clone() *Grant {
	c := *g
	c.Received, c.Sent, c.Claimed, c.Ended = maps.Clone(g.Received), maps.Clone(g.Sent), maps.Clone(g.Claimed), maps.Clone(g.Ended)
	return &c
}

// Encode serializes a shard.
func (s *Shard) Encode() ([]byte, error) { return json.Marshal(s) }

// Budget returns the account of a budget, creating it if needed.
func (s *Shard) Budget(name string) *Budget {
	b := s.Budgets[name]
	if b == nil {
		b = &Budget{}
		s.Budgets[name] = b
	}
	if b.Grants == nil {
		b.Grants = map[Holder]*Grant{}
	}
	return b
}

// Committed returns what is settled or may be spent by a holder.
func (b *Budget) Committed() int64 {
	sum := b.Settled
	for _, g := range b.Grants {
		sum += g.Granted
	}
	return sum
}

// SettledTotal returns the spending that is charged: removed final grants, the
// reported spending of open grants, and closed grants in full.
func (b *Budget) SettledTotal() int64 {
	sum := b.Settled
	for _, g := range b.Grants {
		if g.Closed {
			sum += g.Granted
		} else {
			sum += g.Spent
		}
	}
	return sum
}

// UnreportedTotal returns the part of SettledTotal that no holder reported as
// spent.
func (b *Budget) UnreportedTotal() int64 {
	sum := b.Unreported
	for _, g := range b.Grants {
		if g.Closed {
			sum += g.Granted - g.Spent
		}
	}
	return sum
}

// Consumed returns what holders have reported as spent. Only this part of the
// prepaid total is known not to come back.
func (b *Budget) Consumed() int64 { return b.SettledTotal() - b.UnreportedTotal() }

// Outstanding returns what open grants may still spend.
func (b *Budget) Outstanding() int64 { return b.Committed() - b.SettledTotal() }

// Available returns what may still be granted.
func (b *Budget) Available() int64 { return max(0, b.Prepaid-b.Committed()) }

// SetTarget sets the prepaid total of a configuration generation and reports
// whether it was newer than the last one. An older generation changes nothing.
func (b *Budget) SetTarget(total int64, generation uint64) bool {
	if generation <= b.Generation {
		return false
	}
	b.Generation = generation
	b.Target = total
	b.fitPrepaid()
	return true
}

// fitPrepaid sets Prepaid to Target, or to the committed tokens if these are
// more.
func (b *Budget) fitPrepaid() { b.Prepaid = max(b.Target, b.Committed()) }

// HolderNames returns the holders in sorted order.
func (b *Budget) HolderNames() []Holder {
	names := make([]Holder, 0, len(b.Grants))
	for h := range b.Grants {
		names = append(names, h)
	}
	slices.Sort(names)
	return names
}

// Check returns an error if the budget violates an invariant.
func (b *Budget) Check() error {
	if c := b.Committed(); c > b.Prepaid {
		return fmt.Errorf("committed %d exceeds prepaid %d", c, b.Prepaid)
	}
	for _, h := range b.HolderNames() {
		g := b.Grants[h]
		if g.Spent+g.Unclaimed() > g.Granted {
			return fmt.Errorf("holder %s spent %d and sent %d of %d granted", h, g.Spent, g.Unclaimed(), g.Granted)
		}
	}
	return nil
}

// Others is the holder under which a summary lists the grants of all holders
// that it doesn't list by name.
const Others Holder = ""

// Summary returns the budget as far as one holder needs to know it: its own
// grant, those that reported transfers to it, what is withheld, and the sum of the others as the
// grant of Others. The amounts that are settled, outstanding and available are
// those of the budget.
func (b *Budget) Summary(self Holder) *Budget {
	s := *b
	s.Grants = map[Holder]*Grant{}
	rest := &Grant{}
	for h, g := range b.Grants {
		switch {
		case h == self || h == Unaccounted || g.Sent[self] > 0:
			s.Grants[h] = g.clone()
		case g.Closed:
			s.Settled += g.Granted
			s.Unreported += g.Granted - g.Spent
		default:
			rest.Granted += g.Granted
			rest.Spent += g.Spent
		}
	}
	if rest.Granted > 0 {
		s.Grants[Others] = rest
	}
	return &s
}
