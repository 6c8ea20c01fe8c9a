package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/quarantine"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/httpabort"
	"plantainfield.example/fleet/runtime"
)

// exchange serves one request. It executes the core's actions one at a time on
// the handler's goroutine.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   RequestMetadata
	route  *config.Route
	index  *config.Index
	owner  config.KeyOwner
	// conn is the connection that the request arrived on, and body its body in blocks.
	conn *clientconn.Conn
	body [][]byte
	// bodyHash identifies repeats of the request.
	bodyHash string
	// handedOverAttempts is the number of targets that the request may be sent to
	// according to the peer that handed it over, or 0 if none did.
	handedOverAttempts int
	// arrived is when the request's header had been read.
	arrived time.Time
	// poster posts the request's events to the core. They must not hold up the end of
	// the request.
	poster *runtime.Poster
	handle uint64
	// serves is the service that the request is routed to.
	serves  string
	actions <-chan event.Action
	// relay is the state of the response to the caller.
	relay relayState
	// attemptsSent is the number of attempts that may have reached a target.
	attemptsSent int
	// mayHaveRun is set once a target or a peer may have run the request.
	mayHaveRun bool
	// abandonKind is set once no further attempt may start, because the caller
	// disconnected, the request timed out or the instance exits.
	abandonKind errkind.Kind
	log         *zap.Logger
}

// run serves the request until it is complete, its time-out has passed or its
// caller has left.
func (x *exchange) run() {
	loop := x.server.loop
	x.poster = loop.NewPoster()
	x.handle, x.actions = loop.Open()
	complete := true
	defer func() {
		if complete {
			loop.Close(x.handle)
		}
	}()
	x.bodyHash = x.hashBody()
	x.log = x.server.log.With(zap.String("request", x.meta.AttemptID), zap.String("route", x.route.Name), zap.String("customer", x.owner.Customer),
		zap.String("body", quarantine.ShortID(x.bodyHash)))
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline(), errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer context.AfterFunc(x.server.ending, func() { end(errStopping) })()
	x.serves = x.route.Destination(xxhash.Sum64String(cmp.Or(x.meta.Resumes, x.meta.AttemptID)))
	arrival := x.arrival(x.handle)
	x.poster.Post(event.Event{RequestArrived: &arrival})
	for {
		select {
		case a := <-x.actions:
			if x.handleAction(ctx, a) {
				return
			}
		case <-ctx.Done():
			complete = false
			x.setAbandonKind(ctx)
			go endAbandoned(loop, x.poster, x.handle, x.actions)
			x.refuseAbandoned()
			return
		case <-loop.Ended():
			x.abandonKind = errkind.Stopping
			x.refuseAbandoned()
			return
		}
	}
}

// Causes of the end of a request's context, besides a caller that has left.
var (
	errTimeout  = errors.New("the request timed out")
	errStopping = errors.New("the instance exits")
)

// abandon tells the core that the result of the request is no longer needed.
func (x *exchange) abandon(ctx context.Context) {
	x.setAbandonKind(ctx)
	x.poster.Post(event.Event{CallerGone: &event.CallerGone{Request: x.handle}})
}

// setAbandonKind records why the request is abandoned.
func (x *exchange) setAbandonKind(ctx context.Context) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		x.abandonKind = errkind.DeadlineUnmeetable
	case errors.Is(cause, errStopping):
		x.abandonKind = errkind.Stopping
	default:
		x.abandonKind = errkind.CallerGone
	}
}

// refuseAbandoned answers a request that was abandoned while no attempt of it was in
// progress. It does not wait for the core, which may be late.
func (x *exchange) refuseAbandoned() {
	ran := errkind.RanNo
	if x.mayHaveRun {
		ran = errkind.RanUnknown
	}
	after := time.Duration(errkind.Lookup(x.abandonKind).RetryAfterSeconds) * time.Second
	x.refuse(Refusal{Kind: x.abandonKind, Ran: ran, RetryAfter: after})
}

// endAbandoned tells the core that a request was answered without it, and executes
// the core's actions on it until the core has ended it: nothing is sent any more.
func endAbandoned(loop *runtime.Loop, poster *runtime.Poster, handle uint64, actions <-chan event.Action) {
	defer loop.Close(handle)
	poster.Post(event.Event{CallerGone: &event.CallerGone{Request: handle}})
	for {
		select {
		case a := <-actions:
			switch {
			case a.Dispatch != nil:
				poster.Post(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Dispatch.Attempt, Outcome: event.AttemptNotStarted, Unsent: true, UsageKnown: true}})
			case a.HandOver != nil:
				poster.Post(event.Event{HandOverEnded: &event.HandOverEnded{Request: handle, Refused: true}})
			case a.Refuse != nil, a.ReleaseAnswer != nil, a.ReplayAnswer != nil:
				return
			}
		case <-loop.Ended():
			return
		}
	}
}

// handleAction executes an action and reports whether the request is complete.
func (x *exchange) handleAction(ctx context.Context, a event.Action) bool {
	switch {
	case a.Dispatch != nil:
		return x.runAttempt(ctx, a.Dispatch)
	case a.HandOver != nil:
		return x.handOver(ctx, a.HandOver)
	case a.Refuse != nil:
		x.refuse(Refusal{Kind: a.Refuse.Kind, Ran: a.Refuse.Ran, RetryAfter: a.Refuse.RetryAfter})
		return true
	case a.ReleaseAnswer != nil:
		return true
	}
	return false
}

// runAttempt makes an attempt and reports whether the request is complete. The request
// does not wait for the examination of a target beyond its time-out; the core does.
func (x *exchange) runAttempt(ctx context.Context, d *event.Dispatch) bool {
	result, examination := x.attempt(ctx, d)
	if !result.Unsent {
		x.attemptsSent++
	}
	x.mayHaveRun = x.mayHaveRun || result.Outcome != event.AttemptNotStarted
	if result.Outcome == event.AttemptNotStarted && ctx.Err() != nil {
		x.abandon(ctx) // before the core tries another target
	}
	if examination == nil {
		x.examine(result, nil)
		x.poster.Post(event.Event{AttemptEnded: &result.AttemptEnded})
		return x.handleAttemptEnd(result.AttemptEnded)
	}
	examined := make(chan event.AttemptEnded, 1)
	go func() {
		x.examine(result, examination)
		examined <- result.AttemptEnded
	}()
	select {
	case end := <-examined:
		x.poster.Post(event.Event{AttemptEnded: &end})
		return x.handleAttemptEnd(end)
	case <-ctx.Done():
		x.poster.Post(event.Event{CallerGone: &event.CallerGone{Request: x.handle}})
		go func() {
			end := <-examined
			x.poster.Post(event.Event{AttemptEnded: &end})
		}()
		x.refuseCancelled()
		return true
	}
}

// handleAttemptEnd handles the end of an attempt and reports whether it also
// ends the request: either the response was relayed, or the attempt was
// cancelled.
func (x *exchange) handleAttemptEnd(end event.AttemptEnded) bool {
	switch end.Outcome {
	case event.AttemptCompleted:
		x.server.metrics.observeResponse(x.route, x.arrived)
		return true
	case event.AttemptCancelled:
		x.refuseCancelled()
		return true
	}
	return false
}

// refuseCancelled ends a request whose attempt was cancelled because the
// request timed out or its caller disconnected.
func (x *exchange) refuseCancelled() {
	x.refuse(Refusal{Kind: errkind.TargetFailed, Ran: errkind.RanUnknown})
}

// refuse sends an error response. If part of a response was already sent, it
// aborts the connection instead, so that the caller cannot mistake the response
// for a complete one.
func (x *exchange) refuse(refusal Refusal) {
	if x.abandonKind != errkind.None {
		refusal.Kind = x.abandonKind
	}
	x.server.metrics.refused.WithLabelValues(string(refusal.Kind)).Inc()
	x.log.Info("request refused", zap.String("kind", string(refusal.Kind)), zap.String("ran", string(refusal.Ran)),
		zap.Duration("age", time.Since(x.arrived)), zap.Duration("retry_after", refusal.RetryAfter), zap.Int64("tokens", x.worstCaseTokens()),
		zap.Bool("cut", x.relay.started))
	if x.relay.started || x.abandonKind == errkind.CallerGone {
		httpabort.Abort(x.w, x.r, x.log)
	}
	markRefusal(x.w, x.r, refusal, progress{x.attemptsSent, x.promptCharged()})
	x.server.protocol.Refuse(x.w, refusal)
}
