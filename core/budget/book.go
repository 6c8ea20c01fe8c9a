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
	// lastSettle is when spending was last put into operations.
	lastSettle time.Duration
	shards     []bookShard
}

// bookShard is the part of a book that one ledger object holds.
type bookShard struct {
	// names are the shard's budgets with an account, in order.
	names []string
	// touched is set once an account may have changed since the last ClearDirty.
	touched bool
}

// NewBook returns an empty book for a number of ledger shards.
func NewBook(shards int) *Book {
	return &Book{accounts: map[string]*Account{}, shards: make([]bookShard, max(1, shards))}
}

// Account returns a budget's account to change it, and creates it if needed.
func (b *Book) Account(name string) *Account {
	shard := &b.shards[ledger.ShardOf(name, len(b.shards))]
	shard.touched = true
	a := b.accounts[name]
	if a == nil {
		a = &Account{}
		b.accounts[name] = a
		at, _ := slices.BinarySearch(shard.names, name)
		shard.names = slices.Insert(shard.names, at, name)
	}
	return a
}

// Lookup returns a budget's account, or nil, without marking it as touched.
func (b *Book) Lookup(name string) *Account { return b.accounts[name] }

// BudgetsInShard returns the budgets of a ledger shard with an account, in order.
func (b *Book) BudgetsInShard(shard int) []string { return b.shards[shard].names }

// Dirty tells whether an account of a shard may have changed since ClearDirty.
func (b *Book) Dirty(shard int) bool { return b.shards[shard].touched }

// MarkDirty marks a shard's accounts as changed.
func (b *Book) MarkDirty(shard int) { b.shards[shard].touched = true }

// ClearDirty starts to watch for changes of a shard's accounts anew.
func (b *Book) ClearDirty(shard int) { b.shards[shard].touched = false }

// Names returns the budgets with an account, in order.
func (b *Book) Names() []string {
	names := make([]string, 0, len(b.accounts))
	for n := range b.accounts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// SettleDue tells whether the settle period is over and starts the next one.
// The period is longer where updates of the ledger are to be rare.
func (b *Book) SettleDue(now, refill time.Duration) bool {
	if now-b.lastSettle < max(settlePeriod, settleRefills*refill) {
		return false
	}
	b.lastSettle = now
	return true
}

// View is one account for a state dump, in tokens.
type View struct {
	Budget    string `json:"budget"`
	Granted   int64  `json:"granted"`
	Spent     int64  `json:"spent"`
	Reserved  int64  `json:"reserved"`
	Available int64  `json:"available"`
	Sequence  uint64 `json:"sequence"`
	OpenOp    bool   `json:"openOperation"`
}

// Views returns all accounts for a state dump.
func (b *Book) Views() []View {
	views := make([]View, 0, len(b.accounts))
	for _, n := range b.Names() {
		a := b.accounts[n]
		views = append(views, View{n, a.granted, a.spent, a.reserved, a.Available(), a.sequence, a.open != nil})
	}
	return views
}
