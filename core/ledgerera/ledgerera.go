// Package ledgerera restores ledger objects after the platform's store came back
// from an older copy of its objects, which starts a new era of the store.
//
// Grants that were made since the copy are missing from the object, although
// their holders may spend them. The first update of the object in the new era
// therefore withholds all that the copy shows as available. Each holder repeats
// its own grant, and an instance that saw a later version of the object adds what
// it saw. Once all instances have repeated their grants, what is left is available
// again.
//
// An incarnation that has ended repeats nothing. What it held is known for certain
// only if, in the version to which the object is restored, a later incarnation of
// its instance is registered or its own registration is suspended, since nothing
// was granted to it after that. Otherwise what is left stays withheld.
package ledgerera

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"plantainfield.example/core/ledger"
)

// StateBudget is the name under which a shard records its era, in the form of a
// budget without tokens, which builds that know no eras keep as it is:
// Generation is the era, Target the version to which the shard is restored, and
// Unreported holds the flags. Grants has an entry for each holder that is
// registered; its sequence number is the era in which it last registered, which
// says that it has repeated its grants, and Final is set if it was registered in
// the version to which the shard is restored. Closed suspends the registration of a
// silent holder, which must register again before it makes operations.
const StateBudget = ""

const (
	flagPending   = 1
	flagUncertain = 2
)

// oldestEra is the era of a store that never came back from a copy.
const oldestEra = 2

// versionBits is the number of bits of a version's order that hold the version;
// the era is above them.
const versionBits = 44

// Fleet is what is known of the holders.
type Fleet interface {
	// Holders returns the incarnations of the other instances that seem to run.
	Holders() []ledger.Holder
	// Replaced reports whether a holder has ended for certain.
	Replaced(h ledger.Holder) bool
}

// Keeper tracks the store's era at one instance and what this instance can add
// to objects of an earlier one.
type Keeper struct {
	// era is the newest era seen and first the one seen first, or 0.
	era, first uint64
	// shards is indexed by ledger shard.
	shards []shardState
}

// shardState is what is kept for one shard.
type shardState struct {
	// unseen is set from a return of the store until the shard has been seen in
	// the new era.
	unseen bool
	// seen is the last whole view before the last return, or nil, and order its
	// place among all versions.
	seen  *ledger.Shard
	order int64
	// expected holds the holders that seemed to run when the store came back.
	expected map[ledger.Holder]bool
}

// NewKeeper returns a keeper for a number of ledger shards.
func NewKeeper(shards int) *Keeper { return &Keeper{shards: make([]shardState, max(1, shards))} }

// Era returns the newest era that was seen, or 0 for none.
func (k *Keeper) Era() uint64 { return k.era }

// Observe records the era of an answer, 0 for none, and reports whether the store
// came back from a copy since the last one.
func (k *Keeper) Observe(era uint64) bool {
	if era <= k.era {
		return false
	}
	rose := k.era > 0
	if !rose {
		k.first = era
	}
	k.era = era
	return rose
}

// Returned prepares for a shard of the new era after Observe reported a return.
// seen is the last whole view of the shard and version its version, or nil.
func (k *Keeper) Returned(index int, seen *ledger.Shard, version string, fleet Fleet) {
	st := &k.shards[index]
	st.unseen = true
	if st.expected == nil {
		st.expected = map[ledger.Holder]bool{}
	}
	for _, h := range fleet.Holders() {
		st.expected[h] = true
	}
	if seen == nil {
		return
	}
	if order := versionOrder(seen, version); order > st.order {
		st.seen, st.order = seen, order
	}
}

// Unseen reports whether a shard has not been seen since the store came back.
func (k *Keeper) Unseen(index int) bool { return k.shards[index].unseen }

// Seen records that a shard has been seen in the newest era. Once it is restored,
// nothing is kept for it any more.
func (k *Keeper) Seen(index int, s *ledger.Shard) {
	k.shards[index].unseen = false
	if k.Restored(s) {
		k.shards[index] = shardState{}
	}
}

// versionOrder returns the place of a shard's version among those of all eras.
func versionOrder(s *ledger.Shard, version string) int64 {
	v, err := strconv.ParseInt(version, 10, 64)
	if err != nil || v < 0 || v >= 1<<versionBits {
		return 0
	}
	return int64(eraOf(s))<<versionBits | v
}

func eraOf(s *ledger.Shard) uint64 {
	if st := s.Budgets[StateBudget]; st != nil {
		return st.Generation
	}
	return 0
}

// Outdated reports whether a shard is from before the newest era, so that it may
// lack grants.
func (k *Keeper) Outdated(s *ledger.Shard) bool {
	era := eraOf(s)
	if era == 0 { // written by a build that knows no eras, or not written yet
		return k.era > k.first || k.era > oldestEra
	}
	return era < k.era
}

// Pending reports whether holders have yet to repeat their grants.
func Pending(s *ledger.Shard) bool {
	st := s.Budgets[StateBudget]
	return st != nil && st.Unreported&flagPending != 0
}

func reported(s *ledger.Shard, h ledger.Holder) bool {
	st := s.Budgets[StateBudget]
	return st != nil && st.Grants[h] != nil && st.Grants[h].Sequence == st.Generation && !st.Grants[h].Closed
}

// suspended reports whether a holder's registration is suspended.
func suspended(s *ledger.Shard, h ledger.Holder) bool {
	st := s.Budgets[StateBudget]
	return st != nil && st.Grants[h] != nil && st.Grants[h].Closed
}

// ReportDue reports whether a holder must repeat its grants before it makes other
// operations on a shard.
func (k *Keeper) ReportDue(s *ledger.Shard, h ledger.Holder) bool {
	if k.era == 0 {
		return false
	}
	if k.Outdated(s) {
		return true
	}
	return eraOf(s) == k.era && !reported(s, h) && (Pending(s) || k.era > k.first)
}

// Restored reports whether a shard is one of the newest era in which all grants
// have been repeated.
func (k *Keeper) Restored(s *ledger.Shard) bool { return !k.Outdated(s) && !Pending(s) }

// Registration returns the operation on StateBudget that registers a holder, or
// with Final set ends its registration. If its report is due, the operations beside
// it must repeat all its grants.
func (k *Keeper) Registration(h ledger.Holder) *ledger.Operation {
	return &ledger.Operation{Holder: h, Sequence: k.era, Restore: &ledger.Restore{}}
}

// RegistrationDue reports whether a holder is to be registered in a shard.
func (k *Keeper) RegistrationDue(s *ledger.Shard, h ledger.Holder) bool {
	return k.era > 0 && !reported(s, h)
}

// Register applies a registration to a shard of the same era. It takes the place of
// those of earlier incarnations, except while grants are repeated.
func Register(s *ledger.Shard, op ledger.Operation) {
	st := s.Budget(StateBudget)
	if op.Sequence != st.Generation || op.Final && Pending(s) {
		return
	}
	if !Pending(s) {
		maps.DeleteFunc(st.Grants, func(h ledger.Holder, _ *ledger.Grant) bool {
			return instanceOf(h) == instanceOf(op.Holder)
		})
	}
	if op.Final {
		delete(st.Grants, op.Holder)
		return
	}
	g := st.Grants[op.Holder]
	if g == nil {
		g = &ledger.Grant{}
		st.Grants[op.Holder] = g
	}
	g.Sequence, g.Closed = op.Sequence, false
}

func instanceOf(h ledger.Holder) string {
	name, _, _ := strings.Cut(string(h), "/")
	return name
}

// Begin makes a shard that is about to be changed one of the newest era. version
// is its version, and ensure creates the budgets that it lacks. It reports whether
// the shard is from an earlier era.
func (k *Keeper) Begin(index int, s *ledger.Shard, version string, ensure func()) bool {
	if k.era == 0 {
		return false
	}
	outdated := k.Outdated(s)
	st := s.Budget(StateBudget)
	if outdated {
		st.Target = versionOrder(s, version)
		setBase(st, registeredIn(s))
		st.Unreported |= flagPending
	}
	st.Generation = max(st.Generation, k.era)
	if Pending(s) {
		withholdAll(s) // before the totals change
		k.join(index, s)
		ensure()
		withholdAll(s)
	}
	return outdated
}

// registeredIn returns the holders that are registered in a version of a shard.
// While grants are repeated, a registration doesn't show what earlier incarnations
// hold, and only those of the version to which the shard is restored count.
func registeredIn(s *ledger.Shard) []ledger.Holder {
	var all []ledger.Holder
	for h, g := range s.Budgets[StateBudget].Grants {
		if !Pending(s) || g.Final {
			all = append(all, h)
		}
	}
	return all
}

// setBase sets which holders were registered in the version to which a shard is
// restored.
func setBase(st *ledger.Budget, registered []ledger.Holder) {
	for _, g := range st.Grants {
		g.Final = false
	}
	for _, h := range registered {
		if st.Grants[h] == nil {
			st.Grants[h] = &ledger.Grant{}
		}
		st.Grants[h].Final = true
	}
}

// join adds the last view before the store came back, if it is later than what
// the shard is restored to.
func (k *Keeper) join(index int, s *ledger.Shard) {
	own, st := &k.shards[index], s.Budget(StateBudget)
	if own.seen == nil || own.order <= st.Target {
		return
	}
	current := func(h ledger.Holder) bool { return h == ledger.Unaccounted || reported(s, h) }
	for name, seen := range own.seen.Budgets {
		if name != StateBudget {
			b := s.Budget(name)
			b.Join(seen, current)
			b.Withhold(seen.Target)
		}
	}
	if seen := own.seen.Budgets[StateBudget]; seen != nil {
		st.Unreported |= seen.Unreported & flagUncertain
		setBase(st, registeredIn(own.seen))
		for h, g := range st.Grants {
			g.Closed = !reported(s, h) && suspended(own.seen, h)
		}
	}
	st.Target = own.order
}

func withholdAll(s *ledger.Shard) {
	for name, b := range s.Budgets {
		if name != StateBudget {
			b.Withhold(0)
		}
	}
}

// Admit returns an operation as it may be applied to a shard, and whether it may.
// While grants are repeated nothing is granted, and a holder's other operations
// wait for its report. A holder whose registration is suspended registers first.
func Admit(s *ledger.Shard, op ledger.Operation) (ledger.Operation, bool) {
	if !Pending(s) {
		return op, op.Restore != nil || !suspended(s, op.Holder)
	}
	op.Want, op.Minimum = 0, 0
	return op, op.Restore != nil || reported(s, op.Holder)
}

// Lost records that a holder's grant was closed in a shard. If it had yet to
// repeat it, nobody knows what it was granted last, unless a later incarnation had
// registered.
func Lost(s *ledger.Shard, h ledger.Holder) {
	if Pending(s) && !reported(s, h) && !succeeded(s, h) {
		s.Budgets[StateBudget].Unreported |= flagUncertain
	}
}

// succeeded reports whether, in the version to which a shard is restored, another
// incarnation of a holder's instance was registered or the holder was suspended.
func succeeded(s *ledger.Shard, h ledger.Holder) bool {
	if suspended(s, h) {
		return true
	}
	for other, g := range s.Budgets[StateBudget].Grants {
		if other != h && g.Final && instanceOf(other) == instanceOf(h) {
			return true
		}
	}
	return false
}

// Complete reports whether all holders that may have been granted tokens before
// the store came back have repeated their grants or have ended.
func (k *Keeper) Complete(index int, s *ledger.Shard, fleet Fleet) bool {
	if !Pending(s) || eraOf(s) != k.era {
		return false
	}
	for _, h := range fleet.Holders() {
		if !reportedBy(s, h) {
			return false
		}
	}
	for _, h := range k.registered(index, s) {
		if !reportedBy(s, h) && !fleet.Replaced(h) {
			return false
		}
	}
	return !anyUnreported(s)
}

// registered returns the holders that were registered in the version to which a
// shard is restored or known when the store came back.
func (k *Keeper) registered(index int, s *ledger.Shard) []ledger.Holder {
	all := slices.Collect(maps.Keys(k.shards[index].expected))
	for h, g := range s.Budgets[StateBudget].Grants {
		if g.Final && !g.Closed {
			all = append(all, h)
		}
	}
	return all
}

// reportedBy reports whether a holder or, if its incarnation isn't known, one of
// its instance has repeated its grants.
func reportedBy(s *ledger.Shard, h ledger.Holder) bool {
	if !strings.HasSuffix(string(h), "/") {
		return reported(s, h)
	}
	for other := range s.Budgets[StateBudget].Grants {
		if strings.HasPrefix(string(other), string(h)) && reported(s, other) {
			return true
		}
	}
	return false
}

// anyUnreported reports whether a shard has an open grant whose holder has yet to
// repeat it.
func anyUnreported(s *ledger.Shard) bool {
	for name, b := range s.Budgets {
		for h, g := range b.Grants {
			if name != StateBudget && h != ledger.Unaccounted && !g.Closed && !reported(s, h) && !succeeded(s, h) {
				return true
			}
		}
	}
	return false
}

// unaccounted returns the holders whose instances may have been granted tokens that
// nobody has repeated: an incarnation that was registered has ended without a
// report, or none is known to have run in the version to which the shard is
// restored, so that an earlier one may have held tokens.
func (k *Keeper) unaccounted(index int, s *ledger.Shard) []ledger.Holder {
	accounted := map[string]bool{}
	st := s.Budgets[StateBudget]
	for h, g := range st.Grants {
		if g.Final && (reported(s, h) || g.Closed) {
			accounted[instanceOf(h)] = true
		}
	}
	all := slices.AppendSeq(slices.Collect(maps.Keys(st.Grants)), maps.Keys(k.shards[index].expected))
	all = slices.DeleteFunc(all, func(h ledger.Holder) bool { return accounted[instanceOf(h)] })
	slices.Sort(all)
	return slices.Compact(all)
}

// Outcome is the end of the restoring of a shard.
type Outcome struct {
	// Unaccounted are the holders that may have been granted tokens which nobody has
	// repeated.
	Unaccounted []ledger.Holder
	// Withheld are the tokens that stay withheld.
	Withheld int64
}

// Finish ends an update of a shard while grants are repeated: it withholds what
// is available, or makes it available once all is repeated. The outcome is nil unless
// restoring has ended.
func (k *Keeper) Finish(index int, s *ledger.Shard, fleet Fleet) *Outcome {
	if !Pending(s) {
		return nil
	}
	if !k.Complete(index, s, fleet) {
		withholdAll(s)
		return nil
	}
	st := s.Budgets[StateBudget]
	st.Unreported &^= flagPending
	unaccounted := k.unaccounted(index, s)
	if len(unaccounted) > 0 || st.Unreported&flagUncertain != 0 {
		st.Unreported |= flagUncertain
		withholdAll(s)
	} else {
		for name, b := range s.Budgets {
			if name != StateBudget {
				b.Release()
			}
		}
	}
	maps.DeleteFunc(st.Grants, func(h ledger.Holder, g *ledger.Grant) bool { return !reported(s, h) && !g.Closed })
	for _, g := range st.Grants {
		g.Final = false
	}
	return &Outcome{Unaccounted: unaccounted, Withheld: Withheld(s)}
}

// Withheld returns the tokens that are withheld of all budgets of a shard.
func Withheld(s *ledger.Shard) int64 {
	var sum int64
	for b := range maps.Values(s.Budgets) {
		sum += b.Withheld()
	}
	return sum
}
