package callers

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/httpabort"
	"plantainfield.example/fleet/settings"
)

// cancelTimeout bounds the call that cancels a stream at an engine and returns
// the tokens it consumed.
const cancelTimeout = 2 * time.Second

// exchange serves one request. It posts the request's events to the decision
// loop and executes the resulting actions one at a time on the handler's
// goroutine.
type exchange struct {
	server  *Server
	r       *http.Request
	out     output
	arrival event.RequestArrived
	// body is the request body from the caller, targetBody the one to send to
	// the target.
	body, targetBody []byte
	// path is the part of the URL (path and query) that is sent to a plain
	// service.
	path     string
	streamed bool
	arrived  time.Time
	actions  <-chan event.Action
	// pending holds actions that arrived while an attempt was running.
	pending []event.Action
	// attemptsSent is the number of attempts that may have reached a target.
	attemptsSent int
	// started is set once an attempt or a hand-over has started.
	started bool
	// sendFinal sends the part of the response that is held back until
	// ReleaseAnswer.
	sendFinal func()
	log       *zap.Logger
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, body, targetBody []byte) *exchange {
	out := newOutput(w, settings.Millis(s.limits.WriteTimeoutMillis))
	return &exchange{server: s, out: out, r: r, body: body, targetBody: targetBody, arrived: time.Now()}
}

// run serves the request until it is complete.
func (x *exchange) run() {
	loop := x.server.loop
	x.arrival.Request, x.actions = loop.Open()
	defer loop.Close(x.arrival.Request)
	x.log = x.server.log.With(zap.Uint64("request", x.arrival.Request), zap.String("customer", x.arrival.Customer), zap.String("key", x.arrival.Key))
	x.out.w.Header().Set(headerKey, x.arrival.Key)
	loop.Post(event.Event{RequestArrived: &x.arrival})
	gone := x.r.Context().Done()
	for {
		select {
		case a := <-x.actions:
			if x.handleAction(a) || x.handlePending() {
				return
			}
		case <-gone:
			gone = nil
			x.postCallerGone()
		case <-loop.Ended():
			x.refuse(&event.Refuse{Kind: errkind.Stopping, Ran: x.ranWhenStopped()})
			return
		}
	}
}

// ranWhenStopped returns what the error response may claim about execution if
// the loop stops before the core has ended the request.
func (x *exchange) ranWhenStopped() errkind.Ran {
	if x.started {
		return errkind.RanUnknown
	}
	return errkind.RanNo
}

func (x *exchange) postCallerGone() {
	x.server.loop.Post(event.Event{CallerGone: &event.CallerGone{Request: x.arrival.Request}})
}

// handleAction executes an action and reports whether the request is complete.
func (x *exchange) handleAction(a event.Action) bool {
	switch {
	case a.Dispatch != nil:
		x.started = true
		x.attempt(a.Dispatch)
	case a.HandOver != nil:
		x.started = true
		return x.handOver(a.HandOver)
	case a.ReleaseAnswer != nil:
		x.releaseAnswer()
		return true
	case a.ReplayAnswer != nil:
		x.replay(a.ReplayAnswer.Answer)
		return true
	case a.Refuse != nil:
		x.refuse(a.Refuse)
		return true
	}
	return false
}

func (x *exchange) handlePending() bool {
	for len(x.pending) > 0 {
		a := x.pending[0]
		x.pending = x.pending[1:]
		if x.handleAction(a) {
			return true
		}
	}
	return false
}

// attempt runs one attempt to its end and reports the result to the core. While
// it runs, the core may cancel it and the caller may disconnect. A disconnect
// alone does not end the attempt: the core decides whether to cancel it.
func (x *exchange) attempt(d *event.Dispatch) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan event.AttemptEnded, 1)
	go func() { ended <- x.runAttempt(ctx, d) }()
	gone := x.r.Context().Done()
	for {
		select {
		case e := <-ended:
			x.log.Debug("attempt ended", zap.String("attempt", e.Attempt), zap.String("target", d.Target), zap.String("outcome", string(e.Outcome)), zap.Int64("usage", e.Usage))
			x.countAttempt(e)
			if !e.Unsent {
				x.attemptsSent++
			}
			x.server.loop.Post(event.Event{AttemptEnded: &e})
			return
		case a := <-x.actions:
			if a.CancelAttempt == nil {
				x.pending = append(x.pending, a)
			} else if a.CancelAttempt.Attempt == d.Attempt {
				cancel()
			}
		case <-gone:
			gone = nil
			x.postCallerGone()
		}
	}
}

// runAttempt converts a panic into a failed attempt, so that the core always
// receives the end of the attempt.
func (x *exchange) runAttempt(ctx context.Context, d *event.Dispatch) (end event.AttemptEnded) {
	defer func() {
		if p := recover(); p != nil {
			x.log.Error("attempt panicked", zap.String("attempt", d.Attempt), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
			end = event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptFailed, BytesDelivered: x.out.headerSent}
		}
	}()
	if x.arrival.Kind == event.KindModel {
		return x.attemptChat(ctx, d)
	}
	return x.attemptService(ctx, d)
}

// releaseAnswer sends the part of the response that was held back until the
// bill was durable.
func (x *exchange) releaseAnswer() {
	if x.sendFinal == nil {
		// A cancelled response was billed. The connection is aborted, so that
		// the caller cannot mistake the response for a complete one.
		x.countResult(resultCut)
		httpabort.Abort(x.out.w, x.r, x.log)
	}
	x.countResult(resultAnswered)
	x.sendFinal()
}

func (x *exchange) refuse(refusal *event.Refuse) {
	x.countResult(resultRefused)
	x.log.Info("request refused", zap.String("kind", string(refusal.Kind)), zap.String("ran", string(refusal.Ran)))
	body := apierror.BodyOf(refusal.Kind, "", refusal.Ran, refusal.RetryAfter)
	if !x.out.headerSent {
		if x.arrival.HandedOver {
			x.out.w.Header().Set(headerAttempts, strconv.Itoa(x.attemptsSent))
		}
		x.out.extendDeadline()
		apierror.Write(x.out.w, body)
		return
	}
	if x.streamed {
		// The stream ends with an error frame and without the end marker.
		x.out.writeEvent(marshal(body))
		x.out.flush()
		return
	}
	// Part of a plain response was sent. The connection is aborted, so that the
	// caller cannot mistake the response for a complete one.
	httpabort.Abort(x.out.w, x.r, x.log)
}

func (x *exchange) replay(answer event.RecordedAnswer) {
	x.countResult(resultReplayed)
	x.out.extendDeadline()
	if answer.Truncated {
		apierror.Write(x.out.w, apierror.BodyOf(errkind.OutcomeUnknown, "the request ran; its answer was too large to keep", errkind.RanUnknown, 0))
		return
	}
	x.out.w.Header().Set("Idempotent-Replayed", "true")
	x.out.writeResponse(answer.Status, answer.ContentType, answer.Body)
}
