package budget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/ledger"
)

const budgetName = "b"

// model is one ledger object with conditional updates, and its holders.
type model struct {
	raw     []byte
	version int
	// target and generation are the configuration; maxTarget is the largest
	// target so far.
	target     int64
	maxTarget  int64
	generation uint64
	policy     config.GrantPolicy
	holders    []*holder
	messages   []message
	now        time.Duration
}

// holder is one incarnation of an instance. Its true spending is tracked
// separately from the account.
type holder struct {
	name         ledger.Holder
	account      Account
	reservations []int64
	spent        int64
	// writes are conditional updates in flight; any of them may arrive late.
	writes []write
}

// write is a new value of the object, to be stored if the object still has the
// given version.
type write struct {
	version int
	raw     []byte
}

// message is a transfer in flight, with the cumulative total that from has sent;
// it may be lost, duplicated or reordered.
type message struct {
	from, to *holder
	total    int64
}

func newModel(rt *rapid.T) *model {
	m := &model{target: 1000, maxTarget: 1000, generation: 1}
	m.policy = config.GrantPolicy{SizeTokens: 100, RunwaySeconds: 5, MaxSharePerMille: 300, PeerTransfer: true}
	m.policy.Policy = rapid.SampledFrom([]string{config.GrantStatic, config.GrantFixed, config.GrantAdaptive, config.GrantSpread}).Draw(rt, "policy")
	for i := range 4 {
		m.holders = append(m.holders, &holder{name: ledger.Holder(fmt.Sprintf("n%d/1", i))})
	}
	return m
}

func (m *model) shard() *ledger.Shard {
	s, err := ledger.Decode(m.raw)
	if err != nil {
		panic(err)
	}
	return s
}

func (m *model) budget() *ledger.Budget { return m.shard().Budget(budgetName) }

// write replaces the object if it still has the version that the update names.
func (m *model) write(w write) {
	if w.version == m.version {
		m.version++
		m.raw = w.raw
	}
}

// prepare reads the ledger, completes the operation that took effect and
// creates the next write.
func (m *model) prepare(h *holder, settle, final bool) {
	s := m.shard()
	b := s.Budget(budgetName)
	h.account.Reconcile(b, h.name)
	sizing := Sizing{Policy: m.policy, Prepaid: b.Prepaid, LedgerAvailable: b.Available(), Instances: int64(len(m.holders)), Background: settle}
	var op *ledger.Operation
	if final {
		op = h.account.PrepareFinal(h.name)
	} else {
		op = h.account.Prepare(m.now, h.name, sizing, settle)
	}
	if op == nil {
		return
	}
	b.SetTarget(m.target, m.generation)
	b.Apply(*op)
	raw, err := s.Encode()
	if err != nil {
		panic(err)
	}
	h.writes = append(h.writes, write{m.version, raw})
}

// transfer lets one holder request tokens from another; the request may arrive
// twice.
func (m *model) transfer(from, to *holder, want int64, twice bool) {
	if from == to || to.account.ending() {
		return
	}
	have := to.account.ExpectTransfer(from.name)
	total := from.account.Send(to.name, have, want)
	if twice {
		total = from.account.Send(to.name, have, want)
	}
	m.messages = append(m.messages, message{from, to, total})
}

func (m *message) deliver() { m.to.account.Receive(m.from.name, m.total) }

// check verifies the invariants that hold at every version.
func (m *model) check(rt *rapid.T) {
	b := m.budget()
	if err := b.Check(); err != nil {
		rt.Fatalf("version %d: %v", m.version, err)
	}
	var spent, held int64
	for _, h := range m.holders {
		spent += h.spent
		held += h.spent
		for _, r := range h.reservations {
			held += r
		}
		if h.account.Available() < 0 {
			rt.Fatalf("holder %s: available %d", h.name, h.account.Available())
		}
	}
	if held > b.Committed() {
		rt.Fatalf("holders spent and reserved %d, but the ledger committed only %d", held, b.Committed())
	}
	if spent > m.maxTarget {
		rt.Fatalf("holders spent %d of at most %d prepaid", spent, m.maxTarget)
	}
}

// finish lets every holder settle and return its grant, in random order and
// without messages, and checks that exactly the true spending stays charged.
func (m *model) finish(rt *rapid.T) {
	var spent int64
	for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(rt, "order") {
		h := m.holders[i]
		for len(h.reservations) > 0 {
			h.settle(0, 1)
		}
		for range 10 {
			m.prepare(h, true, true)
			for _, w := range h.writes {
				m.write(w)
			}
			m.check(rt)
		}
		spent += h.spent
		if !h.account.Returned() {
			rt.Fatalf("holder %s has not returned its grant", h.name)
		}
	}
	b := m.budget()
	if b.Outstanding() != 0 || b.SettledTotal() != spent {
		rt.Fatalf("spent %d, settled %d, outstanding %d; grants %v", spent, b.SettledTotal(), b.Outstanding(), b.HolderNames())
	}
	if want := max(m.target, spent); m.version > 0 && len(b.Grants) == 0 && b.Generation == m.generation && b.Prepaid != want {
		rt.Fatalf("prepaid %d, want %d", b.Prepaid, want)
	}
}

func (h *holder) settle(i int, used int64) {
	r := h.reservations[i]
	h.reservations = slices.Delete(h.reservations, i, i+1)
	used = min(r, used)
	h.account.Settle(r, used)
	h.spent += used
}

func (m *model) any(rt *rapid.T) *holder {
	return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(rt, "holder")]
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": func(rt *rapid.T) {
			h, n := m.any(rt), rapid.Int64Range(1, 200).Draw(rt, "tokens")
			if h.account.Reserve(n) {
				h.reservations = append(h.reservations, n)
			} else {
				h.account.AddShortfall(n)
			}
		},
		"settle": func(rt *rapid.T) {
			if h := m.any(rt); len(h.reservations) > 0 {
				h.settle(rapid.IntRange(0, len(h.reservations)-1).Draw(rt, "which"), rapid.Int64Range(0, 200).Draw(rt, "used"))
			}
		},
		"prepare": func(rt *rapid.T) { m.prepare(m.any(rt), rapid.Bool().Draw(rt, "settle"), false) },
		"write": func(rt *rapid.T) { // late or duplicated; the holder gets no result
			if h := m.any(rt); len(h.writes) > 0 {
				m.write(h.writes[rapid.IntRange(0, len(h.writes)-1).Draw(rt, "write")])
			}
		},
		"write at once": func(rt *rapid.T) {
			h := m.any(rt)
			m.prepare(h, true, false)
			if len(h.writes) > 0 {
				m.write(h.writes[len(h.writes)-1])
			}
			h.account.Reconcile(m.budget(), h.name)
		},
		"return": func(rt *rapid.T) {
			if h := m.any(rt); len(h.reservations) == 0 {
				m.prepare(h, true, true)
				if rapid.Bool().Draw(rt, "arrives") && len(h.writes) > 0 {
					m.write(h.writes[len(h.writes)-1])
				}
			}
		},
		"close": func(rt *rapid.T) { // another holder presumes this one dead
			s := m.shard()
			if s.Budget(budgetName).Close(m.any(rt).name) {
				raw, _ := s.Encode()
				m.write(write{m.version, raw})
			}
		},
		"transfer": func(rt *rapid.T) {
			m.transfer(m.any(rt), m.any(rt), rapid.Int64Range(1, 200).Draw(rt, "want"), rapid.Bool().Draw(rt, "twice"))
		},
		"deliver": func(rt *rapid.T) { // the message is kept, to be delivered again
			if len(m.messages) > 0 {
				m.messages[rapid.IntRange(0, len(m.messages)-1).Draw(rt, "message")].deliver()
			}
		},
		"prepaid": func(rt *rapid.T) {
			m.generation++
			m.target = rapid.Int64Range(0, 2000).Draw(rt, "total")
			m.maxTarget = max(m.maxTarget, m.target)
		},
		"wait": func(rt *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond },
		"":     m.check,
	}
}

// TestBudgetIsNeverOverspentNorLost lets holders update one ledger object under
// lost results, late writes, closed grants, changed totals and lost,
// duplicated and reordered transfers.
func TestBudgetIsNeverOverspentNorLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(m.actions())
		m.finish(rt)
	})
}

// TestBudgetIsNotOverspentThroughCompaction also removes closed grants, even of
// holders that are still running and that other holders got tokens from.
func TestBudgetIsNotOverspentThroughCompaction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		actions := m.actions()
		actions["compact"] = func(rt *rapid.T) {
			s := m.shard()
			b, h := s.Budget(budgetName), m.any(rt)
			b.Close(h.name)
			if b.Compact(h.name) {
				raw, _ := s.Encode()
				m.write(write{m.version, raw})
			}
		}
		rt.Repeat(actions)
	})
}
