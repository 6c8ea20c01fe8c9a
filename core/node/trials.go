package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/quarantine"
)

// All attempts at a target fail when it crashes. So that a crash shows which of
// several suspects caused it, a target runs one suspect at a time for the whole
// fleet. The lock that ensures this is the target's trial, an object with a
// claim and no body. The bound on crashed targets does not depend on trials, so
// a trial whose holder's incarnation has ended is simply taken over.

// trialRetryDelay is the mean delay before a suspect whose target runs another
// one tries again.
const trialRetryDelay = 100 * time.Millisecond

// trialRelease is a trial that has to be released.
type trialRelease struct {
	target   string
	claim    string
	inFlight bool
	failures int
	retryAt  time.Duration
}

func trialObject(target string) event.Object {
	return event.Object{Kind: event.KindQuarantine, Name: "trial-" + target}
}

// acquireTrial starts to acquire a target's trial for a request that has the
// claim on its body. The request is dispatched once the trial is written.
func (n *Node) acquireTrial(r *request, target string) {
	n.quarantine.trials++
	r.phase, r.trial = phaseWaitingForClaim, target
	r.trialClaim = fmt.Sprintf("%s#%d", r.claim, n.quarantine.trials)
	n.callPlatform(event.OpGet, trialObject(target), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil || n.trialHeld(stored) {
				r.trial = ""
				n.trialDenied(r)
				return
			}
			n.writeTrial(r, event.OpUpdate, res.Object.Version)
		case event.PlatformNotFound:
			n.writeTrial(r, event.OpCreate, "")
		default:
			n.trialDenied(r)
		}
	})
}

func (n *Node) trialHeld(stored *quarantine.Record) bool {
	// Reports whether a running incarnation holds a trial, as far as is known.
	if stored.Claim == nil || n.claimLapsed(stored.Claim) {
		return false
	}
	if p := n.members.peers[stored.Claim.Instance]; p != nil {
		n.sendStartupState(p) // in case it has restarted since its last message
	}
	return true
}

func (n *Node) writeTrial(r *request, op event.PlatformOp, version string) {
	// Writes the request's claim to its target's trial and dispatches the request.
	claim := quarantine.Claim{ID: r.trialClaim, Instance: n.settings.Name, Incarnation: n.settings.Incarnation}
	o := trialObject(r.trial)
	o.Version = version
	o.Value, _ = json.Marshal(quarantine.Record{Claim: &claim})
	n.callPlatform(op, o, func(res event.PlatformResult) {
		t := n.members.targets[r.trial]
		if res.Status != event.PlatformOK || t == nil || t.Leaving || r.callerGone {
			n.trialDenied(r)
			return
		}
		n.dispatch(r, t)
	})
}

// trialDenied releases a trial that may have been acquired and queues the
// request again.
func (n *Node) trialDenied(r *request) {
	n.releaseTrial(r)
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	r.notBefore = n.now + trialRetryDelay/2 + backoff.Below(trialRetryDelay, n.rng)
	n.enqueue(r)
}

// releaseTrial releases the request's trial.
func (n *Node) releaseTrial(r *request) {
	if r.trial == "" {
		return
	}
	t := &trialRelease{target: r.trial, claim: r.trialClaim}
	r.trial = ""
	n.quarantine.trialReleases = append(n.quarantine.trialReleases, t)
	n.startTrialRelease(t)
}

func (n *Node) tickTrials() {
	for _, t := range slices.Clone(n.quarantine.trialReleases) {
		n.startTrialRelease(t)
	}
}

func (n *Node) startTrialRelease(t *trialRelease) {
	if t.inFlight || n.now < t.retryAt {
		return
	}
	t.inFlight = true
	n.callPlatform(event.OpGet, trialObject(t.target), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil || (stored.Claim != nil && stored.Claim.ID != t.claim) {
				n.trialReleased(t) // held by another request by now
				return
			}
			n.clearTrial(t, event.OpUpdate, res.Object.Version)
		case event.PlatformNotFound:
			n.clearTrial(t, event.OpCreate, "")
		default:
			n.trialReleaseFailed(t)
		}
	})
}

// clearTrial writes the trial as free even if it already is, so that a write of
// the claim whose result was lost can't take effect later.
func (n *Node) clearTrial(t *trialRelease, op event.PlatformOp, version string) {
	o := trialObject(t.target)
	o.Version = version
	o.Value, _ = json.Marshal(quarantine.Record{})
	n.callPlatform(op, o, func(res event.PlatformResult) {
		if res.Status != event.PlatformOK {
			n.trialReleaseFailed(t)
			return
		}
		n.trialReleased(t)
	})
}

func (n *Node) trialReleased(t *trialRelease) {
	if i := slices.Index(n.quarantine.trialReleases, t); i >= 0 {
		n.quarantine.trialReleases = slices.Delete(n.quarantine.trialReleases, i, i+1)
	}
}

func (n *Node) trialReleaseFailed(t *trialRelease) {
	t.inFlight = false
	t.retryAt = n.now + n.backoff(t.failures)
	t.failures++
}
