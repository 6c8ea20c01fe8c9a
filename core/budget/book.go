package budget

import (
	"slices"
	"time"

	"plantainfield.example/core/ledger"
)

// Book holds the accounts of one instance by budget name, grouped by ledger
// shard.
type Book struct {
	accounts map[string]*Account
	// lastSettle is when the last settle period ended.
	lastSettle time.Duration
	// nextMeasurement is the earliest time of the next measurement of the rates.
	nextMeasurement time.Duration
	// headroom limits what accounts expose, or is nil.
	headroom func(budget string, exposed int64) int64
	shards   []bookShard
}

// bookShard is the part of a book whose budgets are stored in one ledger
// object.
type bookShard struct {
	// names lists the shard's budgets that have an account, in sorted order.
	names []string
	// dirty is set once an account may have changed since the last ClearDirty.
	dirty bool
}

// NewBook returns an empty book for a number of ledger shards.
func NewBook(shards int) *Book {
	return &Book{accounts: map[string]*Account{}, shards: make([]bookShard, max(1, shards))}
}

// Account returns a budget's account for modification, creating it if needed,
// and marks its shard as dirty.
func (b *Book) Account(name string) *Account {
	shard := &b.shards[ledger.ShardOf(name, len(b.shards))]
	shard.dirty = true
	a := b.accounts[name]
	if a == nil {
		a = &Account{}
		if b.headroom != nil {
			a.headroom = func(exposed int64) int64 { return b.headroom(name, exposed) }
		}
		b.accounts[name] = a
		at, _ := slices.BinarySearch(shard.names, name)
		shard.names = slices.Insert(shard.names, at, name)
	}
	return a
}

// Lookup returns a budget's account, or nil, without marking its shard as
// dirty.
func (b *Book) Lookup(name string) *Account { return b.accounts[name] }

// BudgetsInShard returns the names of a ledger shard's budgets that have an
// account, in sorted order.
func (b *Book) BudgetsInShard(shard int) []string { return b.shards[shard].names }

// KnownOutside reports whether the ledger or other holders may know of an account
// of a shard.
func (b *Book) KnownOutside(shard int) bool {
	return slices.ContainsFunc(b.shards[shard].names, func(name string) bool { return b.accounts[name].knownOutside() })
}

// Dirty reports whether an account of a shard may have changed since the last
// ClearDirty.
func (b *Book) Dirty(shard int) bool { return b.shards[shard].dirty }

// MarkDirty marks a shard's accounts as changed.
func (b *Book) MarkDirty(shard int) { b.shards[shard].dirty = true }

// ClearDirty marks a shard's accounts as unchanged.
func (b *Book) ClearDirty(shard int) { b.shards[shard].dirty = false }

// Names returns the names of all budgets that have an account, in sorted order.
func (b *Book) Names() []string {
	names := make([]string, 0, len(b.accounts))
	for n := range b.accounts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// measurePeriod is the minimum time between two measurements of the accounts'
// rates.
const measurePeriod = rateWindow / 4

// MeasureRates updates the accounts' rates of spending if that is due.
func (b *Book) MeasureRates(now time.Duration) {
	if now < b.nextMeasurement {
		return
	}
	b.nextMeasurement = now + measurePeriod
	for _, a := range b.accounts {
		a.rates(now)
	}
}

// SettleDue reports whether the settle period has ended and, if so, starts the
// next one. The period grows with refill, the minimum time between two updates
// of the ledger.
func (b *Book) SettleDue(now, refill time.Duration) bool {
	if now-b.lastSettle < max(settlePeriod, settleRefills*refill) {
		return false
	}
	b.lastSettle = now
	return true
}

// View is a snapshot of one account for a state dump. Amounts are in tokens.
type View struct {
	Budget    string `json:"budget"`
	Granted   int64  `json:"granted"`
	Spent     int64  `json:"spent"`
	Reserved  int64  `json:"reserved"`
	Available int64  `json:"available"`
	Sequence  uint64 `json:"sequence"`
	OpenOp    bool   `json:"openOperation"`
}

// Views returns snapshots of all accounts for a state dump.
func (b *Book) Views() []View {
	views := make([]View, 0, len(b.accounts))
	for _, n := range b.Names() {
		a := b.accounts[n]
		views = append(views, View{n, a.granted, a.spent, a.reserved, a.Available(), a.sequence, a.open != nil})
	}
	return views
}
