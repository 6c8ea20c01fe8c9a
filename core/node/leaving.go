package node

import (
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
	"plantainfield.example/core/limit"
	"plantainfield.example/core/routing"
)

// announceLeaving marks a target as leaving on evidence of this instance
// itself, and records that as a fact for its peers.
func (n *Node) announceLeaving(t *target) {
	t.Mark(n.now)
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
		replaced := t
		t = &target{Instance: in, knownSince: n.now, limiter: limit.New(), prefixes: routing.NewPrefixes()}
		if replaced != nil {
			n.targetGone(replaced)
			n.inheritWait(t, replaced)
		}
		n.members.targets[in.Name] = t
		n.members.invalidateTargetCaches()
		for _, kind := range []event.FactKind{event.FactLeaving, event.FactLimit} {
			k := gossip.Key{Kind: kind, Name: in.Name, Incarnation: t.incarnation()}
			if f := n.members.facts[k]; f != nil {
				n.applyFact(k, f)
			}
		}
	}
	if t.Missing {
		n.logChange("missing target listed again", "target", t.Name, "missing_for", n.now-t.MissingSince)
	}
	t.Instance, t.Missing = in, false
	if in.State == event.StateLeaving {
		t.Delisted = true
		n.announceLeaving(t)
		return
	}
	t.Relisted = t.Relisted || t.Delisted
	t.Delisted = false
}

// targetUnlisted handles the absence of a target from the instance list. The
// target is kept for a while, because an older list may still arrive.
func (n *Node) targetUnlisted(t *target) {
	relisting := n.members.platformReconnectedAt > 0 && n.now-n.members.platformReconnectedAt < relistGrace
	if relisting && !t.Missing && !t.Delisted {
		t.Missing, t.MissingSince = true, n.now
		n.logChange("target kept as missing", "target", t.Name, "since_list", n.now-n.members.platformReconnectedAt)
	}
	if relisting && t.Missing && n.now-t.MissingSince < relistGrace {
		return
	}
	if !t.Delisted {
		n.logChange("target unlisted", "target", t.Name, "was_missing", t.Missing, "missing_for", n.now-t.MissingSince)
		t.Delisted = true
		n.announceLeaving(t)
		t.UnlistedAt = n.now
	}
	t.Missing = false
	if t.inFlight == 0 && n.now-t.UnlistedAt >= tombstoneTimeout {
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
	if n.members.platformReconnectedAt == 0 {
		return
	}
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.Missing && n.now-t.MissingSince >= relistGrace {
			n.targetUnlisted(t)
		}
	}
	if n.now-n.members.platformReconnectedAt >= relistGrace {
		n.logChange("targets no longer looked for", "since_list", n.now-n.members.platformReconnectedAt)
		n.members.platformReconnectedAt = 0
	}
}

// tombstoneTimeout is how long a target is kept after it disappeared from the
// instance list.
const tombstoneTimeout = 30 * time.Second
