package callers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/stream"
	"plantainfield.example/fleet/engine"
)

// chatAttempt relays one stream from an engine.
type chatAttempt struct {
	exchange *exchange
	dispatch *event.Dispatch
	checker  stream.Checker
	response chatResponse
	usage    *engine.Usage
	// hasSequence reports whether the latest frame carried a sequence number.
	// accepted counts the accepted frames; it is used as the sequence number of
	// frames that carry none.
	hasSequence  bool
	accepted     uint64
	firstFrameAt time.Time
	lastFrameAt  time.Time
	frames       int
	// bytesDelivered is set once a byte of the response may have reached the
	// caller.
	bytesDelivered bool
	idle           *idleTimer
}

var (
	// errTruncated reports that a response ended before it was complete.
	errTruncated = errors.New("the stream ended before the response was complete")
	// errMalformed reports a response that is not a chat completion stream.
	errMalformed = errors.New("the response is not a chat completion stream")
	// errCallerGone reports that writing to the caller failed.
	errCallerGone = errors.New("writing to the caller failed")
)

// attemptChat runs one attempt at an engine and relays its frames.
func (x *exchange) attemptChat(ctx context.Context, d *event.Dispatch) event.AttemptEnded {
	ctx, idle := withIdleTimeout(ctx, x.server.targetIdleTimeout())
	defer idle.stop()
	a := &chatAttempt{exchange: x, dispatch: d, checker: stream.Checker{Attempt: d.Attempt}, idle: idle}
	req, err := engine.NewRequest(ctx, http.MethodPost, "http://"+d.Address+"/v1/chat/completions", x.targetBody)
	if err != nil {
		return event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptNotStarted}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderAttempt, d.Attempt)
	req.Header.Set(engine.HeaderStream, d.Stream)
	resp, err := x.server.engine.Do(req)
	switch {
	case engine.NotStarted(err):
		return a.failure(ctx, err)
	case err == nil && resp.StatusCode != http.StatusOK:
		defer resp.Body.Close()
		return x.classifyErrorResponse(d.Attempt, resp)
	case err == nil:
		err = a.relayResponse(resp)
	}
	if err != nil {
		err = a.resume(ctx, err)
	}
	if err != nil && a.usage == nil {
		return a.failure(ctx, err)
	}
	return a.completed() // the response is complete once the usage frame has arrived
}

// relay forwards frames until the final usage frame and the end marker.
func (a *chatAttempt) relay(body io.Reader) error {
	frames := engine.NewFrameReader(flushingReader{idleResetReader{body, a.idle}, &a.exchange.out})
	defer a.exchange.out.flush()
	for {
		f, err := frames.Next()
		switch {
		case errors.Is(err, io.EOF):
			return errTruncated
		case errors.Is(err, engine.ErrFrameTooLarge):
			return errMalformed
		case err != nil:
			return err
		}
		if f.Done() {
			if a.usage == nil {
				return errTruncated
			}
			return nil
		}
		if err := a.checkFrame(f); err != nil {
			return err
		}
	}
}

// flushingReader flushes the output to the caller before each read, because a
// read may block. Frames that arrive together are therefore sent together.
type flushingReader struct {
	io.Reader
	out *output
}

func (r flushingReader) Read(p []byte) (int, error) {
	r.out.flush()
	return r.Reader.Read(p)
}

// checkFrame forwards a frame if it is the next one of this attempt. It drops
// duplicates and frames of other attempts. It returns errTruncated if a frame is
// missing or follows the usage frame.
func (a *chatAttempt) checkFrame(f engine.Frame) error {
	a.hasSequence = f.HasSequence
	if !f.HasSequence {
		f.Sequence = a.accepted
	}
	attempt := a.dispatch.Attempt
	if !engine.HasAttempt(f.Data, attempt) {
		attempt = engine.AttemptOf(f.Data)
	}
	switch v := a.checker.Accept(attempt, f.Sequence); v {
	case stream.Cut:
		return errTruncated
	case stream.DropForeign, stream.DropDuplicate:
		a.exchange.server.countDropped(v)
		return nil
	}
	a.accepted++
	return a.forwardFrame(f.Data)
}

// forwardFrame forwards one frame. The usage frame is held back until the bill
// is durable.
func (a *chatAttempt) forwardFrame(data []byte) error {
	if u := engine.UsageOf(data); u != nil {
		a.usage = u
		a.checker.Finish()
		a.prepareFinal(bytes.Clone(data))
		return nil
	}
	a.lastFrameAt = time.Now()
	if a.frames++; a.frames == 1 {
		a.firstFrameAt = a.lastFrameAt
		a.exchange.countFirstToken(a.firstFrameAt)
		a.exchange.server.loop.Post(event.Event{FirstToken: &event.FirstToken{Attempt: a.dispatch.Attempt}})
	}
	if !a.exchange.streamed {
		return a.response.appendChunk(data)
	}
	a.recordForReplay(data)
	a.exchange.out.startStream()
	a.bytesDelivered = true
	a.exchange.out.writeEvent(data)
	return a.callerError()
}

// callerError returns errCallerGone if writing to the caller has failed. It
// returns nil for a non-idempotent request: that attempt continues, so that its
// response can be replayed.
func (a *chatAttempt) callerError() error {
	if a.exchange.out.writeErr != nil && a.exchange.arrival.Idempotent {
		return errCallerGone
	}
	return nil
}

func (a *chatAttempt) completed() event.AttemptEnded {
	end := event.AttemptEnded{
		Attempt: a.dispatch.Attempt, Outcome: event.AttemptCompleted, Usage: a.usage.TotalTokens, UsageKnown: true, BytesDelivered: a.bytesDelivered,
	}
	if a.frames > 1 {
		end.BetweenTokens = a.lastFrameAt.Sub(a.firstFrameAt) / time.Duration(a.frames-1)
	}
	if !a.exchange.arrival.Idempotent {
		end.Answer = a.recordedAnswer()
	}
	return end
}

// failure classifies an attempt that ended early. After an idle timeout, a
// cancellation or a failed write to the caller, it cancels the stream at the
// engine, which reports the tokens consumed.
func (a *chatAttempt) failure(ctx context.Context, err error) event.AttemptEnded {
	end := event.AttemptEnded{Attempt: a.dispatch.Attempt, Outcome: event.AttemptCrashed, BytesDelivered: a.bytesDelivered}
	switch {
	case isIdleTimeout(ctx):
		// The engine may still be running the stream, so it is told to stop.
		end = a.cancelAtEngine(end)
		end.Outcome = event.AttemptFailed
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		return a.cancelAtEngine(end)
	case engine.NotStarted(err):
		end.Outcome = event.AttemptNotStarted
	case errors.Is(err, errTruncated) || errors.Is(err, errMalformed):
		end.Outcome = event.AttemptFailed
	}
	return end
}

func (a *chatAttempt) cancelAtEngine(end event.AttemptEnded) event.AttemptEnded {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	end.Outcome = event.AttemptCancelled
	u, err := a.exchange.server.engine.Cancel(ctx, a.dispatch.Address, a.dispatch.Stream, a.dispatch.Attempt)
	if err != nil {
		return end // the usage stays unknown
	}
	end.Usage, end.UsageKnown = u.TotalTokens, true
	return end
}
