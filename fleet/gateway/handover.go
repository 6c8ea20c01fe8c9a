package gateway

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/reach"
	"plantainfield.example/fleet/upstream"
)

const (
	// headerHandedOver marks a request that a peer handed over: the number of
	// targets that it may still be sent to, a semicolon, and a MAC which proves that
	// the sender has the peer key.
	headerHandedOver = "Plantainfield-Handed-Over"
	// headerRefused marks an error response of a peer itself, to a request that was
	// handed over: the error kind, a semicolon, and whether the request ran.
	headerRefused = "Plantainfield-Refused"
	// headerAttempts says in such a response how many attempts of the peer may have
	// reached a target.
	headerAttempts = "Plantainfield-Attempts"
	// headerPromptCharged says how many tokens of the prompt are charged already: in a
	// request that is handed over, followed by a semicolon and a MAC, and in the response
	// of a peer that refuses one.
	headerPromptCharged = "Plantainfield-Prompt-Charged"
)

// handOverMAC returns the MAC of a value and the fields that identify a request.
func (s *Server) handOverMAC(r *http.Request, attemptID, value string) string {
	mac := hmac.New(sha256.New, []byte(s.peerKey))
	for _, part := range []string{value, attemptID, r.Method, r.Host, r.RequestURI} {
		_, _ = mac.Write([]byte(part))
		_, _ = mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// handedOverAttempts returns the number of targets that a request may be sent to
// according to the peer that handed it over, or 0 if none did.
func (s *Server) handedOverAttempts(r *http.Request, attemptID string) int {
	mark := r.Header.Get(headerHandedOver)
	if mark == "" {
		return 0
	}
	attempts, mac, _ := strings.Cut(mark, ";")
	count, err := strconv.Atoi(attempts)
	if err != nil || count <= 0 || !hmac.Equal([]byte(mac), []byte(s.handOverMAC(r, attemptID, attempts))) {
		s.log.Warn("mark of a handed-over request ignored", zap.String("request", attemptID), zap.Error(err))
		return 0
	}
	return count
}

// promptChargedMAC returns the MAC of the value of headerPromptCharged in a request.
func (s *Server) promptChargedMAC(r *http.Request, attemptID, tokens string) string {
	return s.handOverMAC(r, attemptID, headerPromptCharged+" "+tokens)
}

// promptChargedBefore returns how many tokens of the prompt the instance that handed the
// request over says are charged, or 0 if none did.
func (s *Server) promptChargedBefore(r *http.Request, meta RequestMetadata) int64 {
	text, mac, _ := strings.Cut(r.Header.Get(headerPromptCharged), ";")
	tokens, err := strconv.ParseInt(text, 10, 64)
	if err != nil || tokens < 0 || !hmac.Equal([]byte(mac), []byte(s.promptChargedMAC(r, meta.AttemptID, text))) {
		return 0
	}
	return min(tokens, meta.PromptTokens)
}

// promptCharged returns how many tokens of the prompt are charged, here or at peers.
func (x *exchange) promptCharged() int64 { return min(x.relay.chargedTokens, x.meta.PromptTokens) }

// handOver sends the request to a peer, relays the peer's response, and reports
// whether the request is complete.
func (x *exchange) handOver(ctx context.Context, h *event.HandOver) bool {
	began, events := time.Now(), x.relay.events.count
	resp, err := x.server.peers.Do(ctx, h.Address, x.peerRequest(ctx, h), x.body)
	end := event.HandOverEnded{Request: x.handle}
	cancelled := false
	switch {
	case errors.Is(err, upstream.ErrUnsent):
		end.Refused = true
	case err != nil:
		end.Lost, end.Attempts, cancelled = true, h.MaxAttempts, ctx.Err() != nil
	default:
		cancelled = x.relayPeerResponse(ctx, resp, h, &end)
		_ = resp.Body.Close()
	}
	end.BytesDelivered = x.relay.started
	x.mayHaveRun = x.mayHaveRun || !end.Refused
	if x.relay.events.count > events { // the peer charges what it has sent, or what it had reserved if it was lost
		_ = x.tokenUsage(event.AttemptEnded{Outcome: event.AttemptFailed})
	}
	x.log.Info("hand-over ended", zap.String("peer", h.Peer), zap.Bool("refused", end.Refused), zap.Bool("lost", end.Lost), zap.Bool("cancelled", cancelled),
		zap.String("kind", string(end.Kind)), zap.Int("attempts", end.Attempts), zap.Int("events", x.relay.events.count-events), zap.Duration("took", time.Since(began)),
		zap.Duration("waited", began.Sub(x.arrived)), zap.Error(err))
	x.server.metrics.countHandOver(end, cancelled)
	if cancelled {
		end.Lost = false
	} else if ctx.Err() != nil && (end.Refused || end.Lost) {
		x.abandon(ctx) // before the core tries another peer
	}
	x.poster.Post(event.Event{HandOverEnded: &end})
	if cancelled {
		x.refuseCancelled()
	}
	return cancelled || !end.Refused && !end.Lost
}

// peerRequest returns the caller's request as it is handed over to a peer.
func (x *exchange) peerRequest(ctx context.Context, h *event.HandOver) *http.Request {
	header := http.Header{}
	copyEndToEndHeaders(header, x.r.Header)
	resumes := x.meta.Resumes
	if resumes == "" && x.relay.events.lastID != "" {
		resumes = x.meta.AttemptID
	}
	x.server.protocol.SetPeerHeaders(header, PeerMetadata{TimeLeft: time.Until(x.deadline()), LastEventID: x.lastEventID(), Resumes: resumes})
	attempts := strconv.Itoa(h.MaxAttempts)
	req := &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, RequestURI: x.r.RequestURI,
		URL: &url.URL{Scheme: "http", Host: h.Address, Opaque: x.r.RequestURI},
	}
	header.Set(headerHandedOver, attempts+";"+x.server.handOverMAC(req, x.meta.AttemptID, attempts))
	if charged := x.promptCharged(); charged > 0 {
		text := strconv.FormatInt(charged, 10)
		header.Set(headerPromptCharged, text+";"+x.server.promptChargedMAC(req, x.meta.AttemptID, text))
	}
	req.RequestURI = "" // only for the MAC; not allowed in a client's request
	return req.WithContext(ctx)
}

// relayPeerResponse relays a peer's response, unless it is a refusal after which the
// core continues the request. It reports whether the request ended in the meantime.
func (x *exchange) relayPeerResponse(ctx context.Context, resp *http.Response, h *event.HandOver, end *event.HandOverEnded) (cancelled bool) {
	if mark := resp.Header.Get(headerRefused); mark != "" {
		x.handlePeerRefusal(resp, mark, h, end)
		return false
	}
	var attempt event.AttemptEnded
	x.relayResponse(ctx, resp, &attempt)
	if end.Lost = attempt.Outcome == event.AttemptFailed; end.Lost {
		end.Attempts = h.MaxAttempts
	}
	if attempt.Outcome == event.AttemptCompleted {
		x.server.metrics.observeResponse(x.route, x.arrived)
	}
	return attempt.Outcome == event.AttemptCancelled
}

// handlePeerRefusal relays a refusal of a peer, or ends the hand-over so that the core
// continues the request.
func (x *exchange) handlePeerRefusal(resp *http.Response, mark string, h *event.HandOver, end *event.HandOverEnded) {
	kind, ran, _ := strings.Cut(mark, ";")
	end.Kind, end.RetryAfter = errkind.Kind(kind), x.server.protocol.ReadRetryAfter(resp)
	end.Attempts = peerAttempts(resp, h)
	x.relay.chargedTokens = max(x.relay.chargedTokens, min(promptChargedByPeer(resp), x.meta.PromptTokens))
	refusal := reach.Refusal{Kind: end.Kind, Ran: errkind.Ran(ran), Started: x.relay.started, MayHaveRun: h.MayHaveRun}
	switch reach.AfterRefusal(refusal) {
	case reach.TryOther:
		end.Refused = true
	case reach.Repeat:
		end.Lost = true
	case reach.PassOnAsUnknown:
		x.refuse(Refusal{Kind: end.Kind, Ran: errkind.RanUnknown, RetryAfter: end.RetryAfter})
	default:
		resp.Header.Del(headerRefused)
		resp.Header.Del(headerAttempts)
		resp.Header.Del(headerPromptCharged)
		end.Lost = x.relayBuffered(resp) != nil
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
}

// peerAttempts returns the number of attempts that a peer which refused a request says
// that it has made, or the number that it was allowed if it doesn't say.
func peerAttempts(resp *http.Response, h *event.HandOver) int {
	attempts, err := strconv.Atoi(resp.Header.Get(headerAttempts))
	if err != nil || attempts < 0 {
		return h.MaxAttempts
	}
	return min(attempts, h.MaxAttempts)
}

// promptChargedByPeer returns how many tokens of the prompt are charged according to a
// peer that refused a request, or 0 if it doesn't say.
func promptChargedByPeer(resp *http.Response) int64 {
	tokens, err := strconv.ParseInt(resp.Header.Get(headerPromptCharged), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, tokens)
}

// progress is how far a request got at the instance that refuses it.
type progress struct {
	// attempts is the number of attempts that may have reached a target.
	attempts int
	// promptCharged is the number of tokens of the prompt that are charged.
	promptCharged int64
}

// markRefusal marks an error response of this instance to a request that a peer
// handed over.
func markRefusal(w http.ResponseWriter, r *http.Request, refusal Refusal, p progress) {
	if r.Header.Get(headerHandedOver) != "" {
		w.Header().Set(headerRefused, string(refusal.Kind)+";"+string(refusal.Ran))
		w.Header().Set(headerAttempts, strconv.Itoa(p.attempts))
		w.Header().Set(headerPromptCharged, strconv.FormatInt(p.promptCharged, 10))
	}
}

// RunProbes probes targets for the core until ctx ends.
func (s *Server) RunProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.loop.TargetProbes():
			s.probe(ctx, p)
		}
	}
}

// probe tells the core whether a target accepts a connection, and returns it.
func (s *Server) probe(ctx context.Context, p event.ProbeTarget) bool {
	reached := s.targets.Accepts(ctx, p.Address)
	s.loop.Post(event.Event{TargetProbed: &event.TargetProbed{Target: p.Target, Address: p.Address, Reached: reached}})
	return reached
}
