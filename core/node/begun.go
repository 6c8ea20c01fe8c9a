package node

import (
	"encoding/json"
	"strconv"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// recordState is where a non-idempotent request stands.
type recordState string

const (
	// recordBegun means that the request may have run.
	recordBegun recordState = "begun"
	// recordFinished means that it ran; the answer is recorded.
	recordFinished recordState = "finished"
	// recordUnknown means that its attempt is over and may have run.
	recordUnknown recordState = "unknown"
	// recordReleased means that it did not run and may be begun again.
	recordReleased recordState = "released"
)

// begunRecord is the value of a BegunRequest object. Records are never deleted.
type begunRecord struct {
	Customer string      `json:"customer"`
	Key      string      `json:"key"`
	BodyHash string      `json:"bodyHash"`
	State    recordState `json:"state"`
	// Writer is unique to one request of one life of an instance.
	Writer      string `json:"writer"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// Answer and Line are the recorded outcome and its bill line.
	Answer *event.RecordedAnswer `json:"answer,omitempty"`
	Line   *bill.Line            `json:"line,omitempty"`
	// Billed is set once the line is known to stand in the bill log.
	Billed bool `json:"billed,omitempty"`
}

// beginTries bounds the writes of a begun record whose answers are lost.
const beginTries = 3

func recordName(id bill.RequestID) string {
	return "begun-" + id.Digest()
}

func recordObject(id bill.RequestID) event.Object {
	return event.Object{Kind: event.KindBegun, Name: recordName(id)}
}

// createBegunRecord makes the durable begun record that must exist before a non-idempotent
// request is dispatched.
func (n *Node) createBegunRecord(r *request) {
	r.phase = phaseWaitingForBegunRecord
	r.record = &begunRecord{
		Customer: r.Customer, Key: r.Key, BodyHash: r.BodyHash, State: recordBegun,
		Writer:   string(n.holder) + "#" + strconv.FormatUint(r.Request, 10),
		Instance: n.settings.Name, Incarnation: n.settings.Incarnation,
	}
	n.writeBegun(r, "", beginTries)
}

// writeBegun creates the record, or takes over a released one of that version.
func (n *Node) writeBegun(r *request, version string, tries int) {
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
			n.afterBegun(r)
		case event.PlatformUnavailable:
			n.finishRefused(r, errkind.PlatformUnavailable)
		case event.PlatformUnknown:
			r.recordMayExist, r.takeover = true, version
			n.readBegun(r, tries)
		default:
			n.readBegun(r, tries)
		}
	})
}

// afterBegun goes on to a target unless the caller left meanwhile.
func (n *Node) afterBegun(r *request) {
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	n.enqueue(r)
}

// readBegun settles a conflict or a lost answer by what the platform holds.
func (n *Node) readBegun(r *request, tries int) {
	n.callPlatform(event.OpGet, recordObject(r.id), func(res event.PlatformResult) {
		switch {
		case res.Status == event.PlatformOK:
			n.compareBegun(r, res.Object, tries)
		case tries == 0:
			n.finishRefused(r, errkind.PlatformUnavailable)
		case res.Status == event.PlatformNotFound:
			n.writeBegun(r, "", tries-1)
		default:
			n.readBegun(r, tries-1)
		}
	})
}

func (n *Node) compareBegun(r *request, o event.Object, tries int) {
	var found begunRecord
	if err := json.Unmarshal(o.Value, &found); err != nil {
		n.refuseForeign(r, errkind.Internal)
		return
	}
	switch {
	case found.Writer == r.record.Writer:
		r.recordVersion = o.Version
		n.afterBegun(r)
	case found.BodyHash != r.BodyHash:
		n.refuseForeign(r, errkind.KeyReused)
	case found.State == recordReleased && tries > 0:
		n.writeBegun(r, o.Version, tries-1)
	case found.State == recordReleased:
		n.finishRefused(r, errkind.PlatformUnavailable)
	case found.State == recordFinished && found.Answer != nil:
		n.replay(r, &found, o.Version)
	case found.State == recordBegun && n.stillRuns(&found):
		n.refuseForeign(r, errkind.InProgress)
	default:
		n.refuseForeign(r, errkind.OutcomeUnknown)
	}
}

// stillRuns tells whether the life that wrote a begun record is live, so that
// its outcome is to be expected.
func (n *Node) stillRuns(found *begunRecord) bool {
	life := peerIncarnation{found.Instance, found.Incarnation}
	if life == (peerIncarnation{n.settings.Name, n.settings.Incarnation}) {
		return n.begun.find(found.Writer) != nil
	}
	return n.alive(life)
}

// refuseForeign refuses a request whose record belongs to another attempt.
func (n *Node) refuseForeign(r *request, kind errkind.Kind) {
	r.record = nil
	n.finishRefused(r, kind)
}

// replay answers with the recorded outcome of an earlier run. The life that
// ran it may have ended before its bill line was safe, so that the replay sees
// to the line unless the record says that it is written.
func (n *Node) replay(r *request, found *begunRecord, version string) {
	r.record = nil
	n.book.Account(r.Budget).Settle(r.reserved, 0)
	r.reserved = 0
	r.replay = found.Answer
	if found.Line == nil || found.Billed {
		n.releaseAnswer(r)
		return
	}
	n.begun.keep(&recordUpdate{id: r.id, record: *found, version: version})
	n.awaitBill(r, *found.Line)
}

// recordOutcome keeps the answer of a finished non-idempotent request and its
// bill line.
func (n *Node) recordOutcome(r *request, answer *event.RecordedAnswer, line bill.Line) {
	if r.record == nil {
		return
	}
	r.record.State, r.record.Answer, r.record.Line = recordFinished, answer, &line
	n.queueRecord(r)
}

// closeRecord records the end of a refused request: released if it did not run,
// so that its key can be used again.
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
	n.begun.keep(u)
	n.flyRecord(u)
}
