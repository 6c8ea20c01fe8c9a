package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPrefixes bounds what is remembered of one target's cache.
	maxPrefixes = 8192
	// eventLag is how late a cache event may be. An eviction is not believed
	// of a prefix that was used here more recently.
	eventLag = 5 * time.Second
	// trustAfterGap is how long a prefix that was used here counts as cached
	// although events were lost.
	trustAfterGap = 30 * time.Second
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 2 * time.Second
)

// Prefixes is what is known of the prompt prefixes in one target's cache.
type Prefixes struct{ entries map[uint64]prefix }

// prefix is one cached prefix.
type prefix struct {
	// seen is when it was last known to be cached, used when a request of this
	// instance last used it; used is negative if none did.
	seen, used time.Duration
}

const neverUsed = time.Duration(math.MinInt64 / 2)

// NewPrefixes returns an empty cache.
func NewPrefixes() *Prefixes { return &Prefixes{entries: map[uint64]prefix{}} }

// RecordUse takes that a request of this instance brought its prefixes to the target.
func (p *Prefixes) RecordUse(hashes []uint64, now time.Duration) {
	for _, h := range hashes {
		p.entries[h] = prefix{seen: now, used: now}
	}
	p.trim()
}

// RecordCached takes cache events about prefixes that came in.
func (p *Prefixes) RecordCached(hashes []uint64, now time.Duration) {
	for _, h := range hashes {
		e, known := p.entries[h]
		if !known {
			e.used = neverUsed
		}
		e.seen = now
		p.entries[h] = e
	}
	p.trim()
}

// RecordEvicted takes cache events about prefixes that went out.
func (p *Prefixes) RecordEvicted(hashes []uint64, now time.Duration) {
	for _, h := range hashes {
		if e, ok := p.entries[h]; ok && now-e.used >= eventLag {
			delete(p.entries, h)
		}
	}
}

// RecordEventLoss takes that events were lost, evictions perhaps among them.
func (p *Prefixes) RecordEventLoss(now time.Duration) {
	for h, e := range p.entries {
		if now-e.used >= trustAfterGap {
			delete(p.entries, h)
		}
	}
}

// Match is the number of a prompt's prefixes, shortest first, up to the longest
// that is cached.
func (p *Prefixes) Match(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.entries[hashes[i]]; ok {
			return i + 1
		}
	}
	return 0
}

// trim forgets the older half once there are too many.
func (p *Prefixes) trim() {
	if len(p.entries) <= maxPrefixes {
		return
	}
	hashes := make([]uint64, 0, len(p.entries))
	for h := range p.entries {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(p.entries[a].seen, p.entries[b].seen), cmp.Compare(a, b))
	})
	for _, h := range hashes[:len(hashes)-maxPrefixes/2] {
		delete(p.entries, h)
	}
}

// Load is what is known of one target's load.
type Load struct {
	// peak is the most of this instance's attempts that were in flight since
	// the last report.
	peak int
	// others is the load of other instances by the last report.
	others     int
	reportedAt time.Duration
}

// ObserveInFlight takes how many attempts of this instance are in flight.
func (l *Load) ObserveInFlight(inFlight int) { l.peak = max(l.peak, inFlight) }

// ObserveReport takes the target's own report of all attempts. It lags, so that what
// this instance had in flight since the last one is taken off.
func (l *Load) ObserveReport(total, inFlight int, now time.Duration) {
	l.others = max(0, total-max(l.peak, inFlight))
	l.peak, l.reportedAt = inFlight, now
}

// OtherLoad is the load of other instances; it fades with the report's age.
func (l *Load) OtherLoad(now time.Duration) float64 {
	age := float64(now-l.reportedAt) / float64(reportHalfLife)
	return float64(l.others) * math.Exp2(-age)
}
