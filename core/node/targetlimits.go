package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
	"plantainfield.example/core/targetlimit"
)

const (
	// limitRepeatPeriod is the time after which an unchanged limit is told to peers
	// again.
	limitRepeatPeriod = 2 * time.Second
	// limitTimeout is the time without any statement of a target after which its
	// limit no longer counts; instances differ by up to the same time, so that they
	// don't all try the target at once.
	limitTimeout = 30 * time.Second
	// limitCheckPeriod is the time between two checks for such limits.
	limitCheckPeriod = time.Second
)

// statedLimit is the limit that a target names for the requests of all instances
// together, and what this instance may use of it.
type statedLimit struct {
	// known is set while the target names a limit, which is perSecond.
	known     bool
	perSecond float64
	// confirmed is when the target last stated it, or that there is none, and
	// announced when peers were last told.
	confirmed, announced time.Duration
	// bucket counts this instance's requests. Its share is as of sharedAt.
	bucket   targetlimit.Bucket
	sharedAt time.Duration
}

// limitNoticed handles the limit that a target names, or that it names none, and
// tells peers.
func (n *Node) limitNoticed(t *target, e event.TargetNotice) {
	changed := n.setLimit(t, e.Limited, e.Limit, n.now)
	if changed || e.Limited && n.now-t.limit.announced >= limitRepeatPeriod {
		t.limit.announced = n.now
		k := gossip.Key{Kind: event.FactLimit, Name: t.Name, Incarnation: t.incarnation()}
		n.recordFact(k, n.now)
		n.members.facts[k].Limited, n.members.facts[k].Limit = e.Limited, e.Limit
		n.members.burstDue = n.members.burstDue || changed
	}
}

// setLimit records the limit that a target named at a time, and reports whether it
// is another one than before. An older statement than the last one has no effect.
func (n *Node) setLimit(t *target, known bool, perSecond float64, at time.Duration) (changed bool) {
	l := &t.limit
	if at < l.confirmed {
		return false
	}
	changed = known != l.known || perSecond != l.perSecond
	if changed {
		n.logChange("target limit", "target", t.Name, "limited", known, "per_second", perSecond, "before", l.perSecond)
		l.sharedAt = 0
	}
	l.known, l.perSecond, l.confirmed = known, perSecond, at
	return changed
}

// limitOf returns the target's limit with this instance's share as of now, or nil
// if the target names none.
func (n *Node) limitOf(t *target) *statedLimit {
	l := &t.limit
	if !l.known {
		return nil
	}
	if serving := n.currentServing(); l.sharedAt == 0 || l.sharedAt != serving.at {
		l.bucket.Set(n.now, targetlimit.ShareOf(l.perSecond, t.Name, n.settings.Name, serving.names))
		l.sharedAt = serving.at
	}
	return l
}

// tickLimits ends the limits of targets that have said nothing for long.
func (n *Node) tickLimits() {
	if n.now < n.members.nextLimitCheck {
		return
	}
	n.members.nextLimitCheck = n.now + limitCheckPeriod
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		if !t.limit.known {
			continue
		}
		jitter := time.Duration(xxhash.Sum64String(name+"\x00"+n.settings.Name) % uint64(limitTimeout))
		if n.now-t.limit.confirmed >= limitTimeout+jitter {
			n.setLimit(t, false, 0, n.now)
		}
	}
}

// limitAllows reports whether the target's limit leaves room for a request of this
// instance now, and whether it does so at some time.
func (n *Node) limitAllows(t *target) (now, ever bool) {
	l := n.limitOf(t)
	if l == nil {
		return true, true
	}
	return l.bucket.Allows(n.now), l.bucket.PerSecond() > 0
}

// limitedElsewhere reports whether a target of a service names a limit of which
// only other instances have a share.
func (n *Node) limitedElsewhere(serves string) bool {
	return slices.ContainsFunc(n.members.targetsOf(serves), func(t *target) bool {
		l := n.limitOf(t)
		return l != nil && l.bucket.PerSecond() == 0
	})
}

// anyLimited reports whether a target of a service names a limit.
func (n *Node) anyLimited(serves string) bool {
	return slices.ContainsFunc(n.members.targetsOf(serves), func(t *target) bool { return n.limitOf(t) != nil })
}

// limitedSlots returns the number of attempts that the target's limit allows this
// instance to keep in flight, if each takes serviceTime, and whether there is one.
func (n *Node) limitedSlots(t *target, serviceTime time.Duration) (float64, bool) {
	l := n.limitOf(t)
	if l == nil {
		return 0, false
	}
	return l.bucket.PerSecond() * serviceTime.Seconds(), true
}

// limitedRetryAfter returns when a caller may come back after all targets of a
// service have used up their limits: once they have served those that were refused
// in a second, spread at random.
func (n *Node) limitedRetryAfter(serves string) time.Duration {
	sum := 0.0
	for _, t := range n.members.targetsOf(serves) {
		if l := n.limitOf(t); l != nil {
			sum += l.perSecond
		}
	}
	wait := time.Second
	if demand := n.members.demand.PerSecond; sum > 0 && demand > sum {
		wait = min(maxLimitedRetryAfter, time.Duration(float64(time.Second)*demand/sum))
	}
	return wait/2 + backoff.Below(wait, n.rng)
}

// maxLimitedRetryAfter bounds how long callers are asked to stay away from targets
// whose limits are used up.
const maxLimitedRetryAfter = 5 * time.Second
