package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// exchange serves one request: it carries the core's actions out, one at a time,
// on the handler's goroutine.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	call   RequestMetadata
	route  *config.Route
	index  *config.Index
	owner  config.KeyOwner
	body   []byte
	// arrived is when the request's head was read.
	arrived time.Time
	handle  uint64
	// serves is the service that the request goes to.
	serves string
	ring   <-chan event.Action
	// relay is the answer that is being written to the caller.
	relay relay
	// unwanted is set once no attempt may begin: the caller is gone, or its
	// time is over.
	unwanted errkind.Kind
	log      *zap.Logger
}

// run serves the request to its end.
func (x *exchange) run() {
	loop := x.server.loop
	x.handle, x.ring = loop.Open()
	defer loop.Close(x.handle)
	x.log = x.server.log.With(zap.String("request", x.call.AttemptID), zap.String("route", x.route.Name), zap.String("customer", x.owner.Customer))
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.arrived.Add(x.wait()), errTimeout)
	defer cancel()
	x.serves = x.route.Destination(xxhash.Sum64String(x.call.AttemptID))
	arrival := x.arrival(x.handle)
	loop.Post(event.Event{RequestArrived: &arrival})
	gone := ctx.Done()
	for {
		select {
		case a := <-x.ring:
			if x.carryOut(ctx, a) {
				return
			}
		case <-gone:
			gone = nil
			x.giveUp(ctx)
		case <-loop.Ended():
			x.refuse(Refusal{Kind: errkind.Stopping, Ran: errkind.RanNo})
			return
		}
	}
}

// errTimeout reports that the request's time is over.
var errTimeout = errors.New("the request's time is over")

// giveUp tells the core that the request is of no use any more. The core
// answers with a refusal, for which run waits.
func (x *exchange) giveUp(ctx context.Context) {
	x.unwanted = errkind.CallerGone
	if errors.Is(context.Cause(ctx), errTimeout) {
		x.unwanted = errkind.DeadlineUnmeetable
	}
	x.server.loop.Post(event.Event{CallerGone: &event.CallerGone{Request: x.handle}})
}

// carryOut does what an action asks for and tells whether the request is over.
func (x *exchange) carryOut(ctx context.Context, a event.Action) bool {
	switch {
	case a.Dispatch != nil:
		end := x.attempt(ctx, a.Dispatch)
		x.server.loop.Post(event.Event{AttemptEnded: &end})
		return x.answered(end)
	case a.Refuse != nil:
		x.refuse(Refusal{Kind: a.Refuse.Kind, Ran: a.Refuse.Ran, RetryAfter: a.Refuse.RetryAfter, BudgetCovers: a.Refuse.BudgetCovers})
		return true
	case a.ReleaseAnswer != nil:
		return true
	}
	return false
}

// answered tells whether an attempt's end is the request's: its answer was
// relayed, or the caller is gone.
func (x *exchange) answered(end event.AttemptEnded) bool {
	switch end.Outcome {
	case event.AttemptCompleted:
		x.server.metrics.answered(x.route, x.arrived)
		return true
	case event.AttemptCancelled:
		x.timedOut()
		return true
	}
	return false
}

// timedOut ends a request that was cancelled: its time is over or its caller is
// gone.
func (x *exchange) timedOut() {
	x.refuse(Refusal{Kind: errkind.TargetFailed, Ran: errkind.RanUnknown})
}

// refuse answers with an error. If a part of an answer went out, the connection
// is closed, so that the caller can't take it for whole.
func (x *exchange) refuse(a Refusal) {
	if x.unwanted != errkind.None {
		a.Kind = x.unwanted
	}
	x.server.metrics.refused.WithLabelValues(string(a.Kind)).Inc()
	x.log.Info("request refused", zap.String("kind", string(a.Kind)), zap.String("ran", string(a.Ran)),
		zap.Duration("age", time.Since(x.arrived)), zap.Duration("retry_after", a.RetryAfter), zap.Int64("tokens", x.worstCase()),
		zap.Bool("cut", x.relay.begun))
	if x.relay.begun || x.unwanted == errkind.CallerGone {
		panic(http.ErrAbortHandler)
	}
	x.server.protocol.Refuse(x.w, a)
}
