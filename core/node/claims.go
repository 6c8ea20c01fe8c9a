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

// startSuspectUpdate reads a record and writes the changes to it. A record has
// at most one update in flight. During the backoff after a failed update, its
// claim requests are refused instead.
func (n *Node) startSuspectUpdate(s *suspect) {
	if n.settings.Disabled.QuarantineClaims {
		return
	}
	if s.inFlight || !s.due() {
		return
	}
	if n.now < s.retryAt {
		n.failClaims(s)
		return
	}
	s.inFlight, s.tries = true, 0
	n.readSuspect(s)
}

func (n *Node) readSuspect(s *suspect) {
	n.callPlatform(event.OpGet, s.object(), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			stored, err := quarantine.Decode(res.Object.Value)
			if err != nil {
				n.suspectUpdateFailed(s)
				return
			}
			n.writeSuspect(s, stored, res.Object.Version)
		case event.PlatformNotFound:
			n.writeSuspect(s, &quarantine.Record{BodyHash: s.record.BodyHash}, "")
		default:
			n.suspectUpdateFailed(s)
		}
	})
}

// suspectUpdate is what one write of a record carries. Element i of kinds is
// the result of element i of claims.
type suspectUpdate struct {
	next         *quarantine.Record
	localChanges uint64
	released     []string
	claims       []*claimRequest
	kinds        []errkind.Kind
}

// writeSuspect writes the stored record with this instance's changes.
func (n *Node) writeSuspect(s *suspect, stored *quarantine.Record, version string) {
	n.quarantine.merge(stored)
	u := n.planSuspectUpdate(s, stored)
	raw, err := json.Marshal(u.next)
	if err != nil {
		n.suspectUpdateFailed(s)
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
			n.suspectWritten(s, u)
		case event.PlatformUnavailable:
			n.suspectUpdateFailed(s)
		default:
			n.rereadSuspect(s, u, res.Status == event.PlatformUnknown)
		}
	})
}

// planSuspectUpdate computes the new record and the result of each claim
// request.
func (n *Node) planSuspectUpdate(s *suspect, stored *quarantine.Record) *suspectUpdate {
	next := stored.Clone()
	next.Merge(s.record)
	u := &suspectUpdate{next: next, localChanges: s.localChanges, released: slices.Clone(s.released), claims: slices.Clone(s.claims)}
	if next.Claim != nil && slices.Contains(s.released, next.Claim.ID) {
		next.Claim = nil
	}
	if next.Claim != nil && n.claimLapsed(next.Claim) {
		next.CountClaimAsCrash()
	}
	if next.Claim != nil && n.members.peers[next.Claim.Instance] != nil {
		n.sendStartupState(n.members.peers[next.Claim.Instance]) // in case it has restarted since its last message
	}
	for _, c := range u.claims {
		u.kinds = append(u.kinds, n.decideClaim(next, c))
	}
	return u
}

// claimLapsed reports whether the incarnation that holds a claim has ended, as
// far as is known. If it is still running after all, the claim has nevertheless
// been counted as a crash, until the holder ends the claim.
func (n *Node) claimLapsed(c *quarantine.Claim) bool {
	if c.Instance == n.settings.Name {
		return c.Incarnation != n.settings.Incarnation
	}
	p := n.members.peers[c.Instance]
	switch {
	case p == nil || !n.reachable(p):
		return true
	case p.incarnation == "": // no message received yet; the claim stays open until then
		return false
	}
	return p.incarnation != c.Incarnation
}

// decideClaim grants the claim if no other claim is open and the crashes are
// below the policy's limit on crashed targets, so that the crashes and the open
// claim together never exceed the limit.
func (n *Node) decideClaim(next *quarantine.Record, c *claimRequest) errkind.Kind {
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

// suspectWritten ends an update and answers its claim requests.
func (n *Node) suspectWritten(s *suspect, u *suspectUpdate) {
	s.inFlight, s.failures, s.writtenChanges = false, 0, u.localChanges
	s.released = slices.DeleteFunc(s.released, func(id string) bool { return slices.Contains(u.released, id) })
	s.claims = slices.DeleteFunc(s.claims, func(c *claimRequest) bool { return slices.Contains(u.claims, c) })
	n.quarantine.merge(u.next)
	for i, c := range u.claims {
		n.claimDecided(s, c, u.kinds[i])
	}
	n.startSuspectUpdate(s)
}

// claimDecided queues a request that got its claim and refuses it otherwise.
func (n *Node) claimDecided(s *suspect, c *claimRequest, kind errkind.Kind) {
	r := c.request
	if kind == errkind.None {
		r.claim = c.claim.ID
		if r.callerGone {
			kind = errkind.CallerGone
		}
	}
	if kind != errkind.None {
		if c.maybeWritten && r.claim == "" {
			s.released = append(s.released, c.claim.ID)
			s.localChanges++
		}
		n.finishRefused(r, kind)
		return
	}
	n.enqueue(r)
}

// rereadSuspect reads the record again after a conflict or a lost result.
func (n *Node) rereadSuspect(s *suspect, u *suspectUpdate, lost bool) {
	for _, c := range u.claims {
		c.maybeWritten = c.maybeWritten || lost
	}
	s.tries++
	if s.tries >= maxClaimTries {
		n.suspectUpdateFailed(s)
		return
	}
	n.readSuspect(s)
}

// suspectUpdateFailed ends an update that failed: its changes are repeated
// later, its claim requests are refused immediately.
func (n *Node) suspectUpdateFailed(s *suspect) {
	s.inFlight = false
	s.retryAt = n.now + n.backoff(s.failures)
	s.failures++
	n.failClaims(s)
}

func (n *Node) failClaims(s *suspect) {
	claims := s.claims
	s.claims = nil
	for _, c := range claims {
		n.claimDecided(s, c, errkind.PlatformUnavailable)
	}
}
