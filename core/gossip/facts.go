// Package gossip holds what instances tell each other in heartbeats: recent facts
// of the membership, and the ring that says who monitors whom.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"plantainfield.example/core/event"
)

const (
	// FactTimeout is the age at which a fact is dropped unless it is confirmed
	// again.
	FactTimeout = 5 * time.Second
	// maxFacts is the maximum number of facts in one heartbeat.
	maxFacts = 6
)

// Key identifies a fact. Incarnation is that of the instance or of the target; it
// is empty for event.FactSilent.
type Key struct {
	Kind        event.FactKind
	Name        string
	Incarnation string
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name), cmp.Compare(k.Incarnation, o.Incarnation))
}

// Fact is a membership change that is spread by gossip.
type Fact struct {
	// Confirmed is when the change was last observed directly, here or by a peer.
	Confirmed time.Duration
	// Limited and Limit are the statement of event.FactLimit.
	Limited bool
	Limit   float64
	// sent counts the heartbeats that carried the fact.
	sent int
}

// Facts holds the facts that one instance knows.
type Facts map[Key]*Fact

// Record stores a fact that was confirmed at a time. It returns the fact and
// whether that is news, or nil if the confirmation is too old or a later one is
// known.
func (f Facts) Record(now time.Duration, k Key, at time.Duration) (fact *Fact, isNew bool) {
	if now-at >= FactTimeout {
		return nil, false
	}
	known := f[k]
	if known == nil {
		f[k] = &Fact{Confirmed: at}
		return f[k], true
	}
	if at <= known.Confirmed {
		return nil, false
	}
	known.Confirmed = at
	return known, false
}

// Next selects the facts for the next heartbeat, those sent the fewest times
// first, and drops those that are too old.
func (f Facts) Next(now time.Duration) []event.Fact {
	var keys []Key
	for k, fact := range f {
		if now-fact.Confirmed >= FactTimeout {
			delete(f, k)
			continue
		}
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(f[a].sent, f[b].sent), a.compare(b)) })
	var out []event.Fact
	for _, k := range keys[:min(len(keys), maxFacts)] {
		fact := f[k]
		fact.sent++
		out = append(out, event.Fact{
			Kind: k.Kind, Name: k.Name, Incarnation: k.Incarnation, AgeMillis: (now - fact.Confirmed).Milliseconds(), Limited: fact.Limited, Limit: fact.Limit,
		})
	}
	return out
}
