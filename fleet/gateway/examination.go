package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/httpstatus"
	"plantainfield.example/fleet/upstream"
)

// attemptResult is how an attempt ended, and what its log line tells.
type attemptResult struct {
	event.AttemptEnded
	dispatch *event.Dispatch
	began    time.Time
	// resumedAfter is the ID of the event that the stream went on after.
	resumedAfter string
	// status is that of the response, or 0 without its head.
	status int
	err    error
	// examined is how long it took to examine the target.
	examined time.Duration
}

// examine examines the target and logs the end of the attempt.
func (x *exchange) examine(result *attemptResult, e examination) {
	if e != nil {
		began := time.Now()
		e(result)
		result.examined = time.Since(began)
	}
	x.log.Info("attempt ended", zap.String("target", result.dispatch.Target), zap.String("outcome", string(result.Outcome)), zap.Int("status", result.status),
		zap.Int64("usage", result.Usage), zap.Int("events", x.relay.events.count), zap.Duration("took", time.Since(result.began)-result.examined),
		zap.Duration("waited", result.began.Sub(x.arrived)), zap.Duration("first", x.relay.timeToFirst), zap.Duration("pause", x.relay.longestGap), zap.Duration("examined", result.examined),
		zap.Int64("prompt", x.meta.PromptTokens), zap.String("version", result.dispatch.Version), zap.String("resumes", x.meta.Resumes), zap.String("after_event", result.resumedAfter),
		x.lostParts(result.Outcome), zap.Error(result.err))
}

// lostParts returns the log field with the prompt parts of an attempt that ended
// with its target.
func (x *exchange) lostParts(outcome event.AttemptOutcome) zap.Field {
	if outcome != event.AttemptCrashed {
		return zap.Skip()
	}
	ids := make([]string, len(x.meta.PromptParts))
	for i, p := range x.meta.PromptParts {
		ids[i] = strconv.FormatUint(p.ID, 16)
	}
	return zap.Strings("parts", ids)
}

// errTargetEnded reports that a response without framing ended because its target
// did.
var errTargetEnded = errors.New("the target ended during an answer without length or chunks")

// trackedBody keeps the error that ended the reading of a body before its end.
type trackedBody struct {
	io.ReadCloser
	// checkTarget, if set, is called at the end of the connection: the body is only
	// complete if it returns no error.
	checkTarget func() error
	err         error
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.checkTarget != nil {
		if failed := b.checkTarget(); failed != nil {
			err = failed
		}
	}
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// checkTargetLives returns an error if a target has ended, or if that is not known
// when the request's time-out passes.
func (x *exchange) checkTargetLives(ctx context.Context, address string) error {
	if x.server.targets.Refuses(ctx, address) {
		return errTargetEnded
	}
	return ctx.Err()
}

// examination finds out what became of the target of an attempt, and sets what depends
// on it. It may take longer than the request has time, and may go on after the request
// was answered: it reads of the exchange only what no longer changes.
type examination func(result *attemptResult)

// examineLost examines the target of an attempt whose connection was lost, before or
// after the head of the response: a target that has ended refuses a new connection,
// one that only broke off the response accepts it.
func (x *exchange) examineLost(ctx context.Context) examination {
	return func(result *attemptResult) {
		d := result.dispatch
		result.Outcome = x.lostOutcome(ctx, d, x.targetEnded(ctx, d.Address))
	}
}

// examineEnded is examineLost for a target that refuses new connections.
func (x *exchange) examineEnded(ctx context.Context) examination {
	return func(result *attemptResult) { result.Outcome = x.lostOutcome(ctx, result.dispatch, true) }
}

// examineCancelled examines the target of an attempt whose caller left before the
// answer began.
func (x *exchange) examineCancelled(ctx context.Context) examination {
	cancelled := time.Now()
	return func(result *attemptResult) {
		time.Sleep(cancelledLookDelay)
		d := result.dispatch
		result.TargetEnded = x.lostOutcome(ctx, d, x.targetEnded(ctx, d.Address)) == event.AttemptCrashed
		result.Ago += time.Since(cancelled)
	}
}

// lostOutcome returns the outcome of an attempt whose connection was lost, given
// whether its target refuses new ones. That shows that the target has ended only if
// one of the witnesses accepts a connection, or if there are none.
func (x *exchange) lostOutcome(ctx context.Context, d *event.Dispatch, refuses bool) event.AttemptOutcome {
	if !refuses {
		return event.AttemptFailed
	}
	for _, w := range d.Witnesses {
		if x.server.probe(context.WithoutCancel(ctx), w) {
			return event.AttemptCrashed
		}
	}
	if len(d.Witnesses) == 0 {
		return event.AttemptCrashed
	}
	x.log.Info("no target accepts a connection", zap.String("target", d.Target), zap.Int("witnesses", len(d.Witnesses)))
	return event.AttemptFailed
}

func (x *exchange) targetEnded(ctx context.Context, address string) bool {
	return x.server.targets.Refuses(context.WithoutCancel(ctx), address)
}

// classifyError sets the outcome of an attempt that got no response, or returns the
// examination that does.
func (x *exchange) classifyError(ctx context.Context, result *attemptResult) examination {
	switch {
	case errors.Is(result.err, upstream.ErrUnsent):
		result.Outcome = event.AttemptNotStarted
	case ctx.Err() != nil:
		result.Outcome = event.AttemptCancelled
	case errors.Is(result.err, upstream.ErrResponseMismatch), errors.Is(result.err, upstream.ErrHeadTooLong),
		errors.Is(result.err, httpstatus.ErrInvalid):
		result.Outcome = event.AttemptFailed
	default:
		result.Outcome = event.AttemptFailed
		return x.examineLost(ctx)
	}
	return nil
}
