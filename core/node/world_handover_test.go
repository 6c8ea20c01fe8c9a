package node

import (
	"fmt"
	"slices"
	"strings"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/reach"
)

// handOver is a request that one instance handed over to another.
type handOver struct {
	event.HandOver
	from caller
	// at is the request as the peer received it.
	at caller
	// ended is set once the first instance knows the end of the hand-over.
	ended bool
}

// relayed reports whether the peer's errors and the loss of its response go to the core
// of the first instance. The driver answers the caller itself for requests that were
// handed over for lack of tokens.
func (h *handOver) relayed() bool { return h.MaxAttempts > 0 }

// handOver sends a request to the instance at the address, as the driver of a node does,
// unless the two are partitioned from each other.
func (w *world) handOver(in *instance, a event.HandOver) {
	h := &handOver{HandOver: a, from: caller{in.name, in.incarnation, a.Request}}
	to := strings.TrimSuffix(a.Address, ":1")
	w.schedule("hand over", func() {
		if w.nodes[to] == nil || w.nodes[to].stopped || w.cutPeers[pair(in.name, to)] {
			w.step(in, event.Event{HandOverEnded: &event.HandOverEnded{Request: a.Request, Refused: true}})
			return
		}
		r := w.answers[h.from].request
		if r.HandedOver {
			w.problems = append(w.problems, fmt.Sprintf("request %s was handed over twice", r.Key))
		}
		r.HandedOver = true
		if a.MaxAttempts > 0 {
			r.MaxAttempts = a.MaxAttempts
		}
		w.handle++
		r.Request = w.handle
		peer := w.nodes[to]
		h.at = caller{peer.name, peer.incarnation, r.Request}
		w.handOvers = append(w.handOvers, h)
		w.answers[h.at] = answer{request: r}
		w.callers = append(w.callers, h.at)
		w.step(peer, event.Event{RequestArrived: &r})
	})
}

// handOverAnswered returns the answer of a handed-over request to the instance
// that handed it over.
func (w *world) handOverAnswered(c caller) {
	i := slices.IndexFunc(w.handOvers, func(h *handOver) bool { return h.at == c && !h.ended })
	if i < 0 {
		return
	}
	h := w.handOvers[i]
	an := w.answers[c]
	end := event.HandOverEnded{Request: h.from.handle, Kind: an.refused}
	if an.refused != errkind.None {
		end.Refused, end.Lost = w.continueAfter(h, &an)
		end.Attempts = len(an.attempts)
	}
	h.ended = true
	if !end.Refused && !end.Lost {
		w.passOn(h, an)
	}
	w.schedule("hand over answer", func() { w.stepAt(h.from, event.Event{HandOverEnded: &end}) })
}

// continueAfter returns how the driver ends a hand-over that the peer refused.
func (w *world) continueAfter(h *handOver, an *answer) (refused, lost bool) {
	if !h.relayed() {
		return an.ran == errkind.RanNo, false
	}
	switch reach.AfterRefusal(reach.Refusal{Kind: an.refused, Ran: an.ran, MayHaveRun: h.MayHaveRun}) {
	case reach.TryOther:
		return true, false
	case reach.Repeat:
		return false, true
	case reach.PassOnAsUnknown:
		an.ran = errkind.RanUnknown
	}
	return false, false
}

// passOn gives the caller the peer's answer.
func (w *world) passOn(h *handOver, an answer) {
	w.answer(&instance{name: h.from.instance, incarnation: h.from.incarnation}, h.from.handle, func(o *answer) {
		o.complete, o.replayed, o.body, o.refused, o.ran = an.complete, an.replayed, an.body, an.refused, an.ran
	})
}

// stepAt passes an event to an incarnation of an instance if that still runs.
func (w *world) stepAt(c caller, e event.Event) {
	if in := w.nodes[c.instance]; in.incarnation == c.incarnation {
		w.step(in, e)
	}
}

// loseHandOver breaks the connection of a hand-over: the peer, if it runs, sees that its
// caller has left, and the first instance that the response doesn't arrive.
func (w *world) loseHandOver(h *handOver, bytesDelivered bool) {
	if h.ended {
		return
	}
	h.ended = true
	w.schedule("hand over reset", func() { w.stepAt(h.at, event.Event{CallerGone: &event.CallerGone{Request: h.at.handle}}) })
	end := event.HandOverEnded{Request: h.from.handle, Lost: true, BytesDelivered: bytesDelivered, Attempts: h.MaxAttempts}
	if !h.relayed() {
		w.passOn(h, answer{refused: errkind.TargetFailed, ran: errkind.RanUnknown})
		end = event.HandOverEnded{Request: h.from.handle, Kind: errkind.TargetFailed}
	}
	w.schedule("hand over lost", func() { w.stepAt(h.from, event.Event{HandOverEnded: &end}) })
}

// timeOutHandOver ends a hand-over to a peer that stays silent until the request's
// time-out: the driver has answered the caller.
func (w *world) timeOutHandOver(h *handOver) {
	if h.ended {
		return
	}
	h.ended = true
	w.passOn(h, answer{refused: errkind.DeadlineUnmeetable, ran: errkind.RanUnknown})
	w.schedule("hand over silent", func() {
		w.stepAt(h.from, event.Event{HandOverEnded: &event.HandOverEnded{Request: h.from.handle}})
		w.stepAt(h.at, event.Event{CallerGone: &event.CallerGone{Request: h.at.handle}})
	})
}

// failHandOvers ends the hand-overs to and from an incarnation of an instance that is
// killed.
func (w *world) failHandOvers(killed *instance) {
	for _, h := range w.handOvers {
		if h.at.instance == killed.name && h.at.incarnation == killed.incarnation && !w.answers[h.at].done {
			w.loseHandOver(h, false)
		}
		if h.from.instance == killed.name && h.from.incarnation == killed.incarnation && !h.ended {
			h.ended = true
			w.schedule("hand over reset", func() { w.stepAt(h.at, event.Event{CallerGone: &event.CallerGone{Request: h.at.handle}}) })
		}
	}
}
