package node

import (
	"fmt"
	"strings"

	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// deliverToPlatform runs a call at the fake platform and schedules its result.
func (w *world) deliverToPlatform(in *instance, call event.PlatformCall) {
	if w.hooks.interceptCall != nil && w.hooks.interceptCall(in, call) {
		return
	}
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformUnavailable}
	if !w.platformDown && !w.cutPlatform[in.name] {
		if w.loseAnswers && call.Op != event.OpGet && call.Op != event.OpList {
			w.loss = loseAnswer
		}
		r = w.lossyCall(call)
	}
	if r.Status != event.PlatformUnavailable && r.Status != event.PlatformUnknown {
		r.Era = w.era
	}
	w.schedule("platform answer", func() { w.step(in, event.Event{PlatformResult: &r}) })
}

// lossyCall runs a call and loses its result if it is a write and a loss is
// set.
func (w *world) lossyCall(call event.PlatformCall) event.PlatformResult {
	loss := w.loss
	if call.Op == event.OpGet || call.Op == event.OpList || loss == loseNothing {
		return w.platformCall(call)
	}
	w.loss = loseNothing
	switch loss {
	case loseAnswer:
		w.platformCall(call)
	case loseLate:
		w.schedule("late write", func() { w.platformCall(call) })
	}
	return event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
}

// platformCall implements the fake platform.
func (w *world) platformCall(call event.PlatformCall) event.PlatformResult {
	o := call.Object
	kind := w.objects[o.Kind]
	if kind == nil {
		kind = map[string]event.Object{}
		w.objects[o.Kind] = kind
	}
	old, exists := kind[o.Name]
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformOK, Object: old}
	switch call.Op {
	case event.OpGet:
		if !exists {
			r.Status = event.PlatformNotFound
		}
		return r
	case event.OpList:
		for _, name := range sortedKeys(kind) {
			if strings.HasPrefix(name, o.Name) {
				r.Objects = append(r.Objects, kind[name])
			}
		}
		return r
	case event.OpDelete:
		delete(kind, o.Name)
		return r
	case event.OpCreate:
		if exists {
			return event.PlatformResult{Call: call.Call, Status: event.PlatformConflict}
		}
	case event.OpUpdate:
		if !exists {
			return event.PlatformResult{Call: call.Call, Status: event.PlatformNotFound}
		}
		if old.Version != o.Version {
			return event.PlatformResult{Call: call.Call, Status: event.PlatformConflict}
		}
	}
	version := &w.version
	if o.Kind == event.KindLedger {
		version = &w.ledgerVersion
	}
	*version++
	o.Version = fmt.Sprint(*version)
	kind[o.Name] = o
	r.Object = o
	w.checkLedger(o)
	if w.hooks.onWrite != nil {
		w.hooks.onWrite(o)
	}
	return r
}

// checkLedger checks the invariant of the ledger for each version that is
// written.
func (w *world) checkLedger(o event.Object) {
	if o.Kind != event.KindLedger {
		return
	}
	s, err := ledger.Decode(o.Value)
	if err != nil {
		w.problems = append(w.problems, err.Error())
		return
	}
	for name, b := range s.Budgets {
		if err := b.Check(); err != nil {
			w.problems = append(w.problems, fmt.Sprintf("budget %s: %v", name, err))
		}
	}
}
