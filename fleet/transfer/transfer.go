// Package transfer ends calls that stand still. A call that goes on slowly must not
// end: what the link has carried would be lost, and the next attempt would take as long.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxTime bounds a call that makes progress: the time in which the largest object that a
// platform stores, about a megabyte, arrives at 10 KB a second.
const maxTime = 100 * time.Second

// ErrStalled ends a call of which nothing was sent or received for a time. It implements
// net.Error.
var ErrStalled error = stalledError{}

type stalledError struct{}

func (stalledError) Error() string   { return "nothing was sent or received in time" }
func (stalledError) Timeout() bool   { return true }
func (stalledError) Temporary() bool { return true }

// Transfer ends a call once nothing of it is sent or received any more.
type Transfer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	end    context.CancelFunc
}

// Begin returns a Transfer that ends unless there is progress within patience. It must
// be released with End.
func Begin(ctx context.Context, patience time.Duration) *Transfer {
	t := &Transfer{}
	ctx, t.end = context.WithTimeout(ctx, patience+maxTime)
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(patience, func() { t.cancel(ErrStalled) })
	return t
}

// Context returns the context of the call, which ends with the Transfer.
func (t *Transfer) Context() context.Context { return t.ctx }

// Progressed gives the Transfer patience until there is progress again.
func (t *Transfer) Progressed(patience time.Duration) { t.timer.Reset(patience) }

// End releases the Transfer.
func (t *Transfer) End() {
	t.timer.Stop()
	t.cancel(nil)
	t.end()
}

// Wrap returns err, which ended the call, as ErrStalled if that is why it did.
func (t *Transfer) Wrap(err error) error {
	if err != nil && errors.Is(context.Cause(t.ctx), ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

// Reader returns a reader of the body of the call's request or response. The Transfer may
// stand still for patience after each part of it.
func (t *Transfer) Reader(body io.Reader, patience time.Duration) io.Reader {
	return progressReader{body, t, patience}
}

type progressReader struct {
	io.Reader
	transfer *Transfer
	patience time.Duration
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.transfer.Progressed(r.patience)
	}
	return n, err
}
