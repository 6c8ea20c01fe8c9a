package node

import (
	"encoding/json"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
)

// recordUpdate is the wanted value of a begun record and what is known of the
// record in the platform.
type recordUpdate struct {
	id     bill.RequestID
	record begunRecord
	// version is the one to replace; empty if it must be read first.
	version string
	// takeover is the version of a released record that a lost write of this
	// writer may still replace.
	takeover string
	// due is set while the platform may lack the wanted value.
	due      bool
	flying   bool
	failures int
	retryAt  time.Duration
}

// begunState holds the updates that are due and those that wait for their bill.
type begunState struct{ updates []*recordUpdate }

// pending is the number of updates that the platform may lack.
func (s *begunState) pending() int {
	count := 0
	for _, u := range s.updates {
		if u.due {
			count++
		}
	}
	return count
}

// keep adds an update; it replaces none, since a writer has only one.
func (s *begunState) keep(u *recordUpdate) {
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
		n.flyRecord(u)
	}
}

// recordBilled marks the record of a request whose line stands in the log.
func (n *Node) recordBilled(id bill.RequestID) {
	for _, u := range n.begun.updates {
		if u.id == id && u.record.State == recordFinished && !u.record.Billed {
			u.record.Billed, u.due = true, true
			n.flyRecord(u)
		}
	}
}

// flyRecord makes the next call of an update. Each write is conditional on the
// version that was read, so that a write which lands late changes nothing that
// another writer has made meanwhile.
func (n *Node) flyRecord(u *recordUpdate) {
	if !u.due || u.flying || n.now < u.retryAt {
		return
	}
	u.flying = true
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
			n.recordFailed(u)
		default: // read back what the platform holds
			u.version = ""
			n.readRecord(u)
		}
	})
}

// recordWritten ends an update. One whose bill line is open is kept, to mark
// the record once the line is written.
func (n *Node) recordWritten(u *recordUpdate, billed bool) {
	u.flying, u.failures = false, 0
	u.due = u.record.Billed != billed
	if u.due {
		n.flyRecord(u)
		return
	}
	if u.record.State != recordFinished || u.record.Billed || n.bills.held.byID[u.id] == nil {
		n.begun.remove(u)
	}
}

func (n *Node) recordFailed(u *recordUpdate) {
	u.flying = false
	u.retryAt = n.now + n.backoff(u.failures)
	u.failures++
}

// readRecord reads the record. Where it is missing, creating it keeps a lost
// create of this writer from taking effect later.
func (n *Node) readRecord(u *recordUpdate) {
	n.callPlatform(event.OpGet, recordObject(u.id), func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			n.compareRecord(u, res.Object)
		case event.PlatformNotFound:
			n.writeRecord(u, event.OpCreate)
		default:
			n.recordFailed(u)
		}
	})
}

func (n *Node) compareRecord(u *recordUpdate, o event.Object) {
	var found begunRecord
	if err := json.Unmarshal(o.Value, &found); err != nil {
		n.begun.remove(u)
		return
	}
	lateTakeover := found.State == recordReleased && o.Version == u.takeover
	switch {
	case found.Writer != u.record.Writer && !lateTakeover:
		n.begun.remove(u) // begun by another; this writer's lost write can't land
	case found.Writer == u.record.Writer && found.State == u.record.State && found.Billed == u.record.Billed:
		u.version = o.Version
		n.recordWritten(u, found.Billed)
	default:
		u.version = o.Version
		n.writeRecord(u, event.OpUpdate)
	}
}
