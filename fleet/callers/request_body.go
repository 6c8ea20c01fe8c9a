package callers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/settings"
)

// maxDrainedBytes bounds how much of an oversized body is read and discarded, and
// maxDrainTime for how long. Without draining, a client that reads the response only
// after sending the whole body would see a connection reset.
const (
	maxDrainedBytes = 64 << 20
	maxDrainTime    = time.Second
)

// readBody reads the request body within the limits on size, time and memory. copies is
// how often the body is held at most.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, copies int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(settings.Millis(s.limits.ReadTimeoutMillis)))
	limit := int64(s.limits.MaxBodyBytes)
	if r.ContentLength > limit && r.Header.Get("Expect") != "" {
		// The client is waiting for "100 Continue" before it sends the body.
		w.Header().Set("Connection", "close")
		return nil, apierror.New(errkind.BodyTooLarge, "")
	}
	conn, err := clientconn.OfRequest(r)
	if err != nil {
		return nil, err
	}
	body, err := s.readLimited(conn, r, limit, copies)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	conn.SetClosing()
	if errors.Is(err, errBodyTooLarge) {
		_ = controller.SetReadDeadline(time.Now().Add(maxDrainTime))
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainedBytes)
		return nil, apierror.New(errkind.BodyTooLarge, "")
	}
	if errors.Is(err, clientconn.ErrNoMemory) {
		return nil, apierror.New(errkind.MemoryExhausted, "")
	}
	return nil, apierror.ReadError(err)
}

// errBodyTooLarge reports a body over the limit.
var errBodyTooLarge = errors.New("the body is over the limit")

// readLimited reads a body up to a limit.
func (s *Server) readLimited(conn *clientconn.Conn, r *http.Request, limit, copies int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	blocks, err := conn.ReadBody(io.LimitReader(r.Body, limit+1), r.ContentLength, copies)
	if err != nil {
		return nil, err
	}
	body := bytes.Join(blocks, nil)
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, nil
}
