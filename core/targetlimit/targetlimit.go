// Package targetlimit divides the limit that a target names for the requests of
// all instances among some of them, without any agreement between them.
//
// A few owners of a target, chosen by rendezvous hash, each send it an equal share
// of its limit; the others choose other targets. The fewer the requests that a
// target takes, the fewer its owners, since each may send its first request at any
// moment. Instances that differ in their view of the fleet differ in few owners.
package targetlimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usedShare is the part of a limit that its owners use together. The rest
	// covers owners that others don't know of.
	usedShare = 0.9
	// baseBurst and burstSeconds give the number of requests that all owners may
	// send at once: baseBurst and what the target takes in burstSeconds.
	baseBurst    = 3
	burstSeconds = 1
	// minPerSecond is the rate of requests, in a second, that a target gets however
	// low its limit, so that its responses show when that ends.
	minPerSecond = 0.2
)

// Share is the part of a target's limit that one instance may use. The zero value
// is no share.
type Share struct {
	// PerSecond is the rate of requests, and Burst the number of them that may be
	// sent at once after a pause, at least 1 unless there is no share.
	PerSecond, Burst float64
}

// ShareOf returns an instance's share of a target's limit, in requests a second,
// given the instances that send requests. An instance that is none of them has no
// share.
func ShareOf(limit float64, target, instance string, instances []string) Share {
	burst := baseBurst + limit*burstSeconds
	owners := min(len(instances), int(min(burst, float64(len(instances)))))
	rank := func(name string) uint64 { return xxhash.Sum64String(target + "\x00" + name) }
	own, ahead := rank(instance), 0
	for _, name := range instances {
		if rank(name) > own {
			ahead++
		}
	}
	if ahead >= owners || !slices.Contains(instances, instance) {
		return Share{}
	}
	return Share{PerSecond: usedShare * max(limit, minPerSecond) / float64(owners), Burst: burst / float64(owners)}
}

// Bucket counts the requests that one instance may send to one target. It starts
// empty.
type Bucket struct {
	share  Share
	filled float64
	at     time.Duration
}

// Set changes the share. Without one before, the bucket starts empty.
func (b *Bucket) Set(now time.Duration, s Share) {
	b.fill(now)
	if b.share == (Share{}) {
		b.filled = 0
	}
	b.share, b.filled = s, min(b.filled, s.Burst)
}

// Allows reports whether a request may be sent now.
func (b *Bucket) Allows(now time.Duration) bool {
	b.fill(now)
	return b.filled >= 1
}

// Take counts a request that is sent now.
func (b *Bucket) Take(now time.Duration) {
	b.fill(now)
	b.filled = max(0, b.filled-1)
}

// PerSecond returns the rate of requests that may be sent.
func (b *Bucket) PerSecond() float64 { return b.share.PerSecond }

func (b *Bucket) fill(now time.Duration) {
	b.filled = min(b.share.Burst, b.filled+b.share.PerSecond*(now-b.at).Seconds())
	b.at = now
}
