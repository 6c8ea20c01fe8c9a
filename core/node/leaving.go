package node

import (
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
	"plantainfield.example/core/limit"
	"plantainfield.example/core/routing"
)

// markLeaving stops new attempts at the target. Attempts in flight continue.
func (t *target) markLeaving(at time.Duration) {
	t.leavingSeenAt = max(t.leavingSeenAt, at)
	t.leaving = true
}

// observedLeaving reports whether this instance itself currently observes that
// the target is leaving, from the instance list or from what the target itself
// says.
func (t *target) observedLeaving() bool { return t.delisted || t.reportsLeaving || t.saysLeaving }

// reinstate allows new attempts at a target that was leaving. The list must
// show it as live, and either its own report or its reappearance in the list
// must confirm that. The last evidence of leaving must be older than the delay
// with which such updates can arrive.
func (t *target) reinstate(now time.Duration) {
	if !t.leaving || t.observedLeaving() || now-t.leavingSeenAt < minLeavingTime {
		return
	}
	reportedLive := t.reportedLiveAt >= t.leavingSeenAt+minLeavingTime
	if reportedLive || t.relisted {
		t.leaving, t.relisted = false, false
	}
}

// announceLeaving marks a target as leaving on evidence of this instance
// itself, and records that as a fact for its peers.
func (n *Node) announceLeaving(t *target) {
	t.markLeaving(n.now)
	n.recordFact(gossip.Key{Kind: event.FactLeaving, Name: t.Name, Incarnation: t.incarnation()}, n.now)
}

// targetListed handles a target's entry in the instance list. An entry with
// another address or a later start is another target. An entry without its start,
// or with an earlier one, says nothing of the start that is known.
func (n *Node) targetListed(in event.Instance) {
	t := n.members.targets[in.Name]
	if t != nil && t.Address == in.Address && in.StartMillis < t.StartMillis {
		in.StartMillis, in.Version = t.StartMillis, t.Version
	}
	if t == nil || t.Address != in.Address || t.StartMillis != in.StartMillis || t.Version != in.Version {
		if t != nil {
			n.targetGone(t)
		}
		t = &target{Instance: in, knownSince: n.now, limiter: limit.New(), prefixes: routing.NewPrefixes()}
		n.members.targets[in.Name] = t
		n.members.invalidateTargetCaches()
		for _, kind := range []event.FactKind{event.FactLeaving, event.FactLimit} {
			k := gossip.Key{Kind: kind, Name: in.Name, Incarnation: t.incarnation()}
			if f := n.members.facts[k]; f != nil {
				n.applyFact(k, f)
			}
		}
	}
	t.Instance, t.missing = in, false
	if in.State == event.StateLeaving {
		t.delisted = true
		n.announceLeaving(t)
		return
	}
	t.relisted = t.relisted || t.delisted
	t.delisted = false
}

// targetUnlisted handles the absence of a target from the instance list. The
// target is kept for a while, because an older list may still arrive.
func (n *Node) targetUnlisted(t *target) {
	if n.members.platformReconnectedAt > 0 && n.now-n.members.platformReconnectedAt < relistGrace {
		t.missing = true
		return
	}
	t.missing = false
	if !t.delisted {
		t.delisted = true
		n.announceLeaving(t)
		t.unlistedAt = n.now
	}
	if t.inFlight == 0 && n.now-t.unlistedAt >= tombstoneTimeout {
		n.targetGone(t)
		delete(n.members.targets, t.Name)
		n.members.invalidateTargetCaches()
	}
}

// relistGrace is how long a target may take to be listed again once the
// platform is reachable again, since the platform drops entries that it can't
// renew.
const relistGrace = 2 * time.Second

// tickMissingTargets treats targets that were not listed again in time as
// unlisted.
func (n *Node) tickMissingTargets() {
	if n.members.platformReconnectedAt == 0 || n.now-n.members.platformReconnectedAt < relistGrace {
		return
	}
	n.members.platformReconnectedAt = 0
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.missing {
			n.targetUnlisted(t)
		}
	}
}

// tombstoneTimeout is how long a target is kept after it disappeared from the
// instance list.
const tombstoneTimeout = 30 * time.Second
