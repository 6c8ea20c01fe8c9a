package node

import (
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/limit"
	"plantainfield.example/core/routing"
)

// leave stops new attempts at the target. Attempts in flight go on.
func (t *target) leave(at time.Duration) {
	t.leavingAt = max(t.leavingAt, at)
	t.leaving = true
}

// firstHand tells whether this instance itself has evidence that the target
// is leaving now.
func (t *target) firstHand() bool { return t.delisted || t.saysLeaving }

const (
	// firstReportWait is how long a new target's own report may take before the
	// list alone is believed. It leaves a second beside a pause that is too
	// short to be noticed.
	firstReportWait = pauseGap + time.Second
	// minReportAge is the age up to which a report is always believed.
	minReportAge = 1500 * time.Millisecond
	// reportAgePeriods is that age in periods of reports that come rarely.
	reportAgePeriods = 3
)

// fresh tells whether the target's state is known well enough to give it work.
// An instance that was paused, or has just started, may have missed that the
// target is leaving.
func (t *target) fresh(now, resumedAt time.Duration) bool {
	if t.unreachable {
		return false
	}
	if t.reportedAt == 0 {
		return now-max(t.since, resumedAt) >= firstReportWait
	}
	return now-t.reportedAt < max(minReportAge, reportAgePeriods*t.reportEvery)
}

// noteReport takes that the target reported.
func (t *target) noteReport(now time.Duration) {
	if t.reportedAt > 0 {
		const weight = 8
		t.reportEvery += (now - t.reportedAt - t.reportEvery) / weight
	}
	t.reportedAt = now
}

// comeBack lets a target that left take new attempts again. It needs the list
// to name it live, and either its own report or its return to the list; the
// evidence against it must be older than such news can be late.
func (t *target) comeBack(now time.Duration) {
	if !t.leaving || t.firstHand() || now-t.leavingAt < leavingHold {
		return
	}
	saidLive := t.saidLiveAt >= t.leavingAt+leavingHold
	if saidLive || t.relisted {
		t.leaving, t.relisted = false, false
	}
}

// targetLeaving takes first-hand evidence that a target is leaving, and tells
// the peers.
func (n *Node) targetLeaving(t *target) {
	t.leave(n.now)
	n.learn(factKey{event.FactLeaving, t.Name, t.Address}, n.now)
}

// targetListed takes a target's entry of the instance list. Under another
// address it is another target.
func (n *Node) targetListed(in event.Instance) {
	t := n.members.targets[in.Name]
	if t == nil || t.Address != in.Address {
		t = &target{since: n.now, limiter: limit.New(), prefixes: routing.NewPrefixes()}
		n.members.targets[in.Name] = t
		if f := n.members.facts[factKey{event.FactLeaving, in.Name, in.Address}]; f != nil {
			t.leave(f.confirmed)
		}
	}
	t.Instance, t.missing = in, false
	if in.State == event.StateLeaving {
		t.delisted = true
		n.targetLeaving(t)
		return
	}
	t.relisted = t.relisted || t.delisted
	t.delisted = false
}

// targetVanished takes that the list has no entry for a target. The target is
// kept for a while, because an older list may still arrive.
func (n *Node) targetVanished(t *target) {
	if n.members.regainedAt > 0 && n.now-n.members.regainedAt < relistWait {
		t.missing = true
		return
	}
	t.missing = false
	if !t.delisted {
		t.delisted = true
		n.targetLeaving(t)
		t.vanishedAt = n.now
	}
	if t.inFlight == 0 && n.now-t.vanishedAt >= tombstoneTimeout {
		delete(n.members.targets, t.Name)
	}
}

// relistWait is how long a target may take to be listed again once the platform
// is back in reach: the platform lets entries lapse that it can't renew.
const relistWait = 2 * time.Second

// tickRelisted takes targets for gone that were not listed again in time.
func (n *Node) tickRelisted() {
	if n.members.regainedAt == 0 || n.now-n.members.regainedAt < relistWait {
		return
	}
	n.members.regainedAt = 0
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.missing {
			n.targetVanished(t)
		}
	}
}

// tombstoneTimeout is how long a target is kept after it vanished.
const tombstoneTimeout = 30 * time.Second
