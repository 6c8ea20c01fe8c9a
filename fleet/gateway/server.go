package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/fleet/upstream"
)

// Server serves callers.
type Server struct {
	loop     *runtime.Loop
	targets  *upstream.Client
	protocol Protocol
	limits   settings.Limits
	log      *zap.Logger
	metrics  *metrics
	// streams counts the requests being served.
	streams atomic.Int64
	// stopping is set once a stop has begun: connections end with their answer.
	stopping atomic.Bool
}

// New returns a server.
func New(loop *runtime.Loop, targets *upstream.Client, protocol Protocol, set *settings.Settings, log *zap.Logger) *Server {
	return &Server{loop: loop, targets: targets, protocol: protocol, limits: set.Limits, log: log, metrics: newMetrics()}
}

// Streams is the number of requests being served.
func (s *Server) Streams() int64 { return s.streams.Load() }

// Stop lets each connection end with the answer that is in progress.
func (s *Server) Stop() { s.stopping.Store(true) }

// Ready tells whether callers may be sent here.
func (s *Server) Ready() bool { return s.loop.Index() != nil && !s.stopping.Load() }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.streams.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.streams.Add(1) > int64(s.limits.MaxStreams) {
		s.refuseUnread(w, r, errkind.TooManyStreams, "")
		return
	}
	arrived := time.Now()
	call, err := s.protocol.ReadMetadata(r)
	if err != nil {
		s.refuseUnread(w, r, errkind.InvalidRequest, err.Error())
		return
	}
	index := s.loop.Index()
	if index == nil {
		s.refuseUnread(w, r, errkind.NotReady, "")
		return
	}
	route := index.Route(r.Host, r.URL.Path)
	if route == nil {
		s.refuseUnread(w, r, errkind.UnknownPath, "")
		return
	}
	owner, known := ownerOf(index, route, call.APIKey)
	if !known {
		s.refuseUnread(w, r, errkind.Unauthenticated, "")
		return
	}
	body, kind := s.readBody(w, r, index.Routing.CallerLimits)
	if kind != errkind.None {
		s.refuseUnread(w, r, kind, "")
		return
	}
	x := &exchange{server: s, w: w, r: r, call: call, route: route, index: index, owner: owner, body: body, arrived: arrived}
	x.run()
}

// ownerOf finds the customer that a key names. Anonymous routes need none.
func ownerOf(index *config.Index, route *config.Route, key string) (config.KeyOwner, bool) {
	if route.Anonymous {
		return config.KeyOwner{}, true
	}
	sum := sha256.Sum256([]byte(key))
	return index.KeyOwner(hex.EncodeToString(sum[:]))
}

// readBody reads the request's body whole.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limits config.CallerLimits) ([]byte, errkind.Kind) {
	if r.ContentLength == 0 {
		return nil, errkind.None
	}
	most := limits.MaxBodyBytes
	if most == 0 {
		most = int64(s.limits.MaxBodyBytes)
	}
	if r.ContentLength > most {
		return nil, errkind.BodyTooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(settings.Millis(s.limits.ReadTimeoutMillis)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, errkind.None
	case errors.As(err, &tooLarge):
		return nil, errkind.BodyTooLarge
	case errors.Is(err, context.Canceled), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errkind.CallerGone
	}
	return nil, errkind.SlowSender
}

// refuseUnread answers a request that the core does not learn of.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request, kind errkind.Kind, detail string) {
	s.metrics.refused.WithLabelValues(string(kind)).Inc()
	s.log.Info("request refused", zap.String("kind", string(kind)), zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.String("detail", detail))
	a := errkind.Lookup(kind)
	s.protocol.Refuse(w, Refusal{Kind: kind, Ran: errkind.RanNo, RetryAfter: time.Duration(a.RetryAfterSeconds) * time.Second})
}

// arrival is the core's view of a request.
func (x *exchange) arrival(handle uint64) event.RequestArrived {
	a := event.RequestArrived{
		Request: handle, Customer: x.owner.Customer, Key: x.call.AttemptID, BodyHash: x.bodyHash(),
		Kind: event.KindService, Serves: x.serves,
		Idempotent: x.route.Repeatable(), Resumable: x.route.Resumable, Priority: -int(x.rank()), Deadline: x.wait(),
		MaxAttempts: int(x.route.MaxAttempts), HandedOver: true,
	}
	if x.worstCase() > 0 {
		a.Kind = event.KindModel
		a.Budget, a.WorstCaseTokens = x.owner.Budget, x.worstCase()
	}
	for _, p := range x.call.PromptParts {
		a.PrefixHashes = append(a.PrefixHashes, p.ID)
		a.Parts = append(a.Parts, placement.Part(p))
	}
	return a
}

// worstCase bounds what the request can consume, in tokens.
func (x *exchange) worstCase() int64 { return x.call.PromptTokens + x.call.MaxOutputTokens }

// wait is how long the request may take.
func (x *exchange) wait() time.Duration {
	wait := x.route.Timeout()
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout)
	}
	return wait
}

// bodyHash identifies a request that comes again: path, customer and body.
func (x *exchange) bodyHash() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(x.r.Method), []byte(x.r.RequestURI), []byte(x.owner.Customer), x.body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
