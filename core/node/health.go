package node

import (
	"time"

	"plantainfield.example/core/event"
)

// unresponsiveAfter is how long an attempt must have run without a byte of an
// answer to count against its target when it is cancelled.
const unresponsiveAfter = 700 * time.Millisecond

// updateHealth updates the target's health after an attempt has ended.
func (n *Node) updateHealth(r *request, e event.AttemptEnded) {
	t := r.target
	switch {
	case e.TargetBusy:
		n.targetAnswered(t)
	case r.lostAttempt(e) || n.unresponsive(r, e):
		n.targetLost(t)
		n.avoid(t, n.health.Lost(&t.health, r.Serves))
	case e.TargetError:
		n.targetAnswered(t)
		if d := n.health.Failed(&t.health, r.Serves); d > 0 {
			n.avoid(t, d)
		}
	case e.Outcome == event.AttemptCompleted:
		n.targetAnswered(t)
		n.health.Succeeded(&t.health, r.Serves)
	}
}

func (n *Node) avoid(t *target, d time.Duration) {
	t.avoidUntil = n.now + d
	n.logChange("target avoided", "target", t.Name, "losses", t.health.Losses, "failures", t.health.FailureShare, "until", d)
}

// lostAttempt reports whether the attempt ended without an answer from the
// target. One that its caller ended before it was sent says nothing.
func (r *request) lostAttempt(e event.AttemptEnded) bool {
	switch e.Outcome {
	case event.AttemptNotStarted:
		return !(e.Unsent && r.callerGone)
	case event.AttemptFailed, event.AttemptCrashed:
		return !e.TargetError
	}
	return false
}

// unresponsive reports whether an attempt was cancelled at a target that had
// sent nothing for unresponsiveAfter.
func (n *Node) unresponsive(r *request, e event.AttemptEnded) bool {
	return e.Outcome == event.AttemptCancelled && !r.firstTokenSeen && n.now-e.Ago-r.dispatched >= unresponsiveAfter
}
