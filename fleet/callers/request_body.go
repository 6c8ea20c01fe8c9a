package callers

import (
	"io"
	"net/http"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/settings"
)

// maxDrainedBytes bounds how much of an oversized body is read and discarded.
// Without draining, a client that reads the response only after sending the
// whole body would see a connection reset.
const maxDrainedBytes = 64 << 20

// readBody reads the request body within the limits on size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(settings.Millis(s.limits.ReadTimeoutMillis)))
	limit := int64(s.limits.MaxBodyBytes)
	if r.ContentLength > limit && r.Header.Get("Expect") != "" {
		// The client is waiting for "100 Continue" before it sends the body.
		w.Header().Set("Connection", "close")
		return nil, apierror.New(errkind.BodyTooLarge, "")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, apierror.ReadError(err)
	}
	if int64(len(body)) > limit {
		w.Header().Set("Connection", "close")
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainedBytes)
		return nil, apierror.New(errkind.BodyTooLarge, "")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}
