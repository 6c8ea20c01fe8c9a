package node

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

const (
	// applyTimeout bounds an apply of which nothing can have been written.
	applyTimeout = 2 * time.Second
	// readBackTimeout bounds the reads that settle a lost answer.
	readBackTimeout = 7 * time.Second
)

// apply is one operator's file on its way into force.
type apply struct {
	event.ApplyRequested
	document *config.Document
	// maybeWritten is set once a write's answer was lost.
	maybeWritten bool
	failures     int
	calling      bool
	retryAt      time.Duration
	until        time.Duration
	answered     bool
}

// applyRequested checks a file entirely and then replaces the configuration
// object by conditional update.
func (n *Node) applyRequested(e event.ApplyRequested) {
	doc, problems := config.Parse(e.Document)
	if len(problems) > 0 {
		answer := &event.AnswerApply{Apply: e.Apply, Kind: errkind.ConfigInvalid, Generation: n.configs.generation()}
		for _, p := range problems {
			answer.Problems = append(answer.Problems, event.Problem{Path: p.Path, Message: p.Message})
		}
		n.emit(event.Action{AnswerApply: answer})
		return
	}
	a := &apply{ApplyRequested: e, document: doc, until: n.now + applyTimeout}
	n.configs.applies = append(n.configs.applies, a)
	n.readForApply(a)
}

// tickApplies reads again for applies whose last call failed.
func (n *Node) tickApplies() {
	for _, a := range slices.Clone(n.configs.applies) {
		if !a.calling && n.now >= a.retryAt {
			n.readForApply(a)
		}
	}
}

// settleApplies answers applies that the configuration now in force names.
func (n *Node) settleApplies() {
	for _, a := range slices.Clone(n.configs.applies) {
		if g, ok := n.configs.stored.AcceptedAs(a.OperationID); ok {
			n.answerApply(a, errkind.None, g)
		}
	}
}

// callForApply makes a platform call; then runs unless the apply was answered
// in the meantime.
func (n *Node) callForApply(a *apply, op event.PlatformOp, o event.Object, then func(event.PlatformResult)) {
	a.calling = true
	n.callPlatform(op, o, func(r event.PlatformResult) {
		a.calling = false
		if !a.answered {
			then(r)
		}
	})
}

// readForApply reads the object and either finds this apply accepted, finds a
// conflict, or writes.
func (n *Node) readForApply(a *apply) {
	n.callForApply(a, event.OpGet, configObject(), func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			n.compareForApply(a, r.Object)
		case event.PlatformNotFound:
			n.writeForApply(a, &config.Stored{}, "")
		default:
			n.retryApply(a)
		}
	})
}

// retryApply reads again after a delay, or gives up.
func (n *Node) retryApply(a *apply) {
	a.failures++
	a.retryAt = n.now + n.backoff(a.failures)
	if a.retryAt <= a.until {
		return
	}
	kind := errkind.PlatformUnavailable
	if a.maybeWritten {
		kind = errkind.ConfigOutcomeUnknown
	}
	n.answerApply(a, kind, n.configs.generation())
}

func (n *Node) compareForApply(a *apply, o event.Object) {
	var s config.Stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		n.answerApply(a, errkind.Internal, n.configs.generation())
		return
	}
	if g, ok := s.AcceptedAs(a.OperationID); ok {
		n.adopt(o.Value)
		n.answerApply(a, errkind.None, g)
		return
	}
	n.adopt(o.Value)
	n.writeForApply(a, &s, o.Version)
}

// writeForApply replaces what the platform holds. The new generation is above
// all that are known, also if the platform has lost one.
func (n *Node) writeForApply(a *apply, held *config.Stored, version string) {
	current := max(held.Generation, n.configs.known())
	if a.document.BasedOnGeneration != current {
		n.refuseApply(a, held, current)
		return
	}
	before := held
	if n.configs.generation() > held.Generation {
		before = &n.configs.stored
	}
	raw, err := json.Marshal(before.Next(current+1, a.OperationID, *a.document))
	if err != nil {
		n.answerApply(a, errkind.Internal, current)
		return
	}
	o := configObject()
	o.Value, o.Version = raw, version
	n.callForApply(a, writeOp(version), o, func(r event.PlatformResult) { n.wroteForApply(a, r, raw, current+1) })
}

func (n *Node) wroteForApply(a *apply, r event.PlatformResult, raw []byte, generation uint64) {
	switch r.Status {
	case event.PlatformOK:
		n.adopt(raw)
		n.answerApply(a, errkind.None, generation)
	case event.PlatformConflict:
		n.readForApply(a)
	case event.PlatformUnknown:
		if !a.maybeWritten {
			a.maybeWritten, a.until = true, n.now+readBackTimeout
		}
		n.readForApply(a)
	default:
		n.retryApply(a)
	}
}

// refuseApply tells of a conflict, unless a generation is known of that was
// not seen here: this apply, sent again at another instance, may have made it.
func (n *Node) refuseApply(a *apply, held *config.Stored, current uint64) {
	unseen := max(held.Generation, n.configs.generation()) < current
	if unseen || a.maybeWritten && held.Generation < current {
		n.retryApply(a)
		return
	}
	n.answerApply(a, errkind.ConfigConflict, current)
}

func (n *Node) answerApply(a *apply, kind errkind.Kind, generation uint64) {
	if a.answered {
		return
	}
	a.answered = true
	n.configs.applies = slices.DeleteFunc(n.configs.applies, func(b *apply) bool { return a == b })
	answer := &event.AnswerApply{Apply: a.Apply, Kind: kind, Generation: generation}
	if kind == errkind.ConfigConflict && n.inForce(a) {
		answer.Problems = []event.Problem{{Path: "$", Message: "another operator applied an identical file"}}
	}
	n.emit(event.Action{AnswerApply: answer})
}

// inForce tells whether the file equals the one in force.
func (n *Node) inForce(a *apply) bool {
	return reflect.DeepEqual(n.configs.stored.Document, *a.document)
}
