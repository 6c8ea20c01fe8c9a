package node

import (
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/partquarantine"
	"plantainfield.example/core/quarantine"
)

// The bound: a body that crashes each target that runs it crashes at most
// MaxTargets targets in the whole fleet, however often it is sent again and to
// whichever instances, if the first crash is known where it arrives (from a
// peer's message, from the platform's list, or because it happened there). Each
// attempt that an instance dispatched before it knew may crash one more target.
// Claims depend on conditional updates alone; a claim whose holder's
// incarnation has ended counts as a crash.

const (
	// quarantinePollPeriod bounds how long a record is unknown to an instance
	// to which no peer sent it. quarantineRetryDelay is the time until the next
	// list after a failed one.
	quarantinePollPeriod = 5 * time.Second
	quarantineRetryDelay = 500 * time.Millisecond
	// maxClaimTries bounds the writes of one update that conflict or whose
	// results are lost.
	maxClaimTries = 5
)

// claimRequest is a request that waits for the claim on its body.
type claimRequest struct {
	request *request
	claim   quarantine.Claim
	// maybeWritten is set once a write of the claim may have taken effect
	// though no answer said so.
	maybeWritten bool
}

// suspect is one quarantine record as this instance knows it, and the changes
// to write to it.
type suspect struct {
	record *quarantine.Record
	// localChanges counts the changes made here; writtenChanges is the number
	// of them that the last successful write included.
	localChanges, writtenChanges uint64
	claims                       []*claimRequest
	// released are the claims to remove from the stored record. Each update
	// writes the record, changed or not, so that a write of a claim whose
	// result was lost can't take effect later.
	released []string
	// changedAt is when the record last changed at the instance from which the
	// change came, so that all instances hold it to be equally old.
	changedAt time.Duration
	inFlight  bool
	// tries counts the writes of the update in flight that conflicted or whose
	// results were lost.
	tries    int
	failures int
	retryAt  time.Duration
}

func (s *suspect) due() bool { return s.localChanges > s.writtenChanges || len(s.claims) > 0 }

// quarantineState holds all suspect bodies that this instance knows.
type quarantineState struct {
	byBody map[string]*suspect
	byKey  map[bill.RequestID]*suspect
	// loaded is set once the records from before this incarnation are known.
	loaded   bool
	polling  bool
	nextPoll time.Duration
	// changes counts the changes of all records.
	changes uint64
	// stored and nextSync are used without claims; nextSync is when records may
	// next be sent to a peer that knows of other crashes.
	stored   storedQuarantine
	nextSync time.Duration
	// trialReleases are trials that the platform may still show as held.
	trialReleases []*trialRelease
	// trials counts the trials that were requested; it makes their claims
	// unique.
	trials uint64
	// unannounced are the bodies whose records are sent to peers at the next
	// tick.
	unannounced []string
	// parts holds the prompt parts that are suspected of crashing targets.
	parts *partquarantine.Table
	// partChanges is the number of the changes of parts that have been logged.
	partChanges uint64
}

func newQuarantineState() quarantineState {
	return quarantineState{byBody: map[string]*suspect{}, byKey: map[bill.RequestID]*suspect{}, parts: partquarantine.NewTable()}
}

// find returns the record of the request's body or key, or nil.
func (q *quarantineState) find(r *request) *suspect {
	if s := q.byBody[r.BodyHash]; s != nil {
		return s
	}
	return q.byKey[r.id]
}

// merge adds what another copy of a record contains and reports whether that
// was new here.
func (q *quarantineState) merge(o *quarantine.Record) (*suspect, bool) {
	s := q.byBody[o.BodyHash]
	if s == nil {
		s = &suspect{record: &quarantine.Record{BodyHash: o.BodyHash}}
		q.byBody[o.BodyHash] = s
	}
	changed := s.record.Merge(o)
	for _, id := range s.record.Requests {
		q.byKey[id] = s
	}
	return s, changed
}

// quarantined returns the error kind of a request that must not be run, or
// errkind.None.
func (n *Node) quarantined(r *request) errkind.Kind {
	if s := n.quarantine.find(r); s != nil && n.givenUp(s.record) {
		return errkind.Quarantined
	}
	if n.quarantine.parts.Blocks(r.Serves, r.SharedParts()) {
		return errkind.PartQuarantined
	}
	return errkind.None
}

// admitAttempt reports whether an attempt may start now. If not, it has refused
// the request or has started to acquire what a suspect needs: first the claim
// on its body, then the target's trial.
func (n *Node) admitAttempt(r *request, t *target) bool {
	if kind := n.quarantined(r); kind != errkind.None {
		n.finishRefused(r, kind)
		return false
	}
	if n.settings.Disabled.QuarantineClaims {
		return true
	}
	if r.claim != "" {
		n.acquireTrial(r, t.Name)
		return false
	}
	s := n.quarantine.find(r)
	if s == nil || s.record.Count() == 0 {
		return true
	}
	r.phase = phaseWaitingForClaim
	id := fmt.Sprintf("%s#%d#%d", n.holder, r.Request, r.attempts.Dispatched)
	claim := quarantine.Claim{ID: id, Instance: n.settings.Name, Incarnation: n.settings.Incarnation}
	s.claims = append(s.claims, &claimRequest{request: r, claim: claim})
	n.startSuspectUpdate(s)
	return false
}

// updateQuarantine records what the end of an attempt shows about its body: a
// crash makes it a suspect, a complete answer clears earlier crashes. An error
// clears none: the target may have stopped before the point at which others ended.
func (n *Node) updateQuarantine(r *request, e event.AttemptEnded) {
	switch {
	case e.Outcome == event.AttemptCrashed || e.TargetEnded:
		n.recordCrash(r, e.Attempt)
	case e.Outcome == event.AttemptCompleted && !e.TargetError:
		n.quarantine.parts.RecordAnswer(n.now, r.Serves, r.SharedParts())
		if s := n.quarantine.find(r); s != nil && s.record.Count() > 0 {
			n.logChange("crashes cleared", "body", quarantine.ShortID(s.record.BodyHash), "request", r.Key, "target", r.targetName, "crashes", s.record.Count())
			s.record.ClearCrashes()
			n.suspectChanged(s)
		}
	}
	n.releaseClaim(r)
}

func (n *Node) recordCrash(r *request, attempt string) {
	body := r.BodyHash
	if body == "" {
		body = recordName(r.id)
	}
	if s := n.quarantine.find(r); s != nil {
		body = s.record.BodyHash
	}
	crash := quarantine.Crash{Attempt: attempt, Target: r.targetName, Start: r.target.StartMillis}
	s, _ := n.quarantine.merge(&quarantine.Record{BodyHash: body, Requests: []bill.RequestID{r.id}, Crashes: []quarantine.Crash{crash}})
	n.logChange("crash counted", "body", quarantine.ShortID(body), "request", r.Key, "target", r.targetName, "crashes", s.record.Count())
	n.suspectChanged(s)
	if !r.firstTokenSeen {
		lost := partquarantine.Attempt{Serves: r.Serves, Parts: r.SharedParts(), Crash: crash.Event(), Sent: r.dispatched}
		n.quarantine.parts.RecordCrash(n.now, lost)
	}
}

// suspectChanged writes a record that has changed and sends it to peers:
// immediately if no other one has changed since the last tick, and again at the
// next tick.
func (n *Node) suspectChanged(s *suspect) {
	s.localChanges++
	s.changedAt = n.now
	n.quarantine.changes++
	if len(n.quarantine.unannounced) == 0 {
		n.sendQuarantineRecords([]string{s.record.BodyHash}, nil, n.members.peerNames())
	}
	n.quarantine.unannounced = append(n.quarantine.unannounced, s.record.BodyHash)
	n.startSuspectUpdate(s)
}

// releaseClaim releases the request's claim and trial.
func (n *Node) releaseClaim(r *request) {
	s := n.quarantine.find(r)
	if r.claim == "" || s == nil {
		return
	}
	n.releaseTrial(r)
	s.record.EndClaim(r.claim)
	s.released = append(s.released, r.claim)
	s.localChanges++
	r.claim = ""
	n.startSuspectUpdate(s)
}

func (n *Node) sendQuarantineRecords(bodies []string, parts []partquarantine.Record, peers []string) {
	m := &event.QuarantineRecords{Parts: parts}
	for _, body := range bodies {
		s := n.quarantine.byBody[body]
		record := s.record.Clone()
		record.Claim = nil
		m.Records = append(m.Records, event.QuarantineRecord{Record: *record, AgeMillis: (n.now - s.changedAt).Milliseconds()})
	}
	for _, name := range peers {
		n.send(name, event.PeerMessage{QuarantineRecords: m})
	}
}

// quarantineRecordsReceived merges the records that a peer sent.
func (n *Node) quarantineRecordsReceived(from string, m *event.QuarantineRecords) {
	n.quarantine.loaded = true
	n.quarantine.parts.Merge(n.now, m.Parts)
	for i := range m.Records {
		o := &m.Records[i]
		s, changed := n.mergeSuspect(&o.Record, time.Duration(o.AgeMillis)*time.Millisecond)
		if s.record.Count() < o.Count() { // the sender missed that the body was cleared
			n.sendQuarantineRecords([]string{s.record.BodyHash}, nil, []string{from})
		}
		if changed {
			n.logChange("quarantine record received", "peer", from, "body", quarantine.ShortID(s.record.BodyHash), "crashes", s.record.Count())
		}
	}
}

func (n *Node) tickQuarantine() {
	bodies, parts := n.quarantine.unannounced, n.quarantine.parts.TakeUnannounced(n.now)
	if len(bodies)+len(parts) > 0 {
		n.quarantine.unannounced = nil
		slices.Sort(bodies)
		n.sendQuarantineRecords(slices.Compact(bodies), parts, n.members.peerNames())
	}
	n.quarantine.parts.Forget(n.now)
	if changes := n.quarantine.parts.Changes(); changes != n.quarantine.partChanges {
		n.quarantine.partChanges = changes
		n.logChange("blocked parts changed", "parts", n.quarantine.parts.BlockedNames())
	}
	if n.settings.Disabled.QuarantineClaims {
		n.forgetOldSuspects()
		n.tickStoredQuarantine()
		return
	}
	for _, body := range sortedKeys(n.quarantine.byBody) {
		n.startSuspectUpdate(n.quarantine.byBody[body])
	}
	n.tickTrials()
	n.pollQuarantine()
}

// pollQuarantine lists all records once per quarantinePollPeriod, or after
// quarantineRetryDelay if the last list failed.
func (n *Node) pollQuarantine() {
	if n.quarantine.polling || n.now < n.quarantine.nextPoll {
		return
	}
	n.quarantine.polling = true
	n.callPlatform(event.OpList, event.Object{Kind: event.KindQuarantine}, func(res event.PlatformResult) {
		n.quarantine.polling = false
		n.quarantine.nextPoll = n.now + quarantineRetryDelay
		if res.Status != event.PlatformOK {
			return
		}
		n.quarantine.loaded = true
		n.quarantine.nextPoll = n.now + quarantinePollPeriod
		for _, o := range res.Objects {
			if record, err := quarantine.Decode(o.Value); err == nil && record.BodyHash != "" {
				n.quarantine.merge(record)
			}
		}
	})
}
