package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/upstream"
)

const (
	// maxHeldAnswer is the size up to which the answer of a plain service is
	// read whole before it is relayed, so that a broken one can be repeated.
	maxHeldAnswer = 256 << 10
	readSize      = 16 << 10
)

// hopHeaders concern one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forward copies the headers that are not of one connection.
func forward(to, from http.Header) {
	dropped := map[string]bool{}
	for _, h := range hopHeaders {
		dropped[h] = true
	}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !dropped[name] {
			to[name] = values
		}
	}
}

// relay is what has been written to the caller.
type relay struct {
	// begun is set once a byte of the answer may have reached the caller.
	begun bool
	// events counts the events of a stream.
	events events
	// firstAfter is the time from the request to the stream's first part,
	// longestPause the longest time between two parts, and last the time of the
	// last one.
	firstAfter, longestPause time.Duration
	last                     time.Time
	// charged is the usage of the attempts before this one, in tokens.
	charged int64
}

// notePart takes that a part of the stream has come.
func (r *relay) notePart(arrived time.Time) {
	now := time.Now()
	if r.last.IsZero() {
		r.firstAfter = now.Sub(arrived)
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.last))
	}
	r.last = now
}

// attempt runs one attempt at a target and relays its answer.
func (x *exchange) attempt(ctx context.Context, d *event.Dispatch) event.AttemptEnded {
	end := event.AttemptEnded{Attempt: d.Attempt, UsageKnown: true}
	if ctx.Err() != nil {
		end.Outcome, end.Unsent = event.AttemptNotStarted, true
		return end
	}
	began := time.Now()
	resp, err := x.server.targets.Do(ctx, d.Address, x.request(ctx, d), x.body)
	if err != nil {
		end.Outcome = x.failure(ctx, err)
		end.Unsent = errors.Is(err, upstream.ErrUnsent)
	} else {
		x.judge(ctx, resp, &end)
		_ = resp.Body.Close()
	}
	end.Usage = x.usage(end)
	end.BytesDelivered = x.relay.begun
	x.log.Info("attempt ended", zap.String("target", d.Target), zap.String("outcome", string(end.Outcome)),
		zap.Int64("usage", end.Usage), zap.Int("events", x.relay.events.count), zap.Duration("took", time.Since(began)),
		zap.Duration("waited", began.Sub(x.arrived)), zap.Duration("first", x.relay.firstAfter), zap.Duration("pause", x.relay.longestPause), zap.Int64("prompt", x.call.PromptTokens), zap.Error(err))
	return end
}

// request is the caller's request with the headers that the target needs.
func (x *exchange) request(ctx context.Context, d *event.Dispatch) *http.Request {
	head := http.Header{}
	forward(head, x.r.Header)
	if _, ok := head["User-Agent"]; !ok {
		head["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	x.server.protocol.SetTargetHeaders(head, TargetMetadata{
		Target: d.Target, Customer: x.owner.Customer, TimeLeft: time.Until(x.arrived.Add(x.wait())), LastEventID: x.lastEvent(),
		Priority: x.rank(), Engine: x.worstCase() > 0,
	})
	req := &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: head, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: d.Address, Opaque: x.r.RequestURI},
	}
	return req.WithContext(ctx)
}

// rank is the customer's priority, or the route's where it has none.
func (x *exchange) rank() int64 {
	if x.owner.Priority != nil {
		return *x.owner.Priority
	}
	return x.route.Priority
}

// lastEvent is the id of the event after which the stream goes on.
func (x *exchange) lastEvent() string {
	if x.relay.events.last != "" {
		return x.relay.events.last
	}
	return x.call.LastEventID
}

// failure classifies an attempt without an answer.
func (x *exchange) failure(ctx context.Context, err error) event.AttemptOutcome {
	switch {
	case errors.Is(err, upstream.ErrUnsent) && ctx.Err() == nil:
		return event.AttemptNotStarted
	case ctx.Err() != nil:
		return event.AttemptCancelled
	case errors.Is(err, upstream.ErrForeign):
		return event.AttemptFailed
	}
	return event.AttemptCrashed
}

// judge relays an answer, or says why it can't be relayed.
func (x *exchange) judge(ctx context.Context, resp *http.Response, end *event.AttemptEnded) {
	switch x.server.protocol.ClassifyResponse(resp) {
	case NotExecutedBusy:
		end.Outcome, end.TargetBusy = event.AttemptNotStarted, true
	case NotExecutedWrongTarget:
		end.Outcome, end.TargetLeaving = event.AttemptNotStarted, true
	case NotExecuted:
		end.Outcome = event.AttemptNotStarted
	default:
		x.relayAnswer(ctx, resp, end)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldAnswer))
}

// relayAnswer relays the answer of a request that ran.
func (x *exchange) relayAnswer(ctx context.Context, resp *http.Response, end *event.AttemptEnded) {
	end.TargetError = resp.StatusCode >= http.StatusInternalServerError
	if x.route.Repeatable() && resp.StatusCode >= http.StatusInternalServerError {
		end.Outcome = event.AttemptFailed
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldAnswer))
		return
	}
	var err error
	switch success := resp.StatusCode < http.StatusMultipleChoices; {
	case x.route.Kind == config.RouteStreaming && success:
		err = x.relayStream(resp, end.Attempt)
	case x.relay.begun: // a stream does not go on with this
		err = errNotResumed
	default:
		err = x.relayWhole(resp)
	}
	switch {
	case err == nil:
		end.Outcome = event.AttemptCompleted
	case ctx.Err() != nil:
		end.Outcome = event.AttemptCancelled
	default:
		end.Outcome = event.AttemptFailed
		x.log.Info("answer broke off", zap.Error(err), zap.Int("events", x.relay.events.count))
	}
}

// errNotResumed reports that a target did not go on with a stream.
var errNotResumed = errors.New("the target did not go on with the stream")

// relayWhole reads an answer whole and then sends it. A very long one is sent
// as it comes.
func (x *exchange) relayWhole(resp *http.Response) error {
	var held bytes.Buffer
	n, err := io.Copy(&held, io.LimitReader(resp.Body, maxHeldAnswer))
	if err != nil {
		return err
	}
	forward(x.w.Header(), resp.Header)
	if n < maxHeldAnswer {
		x.w.Header()["Content-Length"] = []string{itoa(n)}
	}
	x.relay.begun = true
	x.w.WriteHeader(resp.StatusCode)
	if _, err = x.w.Write(held.Bytes()); err != nil || n < maxHeldAnswer {
		return err
	}
	_, err = io.Copy(x.w, resp.Body)
	return err
}

// relayStream sends the events of a stream as they come.
func (x *exchange) relayStream(resp *http.Response, attempt string) error {
	buffer := make([]byte, readSize)
	x.relay.events.tail = nil // of a target that broke off
	for first := true; ; {
		n, err := resp.Body.Read(buffer)
		if n > 0 && first {
			first = false
			x.server.loop.Post(event.Event{FirstToken: &event.FirstToken{Attempt: attempt}})
		}
		if n > 0 {
			if werr := x.relayPart(resp, buffer[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return x.relayEnd(resp)
		}
		if err != nil {
			return err
		}
	}
}

// relayPart sends a part of a stream.
func (x *exchange) relayPart(resp *http.Response, part []byte) error {
	if !x.relay.begun {
		x.server.metrics.first(x.route, x.arrived)
		x.beginStream(resp)
	}
	x.relay.notePart(x.arrived)
	whole := x.relay.events.add(part)
	if len(whole) == 0 {
		return nil
	}
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

func (x *exchange) beginStream(resp *http.Response) {
	x.relay.begun = true
	forward(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// relayEnd ends a stream that is whole. One without events has a head alone.
func (x *exchange) relayEnd(resp *http.Response) error {
	if !x.relay.begun {
		x.beginStream(resp)
	}
	_, err := x.w.Write(x.relay.events.tail)
	return err
}

// usage is what the attempt consumed, in tokens: the prompt once it ran, and
// the output that was delivered. A stream that goes on consumes no prompt again.
func (x *exchange) usage(end event.AttemptEnded) int64 {
	if end.Outcome == event.AttemptNotStarted || end.Unsent {
		return 0
	}
	perEvent := int64(1)
	if class := x.index.TargetClass(x.serves); class != nil && class.Engine != nil {
		perEvent = class.Engine.TokensPerEvent
	}
	total := x.call.PromptTokens + min(x.call.MaxOutputTokens, perEvent*int64(x.relay.events.begun()))
	used := max(0, total-x.relay.charged)
	x.relay.charged += used
	return used
}
