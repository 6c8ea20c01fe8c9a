package node

import (
	"encoding/json"
	"strconv"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// recordState is the state of a non-idempotent request in its begun record.
type recordState string

const (
	// recordBegun means that the request may have run.
	recordBegun recordState = "begun"
	// recordFinished means that the request ran; the answer is recorded.
	recordFinished recordState = "finished"
	// recordUnknown means that the request's attempt has ended and may have
	// run.
	recordUnknown recordState = "unknown"
	// recordReleased means that the request did not run; its key may be used
	// again.
	recordReleased recordState = "released"
)

// begunRecord is the value of a BegunRequest object. Records are never deleted.
type begunRecord struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	BodyHash string      `json:"bodyHash"`
	State    recordState `json:"state"`
	// Writer is unique to one request at one incarnation of an instance.
	Writer      string `json:"writer"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Answer and Line are the recorded outcome and its bill line.
	Answer *event.RecordedAnswer `json:"answer,omitempty"`
	Line   *bill.Line            `json:"line,omitempty"`
	// Billed is set once the line is known to be in the bill log.
	Billed bool `json:"billed,omitempty"`
}

// maxBegunRetries bounds how often the first write of a begun record is
// repeated or read back, as after a lost result.
const maxBegunRetries = 3

func recordName(id bill.RequestID) string {
	return "begun-" + id.Digest()
}

func recordObject(id bill.RequestID) event.Object {
	return event.Object{Kind: event.KindBegun, Name: recordName(id)}
}

// createBegunRecord writes the durable begun record that must exist before a
// non-idempotent request is dispatched.
func (n *Node) createBegunRecord(r *request) {
	r.phase = phaseWaitingForBegunRecord
	r.record = &begunRecord{
		Customer: r.Customer, Key: r.Key, BodyHash: r.BodyHash, State: recordBegun,
		Writer:   string(n.holder) + "#" + strconv.FormatUint(r.Request, 10),
		Instance: n.settings.Name, Incarnation: n.settings.Incarnation,
	}
	n.writeBegunRecord(r, "", maxBegunRetries)
}

// writeBegunRecord creates the record, or replaces a released one that has the
// given version.
func (n *Node) writeBegunRecord(r *request, version string, retriesLeft int) {
	raw, err := json.Marshal(r.record)
	if err != nil {
		n.finishRefused(r, errkind.Internal)
		return
	}
	op := event.OpCreate
	if version != "" {
		op = event.OpUpdate
	}
	o := recordObject(r.id)
	o.Version, o.Value = version, raw
	n.callPlatform(op, o, func(res event.PlatformResult) {
		switch res.Status {
		case event.PlatformOK:
			r.recordVersion = res.Object.Version
			n.begunRecordWritten(r)
		case event.PlatformUnavailable:
			n.finishRefused(r, errkind.PlatformUnavailable)
		case event.PlatformUnknown:
			r.recordMayExist, r.takeover = true, version
			n.readBegunRecord(r, retriesLeft)
		default:
			n.readBegunRecord(r, retriesLeft)
		}
	})
}

// begunRecordWritten queues the request for a target unless the caller has
// left.
func (n *Node) begunRecordWritten(r *request) {
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	n.enqueue(r)
}

// readBegunRecord resolves a conflict or a lost result by reading the record
// that the platform holds.
func (n *Node) readBegunRecord(r *request, retriesLeft int) {
	n.callPlatform(event.OpGet, recordObject(r.id), func(res event.PlatformResult) {
		switch {
		case res.Status == event.PlatformOK:
			n.resolveBegunRecord(r, res.Object, retriesLeft)
		case retriesLeft == 0:
			n.finishRefused(r, errkind.PlatformUnavailable)
		case res.Status == event.PlatformNotFound:
			n.writeBegunRecord(r, "", retriesLeft-1)
		default:
			n.readBegunRecord(r, retriesLeft-1)
		}
	})
}

func (n *Node) resolveBegunRecord(r *request, o event.Object, retriesLeft int) {
	var found begunRecord
	if err := json.Unmarshal(o.Value, &found); err != nil {
		n.refuseWithoutRecord(r, errkind.Internal)
		return
	}
	switch {
	case found.Writer == r.record.Writer:
		r.recordVersion = o.Version
		n.begunRecordWritten(r)
	case found.BodyHash != r.BodyHash:
		n.refuseWithoutRecord(r, errkind.KeyReused)
	case found.State == recordReleased && retriesLeft > 0:
		n.writeBegunRecord(r, o.Version, retriesLeft-1)
	case found.State == recordReleased:
		n.finishRefused(r, errkind.PlatformUnavailable)
	case found.State == recordFinished && found.Answer != nil:
		n.replay(r, &found, o.Version)
	case found.State == recordBegun && n.stillRuns(&found):
		n.refuseWithoutRecord(r, errkind.InProgress)
	default:
		n.refuseWithoutRecord(r, errkind.OutcomeUnknown)
	}
}

// stillRuns reports whether the incarnation that wrote a begun record is alive,
// so that an outcome is still to be expected.
func (n *Node) stillRuns(found *begunRecord) bool {
	id := peerIncarnation{found.Instance, found.Incarnation}
	if id == (peerIncarnation{n.settings.Name, n.settings.Incarnation}) {
		return n.begun.find(found.Writer) != nil
	}
	return n.alive(id)
}

// refuseWithoutRecord refuses a request whose stored record belongs to another
// writer, or can't be decoded, and must not be changed.
func (n *Node) refuseWithoutRecord(r *request, kind errkind.Kind) {
	r.record = nil
	n.finishRefused(r, kind)
}

// replay answers with the recorded outcome of an earlier run. The incarnation
// that ran it may have ended before its bill line was durable, so the replay
// makes it durable unless the record says that it is written.
func (n *Node) replay(r *request, found *begunRecord, version string) {
	r.record = nil
	n.book.Account(r.Budget).Settle(r.reserved, 0)
	r.reserved = 0
	r.replay = found.Answer
	if found.Line == nil || found.Billed {
		n.releaseAnswer(r)
		return
	}
	n.begun.add(&recordUpdate{id: r.id, record: *found, version: version})
	n.awaitBill(r, *found.Line)
}

// recordOutcome stores the answer of a finished non-idempotent request and its
// bill line in the begun record.
func (n *Node) recordOutcome(r *request, answer *event.RecordedAnswer, line bill.Line) {
	if r.record == nil {
		return
	}
	r.record.State, r.record.Answer, r.record.Line = recordFinished, answer, &line
	n.queueRecord(r)
}

// closeRecord records the end of a request without an answer to record:
// released if it did not run, so that its key can be used again, and unknown
// otherwise.
func (n *Node) closeRecord(r *request, ran errkind.Ran) {
	if r.record == nil || r.record.State != recordBegun {
		return
	}
	if r.recordVersion == "" && !r.recordMayExist {
		return // certainly not written
	}
	r.record.State = recordUnknown
	if ran == errkind.RanNo {
		r.record.State = recordReleased
	}
	n.queueRecord(r)
}

func (n *Node) queueRecord(r *request) {
	u := &recordUpdate{id: r.id, record: *r.record, version: r.recordVersion, takeover: r.takeover, due: true}
	n.begun.add(u)
	n.startRecordUpdate(u)
}
