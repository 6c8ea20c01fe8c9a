// Package ledgersize keeps a ledger object below the largest size that the platform
// stores. An object grows with each grant of an instance in a budget, and a write that
// is refused as too large would keep it from getting smaller as well.
package ledgersize

import "plantainfield.example/core/ledger"

const (
	// grantBytes is the size of a new grant in the object, an estimate.
	grantBytes = 100
	// marginDivisor divides the largest size to give what is kept free for what an
	// update adds besides new grants.
	marginDivisor = 16
	// metadataBytes is what the platform may add to an object.
	metadataBytes = 1024
	// advanceDivisor divides the largest size to give the size up to which grants are
	// made before requests need them. After a loss of all instances their successors
	// have room for grants before the earlier ones are removed.
	advanceDivisor = 2
)

// Update decides which operations the next version of an object may contain.
type Update struct {
	// limit is the largest size of the object in bytes, or 0 for none, and size what
	// the next version will probably have.
	limit, size int
	// skipped counts the operations that are not contained.
	skipped int
}

// NewUpdate returns an update of an object of a size, in bytes.
func NewUpdate(size, limit int) *Update {
	return &Update{limit: limit - limit/marginDivisor, size: size}
}

// Admit reports whether an operation may be applied to a budget now. One that is not
// stays open at its holder, which repeats it.
func (u *Update) Admit(b *ledger.Budget, op ledger.Operation) bool {
	if u.limit <= 0 || b.Grants[op.Holder] != nil || op.Restore != nil {
		return true
	}
	room := u.limit
	if op.Advance {
		room = u.limit / advanceDivisor
	}
	if u.size+grantBytes > room {
		u.skipped++
		return false
	}
	u.size += grantBytes
	return true
}

// Skipped returns the number of operations that were not admitted.
func (u *Update) Skipped() int { return u.skipped }

// Exceeds reports whether an encoded object is too large to be written.
func Exceeds(encoded []byte, limit int) bool {
	return limit > 0 && len(encoded) > limit-metadataBytes
}

// CompactReplaced removes the closed grants of holders that are replaced for good, and
// returns how many there were.
func CompactReplaced(s *ledger.Shard, replaced func(ledger.Holder) bool) int {
	removed := 0
	for _, b := range s.Budgets {
		for _, h := range b.HolderNames() {
			if h != ledger.Unaccounted && replaced(h) && b.Compact(h) {
				removed++
			}
		}
	}
	return removed
}
