package node

import (
	"strconv"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/retry"
)

// incarnation identifies one start of the target, as far as the instance list
// tells it.
func (t *target) incarnation() string {
	if t.StartMillis == 0 {
		return t.Address
	}
	return t.Address + "/" + strconv.FormatInt(t.StartMillis, 10)
}

// targetNoticed handles what a target says of itself in a response.
func (n *Node) targetNoticed(e event.TargetNotice) {
	t := n.members.targets[e.Target]
	if t == nil || t.Address != e.Address {
		n.logChange("target notice ignored", "target", e.Target, "address", e.Address)
		return
	}
	if e.Leaving {
		n.leavingNoticed(t)
	}
	if e.Brittle {
		n.brittleNoticed(t)
	}
	if e.Wait > 0 {
		n.waitNoticed(t, e.Wait)
	}
	if !e.LimitUnusable {
		n.limitNoticed(t, e)
	}
}

// leavingNoticed handles a target's own statement that it is leaving. It holds
// until the target starts again, whatever the instance list says.
func (n *Node) leavingNoticed(t *target) {
	if !t.SaysLeaving {
		n.logChange("target leaving", "target", t.Name, "listed_as_leaving", t.Delisted, "in_flight", t.inFlight)
	}
	t.SaysLeaving = true
	n.announceLeaving(t)
}

// brittleNoticed handles a target's statement that the targets of its service are
// brittle.
func (n *Node) brittleNoticed(t *target) {
	for _, serves := range t.Serves {
		if n.brittle.Noticed(n.now, serves) {
			n.logChange("targets brittle", "serves", serves, "target", t.Name, "slots", t.Slots, "own_slots", n.concurrencyLimit(t))
		}
	}
}

// waitNoticed handles a target's request to send it nothing for a time. It concerns
// this instance only.
func (n *Node) waitNoticed(t *target, wait time.Duration) {
	if n.now >= t.waitUntil {
		n.logChange("target waits", "target", t.Name, "for", wait, "others_usable", n.usableTargets(t) > 0)
	}
	t.waitUntil = max(t.waitUntil, n.now+wait)
}

// inheritWait keeps the wait that a target asked for when its record is replaced: the
// one at its address may still be the same.
func (n *Node) inheritWait(t, replaced *target) {
	if t.Address == replaced.Address && n.now < replaced.waitUntil {
		t.waitUntil = replaced.waitUntil
		n.logChange("target replaced while it waits", "target", t.Name, "for", t.waitUntil-n.now, "version", t.Version, "start", t.StartMillis)
	}
}

// usableTargets counts the other targets of the services of a target that may get
// attempts.
func (n *Node) usableTargets(t *target) int {
	count := 0
	for _, serves := range t.Serves {
		for _, other := range n.members.targetsOf(serves) {
			if other != t && other.usableAsFallback(n.now) {
				count++
			}
		}
	}
	return count
}

// noticedRetryAfter returns when a caller may come back if what the targets of a
// service said of themselves leaves none for its request, or 0 if they said nothing
// of that kind.
func (n *Node) noticedRetryAfter(serves string) time.Duration {
	if wait := n.shortestWait(serves); wait > 0 {
		return retry.AfterWait(wait, n.rng)
	}
	if n.limitedElsewhere(serves) {
		return n.limitedRetryAfter(serves)
	}
	return 0
}

// shortestWait returns the time until a target of a service takes requests again,
// or 0 if none waits.
func (n *Node) shortestWait(serves string) time.Duration {
	shortest := time.Duration(0)
	for _, t := range n.members.targetsOf(serves) {
		if wait := t.waitUntil - n.now; wait > 0 && !t.Leaving && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}
