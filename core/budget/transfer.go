package budget

import (
	"maps"

	"plantainfield.example/core/ledger"
)

// transfers tracks, for each other holder, the cumulative tokens moved between
// the two accounts. A duplicate or late message changes nothing.
type transfers struct {
	sent      map[ledger.Holder]int64
	sentTotal int64
	// reported is the state of sent that the ledger has.
	reported map[ledger.Holder]int64
	// received has an entry for each holder from which a transfer was
	// requested.
	received      map[ledger.Holder]int64
	receivedTotal int64
	// recorded is the part of received that the ledger records.
	recorded      map[ledger.Holder]int64
	recordedTotal int64
}

// unrecorded returns the tokens that were received and are not yet part of this
// holder's grant in the ledger.
func (t *transfers) unrecorded() int64 { return t.receivedTotal - t.recordedTotal }

// reportDue reports whether the ledger lacks a transfer.
func (t *transfers) reportDue() bool {
	return t.unrecorded() > 0 || !maps.Equal(t.sent, t.reported)
}

// reconcile updates the transfers from this holder's record in the ledger.
func (t *transfers) reconcile(g *ledger.Grant) {
	for from, total := range g.Received {
		t.receive(from, total)
		t.recordedTotal += max(0, total-t.recorded[from])
		raise(&t.recorded, from, total)
	}
	for to := range g.Ended { // the receiver ended without claiming the rest
		if rest := t.sent[to] - g.Claimed[to]; rest > 0 {
			t.sent[to] -= rest
			t.sentTotal -= rest
		}
	}
}

func (t *transfers) receive(from ledger.Holder, total int64) {
	// total is the cumulative total received from the holder.
	t.receivedTotal += max(0, total-t.received[from])
	raise(&t.received, from, total)
}

func raise(m *map[ledger.Holder]int64, h ledger.Holder, total int64) {
	// The counters are cumulative: a lower total is ignored.
	if *m == nil {
		*m = map[ledger.Holder]int64{}
	}
	(*m)[h] = max((*m)[h], total)
}

// Transferable returns the tokens that may be sent to other holders. Received
// tokens that the ledger does not record yet are excluded, so that each claim
// can be met from the sender's own grant.
func (a *Account) Transferable() int64 {
	if a.ending() {
		return 0
	}
	return max(0, min(a.own(), a.Available(), a.room()))
}

// Send moves tokens to a holder that knows of a cumulative total of have and
// needs want more. It returns the new cumulative total; a repeated call moves
// nothing more.
func (a *Account) Send(to ledger.Holder, have, want int64) int64 {
	sent := a.transfers.sent[to]
	amount := min(want-(sent-have), a.Transferable())
	if amount <= 0 {
		return sent
	}
	raise(&a.transfers.sent, to, sent+amount)
	a.transfers.sentTotal += amount
	return sent + amount
}

// ExpectTransfer records that a transfer is requested from a holder and returns
// the cumulative total received from it.
func (a *Account) ExpectTransfer(from ledger.Holder) int64 {
	raise(&a.transfers.received, from, 0)
	return a.transfers.received[from]
}

// Receive records the cumulative total that a holder has sent.
func (a *Account) Receive(from ledger.Holder, total int64) {
	if total > 0 && !a.ending() {
		a.transfers.receive(from, total)
	}
}
