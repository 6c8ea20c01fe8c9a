package callers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/fleet/engine"
)

const (
	// maxResumes bounds how often one attempt reconnects to its running stream.
	maxResumes = 4
	// resumeDelay is the delay before the first resume; it doubles with each
	// further one.
	resumeDelay = 10 * time.Millisecond
)

// resume reconnects to the attempt's stream at the point where it broke off,
// for as long as the engine still has the stream. It returns nil once the
// response is complete, otherwise the error that ended the stream.
func (a *chatAttempt) resume(ctx context.Context, cause error) error {
	for i := 0; i < maxResumes && a.canResume(ctx, cause); i++ {
		if !sleep(ctx, resumeDelay<<i) {
			return cause
		}
		resp, err := a.exchange.server.engine.Resume(ctx, a.dispatch.Address, a.dispatch.Stream, a.dispatch.Attempt, a.checker.Next())
		switch {
		case errors.Is(err, engine.ErrNoStream):
			return cause
		case engine.NotStarted(err):
			return errEngineUnreachable
		case err != nil:
			continue
		}
		a.exchange.server.metrics.resumes.Inc()
		a.exchange.log.Debug("stream resumed", zap.String("attempt", a.dispatch.Attempt), zap.Uint64("from", a.checker.Next()), zap.Error(cause))
		cause = a.relayResponse(resp)
		if cause == nil {
			return nil
		}
	}
	return cause
}

// errEngineUnreachable reports that the engine no longer accepts connections. It
// replaces the dial error, because failure would classify a dial error as an
// attempt that was not started.
var errEngineUnreachable = errors.New("the engine no longer accepts connections")

// canResume reports whether the engine may still have the stream and the point
// where it broke off is known.
func (a *chatAttempt) canResume(ctx context.Context, cause error) bool {
	if a.usage != nil || ctx.Err() != nil || errors.Is(cause, errCallerGone) || errors.Is(cause, errMalformed) {
		return false
	}
	return a.hasSequence || a.accepted == 0
}

func (a *chatAttempt) relayResponse(resp *http.Response) error {
	defer resp.Body.Close()
	return a.relay(resp.Body)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
