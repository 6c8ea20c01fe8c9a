package node

import (
	"encoding/json"
	"slices"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/quarantine"
)

func (s *suspect) object() event.Object {
	return event.Object{Kind: event.KindQuarantine, Name: "body-" + s.record.BodyHash}
}

// flySuspect reads a record and writes its changes. There is at most one
// flight for a record.
func (n *Node) flySuspect(s *suspect) {
	if n.settings.Disabled.QuarantineClaims {
		return
	}
	if s.flying || !s.due() {
		return
	}
	if n.now < s.retryAt {
		n.failClaims(s)
		return
	}
	s.flying, s.tries = true, 0
	n.readSuspect(s)
}

func (n *Node) readSuspect(s *suspect) {
	n.callPlatform(event.OpGet, s.object(), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil {
				n.suspectFailed(s)
				return
			}
			n.writeSuspect(s, stored, res.Object.Version)
		case event.PlatformNotFound:
			n.writeSuspect(s, &quarantine.Record{BodyHash: s.record.BodyHash}, "")
		default:
			n.suspectFailed(s)
		}
	})
}

// suspectFlight is what one write of a record carries.
type suspectFlight struct {
	next     *quarantine.Record
	wanted   uint64
	released []string
	claims   []*claimRequest
	kinds    []errkind.Kind
}

// writeSuspect writes the record as stored, changed as this instance wants it.
func (n *Node) writeSuspect(s *suspect, stored *quarantine.Record, version string) {
	n.quarantine.merge(stored)
	f := n.planSuspect(s, stored)
	raw, err := json.Marshal(f.next)
	if err != nil {
		n.suspectFailed(s)
		return
	}
	o := s.object()
	o.Version, o.Value = version, raw
	op := event.OpUpdate
	if version == "" {
		op = event.OpCreate
	}
	n.callPlatform(op, o, func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			n.suspectWritten(s, f)
		case event.PlatformUnavailable:
			n.suspectFailed(s)
		default:
			n.suspectDoubted(s, f, res.Status == event.PlatformUnknown)
		}
	})
}

// planSuspect decides what the record becomes and what each claim gets.
func (n *Node) planSuspect(s *suspect, stored *quarantine.Record) *suspectFlight {
	next := stored.Clone()
	next.Merge(s.record)
	f := &suspectFlight{next: next, wanted: s.wanted, released: slices.Clone(s.released), claims: slices.Clone(s.claims)}
	if next.Claim != nil && slices.Contains(s.released, next.Claim.ID) {
		next.Claim = nil
	}
	if next.Claim != nil && n.lapsed(next.Claim) {
		next.CountClaimAsCrash()
	}
	if next.Claim != nil && n.members.peers[next.Claim.Instance] != nil {
		n.sendStartupState(n.members.peers[next.Claim.Instance]) // a later life answers
	}
	for _, c := range f.claims {
		f.kinds = append(f.kinds, n.planClaim(next, c))
	}
	return f
}

// lapsed tells whether the life that holds a claim has ended, as far as is
// known. If it runs on after all, the claim has been counted as a crash.
func (n *Node) lapsed(c *quarantine.Claim) bool {
	if c.Instance == n.settings.Name {
		return c.Incarnation != n.settings.Incarnation
	}
	p := n.members.peers[c.Instance]
	switch {
	case p == nil || !n.reachable(p):
		return true
	case p.incarnation == "": // not heard yet; the claim stays open meanwhile
		return false
	}
	return p.incarnation != c.Incarnation
}

// planClaim gives the claim if the bound allows it. A record is full once its
// crashes and the open claim reach the bound.
func (n *Node) planClaim(next *quarantine.Record, c *claimRequest) errkind.Kind {
	limit := n.configs.index.Document.Policies.Quarantine.MaxTargets
	switch {
	case next.Claim != nil && next.Claim.ID == c.claim.ID:
		return errkind.None
	case next.Count() >= limit:
		return errkind.Quarantined
	case next.Claim != nil:
		return errkind.InProgress
	}
	claim := c.claim
	next.Claim = &claim
	return errkind.None
}

// suspectWritten ends a flight and lets its claims go on.
func (n *Node) suspectWritten(s *suspect, f *suspectFlight) {
	s.flying, s.failures, s.synced = false, 0, f.wanted
	s.released = slices.DeleteFunc(s.released, func(id string) bool { return slices.Contains(f.released, id) })
	s.claims = slices.DeleteFunc(s.claims, func(c *claimRequest) bool { return slices.Contains(f.claims, c) })
	n.quarantine.merge(f.next)
	for i, c := range f.claims {
		n.claimAnswered(s, c, f.kinds[i])
	}
	n.flySuspect(s)
}

// claimAnswered goes on with a request that got its claim and refuses it
// otherwise.
func (n *Node) claimAnswered(s *suspect, c *claimRequest, kind errkind.Kind) {
	r := c.request
	if kind == errkind.None {
		r.claim = c.claim.ID
		if r.callerGone {
			kind = errkind.CallerGone
		}
	}
	if kind != errkind.None {
		if c.doubt && r.claim == "" {
			s.released = append(s.released, c.claim.ID)
			s.wanted++
		}
		n.finishRefused(r, kind)
		return
	}
	n.enqueue(r)
}

// suspectDoubted reads the record back after a conflict or a lost answer.
func (n *Node) suspectDoubted(s *suspect, f *suspectFlight, lost bool) {
	for _, c := range f.claims {
		c.doubt = c.doubt || lost
	}
	s.tries++
	if s.tries >= maxClaimTries {
		n.suspectFailed(s)
		return
	}
	n.readSuspect(s)
}

// suspectFailed ends a flight; its changes are repeated later, its claims are
// refused at once.
func (n *Node) suspectFailed(s *suspect) {
	s.flying = false
	s.retryAt = n.now + n.backoff(s.failures)
	s.failures++
	n.failClaims(s)
}

func (n *Node) failClaims(s *suspect) {
	claims := s.claims
	s.claims = nil
	for _, c := range claims {
		n.claimAnswered(s, c, errkind.PlatformUnavailable)
	}
}
