package budget

import (
	"maps"

	"plantainfield.example/core/ledger"
)

// transfers counts, for each other holder, the cumulative tokens that moved
// between the two accounts. A repeated or late message changes nothing.
type transfers struct {
	sent      map[ledger.Holder]int64
	sentTotal int64
	// reported is sent as the ledger has it.
	reported map[ledger.Holder]int64
	// received has an entry for each holder that was asked.
	received      map[ledger.Holder]int64
	receivedTotal int64
	// recorded is the part of received that the ledger records.
	recorded      map[ledger.Holder]int64
	recordedTotal int64
}

// unrecorded is what was received and is not yet in this holder's grant.
func (t *transfers) unrecorded() int64 { return t.receivedTotal - t.recordedTotal }

// reportDue tells whether the ledger lacks a transfer.
func (t *transfers) reportDue() bool {
	return t.unrecorded() > 0 || !maps.Equal(t.sent, t.reported)
}

// see takes this holder's record in the ledger.
func (t *transfers) see(g *ledger.Grant) {
	for from, total := range g.Received {
		t.receive(from, total)
		t.recordedTotal += max(0, total-t.recorded[from])
		raise(&t.recorded, from, total)
	}
	for to := range g.Ended { // the receiver ended without the rest
		if rest := t.sent[to] - g.Claimed[to]; rest > 0 {
			t.sent[to] -= rest
			t.sentTotal -= rest
		}
	}
}

func (t *transfers) receive(from ledger.Holder, total int64) {
	t.receivedTotal += max(0, total-t.received[from])
	raise(&t.received, from, total)
}

func raise(m *map[ledger.Holder]int64, h ledger.Holder, total int64) {
	if *m == nil {
		*m = map[ledger.Holder]int64{}
	}
	(*m)[h] = max((*m)[h], total)
}

// Transferable is what may be sent to other holders: received tokens that the
// ledger does not record yet stay here, so that each claim can be met from the
// sender's own grant.
func (a *Account) Transferable() int64 {
	if a.ending() {
		return 0
	}
	return max(0, min(a.own(), a.Available()))
}

// Send moves tokens to a holder that knows of a cumulative total of have and
// lacks want more. It returns the new cumulative total; a repeated call moves
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

// ExpectTransfer notes that a holder is asked for a transfer and returns the cumulative
// total received from it.
func (a *Account) ExpectTransfer(from ledger.Holder) int64 {
	raise(&a.transfers.received, from, 0)
	return a.transfers.received[from]
}

// Receive takes a cumulative total that a holder sent.
func (a *Account) Receive(from ledger.Holder, total int64) {
	if total > 0 && !a.ending() {
		a.transfers.receive(from, total)
	}
}
