package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/blocks"
	"plantainfield.example/fleet/upstream"
)

const (
	// maxBufferedBytes is the size up to which a response that is not streamed
	// is read completely before it is relayed, so that the attempt can be
	// retried if the response breaks off.
	maxBufferedBytes = 256 << 10
	readBufferBytes  = 16 << 10
	// cancelledLookDelay is the time after which the target of an attempt whose caller
	// left before the answer began is looked at: it may have ended under the request.
	cancelledLookDelay = 100 * time.Millisecond
	// maxEventBytes bounds an event of a stream, which is held until it is
	// complete.
	maxEventBytes = 256 << 10
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyEndToEndHeaders copies all headers except the hop-by-hop ones.
func copyEndToEndHeaders(to, from http.Header) {
	dropped := map[string]bool{}
	for _, h := range hopByHopHeaders {
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

// relayState tracks the response that is being written to the caller, across
// attempts.
type relayState struct {
	// started is set once a byte of the response may have reached the caller.
	started bool
	// events parses and counts the SSE events of a stream.
	events eventBuffer
	// uncounted is set once output that is not a stream of events, so that its tokens
	// can't be counted, may have reached the caller.
	uncounted bool
	// timeToFirst is the time from the request to the stream's first chunk,
	// longestGap the longest time between two chunks, and lastAt the time of
	// the latest chunk.
	timeToFirst, longestGap time.Duration
	lastAt                  time.Time
	// continuesAfter is the ID of the last event of the earlier attempts until the
	// current one has shown that it goes on after it.
	continuesAfter string
	// reservedEvent is the memory that is reserved for an event that is not complete, in
	// bytes.
	reservedEvent int64
	// chargedTokens is the usage of the previous attempts, here and at peers, in tokens.
	chargedTokens int64
}

// recordChunk updates the times when a chunk of the stream has arrived.
func (r *relayState) recordChunk(arrived time.Time) {
	now := time.Now()
	if r.lastAt.IsZero() {
		r.timeToFirst = now.Sub(arrived)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

// attempt runs one attempt at a target and relays its response. If its outcome depends
// on what became of the target, attempt returns the examination that finds it out.
func (x *exchange) attempt(ctx context.Context, d *event.Dispatch) (*attemptResult, examination) {
	result := &attemptResult{
		AttemptEnded: event.AttemptEnded{Attempt: d.Attempt, UsageKnown: true}, dispatch: d, began: time.Now(), resumedAfter: x.lastEventID(),
	}
	if ctx.Err() != nil {
		result.Outcome, result.Unsent = event.AttemptNotStarted, true
		return result, nil
	}
	events := x.relay.events.count
	resp, err := x.server.targets.Do(ctx, d.Address, x.targetRequest(ctx, d), x.body)
	var examine examination
	if err != nil {
		result.err, result.Unsent = err, errors.Is(err, upstream.ErrUnsent)
		examine = x.classifyError(ctx, result)
	} else {
		result.status = resp.StatusCode
		x.reportNotice(d, resp)
		examine = x.handleTargetResponse(ctx, resp, result)
	}
	if result.Outcome == event.AttemptCancelled && x.r.Context().Err() != nil && x.relay.events.count == events {
		examine = x.examineCancelled(ctx)
	}
	if result.Outcome == event.AttemptCancelled && err != nil {
		result.Ago = upstream.HeadGrace
	}
	result.Usage = x.tokenUsage(result.AttemptEnded)
	result.BytesDelivered = x.relay.started
	return result, examine
}

// handleTargetResponse relays the response of a target.
func (x *exchange) handleTargetResponse(ctx context.Context, resp *http.Response, result *attemptResult) examination {
	body := &trackedBody{ReadCloser: resp.Body}
	if upstream.IsUnframed(resp) {
		body.checkTarget = func() error { return x.checkTargetLives(ctx, result.dispatch.Address) }
	}
	resp.Body = body
	x.handleResponse(ctx, resp, &result.AttemptEnded)
	_ = body.Close()
	switch {
	case result.Outcome != event.AttemptFailed || body.err == nil:
		return nil
	case errors.Is(body.err, errTargetEnded):
		return x.examineEnded(ctx)
	}
	return x.examineLost(ctx)
}

// reportNotice reports what a target says of itself in the head of a response.
func (x *exchange) reportNotice(d *event.Dispatch, resp *http.Response) {
	notice, err := x.server.protocol.ReadNotice(resp)
	if notice != (TargetNotice{}) || err != nil {
		x.server.metrics.countNotice(notice, err)
	}
	if err != nil && x.server.warnOnce(d.Target) {
		x.log.Warn("target notice unusable", zap.String("target", d.Target), zap.Error(err))
	}
	if notice == (TargetNotice{}) && !d.ReportNotice {
		return
	}
	x.poster.Post(event.Event{TargetNotice: &event.TargetNotice{
		Target: d.Target, Address: d.Address, Wait: notice.Wait, Leaving: notice.Leaving, Brittle: notice.Brittle, Limited: notice.Limited, Limit: notice.Limit,
		LimitUnusable: notice.LimitUnusable,
	}})
}

// targetRequest returns the caller's request with the headers that the target
// needs.
func (x *exchange) targetRequest(ctx context.Context, d *event.Dispatch) *http.Request {
	header := http.Header{}
	copyEndToEndHeaders(header, x.r.Header)
	header.Del(headerHandedOver)
	header.Del(headerPromptCharged)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	x.server.protocol.SetTargetHeaders(header, TargetMetadata{
		Target: d.Target, Customer: x.owner.Customer, TimeLeft: time.Until(x.deadline()), LastEventID: x.lastEventID(),
		Priority: x.priority(), Engine: x.worstCaseTokens() > 0,
	})
	req := &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: d.Address, Opaque: x.r.RequestURI},
	}
	return req.WithContext(ctx)
}

// priority returns the customer's priority, or the route's if the customer has
// none.
func (x *exchange) priority() int64 {
	if x.owner.Priority != nil {
		return *x.owner.Priority
	}
	return x.route.Priority
}

// lastEventID returns the ID of the event after which the stream resumes.
func (x *exchange) lastEventID() string {
	if x.relay.events.lastID != "" {
		return x.relay.events.lastID
	}
	return x.meta.LastEventID
}

// handleResponse relays a response, or sets the outcome of an attempt that the
// target did not run.
func (x *exchange) handleResponse(ctx context.Context, resp *http.Response, end *event.AttemptEnded) {
	switch x.server.protocol.ClassifyResponse(resp) {
	case NotExecutedBusy:
		end.Outcome, end.TargetBusy = event.AttemptNotStarted, true
	case NotExecutedWrongTarget:
		end.Outcome, end.TargetLeaving = event.AttemptNotStarted, true
	case NotExecuted:
		end.Outcome = event.AttemptNotStarted
	default:
		x.relayResponse(ctx, resp, end)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
}

// relayResponse relays the response to a request that ran.
func (x *exchange) relayResponse(ctx context.Context, resp *http.Response, end *event.AttemptEnded) {
	end.TargetError = resp.StatusCode >= http.StatusInternalServerError
	if x.route.Repeatable() && resp.StatusCode >= http.StatusInternalServerError {
		end.Outcome = event.AttemptFailed
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
		return
	}
	var err error
	switch success := resp.StatusCode < http.StatusMultipleChoices; {
	case x.route.Kind == config.RouteStreaming && success:
		err = x.relayStream(ctx, resp, end.Attempt)
	case x.relay.started: // this response cannot continue a stream
		err = errNotResumed
	default:
		err = x.relayBuffered(resp)
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

// errEventTooLong reports that an event of a stream has not ended after
// maxEventBytes.
var errEventTooLong = errors.New("an event of the stream is too long")

// errInsideEvent reports that a stream ended inside an event.
var errInsideEvent = errors.New("the stream ended inside an event")

// streamMediaType is the media type of a stream of server-sent events.
const streamMediaType = "text/event-stream"

// errNotResumed reports that a target did not resume a stream.
var errNotResumed = errors.New("the target did not resume the stream")

// relayBuffered reads a response completely before it sends it. The rest of a response
// beyond maxBufferedBytes, or for which there is no memory, is streamed.
func (x *exchange) relayBuffered(resp *http.Response) error {
	buffered, whole, err := x.bufferResponse(resp.Body)
	defer x.conn.Return(reservedBytes(buffered))
	if err != nil {
		return err
	}
	copyEndToEndHeaders(x.w.Header(), resp.Header)
	if whole {
		x.w.Header()["Content-Length"] = []string{itoa(blocks.Length(buffered))}
	}
	x.relay.started = true
	x.relay.uncounted = resp.StatusCode < http.StatusMultipleChoices
	x.w.WriteHeader(resp.StatusCode)
	if err = blocks.Write(x.w, buffered); err != nil || whole {
		return err
	}
	_, err = io.Copy(x.w, resp.Body)
	return err
}

// bufferResponse reads the beginning of a response, and reports whether that is all of
// it. Its first block costs no more than what each connection may use; the others are
// reserved.
func (x *exchange) bufferResponse(body io.Reader) (buffered [][]byte, whole bool, err error) {
	size := int64(blocks.FirstBytes)
	for read := int64(0); read < maxBufferedBytes; size = blocks.NextBytes(size) {
		size = min(size, maxBufferedBytes-read)
		if read > 0 && !x.conn.Reserve(size) {
			return buffered, false, nil
		}
		block := make([]byte, size)
		n, err := blocks.Fill(body, block)
		buffered = append(buffered, block[:n])
		read += int64(n)
		if err == io.EOF {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}

// reservedBytes returns what bufferResponse has reserved for a response.
func reservedBytes(buffered [][]byte) int64 {
	reserved := int64(0)
	for i, block := range buffered {
		if i > 0 {
			reserved += int64(cap(block))
		}
	}
	return reserved
}

// relayStream relays the events of a stream as they arrive.
func (x *exchange) relayStream(ctx context.Context, resp *http.Response, attempt string) error {
	buffer := make([]byte, readBufferBytes)
	x.relay.events.partial = nil // drop the partial event of an earlier attempt
	x.returnEvent()
	if x.relay.started && !mayContinueStream(resp) {
		return errNotResumed
	}
	x.relay.continuesAfter = x.relay.events.lastID
	for first := true; ; {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			events, werr := x.relayChunk(ctx, resp, buffer[:n])
			if events && first {
				first = false
				x.poster.Post(event.Event{FirstToken: &event.FirstToken{Attempt: attempt}})
			}
			if werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return x.endStream(resp)
		}
		if err != nil {
			return err
		}
	}
}

// relayChunk relays the complete events of a stream after a chunk has arrived, and
// reports whether there were any.
func (x *exchange) relayChunk(ctx context.Context, resp *http.Response, chunk []byte) (bool, error) {
	if !x.relay.started {
		x.server.metrics.observeFirstEvent(x.route, x.arrived)
		x.beginStream(resp)
	}
	x.relay.recordChunk(x.arrived)
	if err := x.reserveEvent(ctx, len(chunk)); err != nil {
		return false, err
	}
	events := x.relay.events
	complete := x.relay.events.add(chunk)
	if len(x.relay.events.partial) > maxEventBytes {
		return false, errEventTooLong
	}
	if len(complete) == 0 {
		return false, nil
	}
	if after := x.relay.continuesAfter; after != "" && !continues(complete, after) {
		x.relay.events = events
		x.relay.events.partial = nil
		return false, errNotResumed
	}
	x.relay.continuesAfter = ""
	if _, err := x.w.Write(complete); err != nil {
		return true, err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return true, err
	}
	x.returnEvent()
	return true, nil
}

// reserveEvent reserves the memory of a long event that is not complete and goes on
// with a number of bytes. It waits until there is some, so that its target waits too.
func (x *exchange) reserveEvent(ctx context.Context, more int) error {
	length := int64(len(x.relay.events.partial) + more)
	held := eventCopies * length
	if length <= readBufferBytes || held <= x.relay.reservedEvent {
		return nil
	}
	if err := x.conn.AwaitReserve(ctx, held-x.relay.reservedEvent); err != nil {
		return err
	}
	x.relay.reservedEvent = held
	return nil
}

// eventCopies is how often a long event is held while it grows.
const eventCopies = 2

// returnEvent gives back the memory of an event that has been sent.
func (x *exchange) returnEvent() {
	if x.relay.reservedEvent > 0 {
		x.conn.Return(x.relay.reservedEvent)
		x.relay.reservedEvent = 0
	}
}

// mayContinueStream reports whether a successful response can be the rest of a stream
// by its head.
func mayContinueStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return resp.StatusCode == http.StatusOK && err == nil && mediaType == streamMediaType
}

func (x *exchange) beginStream(resp *http.Response) {
	x.relay.started = true
	copyEndToEndHeaders(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// endStream ends a stream after its last event. If it was empty, it sends only the
// header.
func (x *exchange) endStream(resp *http.Response) error {
	if len(bytes.TrimSpace(x.relay.events.partial)) > 0 {
		return errInsideEvent
	}
	if !x.relay.started {
		x.beginStream(resp)
	}
	_, err := x.w.Write(x.relay.events.partial)
	return err
}

// tokenUsage returns the tokens consumed by the attempt: the prompt, if the
// request ran, and the output that was delivered: all that the request allows if it
// can't be counted. A resumed stream is not charged for its prompt again.
func (x *exchange) tokenUsage(end event.AttemptEnded) int64 {
	if end.Outcome == event.AttemptNotStarted || end.Unsent {
		return 0
	}
	perEvent := int64(1)
	if class := x.index.TargetClass(x.serves); class != nil && class.Engine != nil {
		perEvent = class.Engine.TokensPerEvent
	}
	output := min(x.meta.MaxOutputTokens, perEvent*int64(x.relay.events.startedCount()))
	if x.relay.uncounted {
		output = x.meta.MaxOutputTokens
	}
	total := x.meta.PromptTokens + output
	used := max(0, total-x.relay.chargedTokens)
	x.relay.chargedTokens += used
	return used
}
