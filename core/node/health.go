package node

import (
	"time"

	"plantainfield.example/core/event"
)

const (
	// failureWeight is the weight of one attempt in a target's share of failures:
	// a target that starts to fail is noticed after a few attempts.
	failureWeight = 0.15
	// failureFloor is the share of failures up to which a target is used like
	// the others, and failureRatio the multiple of its service's usual share:
	// some services answer a part of their calls with errors.
	failureFloor = 0.3
	failureRatio = 2
	// serviceWeight is failureWeight for a whole service, which has many targets.
	serviceWeight = 0.02
	// avoidFailing is how long a target is avoided that fails more often.
	avoidFailing = 3 * time.Second
	// avoidMost bounds the avoidance of a target that stays lost, which doubles
	// from avoidAfterFailure on.
	avoidMost = 8 * time.Second
	// silentAfter is how long an attempt must have run without a byte of an
	// answer, to count against its target when it is given up.
	silentAfter = 700 * time.Millisecond
)

// targetHealth is how a target's attempts have ended.
type targetHealth struct {
	// failures is the share of attempts that failed, an exponential average.
	failures float64
	// losses counts the attempts in a row that were lost without an answer.
	losses int
}

// noteAttempt takes the end of an attempt into the target's health.
func (n *Node) noteAttempt(r *request, e event.AttemptEnded) {
	t := r.target
	switch {
	case e.TargetBusy, e.TargetLeaving:
	case lost(e) || n.silent(r, e):
		n.noteOutcome(r, true)
		t.avoidUntil = n.now + min(avoidAfterFailure<<min(t.health.losses, 4), avoidMost)
		t.health.losses++
		n.logChange("target avoided", "target", t.Name, "losses", t.health.losses, "failures", t.health.failures, "until", t.avoidUntil-n.now)
	case e.TargetError:
		n.noteOutcome(r, true)
		if t.health.failures > max(failureFloor, failureRatio*n.serviceFailures[r.Serves]) {
			t.avoidUntil = n.now + avoidFailing
			n.logChange("target avoided", "target", t.Name, "failures", t.health.failures, "of_service", n.serviceFailures[r.Serves])
		}
	case e.Outcome == event.AttemptCompleted:
		t.health.losses = 0
		n.noteOutcome(r, false)
	}
}

// lost tells whether the attempt ended without the target's answer.
func lost(e event.AttemptEnded) bool {
	switch e.Outcome {
	case event.AttemptNotStarted, event.AttemptFailed, event.AttemptCrashed:
		return !e.TargetError
	}
	return false
}

// silent tells whether an attempt was given up at a target that sent nothing.
func (n *Node) silent(r *request, e event.AttemptEnded) bool {
	return e.Outcome == event.AttemptCancelled && !r.firstSeen && n.now-r.dispatched >= silentAfter
}

func (n *Node) noteOutcome(r *request, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	r.target.health.failures += failureWeight * (value - r.target.health.failures)
	n.serviceFailures[r.Serves] += serviceWeight * (value - n.serviceFailures[r.Serves])
}
