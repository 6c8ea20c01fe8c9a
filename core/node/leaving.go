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

// targetListed handles a target's entry in the instance list; current is set if the
// list has all changes. An entry with
// another address or a later start is another target. An entry without its start,
// or with an earlier one, says nothing of the start that is known.
func (n *Node) targetListed(in event.Instance, current bool) {
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
	wasAbsent := n.members.absences.Present(t.Name)
	t.Instance = in
	if in.State == event.StateLeaving {
		t.Delisted = true
		n.announceLeaving(t)
		return
	}
	t.Relisted = t.Relisted || t.Delisted || wasAbsent && t.Leaving
	t.Delisted = false
	if current {
		t.ListedLiveAt = n.now
	}
}

// targetUnlisted handles the absence of a target from the instance list.
func (n *Node) targetUnlisted(t *target) {
	if n.members.absences.Absent(n.now, t.Name, t.Leaving) {
		return
	}
	if !t.Delisted {
		t.Delisted = true
		n.announceLeaving(t)
		t.UnlistedAt = n.now
	}
	if t.inFlight == 0 && n.now-t.UnlistedAt >= tombstoneTimeout {
		n.targetGone(t)
		delete(n.members.targets, t.Name)
		n.members.invalidateTargetCaches()
	}
}

// tickAbsences treats targets that were not listed again in time as unlisted.
func (n *Node) tickAbsences() {
	names := n.members.absences.Expired(n.now)
	for _, name := range names {
		n.targetUnlisted(n.members.targets[name])
	}
	if len(names) > 0 {
		n.logAbsences(nil)
	}
}

// logAbsences logs what was decided for the targets that the list lacks.
func (n *Node) logAbsences(r *event.TargetRelist) {
	if c, changed := n.members.absences.End(); changed {
		n.logChange("targets missing from the list", c.Fields(r)...)
	}
}

// tombstoneTimeout is how long a target is kept after it disappeared from the
// instance list.
const tombstoneTimeout = 30 * time.Second
