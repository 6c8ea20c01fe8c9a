package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/event"
	"plantainfield.example/core/partquarantine"
	"plantainfield.example/core/quarantine"
)

// Without claims, instances tell each other of crashes. What an instance missed,
// because it was cut off or had not started, it gets from its peers: heartbeats
// carry a digest of the suspects, and instances whose digests differ exchange
// their records. For the case that all instances are lost, one of them keeps the
// records in one object of the platform as well.
const (
	// exchangedSuspectAge is the age up to which a suspect that is not given up is
	// exchanged, maxSuspectAge that up to which it is kept, and maxStoredSuspects
	// how many of the newest the platform keeps.
	exchangedSuspectAge = time.Minute
	maxSuspectAge       = 10 * time.Minute
	maxStoredSuspects   = 256
	// storePeriod is the minimum time between two reads or writes of the records,
	// except for one that stores that a body is given up.
	storePeriod = time.Second
)

// storedQuarantine is this instance's view of the object that holds the records.
type storedQuarantine struct {
	// read is set while version is the object's last known version; it is empty if
	// there is no object.
	read    bool
	version string
	// written is the number of the state's changes that the last successful write
	// included.
	written  uint64
	inFlight bool
	// next is the earliest time of the next call, nextWrite that of the next write
	// unless a body has been given up that givenUp does not count yet. givenUp is
	// the number of such bodies in the last successful write.
	next      time.Duration
	nextWrite time.Duration
	givenUp   int
	failures  int
}

// returned makes the records be read and written again after the store came back
// from an older copy.
func (s *storedQuarantine) returned() {
	s.read, s.written, s.givenUp, s.next = false, 0, 0, 0
}

// quarantineObject is the value of the object that holds the records.
type quarantineObject struct {
	Records []*quarantine.Record `json:"records"`
	// Parts are the blocked parts.
	Parts []partquarantine.Record `json:"parts,omitempty"`
}

// givenUp reports whether a body must not be run again.
func (n *Node) givenUp(r *quarantine.Record) bool {
	return r.Count() >= n.configs.index.Document.Policies.Quarantine.MaxTargets
}

// exchanged reports whether peers should have a record.
func (n *Node) exchanged(s *suspect) bool {
	return s.record.Count() > 0 && (n.givenUp(s.record) || n.now-s.changedAt < exchangedSuspectAge)
}

// exchangedSuspects returns the bodies whose records peers should have, in order.
func (n *Node) exchangedSuspects() []string {
	return slices.DeleteFunc(sortedKeys(n.quarantine.byBody), func(body string) bool { return !n.exchanged(n.quarantine.byBody[body]) })
}

// quarantineDigest identifies the crashes in the records that peers should have.
// It is 0 if there are none, and where each instance polls the records from the
// platform.
func (n *Node) quarantineDigest() uint64 {
	if n.configs.index == nil || !n.settings.Disabled.QuarantineClaims {
		return 0
	}
	digest := n.quarantine.parts.Digest()
	for body, s := range n.quarantine.byBody {
		if !n.exchanged(s) {
			continue
		}
		for _, c := range s.record.Crashes {
			digest ^= xxhash.Sum64String(body + "\x00" + c.Event())
		}
	}
	return digest
}

// quarantineDigestReceived sends a peer that knows of other crashes the records
// that this instance has, and a heartbeat, so that the peer does the same. It does
// so for one peer in a heartbeat period and in turn: while a change spreads, the
// digests of most peers differ.
func (n *Node) quarantineDigestReceived(p *peer, digest uint64) {
	if n.now < n.quarantine.nextSync || n.now < p.nextQuarantineSync {
		return
	}
	if n.configs.index == nil || !n.settings.Disabled.QuarantineClaims || digest == n.quarantineDigest() {
		return
	}
	n.quarantine.nextSync, p.nextQuarantineSync = n.now+heartbeatPeriod, n.now+2*heartbeatPeriod
	bodies, parts := n.exchangedSuspects(), n.quarantine.parts.Records(n.now)
	if len(bodies)+len(parts) > 0 {
		n.sendQuarantineRecords(bodies, parts, []string{p.Name})
	}
	n.answerHeartbeat(p)
}

// tickStoredQuarantine reads the stored records once and writes them after
// changes, if this instance is the one to do so. If two instances assume so, both
// write; the updates are conditional, and records can be merged in any order.
func (n *Node) tickStoredQuarantine() {
	q := &n.quarantine
	s := &q.stored
	if s.inFlight || n.now < s.next || n.configs.index == nil || !n.members.selfListed || !n.closesGrantsIn(n.ledgers.shards[0]) {
		return
	}
	switch {
	case !s.read:
		n.readStoredQuarantine()
	case q.changes+q.parts.Changes() > s.written && (n.now >= s.nextWrite || n.givenUpCount() > s.givenUp):
		n.writeStoredQuarantine()
	}
}

// givenUpCount returns the number of the bodies and parts that are given up.
func (n *Node) givenUpCount() int {
	count := n.quarantine.parts.BlockedCount()
	for _, s := range n.quarantine.byBody {
		if n.givenUp(s.record) {
			count++
		}
	}
	return count
}

// forgetOldSuspects removes suspects that are not given up and are old.
func (n *Node) forgetOldSuspects() {
	if n.configs.index == nil {
		return
	}
	q := &n.quarantine
	for body, s := range q.byBody {
		if n.now-s.changedAt < maxSuspectAge || n.givenUp(s.record) {
			continue
		}
		delete(q.byBody, body)
		for _, id := range s.record.Requests {
			delete(q.byKey, id)
		}
	}
}

func storedQuarantineObject() event.Object {
	return event.Object{Kind: event.KindQuarantine, Name: "suspects"}
}

func (n *Node) readStoredQuarantine() {
	s := &n.quarantine.stored
	s.inFlight = true
	n.callPlatform(event.OpGet, storedQuarantineObject(), func(res event.PlatformResult) {
		s.inFlight = false
		switch res.Status {
		case event.PlatformOK:
			n.storedQuarantineRead(res.Object)
		case event.PlatformNotFound:
			s.read, s.version, s.failures = true, "", 0
		default: // until it is read, what was known before a loss of all is not
			s.next = n.now + storePeriod
		}
	})
}

// storedQuarantineRead adds the stored records to those of this instance and
// tells peers of what was new.
func (n *Node) storedQuarantineRead(o event.Object) {
	q := &n.quarantine
	q.stored.read, q.stored.version, q.stored.failures = true, o.Version, 0
	var value quarantineObject
	if err := json.Unmarshal(o.Value, &value); err != nil {
		n.logChange("stored quarantine ignored", "version", o.Version, "error", fmt.Sprint(err))
		return
	}
	q.parts.Merge(n.now, value.Parts)
	changed := 0
	for _, r := range quarantine.Present(value.Records) {
		if s, isNew := n.mergeSuspect(r, 0); isNew {
			changed++
			q.unannounced = append(q.unannounced, s.record.BodyHash)
		}
	}
	n.logChange("stored quarantine read", "records", len(value.Records), "changed", changed)
}

func (n *Node) writeStoredQuarantine() {
	q := &n.quarantine
	changes, givenUp := q.changes+q.parts.Changes(), n.givenUpCount()
	raw, err := json.Marshal(quarantineObject{Records: n.storedSuspects(), Parts: q.parts.Blocked(n.now)})
	if err != nil {
		n.logChange("quarantine not stored", "error", err.Error())
		n.storedQuarantineFailed()
		return
	}
	o := storedQuarantineObject()
	o.Version, o.Value = q.stored.version, raw
	op := event.OpUpdate
	if o.Version == "" {
		op = event.OpCreate
	}
	q.stored.inFlight, q.stored.nextWrite = true, n.now+storePeriod
	n.callPlatform(op, o, func(res event.PlatformResult) {
		q.stored.inFlight = false
		switch {
		case res.Status == event.PlatformOK:
			q.stored.version, q.stored.written, q.stored.givenUp, q.stored.failures = res.Object.Version, changes, givenUp, 0
		case res.Status == event.PlatformConflict && res.Object.Value != nil:
			n.storedQuarantineRead(res.Object)
		default:
			n.storedQuarantineFailed()
		}
	})
}

// storedSuspects returns the records to store: those of bodies that are given up,
// and the newest of the others.
func (n *Node) storedSuspects() []*quarantine.Record {
	var suspects []*suspect
	for _, body := range sortedKeys(n.quarantine.byBody) {
		if s := n.quarantine.byBody[body]; s.record.Count() > 0 {
			suspects = append(suspects, s)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *suspect) int { return cmp.Compare(b.changedAt, a.changedAt) })
	records := make([]*quarantine.Record, 0, len(suspects))
	for i, s := range suspects {
		if i < maxStoredSuspects || n.givenUp(s.record) {
			records = append(records, s.record)
		}
	}
	return records
}

// storedQuarantineFailed schedules another read after a failed call.
func (n *Node) storedQuarantineFailed() {
	s := &n.quarantine.stored
	s.read = false
	s.next = n.now + max(storePeriod, n.backoff(s.failures))
	s.failures++
}

// mergeSuspect adds what another copy of a record contains, which last changed age
// ago, and reports whether that was new here.
func (n *Node) mergeSuspect(o *quarantine.Record, age time.Duration) (*suspect, bool) {
	known := n.quarantine.byBody[o.BodyHash] != nil
	s, changed := n.quarantine.merge(o)
	if !known {
		s.changedAt = n.now - age
	}
	if changed {
		n.quarantine.changes++
		s.changedAt = max(s.changedAt, n.now-age)
	}
	return s, changed
}
