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
	// applyTimeout bounds an apply that can't have written anything.
	applyTimeout = 2 * time.Second
	// readBackTimeout bounds the reads that determine the outcome of a write
	// whose result was lost.
	readBackTimeout = 7 * time.Second
)

// apply is an operator's request to put a configuration file in force.
type apply struct {
	event.ApplyRequested
	document *config.Document
	// maybeWritten is set once the result of a write was lost.
	maybeWritten bool
	failures     int
	callInFlight bool
	retryAt      time.Duration
	deadline     time.Duration
	answered     bool
}

// applyRequested validates the whole file and then replaces the configuration
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
	a := &apply{ApplyRequested: e, document: doc, deadline: n.now + applyTimeout}
	n.configs.applies = append(n.configs.applies, a)
	n.readForApply(a)
}

// tickApplies reads the configuration again for applies whose last call failed.
func (n *Node) tickApplies() {
	for _, a := range slices.Clone(n.configs.applies) {
		if !a.callInFlight && n.now >= a.retryAt {
			n.readForApply(a)
		}
	}
}

// answerAccepted answers the applies that are recorded as accepted in the
// configuration now in force.
func (n *Node) answerAccepted() {
	for _, a := range slices.Clone(n.configs.applies) {
		if g, ok := n.configs.stored.AcceptedAs(a.OperationID); ok {
			n.answerApply(a, errkind.None, g)
		}
	}
}

// callForApply starts a platform call; onResult is called with its result,
// unless the apply was answered in the meantime.
func (n *Node) callForApply(a *apply, op event.PlatformOp, o event.Object, onResult func(event.PlatformResult)) {
	a.callInFlight = true
	n.callPlatform(op, o, func(r event.PlatformResult) {
		a.callInFlight = false
		if !a.answered {
			onResult(r)
		}
	})
}

// readForApply reads the configuration object, and either finds that this apply
// was accepted, finds a conflict, or writes.
func (n *Node) readForApply(a *apply) {
	n.callForApply(a, event.OpGet, configObject(), func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			n.resolveApply(a, r.Object)
		case event.PlatformNotFound:
			n.writeForApply(a, &config.Stored{}, "")
		default:
			n.retryApply(a)
		}
	})
}

// retryApply reads again after a backoff, or gives up if that is after the
// deadline.
func (n *Node) retryApply(a *apply) {
	a.failures++
	a.retryAt = n.now + n.backoff(a.failures)
	if a.retryAt <= a.deadline {
		return
	}
	kind := errkind.PlatformUnavailable
	if a.maybeWritten {
		kind = errkind.ConfigOutcomeUnknown
	}
	n.answerApply(a, kind, n.configs.generation())
}

func (n *Node) resolveApply(a *apply, o event.Object) {
	var s config.Stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		n.answerApply(a, errkind.Internal, n.configs.generation())
		return
	}
	// The apply is answered if the stored configuration records it as accepted;
	// otherwise, it replaces that configuration.
	if g, ok := s.AcceptedAs(a.OperationID); ok {
		n.adopt(o.Value)
		n.answerApply(a, errkind.None, g)
		return
	}
	n.adopt(o.Value)
	n.writeForApply(a, &s, o.Version)
}

// writeForApply replaces the stored configuration. The new generation is higher
// than all known ones, even if the platform has lost one.
func (n *Node) writeForApply(a *apply, found *config.Stored, version string) {
	current := max(found.Generation, n.configs.newer.Highest())
	if a.document.BasedOnGeneration != current {
		n.refuseApply(a, found, current)
		return
	}
	base := found
	if n.configs.generation() > found.Generation {
		base = &n.configs.stored
	}
	raw, err := json.Marshal(base.Next(current+1, a.OperationID, *a.document))
	if err != nil {
		n.answerApply(a, errkind.Internal, current)
		return
	}
	o := configObject()
	o.Value, o.Version = raw, version
	n.callForApply(a, writeOp(version), o, func(r event.PlatformResult) { n.applyWritten(a, r, raw, current+1) })
}

func (n *Node) applyWritten(a *apply, r event.PlatformResult, raw []byte, generation uint64) {
	// Handles the result of a write. After a conflict or a lost result, the
	// configuration is read again to find out the outcome.
	switch r.Status {
	case event.PlatformOK:
		n.adopt(raw)
		n.answerApply(a, errkind.None, generation)
	case event.PlatformConflict:
		n.readForApply(a)
	case event.PlatformUnknown:
		if !a.maybeWritten {
			a.maybeWritten, a.deadline = true, n.now+readBackTimeout
		}
		n.readForApply(a)
	default:
		n.retryApply(a)
	}
}

// refuseApply answers with a conflict. If there is a higher generation that this
// instance has not read, it reads again instead: that generation may be the
// result of this apply, if the apply was sent to another instance before.
func (n *Node) refuseApply(a *apply, found *config.Stored, current uint64) {
	notRead := max(found.Generation, n.configs.generation()) < current
	if notRead || a.maybeWritten && found.Generation < current {
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
	if kind == errkind.ConfigConflict && n.equalsInForce(a) {
		answer.Problems = []event.Problem{{Path: "$", Message: "another operator applied an identical file"}}
	}
	n.emit(event.Action{AnswerApply: answer})
}

// equalsInForce reports whether the file equals the configuration in force.
func (n *Node) equalsInForce(a *apply) bool {
	return reflect.DeepEqual(n.configs.stored.Document, *a.document)
}
