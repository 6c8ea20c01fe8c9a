package callers

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/blocks"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/settings"
)

const (
	servicePrefix = "/v1/services/"
	// maxRecordedBodyBytes bounds the response body that is kept for replay.
	maxRecordedBodyBytes = 64 << 10
	// maxServiceResponseBytes bounds the response body of a plain service.
	maxServiceResponseBytes = 16 << 20
)

// forwardedRequestHeaders are the request headers that are forwarded to a plain
// service.
var forwardedRequestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match"}

// forwardedResponseHeaders are the response headers that are returned from a
// plain service in addition to Content-Type.
var forwardedResponseHeaders = []string{"Content-Language", "Location", "ETag", "Last-Modified", "Cache-Control", "Retry-After"}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, err := s.authenticate(r)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	svc := c.index.Service(mux.Vars(r)["service"])
	if svc == nil {
		apierror.Write(w, apierror.BodyOf(s.denial(errkind.UnknownService), "", "", 0))
		return
	}
	body, err := s.readBody(w, r, settings.ServiceCopies)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	key, err := idempotencyKey(r)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	wait, err := deadline(r)
	if err != nil {
		apierror.WriteError(w, err)
		return
	}
	x := s.newExchange(w, r, body, body)
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+svc.Name), "/")
	x.path = path
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	x.arrival = event.RequestArrived{
		Customer: c.Customer, Budget: c.Budget, Key: key,
		BodyHash: bodyHash([]byte(r.Method), []byte(x.path), body),
		Kind:     event.KindService, Serves: svc.Name,
		Idempotent:      svc.Idempotent(r.Method, path),
		WorstCaseTokens: svc.TokensPerCall,
		Deadline:        wait,
	}
	if err := s.checkHandedOver(r, &x.arrival); err != nil {
		apierror.WriteError(w, err)
		return
	}
	x.run()
}

// attemptService runs one attempt at a plain service. The complete response is
// held back until the bill is durable.
func (x *exchange) attemptService(ctx context.Context, d *event.Dispatch) event.AttemptEnded {
	ctx, idle := withIdleTimeout(ctx, x.server.targetIdleTimeout())
	defer idle.stop()
	end := event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptFailed}
	req, err := engine.NewRequest(ctx, x.r.Method, "http://"+d.Address+x.path, x.targetBody)
	if err != nil {
		end.Outcome = event.AttemptNotStarted
		return end
	}
	for _, h := range forwardedRequestHeaders {
		if v := x.r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(engine.HeaderAttempt, d.Attempt)
	req.Header.Set(headerKey, x.arrival.Key)
	resp, err := x.server.engine.Do(req)
	if err != nil {
		if engine.NotStarted(err) {
			end.Outcome = event.AttemptNotStarted
		}
		return end
	}
	defer resp.Body.Close()
	if resp.Header.Get(engine.HeaderNotStarted) != "" {
		return retryableEnd(d.Attempt, resp)
	}
	body, err := x.readServiceResponse(ctx, idleResetReader{resp.Body, idle})
	lost := errors.Is(err, errResponseTooLarge) || errors.Is(err, errNoResponseMemory)
	if err != nil && !lost {
		return end
	}
	end.Outcome, end.Usage, end.UsageKnown = event.AttemptCompleted, x.arrival.WorstCaseTokens, true
	if lost {
		x.log.Warn("response of a service lost", zap.Error(err))
		x.prepareLostResponse(&end, resp, err)
		return end
	}
	x.prepareServiceResponse(&end, resp, body)
	return end
}

// Errors of responses that can't be held.
var (
	errResponseTooLarge = errors.New("the service ran; its answer is too large")
	errNoResponseMemory = errors.New("the service ran; there was no memory for its answer")
)

const (
	// responseCopies is how often a response is held while it is read.
	responseCopies = 2
	// responseMemoryWait is how long a response waits for memory: until others have been
	// read by clients that keep up. It occupies its target meanwhile.
	responseMemoryWait = 250 * time.Millisecond
)

// readServiceResponse reads a response completely, within the memory for requests. Its
// first block costs no more than what each connection may use.
func (x *exchange) readServiceResponse(ctx context.Context, r io.Reader) ([]byte, error) {
	conn, err := clientconn.OfRequest(x.r)
	if err != nil {
		return nil, err
	}
	waiting, cancel := context.WithTimeout(ctx, responseMemoryWait)
	defer cancel()
	var body [][]byte
	reserved := int64(0)
	for size, read := int64(blocks.FirstBytes), 0; read <= maxServiceResponseBytes; size = blocks.NextBytes(size) {
		if read > 0 {
			if conn.AwaitReserve(waiting, responseCopies*size) != nil {
				return nil, cmp.Or(ctx.Err(), errNoResponseMemory)
			}
			reserved += responseCopies * size
		}
		block := make([]byte, size)
		n, err := blocks.Fill(r, block)
		body, read = append(body, block[:n]), read+n
		if err == io.EOF {
			whole := bytes.Join(body, nil)
			conn.Return(reserved - reserved/responseCopies)
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errResponseTooLarge
}

// prepareLostResponse sets up the error response that is sent on ReleaseAnswer instead of
// a response that can't be held. A response is never truncated.
func (x *exchange) prepareLostResponse(end *event.AttemptEnded, resp *http.Response, reason error) {
	lost := apierror.BodyOf(errkind.TargetFailed, reason.Error(), errkind.RanUnknown, 0)
	end.Answer = &event.RecordedAnswer{Status: resp.StatusCode, Truncated: true}
	x.sendFinal = func() {
		x.out.extendDeadline()
		apierror.Write(x.out.w, lost)
	}
}

// prepareServiceResponse sets up the service's response, which is sent on
// ReleaseAnswer.
func (x *exchange) prepareServiceResponse(end *event.AttemptEnded, resp *http.Response, body []byte) {
	contentType := resp.Header.Get("Content-Type")
	x.sendFinal = func() {
		for _, h := range forwardedResponseHeaders {
			if v := resp.Header.Get(h); v != "" {
				x.out.w.Header().Set(h, v)
			}
		}
		x.out.writeResponse(resp.StatusCode, contentType, body)
	}
	if !x.arrival.Idempotent {
		end.Answer = newRecordedAnswer(resp.StatusCode, contentType, body)
	}
}

func newRecordedAnswer(status int, contentType string, body []byte) *event.RecordedAnswer {
	if len(body) > maxRecordedBodyBytes {
		return &event.RecordedAnswer{Status: status, ContentType: contentType, Truncated: true}
	}
	return &event.RecordedAnswer{Status: status, ContentType: contentType, Body: body}
}
