package node

import (
	"encoding/json"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
)

// recordUpdate is an update of a begun record: the value to write and what is
// known of the record in the platform.
type recordUpdate struct {
	id     bill.RequestID
	record begunRecord
	// version is the stored version to replace; empty if it must be read first.
	version string
	// takeover is the version of a released record that an earlier write of
	// this writer, whose result was lost, may still replace.
	takeover string
	// due is set while the stored record may differ from the value to write.
	due      bool
	inFlight bool
	failures int
	retryAt  time.Duration
}

// begunState holds the record updates that are due and those that wait for
// their bill line to be written.
type begunState struct{ updates []*recordUpdate }

// pending returns the number of updates whose value may not be stored yet.
func (s *begunState) pending() int {
	count := 0
	for _, u := range s.updates {
		if u.due {
			count++
		}
	}
	return count
}

// add adds an update unless its writer already has one: a writer has at most
// one.
func (s *begunState) add(u *recordUpdate) {
	if s.find(u.record.Writer) == nil {
		s.updates = append(s.updates, u)
	}
}

func (s *begunState) find(writer string) *recordUpdate {
	i := slices.IndexFunc(s.updates, func(u *recordUpdate) bool { return u.record.Writer == writer })
	if i < 0 {
		return nil
	}
	return s.updates[i]
}

func (s *begunState) remove(u *recordUpdate) {
	if i := slices.Index(s.updates, u); i >= 0 {
		s.updates = slices.Delete(s.updates, i, i+1)
	}
}

func (n *Node) tickBegun() {
	for _, u := range slices.Clone(n.begun.updates) {
		n.startRecordUpdate(u)
	}
}

// recordBilled marks the record of a request whose line is in the log as
// billed.
func (n *Node) recordBilled(id bill.RequestID) {
	for _, u := range n.begun.updates {
		if u.id == id && u.record.State == recordFinished && !u.record.Billed {
			u.record.Billed, u.due = true, true
			n.startRecordUpdate(u)
		}
	}
}

// startRecordUpdate makes the next platform call of an update. Each write is
// conditional on the version that was read, so that a write which takes effect
// late can't overwrite what another writer has written in the meantime.
func (n *Node) startRecordUpdate(u *recordUpdate) {
	if !u.due || u.inFlight || n.now < u.retryAt {
		return
	}
	u.inFlight = true
	if u.version == "" {
		n.readRecord(u)
		return
	}
	n.writeRecord(u, event.OpUpdate)
}

func (n *Node) writeRecord(u *recordUpdate, op event.PlatformOp) {
	sent := u.record
	raw, err := json.Marshal(sent)
	if err != nil {
		n.begun.remove(u)
		return
	}
	o := recordObject(u.id)
	o.Value = raw
	if op == event.OpUpdate {
		o.Version = u.version
	}
	n.callPlatform(op, o, func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			u.version = res.Object.Version
			n.recordWritten(u, sent.Billed)
		case event.PlatformUnavailable:
			n.recordUpdateFailed(u)
		default: // read back what the platform holds
			u.version = ""
			n.readRecord(u)
		}
	})
}

// recordWritten ends an update. It is kept while its bill line is not written
// yet, to mark the record as billed afterwards.
func (n *Node) recordWritten(u *recordUpdate, billed bool) {
	u.inFlight, u.failures = false, 0
	u.due = u.record.Billed != billed
	if u.due {
		n.startRecordUpdate(u)
		return
	}
	if u.record.State != recordFinished || u.record.Billed || n.bills.held.byID[u.id] == nil {
		n.begun.remove(u)
	}
}

func (n *Node) recordUpdateFailed(u *recordUpdate) {
	u.inFlight = false
	u.retryAt = n.now + n.backoff(u.failures)
	u.failures++
}

// readRecord reads the record. If it is missing it is created, so that a create
// of this writer whose result was lost can't take effect later.
func (n *Node) readRecord(u *recordUpdate) {
	n.callPlatform(event.OpGet, recordObject(u.id), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			n.reconcileRecord(u, res.Object)
		case event.PlatformNotFound:
			n.writeRecord(u, event.OpCreate)
		default:
			n.recordUpdateFailed(u)
		}
	})
}

func (n *Node) reconcileRecord(u *recordUpdate, o event.Object) {
	var found begunRecord
	if err := json.Unmarshal(o.Value, &found); err != nil {
		n.begun.remove(u)
		return
	}
	lateTakeover := found.State == recordReleased && o.Version == u.takeover
	switch {
	case found.Writer != u.record.Writer && !lateTakeover:
		n.begun.remove(u) // begun by another writer; this writer's lost write can't take effect any more
	case found.Writer == u.record.Writer && found.State == u.record.State && found.Billed == u.record.Billed:
		u.version = o.Version
		n.recordWritten(u, found.Billed)
	default:
		u.version = o.Version
		n.writeRecord(u, event.OpUpdate)
	}
}
