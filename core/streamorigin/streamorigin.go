// Package streamorigin remembers which software began a stream, so that only
// targets with the same software go on with it.
//
// The instance that relays the first event of a stream records its origin, and
// tells the holders of that stream: a few instances that any other one can
// determine from the stream's name. An instance that a caller resumes the stream
// at asks the holders.
package streamorigin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Holders is the number of instances that keep an origin, besides the one that
	// recorded it. Asked is the number that are asked for it: more, because views of
	// the fleet differ after an instance has stopped.
	Holders = 3
	Asked   = 5
	// recordAge is how long an origin is kept: longer than callers wait for a stream.
	recordAge = time.Minute
	// maxRecords bounds the number of origins that one instance keeps.
	maxRecords = 1 << 14
)

// Origin is what began a stream: the software of a service in one version.
type Origin struct {
	Serves  string `json:"serves"`
	Version string `json:"version"`
}

// Record is the origin of one stream.
type Record struct {
	// Stream is the Key of the caller's attempt that brought the first event.
	Stream uint64 `json:"stream"`
	Origin
}

// Key identifies a stream by the caller's attempt that brought its first event.
func Key(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Rank returns the instances that hold a stream's origin, the first holder first
// and at most count of them. It ranks by rendezvous hashing, so that most streams
// keep their holders when an instance starts or stops.
func Rank(stream uint64, instances []string, count int) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	all := make([]ranked, 0, len(instances))
	for _, name := range instances {
		all = append(all, ranked{name, mix(stream ^ xxhash.Sum64String(name))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	var out []string
	for _, r := range all[:min(count, len(all))] {
		out = append(out, r.name)
	}
	return out
}

// mix spreads the bits of a hash, so that similar ones rank differently
// (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

type entry struct {
	origin Origin
	since  time.Duration
}

// Table holds the origins that one instance keeps.
type Table struct {
	entries map[uint64]entry
	// order holds the streams in the order in which they were recorded.
	order []uint64
	// versions holds when a target of each origin last served.
	versions map[Origin]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[uint64]entry{}, versions: map[Origin]time.Duration{}}
}

// Record keeps the origin of a stream. The first record of a stream stays.
func (t *Table) Record(now time.Duration, r Record) {
	if _, known := t.entries[r.Stream]; known {
		return
	}
	t.entries[r.Stream] = entry{r.Origin, now}
	t.order = append(t.order, r.Stream)
	for len(t.order) > 0 && (len(t.order) > maxRecords || now-t.entries[t.order[0]].since >= recordAge) {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

// Lookup returns the origin of a stream, if it is known.
func (t *Table) Lookup(stream uint64) (Origin, bool) {
	e, ok := t.entries[stream]
	return e.origin, ok
}

// Len returns the number of origins.
func (t *Table) Len() int { return len(t.entries) }

// Served records that a target of an origin served at a time.
func (t *Table) Served(now time.Duration, o Origin) { t.versions[o] = now }

// Versions returns the versions of a service's targets that served within the life of
// a stream, in order. That a version ran before this instance started is not known
// here.
func (t *Table) Versions(now time.Duration, serves string) []string {
	var found []string
	for o, at := range t.versions {
		switch {
		case now-at >= recordAge:
			delete(t.versions, o)
		case o.Serves == serves:
			found = append(found, o.Version)
		}
	}
	slices.Sort(found)
	return found
}
