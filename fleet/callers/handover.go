package callers

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/reach"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/httpabort"
)

const (
	// headerHandedOver marks a request that a peer handed over without running
	// it. Its value is a MAC which proves that the sender has the peer key.
	headerHandedOver = "X-Handed-Over"
	// headerMaxAttempts holds the number of attempts that the peer may make of such a
	// request, a semicolon, and a MAC. Without it, the policy's value applies.
	headerMaxAttempts = "X-Max-Attempts"
	// headerAttempts says in the error response to such a request how many attempts may
	// have reached a target.
	headerAttempts      = "X-Attempts"
	handOverBufferBytes = 16 << 10
)

// handedOverHeaders are the request headers that are forwarded to the peer.
var handedOverHeaders = append([]string{"Authorization", headerBudget, headerNonIdempotent}, forwardedRequestHeaders...)

// handOverMAC returns an HMAC, keyed with the peer key, of the fields that
// identify the request, and of further values.
func handOverMAC(peerKey, customer, key, bodyHash string, values ...string) string {
	mac := hmac.New(sha256.New, []byte(peerKey))
	for _, part := range append([]string{customer, key, bodyHash}, values...) {
		_, _ = mac.Write([]byte(part))
		_, _ = mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// checkHandedOver sets HandedOver and MaxAttempts on the arrival of a request that a peer
// handed over. A request with an invalid MAC is rejected.
func (s *Server) checkHandedOver(r *http.Request, a *event.RequestArrived) error {
	sent := r.Header.Get(headerHandedOver)
	if sent == "" {
		return nil
	}
	if !hmac.Equal([]byte(sent), []byte(handOverMAC(s.peerKey, a.Customer, a.Key, a.BodyHash))) {
		return apierror.New(errkind.PeerUnauthenticated, "")
	}
	a.HandedOver = true
	if sent = r.Header.Get(headerMaxAttempts); sent == "" {
		return nil
	}
	attempts, mac, _ := strings.Cut(sent, ";")
	count, err := strconv.Atoi(attempts)
	if err != nil || count < 1 || !hmac.Equal([]byte(mac), []byte(handOverMAC(s.peerKey, a.Customer, a.Key, a.BodyHash, attempts))) {
		return apierror.New(errkind.PeerUnauthenticated, "")
	}
	a.MaxAttempts = count
	return nil
}

// handOver sends the request to a peer and relays the peer's response. It reports
// whether the request is complete: one that did not reach the peer, that the peer refused
// without running it, or whose attempts are limited and failed, goes back to the core.
func (x *exchange) handOver(h *event.HandOver) bool {
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	resp, err := x.sendToPeer(ctx, h)
	if err != nil && !engine.NotStarted(err) {
		x.log.Info("hand-over failed", zap.String("peer", h.Address), zap.Error(err))
	}
	switch {
	case engine.NotStarted(err):
		x.postHandOverEnded(event.HandOverEnded{Refused: true})
		return false
	case err != nil && h.MaxAttempts > 0:
		x.postHandOverEnded(event.HandOverEnded{Lost: true, Attempts: h.MaxAttempts})
		return false
	case err != nil:
		x.postHandOverEnded(event.HandOverEnded{Kind: errkind.TargetFailed})
		x.refuse(&event.Refuse{Kind: x.lostHandOverKind(), Ran: errkind.RanUnknown})
		return true
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		x.relayPeerResponse(resp, resp.Body)
		return true
	}
	return x.relayPeerError(resp, h)
}

// lostHandOverKind returns the error kind for a request whose response from the
// peer was lost.
func (x *exchange) lostHandOverKind() errkind.Kind {
	if x.arrival.Idempotent {
		return errkind.TargetFailed
	}
	return errkind.OutcomeUnknown
}

func (x *exchange) postHandOverEnded(end event.HandOverEnded) {
	end.Request = x.arrival.Request
	x.server.loop.Post(event.Event{HandOverEnded: &end})
}

func (x *exchange) sendToPeer(ctx context.Context, h *event.HandOver) (*http.Response, error) {
	req, err := engine.NewRequest(ctx, x.r.Method, "http://"+h.Address+x.r.URL.RequestURI(), x.body)
	if err != nil {
		return nil, err
	}
	for _, name := range handedOverHeaders {
		if v := x.r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	a := x.arrival
	req.Header.Set(headerKey, a.Key)
	req.Header.Set(headerHandedOver, handOverMAC(x.server.peerKey, a.Customer, a.Key, a.BodyHash))
	if h.MaxAttempts > 0 {
		attempts := strconv.Itoa(h.MaxAttempts)
		req.Header.Set(headerMaxAttempts, attempts+";"+handOverMAC(x.server.peerKey, a.Customer, a.Key, a.BodyHash, attempts))
	}
	return x.server.engine.Do(req)
}

// relayPeerError relays a peer's error response and returns true, unless the
// response states that the request was not run, or that a limited attempt failed.
func (x *exchange) relayPeerError(resp *http.Response, h *event.HandOver) bool {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorResponseBytes))
	var b apierror.Body
	known := err == nil && json.Unmarshal(raw, &b) == nil
	end := event.HandOverEnded{Kind: b.Error.Code, Attempts: peerAttempts(resp, h)}
	switch {
	case known && b.Error.Ran == errkind.RanNo:
		end.Refused = true
	case known && h.MaxAttempts > 0 && reach.AfterRefusal(reach.Refusal{Kind: b.Error.Code, Ran: b.Error.Ran}) == reach.Repeat:
		end.Lost = true
	default:
		x.relayPeerResponse(resp, bytes.NewReader(raw))
		return true
	}
	x.postHandOverEnded(end)
	return false
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

// relayPeerResponse relays a peer's response as it arrives. If the response is
// cut off, the connection to the caller is aborted as well.
func (x *exchange) relayPeerResponse(resp *http.Response, body io.Reader) {
	x.countResult(resultHandedOver)
	defer x.postHandOverEnded(event.HandOverEnded{})
	for _, name := range append([]string{"Content-Type", "Idempotent-Replayed"}, forwardedResponseHeaders...) {
		if v := resp.Header.Get(name); v != "" {
			x.out.w.Header().Set(name, v)
		}
	}
	x.out.headerSent = true
	x.out.w.WriteHeader(resp.StatusCode)
	buf := make([]byte, handOverBufferBytes)
	for {
		n, err := body.Read(buf)
		x.out.writeChunk(buf[:n])
		x.out.flush()
		if x.out.writeErr != nil || (err != nil && !errors.Is(err, io.EOF)) {
			httpabort.Abort(x.out.w, x.r, x.log)
		}
		if err != nil {
			return
		}
	}
}
