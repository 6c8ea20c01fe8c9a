package node

import (
	"time"

	"plantainfield.example/core/event"
)

const (
	// failureWeight is the weight of one attempt in the moving average of a
	// target's failures. With it, a target that starts to fail is noticed after a
	// few attempts.
	failureWeight = 0.15
	// failureFloor is the share of failed attempts up to which errors do not
	// cause a target to be avoided; failureRatio is the same as a multiple of its
	// service's average share, since some services answer a part of their calls
	// with errors.
	failureFloor = 0.3
	failureRatio = 2
	// serviceFailureWeight is failureWeight for a whole service, which has many
	// targets.
	serviceFailureWeight = 0.02
	// errorAvoidTime is how long a target that returns errors more often than
	// that is avoided.
	errorAvoidTime = 3 * time.Second
	// maxAvoidTime bounds how long a target that keeps losing attempts is
	// avoided. This time starts at avoidAfterFailure and doubles with each loss
	// in a row.
	maxAvoidTime = 8 * time.Second
	// unresponsiveAfter is how long an attempt must have run without a byte of an
	// answer to count against its target when it is cancelled.
	unresponsiveAfter = 700 * time.Millisecond
)

// targetHealth summarizes how a target's attempts have ended.
type targetHealth struct {
	// failureShare is the moving average of the share of attempts that failed.
	failureShare float64
	// losses counts the consecutive attempts that were lost without an answer.
	losses int
}

// updateHealth updates the target's health after an attempt has ended.
func (n *Node) updateHealth(r *request, e event.AttemptEnded) {
	t := r.target
	switch {
	case e.TargetBusy, e.TargetLeaving:
	case r.lostAttempt(e) || n.unresponsive(r, e):
		n.updateFailureShares(r, true)
		t.avoidUntil = n.now + min(avoidAfterFailure<<min(t.health.losses, 4), maxAvoidTime)
		t.health.losses++
		n.logChange("target avoided", "target", t.Name, "losses", t.health.losses, "failures", t.health.failureShare, "until", t.avoidUntil-n.now)
	case e.TargetError:
		n.updateFailureShares(r, true)
		if t.health.failureShare > max(failureFloor, failureRatio*n.serviceFailureShare[r.Serves]) {
			t.avoidUntil = n.now + errorAvoidTime
			n.logChange("target avoided", "target", t.Name, "failures", t.health.failureShare, "of_service", n.serviceFailureShare[r.Serves])
		}
	case e.Outcome == event.AttemptCompleted:
		t.health.losses = 0
		n.updateFailureShares(r, false)
	}
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

func (n *Node) updateFailureShares(r *request, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.target.health.failureShare += failureWeight * (value - r.target.health.failureShare)
	n.serviceFailureShare[r.Serves] += serviceFailureWeight * (value - n.serviceFailureShare[r.Serves])
}
