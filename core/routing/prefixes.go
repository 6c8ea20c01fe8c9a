package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPrefixes limits the prefixes that are remembered of one target's
	// cache.
	maxPrefixes = 8192
	// eventLag is the maximum delay of a cache event. An eviction is ignored
	// for a prefix that was used here more recently than that.
	eventLag = 5 * time.Second
	// trustAfterGap is how long a prefix that was used here counts as cached
	// although events were lost.
	trustAfterGap = 30 * time.Second
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 2 * time.Second
)

// Prefixes holds the prompt prefixes that are assumed to be in one target's
// cache.
type Prefixes struct{ entries map[uint64]prefix }

// prefix is one cached prefix.
type prefix struct {
	// seen is when the prefix was last known to be cached; used is when a
	// request of this instance last used it, neverUsed if none did.
	seen, used time.Duration
}

const neverUsed = time.Duration(math.MinInt64 / 2)

// NewPrefixes returns an empty set of prefixes.
func NewPrefixes() *Prefixes { return &Prefixes{entries: map[uint64]prefix{}} }

// RecordUse records that a request of this instance used its prefixes at the
// target.
func (p *Prefixes) RecordUse(hashes []uint64, now time.Duration) {
	for _, h := range hashes {
		p.entries[h] = prefix{seen: now, used: now}
	}
	p.trim()
}

// RecordCached records cache events for prefixes that were added.
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

// RecordEvicted records cache events for prefixes that were evicted.
func (p *Prefixes) RecordEvicted(hashes []uint64, now time.Duration) {
	for _, h := range hashes {
		if e, ok := p.entries[h]; ok && now-e.used >= eventLag {
			delete(p.entries, h)
		}
	}
}

// RecordEventLoss handles the loss of events, which may have included
// evictions.
func (p *Prefixes) RecordEventLoss(now time.Duration) {
	for h, e := range p.entries {
		if now-e.used >= trustAfterGap {
			delete(p.entries, h)
		}
	}
}

// Match returns the number of the prompt's prefixes, shortest first, up to the
// longest one that is cached.
func (p *Prefixes) Match(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := p.entries[hashes[i]]; ok {
			return i + 1
		}
	}
	return 0
}

// trim drops the older half once there are too many prefixes.
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
	// peak is the maximum number of this instance's attempts in flight since
	// the last report.
	peak int
	// others is the load of other instances according to the last report.
	others     int
	reportedAt time.Duration
}

// ObserveInFlight records how many attempts of this instance are in flight.
func (l *Load) ObserveInFlight(inFlight int) { l.peak = max(l.peak, inFlight) }

// ObserveReport records the target's own report of all attempts. The report
// lags, so the maximum that this instance had in flight since the last one is
// subtracted.
func (l *Load) ObserveReport(total, inFlight int, now time.Duration) {
	l.others = max(0, total-max(l.peak, inFlight))
	l.peak, l.reportedAt = inFlight, now
}

// OtherLoad returns the load of other instances; it decays with the report's
// age.
func (l *Load) OtherLoad(now time.Duration) float64 {
	age := float64(now-l.reportedAt) / float64(reportHalfLife)
	return float64(l.others) * math.Exp2(-age)
}
