package runtime

import (
	"encoding/json"

	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
)

// maxLoggedEventBytes bounds how much of an event is logged.
const maxLoggedEventBytes = 1 << 10

// Failure describes the event that ended the loop with a panic.
type Failure struct {
	// Event is the event as JSON, cut off after maxLoggedEventBytes.
	Event string
	// Request is the open request that the event concerns, or nil.
	Request *node.RequestView
}

// SetPanicHandler sets the function that is called before a panic of the core ends the
// process. It must not return before it has written what it logs. SetPanicHandler must
// be called before Run.
func (l *Loop) SetPanicHandler(handle func(Failure)) { l.onPanic = handle }

// stepNode passes an input to the node. A panic of the node goes on and ends the
// process, since it leaves the node's state half changed: reservations, limits and
// open calls may no longer agree with each other.
func (l *Loop) stepNode(in event.Input) []event.Action {
	returned := false
	defer func() {
		if !returned {
			l.onPanic(l.describe(in.Event))
		}
	}()
	actions := l.decide(in)
	returned = true
	return actions
}

func (l *Loop) describe(e event.Event) Failure {
	raw, err := json.Marshal(e)
	if err != nil {
		raw = []byte(err.Error())
	}
	f := Failure{Event: string(raw[:min(len(raw), maxLoggedEventBytes)])}
	f.Request = l.openRequest(e)
	return f
}

// openRequest returns the open request that an event concerns, or nil.
func (l *Loop) openRequest(e event.Event) (view *node.RequestView) {
	// The state may be inconsistent; the panic that is under way must be the one reported.
	defer func() { _ = recover() }()
	for _, r := range l.node.Dump().Requests {
		switch {
		case e.AttemptEnded != nil && r.Attempt == e.AttemptEnded.Attempt,
			e.FirstToken != nil && r.Attempt == e.FirstToken.Attempt,
			e.HandOverEnded != nil && r.Request == e.HandOverEnded.Request,
			e.CallerGone != nil && r.Request == e.CallerGone.Request,
			e.RequestArrived != nil && r.Request == e.RequestArrived.Request:
			return &r
		}
	}
	return nil
}
