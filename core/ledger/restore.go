package ledger

// Unaccounted is the holder of tokens that are withheld because holders may have been
// granted them in versions that the store lost.
const Unaccounted Holder = "*/0"

// Restore is what a holder knows of its own grant, which it repeats after the
// store came back from an older copy. All counters are cumulative, in tokens.
type Restore struct {
	// Total is what the holder was ever granted, including what other holders
	// have claimed of it.
	Total int64 `json:"total"`
	// Received is what is recorded as moved here from each other holder, and
	// Claimed what was moved to them as far as the holder knows.
	Received map[Holder]int64 `json:"received,omitempty"`
	Claimed  map[Holder]int64 `json:"claimed,omitempty"`
}

// restore replaces the grant of an operation's holder by what the holder knows
// of it. A claim that only one of the two grants shows is completed in the other.
func (b *Budget) restore(op Operation, g *Grant) {
	for from, total := range op.Restore.Received {
		raise(&g.Received, from, total)
		if sender := b.Grants[from]; sender != nil {
			sender.completeClaim(op.Holder, total)
		}
	}
	for to, total := range op.Restore.Claimed {
		raise(&g.Claimed, to, total)
	}
	for to, receiver := range b.Grants {
		raise(&g.Claimed, to, receiver.Received[op.Holder])
	}
	g.Sent = nil
	g.Granted = max(0, op.Restore.Total-g.ClaimedTotal())
}

// completeClaim records a claim of a receiver that g lacks.
func (g *Grant) completeClaim(to Holder, total int64) {
	delta := total - g.Claimed[to]
	if delta <= 0 {
		return
	}
	raise(&g.Claimed, to, total)
	g.Granted -= min(delta, max(0, g.Granted-g.Spent))
	if g.Sent[to] <= total {
		delete(g.Sent, to)
	}
}

// Join replaces the budget by a later version of it that an instance saw before
// the store came back from an older copy. Grants that current reports as repeated
// by their holders since then stay; if such a grant has been removed since, the
// one seen is charged whole.
func (b *Budget) Join(seen *Budget, current func(Holder) bool) {
	grants := map[Holder]*Grant{}
	for h, g := range seen.Grants {
		grants[h] = g.clone()
		if current(h) {
			grants[h].Closed = true
		}
	}
	for h, g := range b.Grants {
		if current(h) {
			grants[h] = g
		}
	}
	b.Grants = grants
	b.Settled, b.Unreported = max(b.Settled, seen.Settled), max(b.Unreported, seen.Unreported)
	if seen.Generation > b.Generation {
		b.Generation, b.Target = seen.Generation, seen.Target
	}
	for _, h := range b.HolderNames() {
		for from, total := range b.Grants[h].Received {
			if sender := b.Grants[from]; sender != nil {
				sender.completeClaim(h, total)
			}
		}
	}
	b.fitPrepaid()
}

// Withhold grants to Unaccounted all that the budget could have granted at the largest
// total since that grant was made, or at another total if that is larger. The grant's
// sequence number is that total.
func (b *Budget) Withhold(total int64) {
	total = max(total, b.Target)
	if g := b.Grants[Unaccounted]; g != nil {
		total = max(total, int64(g.Sequence))
	}
	delete(b.Grants, Unaccounted)
	if b.Grants == nil {
		b.Grants = map[Holder]*Grant{}
	}
	b.Grants[Unaccounted] = &Grant{Sequence: uint64(total), Granted: max(0, total-b.Committed())}
	b.fitPrepaid()
}

// Withheld returns the tokens that are withheld.
func (b *Budget) Withheld() int64 {
	if g := b.Grants[Unaccounted]; g != nil {
		return g.Granted
	}
	return 0
}

// Release makes the withheld tokens available.
func (b *Budget) Release() {
	delete(b.Grants, Unaccounted)
	b.fitPrepaid()
}
