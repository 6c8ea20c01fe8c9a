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

	"go.uber.org/zap"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/httpabort"
)

const (
	// headerHandedOver marks a request that a peer handed over without running
	// it. Its value is a MAC which proves that the sender has the peer key.
	headerHandedOver    = "X-Handed-Over"
	handOverBufferBytes = 16 << 10
)

// handedOverHeaders are the request headers that are forwarded to the peer.
var handedOverHeaders = append([]string{"Authorization", headerBudget, headerNonIdempotent}, forwardedRequestHeaders...)

// handOverMAC returns an HMAC, keyed with the peer key, of the fields that
// identify the request.
func handOverMAC(peerKey, customer, key, bodyHash string) string {
	mac := hmac.New(sha256.New, []byte(peerKey))
	for _, part := range []string{customer, key, bodyHash} {
		_, _ = mac.Write([]byte(part))
		_, _ = mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// checkHandedOver sets HandedOver on the arrival of a request that a peer
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
	return nil
}

// handOver sends the request, which has not run, to a peer and relays the
// peer's response. It reports whether the request is complete: a request that
// did not reach the peer, or that the peer refused without running it, goes back
// to the core.
func (x *exchange) handOver(h *event.HandOver) bool {
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	resp, err := x.sendToPeer(ctx, h.Address)
	switch {
	case engine.NotStarted(err):
		x.postHandOverEnded(true, errkind.None)
		return false
	case err != nil:
		x.log.Info("hand-over failed", zap.String("peer", h.Address), zap.Error(err))
		x.postHandOverEnded(false, errkind.TargetFailed)
		x.refuse(&event.Refuse{Kind: x.lostHandOverKind(), Ran: errkind.RanUnknown})
		return true
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		x.relayPeerResponse(resp, resp.Body)
		return true
	}
	return x.relayPeerError(resp)
}

// lostHandOverKind returns the error kind for a request whose response from the
// peer was lost.
func (x *exchange) lostHandOverKind() errkind.Kind {
	if x.arrival.Idempotent {
		return errkind.TargetFailed
	}
	return errkind.OutcomeUnknown
}

func (x *exchange) postHandOverEnded(refused bool, kind errkind.Kind) {
	x.server.loop.Post(event.Event{HandOverEnded: &event.HandOverEnded{Request: x.arrival.Request, Refused: refused, Kind: kind}})
}

func (x *exchange) sendToPeer(ctx context.Context, address string) (*http.Response, error) {
	req, err := engine.NewRequest(ctx, x.r.Method, "http://"+address+x.r.URL.RequestURI(), x.body)
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
	return x.server.engine.Do(req)
}

// relayPeerError relays a peer's error response and returns true, unless the
// response states that the request was not run.
func (x *exchange) relayPeerError(resp *http.Response) bool {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorResponseBytes))
	var b apierror.Body
	known := err == nil && json.Unmarshal(raw, &b) == nil
	if known && b.Error.Ran == errkind.RanNo {
		x.postHandOverEnded(true, b.Error.Code)
		return false
	}
	x.relayPeerResponse(resp, bytes.NewReader(raw))
	return true
}

// relayPeerResponse relays a peer's response as it arrives. If the response is
// cut off, the connection to the caller is aborted as well.
func (x *exchange) relayPeerResponse(resp *http.Response, body io.Reader) {
	x.countResult(resultHandedOver)
	defer x.postHandOverEnded(false, errkind.None)
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
