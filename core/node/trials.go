package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/quarantine"
)

// A target that dies takes all its attempts with it. So that a crash tells
// which of several suspects caused it, a target runs one suspect at a time in
// the whole fleet: its trial, an object with a claim and no body. The bound on
// lost targets does not rest on trials, so that one whose holder's life has
// ended is simply taken over.

// trialRetry is the delay before a suspect whose target runs another one asks
// again.
const trialRetry = 100 * time.Millisecond

// trialEnd is a trial that has to be given back.
type trialEnd struct {
	target   string
	claim    string
	flying   bool
	failures int
	retryAt  time.Duration
}

func trialObject(target string) event.Object {
	return event.Object{Kind: event.KindQuarantine, Name: "trial-" + target}
}

// claimTarget asks for a target's trial for a request that has its body's claim.
func (n *Node) claimTarget(r *request, target string) {
	n.quarantine.trials++
	r.phase, r.trial = phaseWaitingForClaim, target
	r.trialClaim = fmt.Sprintf("%s#%d", r.claim, n.quarantine.trials)
	n.callPlatform(event.OpGet, trialObject(target), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil || n.trialTaken(stored) {
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

func (n *Node) trialTaken(stored *quarantine.Record) bool {
	if stored.Claim == nil || n.lapsed(stored.Claim) {
		return false
	}
	if p := n.members.peers[stored.Claim.Instance]; p != nil {
		n.sendStartupState(p) // a later life answers
	}
	return true
}

func (n *Node) writeTrial(r *request, op event.PlatformOp, version string) {
	claim := quarantine.Claim{ID: r.trialClaim, Instance: n.settings.Name, Incarnation: n.settings.Incarnation}
	o := trialObject(r.trial)
	o.Version = version
	o.Value, _ = json.Marshal(quarantine.Record{Claim: &claim})
	n.callPlatform(op, o, func(res event.PlatformResult) {
		t := n.members.targets[r.trial]
		if res.Status != event.PlatformOK || t == nil || t.leaving || r.callerGone {
			n.trialDenied(r)
			return
		}
		n.dispatch(r, t)
	})
}

// trialDenied gives back a trial that may have been taken and queues the
// request again.
func (n *Node) trialDenied(r *request) {
	n.endTrial(r)
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	r.notBefore = n.now + trialRetry/2 + time.Duration(n.rng.Int64N(int64(trialRetry)))
	n.enqueue(r)
}

// endTrial gives the request's trial back.
func (n *Node) endTrial(r *request) {
	if r.trial == "" {
		return
	}
	e := &trialEnd{target: r.trial, claim: r.trialClaim}
	r.trial = ""
	n.quarantine.trialEnds = append(n.quarantine.trialEnds, e)
	n.flyTrialEnd(e)
}

func (n *Node) tickTrials() {
	for _, e := range slices.Clone(n.quarantine.trialEnds) {
		n.flyTrialEnd(e)
	}
}

func (n *Node) flyTrialEnd(e *trialEnd) {
	if e.flying || n.now < e.retryAt {
		return
	}
	e.flying = true
	n.callPlatform(event.OpGet, trialObject(e.target), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil || (stored.Claim != nil && stored.Claim.ID != e.claim) {
				n.trialEnded(e) // another's by now
				return
			}
			n.clearTrial(e, event.OpUpdate, res.Object.Version)
		case event.PlatformNotFound:
			n.clearTrial(e, event.OpCreate, "")
		default:
			n.trialEndFailed(e)
		}
	})
}

// clearTrial writes the trial as free, also if it is, which keeps a lost write
// of the claim from landing later.
func (n *Node) clearTrial(e *trialEnd, op event.PlatformOp, version string) {
	o := trialObject(e.target)
	o.Version = version
	o.Value, _ = json.Marshal(quarantine.Record{})
	n.callPlatform(op, o, func(res event.PlatformResult) {
		if res.Status != event.PlatformOK {
			n.trialEndFailed(e)
			return
		}
		n.trialEnded(e)
	})
}

func (n *Node) trialEnded(e *trialEnd) {
	if i := slices.Index(n.quarantine.trialEnds, e); i >= 0 {
		n.quarantine.trialEnds = slices.Delete(n.quarantine.trialEnds, i, i+1)
	}
}

func (n *Node) trialEndFailed(e *trialEnd) {
	e.flying = false
	e.retryAt = n.now + n.backoff(e.failures)
	e.failures++
}
