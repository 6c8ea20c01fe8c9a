package callers

import (
	"context"
	"errors"
	"io"
	"time"
)

// errTargetIdle is the cancellation cause of an attempt whose target sent
// nothing within the idle timeout.
var errTargetIdle = errors.New("the target sent nothing within the idle timeout")

// idleTimer cancels the context of an attempt when its target has sent nothing
// for the idle timeout.
type idleTimer struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withIdleTimeout returns a context for an attempt and the timer that cancels
// it. The caller must stop the timer.
func withIdleTimeout(parent context.Context, limit time.Duration) (context.Context, *idleTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &idleTimer{limit: limit, cancel: cancel}
	t.timer = time.AfterFunc(limit, func() { cancel(errTargetIdle) })
	return ctx, t
}

// reset restarts the idle timeout.
func (t *idleTimer) reset() { t.timer.Reset(t.limit) }

func (t *idleTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// isIdleTimeout reports whether ctx was cancelled because its target was idle.
func isIdleTimeout(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errTargetIdle) }

// idleResetReader restarts the idle timeout before each read of a target's
// response.
type idleResetReader struct {
	io.Reader
	idle *idleTimer
}

func (r idleResetReader) Read(p []byte) (int, error) {
	r.idle.reset()
	return r.Reader.Read(p)
}
