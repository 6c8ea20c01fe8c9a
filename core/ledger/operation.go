package ledger

// Operation is one change that a holder makes to its own grant. It is
// idempotent by Sequence: the holder keeps at most one operation per budget
// open and repeats it unchanged until it is known to have taken effect.
type Operation struct {
	Holder Holder `json:"holder"`
	// Sequence is one higher than that of the holder's last operation on the
	// budget.
	Sequence uint64 `json:"sequence"`
	// Spent is the holder's cumulative spending, in tokens.
	Spent int64 `json:"spent"`
	// Return is the amount given back, which the holder has set aside, in
	// tokens.
	Return int64 `json:"return,omitempty"`
	// Want is the amount requested and Minimum the smallest amount that is
	// useful, both in tokens.
	Want    int64 `json:"want,omitempty"`
	Minimum int64 `json:"minimum,omitempty"`
	// Advance is set if no request waits for what it wants.
	Advance bool `json:"advance,omitempty"`
	// Received reports cumulative transfers from other holders. It contains
	// each holder that a transfer was requested from, with 0 if none arrived.
	Received map[Holder]int64 `json:"received,omitempty"`
	// Sent reports cumulative transfers to other holders.
	Sent map[Holder]int64 `json:"sent,omitempty"`
	// Final ends the grant: the holder will neither spend nor receive again.
	// Everything that it did not spend is returned. A final operation is never
	// a holder's first operation, so that a missing grant means that it took
	// effect.
	Final bool `json:"final,omitempty"`
	// Restore is set in a holder's first operation after the store came back from
	// an older copy.
	Restore *Restore `json:"restore,omitempty"`
}

// Apply applies an operation to the budget and reports whether it changed the
// budget. An operation that took effect before changes nothing.
func (b *Budget) Apply(op Operation) bool {
	g := b.Grants[op.Holder]
	if g == nil {
		if op.Sequence > 1 && op.Restore == nil {
			return false // the final operation has taken effect and removed the grant
		}
		g = &Grant{}
		b.Grants[op.Holder] = g
	}
	if op.Sequence <= g.Sequence {
		return false
	}
	g.Sequence = op.Sequence
	g.Closed = op.Final
	g.Final = op.Final
	if op.Restore != nil {
		b.restore(op, g)
	}
	for to, total := range op.Sent {
		if total > g.Claimed[to] {
			raise(&g.Sent, to, total)
		}
	}
	b.claimAll(op, g)
	// A holder that has spent more than its grant was granted it in a version that
	// the store lost.
	g.Granted = max(g.Granted, op.Spent)
	g.Spent = max(g.Spent, op.Spent)
	g.Granted = max(g.Spent+g.Unclaimed(), g.Granted-op.Return)
	if op.Final {
		b.end(op, g)
	}
	b.fitPrepaid()
	if !op.Final {
		g.Granted += b.grantable(op)
	}
	b.removeIfSettled(op.Holder, g)
	return true
}

// raise increases a cumulative counter; a lower total is ignored.
func raise(m *map[Holder]int64, h Holder, total int64) {
	if total <= (*m)[h] {
		return
	}
	if *m == nil {
		*m = map[Holder]int64{}
	}
	(*m)[h] = total
}

// claimAll moves the transfers that the holder received to its grant.
func (b *Budget) claimAll(op Operation, g *Grant) {
	for _, from := range b.HolderNames() {
		if b.Grants[from] != g {
			b.claim(op.Holder, g, from, op.Received[from])
		}
	}
}

// claim moves a sender's transfers up to a cumulative total to g.
func (b *Budget) claim(to Holder, g *Grant, from Holder, total int64) {
	sender := b.Grants[from]
	delta := min(total-g.Received[from], sender.Granted-sender.Spent)
	if delta <= 0 {
		return
	}
	raise(&g.Received, from, g.Received[from]+delta)
	raise(&sender.Claimed, to, sender.Claimed[to]+delta)
	if sender.Sent[to] <= sender.Claimed[to] {
		delete(sender.Sent, to)
	}
	sender.Granted -= delta
	g.Granted += delta
	b.removeIfSettled(from, sender)
}

// end returns what a final operation leaves unspent, and records at the senders
// that the holder will claim nothing more.
func (b *Budget) end(op Operation, g *Grant) {
	g.Granted = g.Spent + g.Unclaimed()
	for _, from := range b.HolderNames() {
		sender := b.Grants[from]
		_, asked := op.Received[from]
		if sender == g || (!asked && sender.Sent[op.Holder] == 0) {
			continue
		}
		if sender.Ended == nil {
			sender.Ended = map[Holder]bool{}
		}
		sender.Ended[op.Holder] = true
		if sender.Final {
			sender.Granted = sender.Spent + sender.Unclaimed()
			b.removeIfSettled(from, sender)
		}
	}
}

// grantable returns the amount that the budget can grant for op.
func (b *Budget) grantable(op Operation) int64 {
	amount := min(op.Want, b.Available())
	if amount < op.Minimum {
		return 0
	}
	return max(0, amount)
}

// removeIfSettled removes a final grant that is fully spent and adds its
// spending to Settled. A grant that was closed on behalf of a missing holder
// stays, because the holder may report again.
func (b *Budget) removeIfSettled(h Holder, g *Grant) {
	if g.Final && g.Spent == g.Granted {
		b.Settled += g.Spent
		delete(b.Grants, h)
	}
}

// Close charges the whole grant of a holder that is presumed dead, and reports
// whether that changed the budget. The charge is corrected when the holder
// reports again, so closing the grant of a holder that is still alive is safe.
func (b *Budget) Close(h Holder) bool {
	g := b.Grants[h]
	if g == nil || g.Closed {
		return false
	}
	g.Closed = true
	return true
}

// Unexposed returns the part of a grant that its holder can't have used, given the
// most that it ever spent and sent to others, in tokens. A nil grant has none.
func (g *Grant) Unexposed(most int64) int64 {
	if g == nil {
		return 0
	}
	return max(0, g.Granted-max(most-g.ClaimedTotal(), g.Spent+g.Unclaimed()))
}

// CloseAt closes the grant of a holder that has ended for certain, and charges only
// what the holder ever spent and sent to others at the most. It returns the tokens
// that it was granted beyond that.
func (b *Budget) CloseAt(h Holder, most int64) int64 {
	g := b.Grants[h]
	if g == nil {
		return 0
	}
	g.Closed = true
	unexposed := g.Unexposed(most)
	g.Granted -= unexposed
	b.fitPrepaid()
	return unexposed
}

// Compact adds what a closed grant charges to Settled and removes the grant. It
// reports whether that changed the budget. The holder must be replaced for good:
// an operation of it that still arrives changes nothing, and tokens that it sent
// and that the receiver has not claimed stay charged here.
func (b *Budget) Compact(h Holder) bool {
	g := b.Grants[h]
	if g == nil || !g.Closed {
		return false
	}
	b.Settled += g.Granted
	b.Unreported += g.Granted - g.Spent
	delete(b.Grants, h)
	return true
}
