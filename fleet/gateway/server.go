package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/outdated"
	"plantainfield.example/core/placement"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/logring"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/fleet/upstream"
)

// Server serves the callers' HTTP requests.
type Server struct {
	loop    *runtime.Loop
	targets *upstream.Client
	// peers sends requests that are handed over, and peerKey proves to peers that
	// they come from one.
	peers    *upstream.Client
	peerKey  string
	protocol Protocol
	limits   settings.Limits
	log      *zap.Logger
	metrics  *metrics
	// admission refuses requests while the instance is short of processor time.
	admission *admission
	// activeRequests is the number of requests in progress.
	activeRequests atomic.Int64
	// requests counts the requests that have arrived.
	requests atomic.Uint64
	// stopping is set once a stop has begun. Connections are then closed after
	// their current response.
	stopping atomic.Bool
	// ending is cancelled once the requests in progress must end, because the instance
	// exits.
	ending context.Context
	end    context.CancelFunc
	// warnings holds the names of the targets that warnOnce was called for.
	warnings sync.Map
}

// New returns a Server. peers sends requests that are handed over to peers.
func New(loop *runtime.Loop, targets, peers *upstream.Client, protocol Protocol, set *settings.Settings, log *zap.Logger) *Server {
	s := &Server{loop: loop, targets: targets, peers: peers, peerKey: set.PeerKey, protocol: protocol, limits: set.Limits, log: log, metrics: newMetrics()}
	s.ending, s.end = context.WithCancel(context.Background())
	s.admission = newAdmission(loop, settings.Millis(set.Limits.MaxWorkWaitMillis), s.ActiveRequests, log.Named(logring.InstanceLogger))
	return s
}

// RunPeerConnections closes idle connections to peers that can't be used again, until
// ctx ends.
func (s *Server) RunPeerConnections(ctx context.Context) { s.peers.Run(ctx) }

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Requests returns the number of requests that have arrived.
func (s *Server) Requests() uint64 { return s.requests.Load() }

// Stop makes each connection close after its current response.
func (s *Server) Stop() { s.stopping.Store(true) }

// EndRequests ends the requests in progress: each is answered now, as not run or as one
// that may have run, and streams are broken off.
func (s *Server) EndRequests() { s.end() }

// warnOnce reports whether it is called for a target for the first time.
func (s *Server) warnOnce(target string) bool {
	_, seen := s.warnings.LoadOrStore(target, struct{}{})
	return !seen
}

// Ready reports whether the instance accepts callers.
func (s *Server) Ready() bool {
	return s.loop.Index() != nil && !s.stopping.Load() && !s.loop.Standing().Overdue
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer s.activeRequests.Add(-1)
	s.requests.Add(1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.activeRequests.Add(1) > int64(s.limits.MaxStreams) {
		s.refuseEarly(w, r, errkind.TooManyStreams, arrived, "")
		return
	}
	meta, err := s.protocol.ReadMetadata(r)
	if err != nil {
		s.refuseEarly(w, r, errkind.InvalidRequest, arrived, err.Error())
		return
	}
	index := s.loop.Index()
	if index == nil {
		s.refuseEarly(w, r, errkind.NotReady, arrived, "")
		return
	}
	standing := s.loop.Standing()
	if standing.Overdue {
		s.refuseEarly(w, r, errkind.Outdated, arrived, "")
		return
	}
	route := index.Route(r.Host, r.URL.Path)
	if route == nil {
		s.refuseEarly(w, r, outdated.Denial(errkind.UnknownPath, standing), arrived, "")
		return
	}
	owner, known := ownerOf(index, route, meta.APIKey)
	if !known {
		s.refuseEarly(w, r, outdated.Denial(errkind.Unauthenticated, standing), arrived, "")
		return
	}
	if admitted, retryAfter := s.admission.admit(owner.Customer); !admitted {
		s.refuseOverloaded(w, r, retryAfter)
		return
	}
	conn, err := clientconn.OfRequest(r)
	if err != nil {
		s.refuseEarly(w, r, errkind.Internal, arrived, err.Error())
		return
	}
	defer conn.Release()
	x := &exchange{server: s, w: w, conn: conn, r: r, meta: meta, route: route, index: index, owner: owner, arrived: arrived, handedOverAttempts: s.handedOverAttempts(r, meta.AttemptID)}
	if x.handedOverAttempts > 0 {
		x.relay.chargedTokens = s.promptChargedBefore(r, meta)
	}
	var kind errkind.Kind
	if x.body, kind = s.readBody(w, r, conn, index.Routing.CallerLimits, x.deadline()); kind != errkind.None {
		if kind == errkind.BodyTooLarge {
			kind = outdated.Denial(kind, standing)
		}
		s.refuseEarly(w, r, kind, arrived, "")
		return
	}
	x.run()
	x.body = nil // the examination of a target may go on
}

// ownerOf returns the customer that owns an API key, and whether the request is
// allowed. Anonymous routes need no key.
func ownerOf(index *config.Index, route *config.Route, key string) (config.KeyOwner, bool) {
	if route.Anonymous {
		return config.KeyOwner{}, true
	}
	sum := sha256.Sum256([]byte(key))
	return index.KeyOwner(hex.EncodeToString(sum[:]))
}

// readBody reads the complete request body, until the request's deadline at most.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, conn *clientconn.Conn, limits config.CallerLimits, deadline time.Time) ([][]byte, errkind.Kind) {
	if r.ContentLength == 0 {
		return nil, errkind.None
	}
	limit := limits.MaxBodyBytes
	if limit == 0 {
		limit = int64(s.limits.MaxBodyBytes)
	}
	if r.ContentLength > limit {
		return nil, errkind.BodyTooLarge
	}
	if longest := time.Now().Add(settings.Millis(s.limits.ReadTimeoutMillis)); longest.Before(deadline) {
		deadline = longest
	}
	s.setReadDeadline(w, deadline)
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, 1)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		s.setReadDeadline(w, time.Time{})
		return body, errkind.None
	case errors.As(err, &tooLarge):
		return nil, errkind.BodyTooLarge
	case errors.Is(err, clientconn.ErrNoMemory):
		return nil, errkind.MemoryExhausted
	case errors.Is(err, context.Canceled), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errkind.CallerGone
	}
	return nil, errkind.SlowSender
}

func (s *Server) setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		s.log.Warn("read deadline not set", zap.Error(err))
	}
}

const (
	// restTimeout bounds the time for which the rest of a body is read whose request was
	// refused, and maxRestBytes its size.
	restTimeout  = time.Second
	maxRestBytes = 256 << 10
)

// respondBeforeBody makes the response go out although the request's body may not
// have arrived: without it, net/http reads the rest of the body first, for as long as
// that takes. It reports whether the rest is to be read afterwards: not if the body took
// too long or there is no memory for it.
func (s *Server) respondBeforeBody(w http.ResponseWriter, r *http.Request, kind errkind.Kind) (rest bool) {
	if r.ContentLength == 0 {
		return false
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		s.log.Warn("response waits for the body", zap.Error(err))
	}
	if kind == errkind.SlowSender || kind == errkind.MemoryExhausted {
		closeAfterResponse(w, r)
		s.setReadDeadline(w, time.Now())
		return false
	}
	return true
}

// discardRest sends the response and reads the rest of the request's body. If that does
// not arrive in time, the connection ends: what came later would be taken for the next
// request. net/http must not be left to read the rest after a response that went out
// before it.
func (s *Server) discardRest(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(-1) // the request has been answered
	defer s.activeRequests.Add(1)
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.setReadDeadline(w, time.Now().Add(restTimeout))
	read, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRestBytes+1))
	if err != nil || read > maxRestBytes {
		s.log.Info("connection closed: the rest of a refused request's body did not arrive", zap.Int64("read", read), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	s.setReadDeadline(w, time.Time{})
}

// closeAfterResponse makes the connection end with the response.
func closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if conn, err := clientconn.OfRequest(r); err == nil {
		conn.SetClosing()
	}
}

// refuseEarly sends an error response to a request that is not passed to the
// core.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, kind errkind.Kind, arrived time.Time, detail string) {
	after := time.Duration(errkind.Lookup(kind).RetryAfterSeconds) * time.Second
	if kind == errkind.Outdated {
		after = outdated.RetryAfter
	}
	if kind != errkind.MemoryExhausted { // which clientconn logs, at a bounded rate
		s.log.Info("request refused", zap.String("kind", string(kind)), zap.Duration("age", time.Since(arrived)), zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.String("detail", detail))
	}
	s.writeRefusal(w, r, Refusal{Kind: kind, Ran: errkind.RanNo, RetryAfter: after})
}

func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, refusal Refusal) {
	s.metrics.refused.WithLabelValues(string(refusal.Kind)).Inc()
	rest := s.respondBeforeBody(w, r, refusal.Kind)
	markRefusal(w, r, refusal, progress{})
	s.protocol.Refuse(w, refusal)
	if rest {
		s.discardRest(w, r)
	}
}

// refuseOverloaded refuses a request for lack of processor time. The connection is
// closed, so that its memory is free and the caller's next request may go to another
// instance. admission logs how many requests are refused.
func (s *Server) refuseOverloaded(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	closeAfterResponse(w, r)
	s.writeRefusal(w, r, Refusal{Kind: errkind.InstanceOverloaded, Ran: errkind.RanNo, RetryAfter: retryAfter})
}

// arrival returns the event that passes the request to the core. Requests are not
// handed over for lack of tokens, since peers' tokens come here. The priority is
// negated: 0 goes first on a route, the highest value in the core.
func (x *exchange) arrival(handle uint64) event.RequestArrived {
	a := event.RequestArrived{
		Request: handle, Customer: x.owner.Customer, Key: x.meta.AttemptID, BodyHash: x.bodyHash,
		Kind: event.KindService, Serves: x.serves,
		Idempotent: x.route.Repeatable(), Resumable: x.route.Resumable, Priority: -int(x.priority()), Deadline: x.timeout(),
		MaxAttempts: int(x.route.MaxAttempts), NoTokenHandOver: true, HandedOver: x.handedOverAttempts > 0,
	}
	if a.HandedOver {
		a.MaxAttempts = x.handedOverAttempts
	}
	if x.route.Resumable && x.meta.LastEventID != "" {
		a.Resumed, a.Resumes = true, x.meta.Resumes
	}
	if x.worstCaseTokens() > 0 {
		a.Kind = event.KindModel
		a.Budget, a.WorstCaseTokens = x.owner.Budget, x.worstCaseTokens()
	}
	for _, p := range x.meta.PromptParts {
		a.PrefixHashes = append(a.PrefixHashes, p.ID)
		a.Parts = append(a.Parts, placement.Part(p))
	}
	return a
}

// worstCaseTokens bounds the tokens that the request can consume.
func (x *exchange) worstCaseTokens() int64 { return x.meta.PromptTokens + x.meta.MaxOutputTokens }

// timeout returns how long the request may take.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.Timeout()
	if x.meta.Timeout > 0 {
		timeout = min(timeout, x.meta.Timeout)
	}
	return timeout
}

// deadline returns when the request's time-out passes.
func (x *exchange) deadline() time.Time { return x.arrived.Add(x.timeout()) }

// hashBody returns a hash that identifies repeats of a request by method, URI,
// customer and body.
func (x *exchange) hashBody() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(x.r.Method), []byte(x.r.RequestURI), []byte(x.owner.Customer)} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	for _, block := range x.body {
		_, _ = h.Write(block)
	}
	_, _ = h.Write([]byte{0})
	return hex.EncodeToString(h.Sum(nil)[:16])
}
