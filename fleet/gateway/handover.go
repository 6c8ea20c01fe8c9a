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
)

// handOverMAC returns the MAC of the fields that identify a request.
func (s *Server) handOverMAC(r *http.Request, attemptID, attempts string) string {
	mac := hmac.New(sha256.New, []byte(s.peerKey))
	for _, part := range []string{attempts, attemptID, r.Method, r.Host, r.RequestURI} {
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
		end.Lost, cancelled = true, ctx.Err() != nil
	default:
		cancelled = x.relayPeerResponse(ctx, resp, h, &end)
		_ = resp.Body.Close()
	}
	end.BytesDelivered = x.relay.started
	x.mayHaveRun = x.mayHaveRun || !end.Refused
	x.log.Info("hand-over ended", zap.String("peer", h.Peer), zap.Bool("refused", end.Refused), zap.Bool("lost", end.Lost), zap.Bool("cancelled", cancelled),
		zap.String("kind", string(end.Kind)), zap.Int("events", x.relay.events.count-events), zap.Duration("took", time.Since(began)),
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
	req.RequestURI = "" // only for the MAC; not allowed in a client's request
	return req.WithContext(ctx)
}

// relayPeerResponse relays a peer's response, unless the peer refused the request
// without running it and another peer may serve it. It reports whether the request
// ended in the meantime.
func (x *exchange) relayPeerResponse(ctx context.Context, resp *http.Response, h *event.HandOver, end *event.HandOverEnded) (cancelled bool) {
	if mark := resp.Header.Get(headerRefused); mark != "" {
		kind, ran, _ := strings.Cut(mark, ";")
		end.Kind = errkind.Kind(kind)
		notRun := errkind.Ran(ran) == errkind.RanNo
		if x.relay.started || notRun && reach.OtherPeerMayServe(end.Kind) {
			end.Refused, end.Lost = notRun, !notRun
			end.RetryAfter = x.server.protocol.ReadRetryAfter(resp)
			_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
			return false
		}
		if !reach.PassOnRefusal(errkind.Ran(ran), h.MayHaveRun) {
			x.refuse(Refusal{Kind: end.Kind, Ran: errkind.RanUnknown, RetryAfter: x.server.protocol.ReadRetryAfter(resp)})
			return false
		}
		resp.Header.Del(headerRefused)
	}
	var attempt event.AttemptEnded
	if end.Kind != errkind.None {
		if err := x.relayBuffered(resp); err != nil {
			attempt.Outcome = event.AttemptFailed
		}
	} else {
		x.relayResponse(ctx, resp, &attempt)
	}
	end.Lost = attempt.Outcome == event.AttemptFailed
	if attempt.Outcome == event.AttemptCompleted {
		x.server.metrics.observeResponse(x.route, x.arrived)
	}
	return attempt.Outcome == event.AttemptCancelled
}

// markRefusal marks an error response of this instance to a request that a peer
// handed over.
func markRefusal(w http.ResponseWriter, r *http.Request, kind errkind.Kind, ran errkind.Ran) {
	if r.Header.Get(headerHandedOver) != "" {
		w.Header().Set(headerRefused, string(kind)+";"+string(ran))
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
