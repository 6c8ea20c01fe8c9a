package exposure

import (
	"maps"
	"slices"
	"time"

	"plantainfield.example/core/ledger"
)

const (
	// releaseTimeout is how long it is kept what an incarnation can have exposed: a
	// delayed operation may open its grant again meanwhile.
	releaseTimeout = 15 * time.Second
	// releasePeriod is the time between two messages to the writer of the ledger.
	releasePeriod = 500 * time.Millisecond
)

// Releases holds what incarnations that have ended can have exposed. The zero value is
// empty.
type Releases struct {
	ended    map[ledger.Holder]*release
	nextSend time.Duration
}

type release struct {
	Ended
	since time.Duration
	// own is set if this instance is the witness.
	own bool
}

// Add records what an incarnation can have exposed, as known by this instance (own) or
// by a peer, and reports whether it is new. Of two witnesses both bounds hold.
func (r *Releases) Add(now time.Duration, e Ended, own bool) bool {
	h := ledger.Holder(e.Instance + "/" + e.Incarnation)
	if known := r.ended[h]; known != nil {
		known.own = known.own || own
		for budget, most := range e.Exposed {
			if former, ok := known.Exposed[budget]; !ok || most < former {
				known.Exposed[budget] = most
			}
		}
		return false
	}
	if r.ended == nil {
		r.ended = map[ledger.Holder]*release{}
	}
	e.Exposed = maps.Clone(e.Exposed)
	r.ended[h] = &release{e, now, own}
	return true
}

// Due returns what this instance witnessed, if the writer of the ledger is to be told
// now, and drops what is too old.
func (r *Releases) Due(now time.Duration) []Ended {
	maps.DeleteFunc(r.ended, func(_ ledger.Holder, e *release) bool { return now-e.since >= releaseTimeout })
	if now < r.nextSend || len(r.ended) == 0 {
		return nil
	}
	r.nextSend = now + releasePeriod
	var due []Ended
	for _, h := range slices.Sorted(maps.Keys(r.ended)) {
		if r.ended[h].own {
			due = append(due, r.ended[h].Ended)
		}
	}
	return due
}

// Apply closes the grants of these incarnations in a shard and reduces them to what
// can have been exposed. It returns the tokens that become available, by holder.
func (r *Releases) Apply(s *ledger.Shard) map[ledger.Holder]int64 {
	released := map[ledger.Holder]int64{}
	for h, e := range r.ended {
		for budget, most := range e.Exposed {
			if b := s.Budgets[budget]; b != nil {
				released[h] += b.CloseAt(h, most)
			}
		}
	}
	maps.DeleteFunc(released, func(_ ledger.Holder, tokens int64) bool { return tokens == 0 })
	return released
}

// Applicable reports whether Apply would make tokens of a shard available.
func (r *Releases) Applicable(s *ledger.Shard) bool {
	for h, e := range r.ended {
		for budget, most := range e.Exposed {
			if b := s.Budgets[budget]; b != nil && b.Grants[h].Unexposed(most) > 0 {
				return true
			}
		}
	}
	return false
}
