package node

import (
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/quarantine"
)

// The bound: a body that crashes each target that runs it takes down at most
// MaxTargets targets in the whole fleet, for any resends, at any instances,
// that arrive where the first crash is known (by message, by the platform's
// list, or since it happened there). Each attempt that an instance dispatched
// before it knew may cost one target more. Claims rest on conditional updates
// alone; a claim whose holder's life has ended counts as a crash.

const (
	// quarantinePollPeriod bounds how long a record is unknown to an instance
	// that peers did not tell.
	quarantinePollPeriod = 5 * time.Second
	quarantineRetry      = 500 * time.Millisecond
	// maxClaimTries bounds the writes of one flight that conflict or whose
	// answers are lost.
	maxClaimTries = 5
)

// claimRequest is a request that waits for the claim of its body.
type claimRequest struct {
	request *request
	claim   quarantine.Claim
	// doubt is set once a write of the claim may have taken effect.
	doubt bool
}

// suspect is one record as this instance knows it and its changes to write.
type suspect struct {
	record *quarantine.Record
	// wanted counts local changes; synced is the one that was written last.
	wanted, synced uint64
	claims         []*claimRequest
	// released are claims to take back. Each flight writes the record, changed
	// or not, which keeps a lost claim from landing later.
	released []string
	flying   bool
	tries    int
	failures int
	retryAt  time.Duration
}

func (s *suspect) due() bool { return s.wanted > s.synced || len(s.claims) > 0 }

// quarantineState is all suspect bodies that this instance knows.
type quarantineState struct {
	byBody map[string]*suspect
	byKey  map[bill.RequestID]*suspect
	// loaded is set once the records of before this life are known.
	loaded   bool
	polling  bool
	nextPoll time.Duration
	// trialEnds are trials that the platform may still show as taken.
	trialEnds []*trialEnd
	// trials counts the trials that were asked for.
	trials uint64
	// untold are the bodies of which peers are told at the next tick.
	untold []string
}

func newQuarantineState() quarantineState {
	return quarantineState{byBody: map[string]*suspect{}, byKey: map[bill.RequestID]*suspect{}}
}

// find returns the record of the request's body or key, or nil.
func (q *quarantineState) find(r *request) *suspect {
	if s := q.byBody[r.BodyHash]; s != nil {
		return s
	}
	return q.byKey[r.id]
}

// merge takes a copy of a record and tells whether it was news.
func (q *quarantineState) merge(o *quarantine.Record) (*suspect, bool) {
	s := q.byBody[o.BodyHash]
	if s == nil {
		s = &suspect{record: &quarantine.Record{BodyHash: o.BodyHash}}
		q.byBody[o.BodyHash] = s
	}
	news := s.record.Merge(o)
	for _, id := range s.record.Requests {
		q.byKey[id] = s
	}
	return s, news
}

// quarantined tells whether the request must not be run again.
func (n *Node) quarantined(r *request) bool {
	s := n.quarantine.find(r)
	return s != nil && s.record.Count() >= n.configs.index.Document.Policies.Quarantine.MaxTargets
}

// admitAttempt tells whether an attempt may start now. A suspect first needs its
// claim, and then the target's trial.
func (n *Node) admitAttempt(r *request, t *target) bool {
	if n.quarantined(r) {
		n.finishRefused(r, errkind.Quarantined)
		return false
	}
	if n.settings.Disabled.QuarantineClaims {
		return true
	}
	if r.claim != "" {
		n.claimTarget(r, t.Name)
		return false
	}
	s := n.quarantine.find(r)
	if s == nil || s.record.Count() == 0 {
		return true
	}
	r.phase = phaseWaitingForClaim
	id := fmt.Sprintf("%s#%d#%d", n.holder, r.Request, r.attempts)
	claim := quarantine.Claim{ID: id, Instance: n.settings.Name, Incarnation: n.settings.Incarnation}
	s.claims = append(s.claims, &claimRequest{request: r, claim: claim})
	n.flySuspect(s)
	return false
}

// updateQuarantine records what an attempt's end says of its body.
func (n *Node) updateQuarantine(r *request, e event.AttemptEnded) {
	switch e.Outcome {
	case event.AttemptCrashed:
		n.suspectCrash(r, e.Attempt)
	case event.AttemptCompleted:
		if s := n.quarantine.find(r); s != nil && s.record.Count() > 0 {
			s.record.ClearCrashes()
			n.suspectChanged(s)
		}
	}
	n.releaseClaim(r)
}

func (n *Node) suspectCrash(r *request, attempt string) {
	body := r.BodyHash
	if body == "" {
		body = recordName(r.id)
	}
	if s := n.quarantine.find(r); s != nil {
		body = s.record.BodyHash
	}
	s, _ := n.quarantine.merge(&quarantine.Record{
		BodyHash: body, Requests: []bill.RequestID{r.id}, Crashes: []quarantine.Crash{{Attempt: attempt, Target: r.targetName}},
	})
	n.suspectChanged(s)
}

// suspectChanged writes a record and tells peers of it.
func (n *Node) suspectChanged(s *suspect) {
	s.wanted++
	if len(n.quarantine.untold) == 0 {
		n.tellSuspects([]string{s.record.BodyHash}, n.members.peerNames())
	}
	n.quarantine.untold = append(n.quarantine.untold, s.record.BodyHash)
	n.flySuspect(s)
}

// releaseClaim gives the request's claim back.
func (n *Node) releaseClaim(r *request) {
	s := n.quarantine.find(r)
	if r.claim == "" || s == nil {
		return
	}
	n.endTrial(r)
	s.record.EndClaim(r.claim)
	s.released = append(s.released, r.claim)
	s.wanted++
	r.claim = ""
	n.flySuspect(s)
}

func (n *Node) tellSuspects(bodies, peers []string) {
	m := &event.QuarantineRecords{}
	for _, body := range bodies {
		record := n.quarantine.byBody[body].record.Clone()
		record.Claim = nil
		m.Records = append(m.Records, *record)
	}
	for _, name := range peers {
		n.send(name, event.PeerMessage{QuarantineRecords: m})
	}
}

// suspectsReceived takes what a peer knows.
func (n *Node) suspectsReceived(m *event.QuarantineRecords) {
	n.quarantine.loaded = true
	for i := range m.Records {
		n.quarantine.merge(&m.Records[i])
	}
}

func (n *Node) tickQuarantine() {
	if bodies := n.quarantine.untold; len(bodies) > 0 {
		n.quarantine.untold = nil
		slices.Sort(bodies)
		n.tellSuspects(slices.Compact(bodies), n.members.peerNames())
	}
	if n.settings.Disabled.QuarantineClaims {
		return
	}
	for _, body := range sortedKeys(n.quarantine.byBody) {
		n.flySuspect(n.quarantine.byBody[body])
	}
	n.tickTrials()
	n.pollQuarantine()
}

// pollQuarantine reads all records from time to time.
func (n *Node) pollQuarantine() {
	if n.quarantine.polling || n.now < n.quarantine.nextPoll {
		return
	}
	n.quarantine.polling = true
	n.callPlatform(event.OpList, event.Object{Kind: event.KindQuarantine}, func(res event.PlatformResult) {
		n.quarantine.polling = false
		n.quarantine.nextPoll = n.now + quarantineRetry
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
