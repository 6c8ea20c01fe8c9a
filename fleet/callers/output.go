package callers

import (
	"net/http"
	"time"
)

// output writes one response to its caller. If the caller leaves data unread
// for longer than the write timeout, the next write fails. An output is used by
// one goroutine at a time.
type output struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
	// eventBuffer is a reusable buffer for one SSE event.
	eventBuffer []byte
	// unflushed is set while written data may not have been flushed.
	unflushed bool
	// headerSent is set once a byte of the response may have reached the
	// caller.
	headerSent bool
	// writeErr is the first write error.
	writeErr error
}

func newOutput(w http.ResponseWriter, timeout time.Duration) output {
	return output{w: w, controller: http.NewResponseController(w), writeTimeout: timeout}
}

// deadlineExtendDivisor sets the part of the write timeout that must pass before
// the deadline is extended again: one quarter. A caller thus has at least the
// remaining three quarters of the timeout to read.
const deadlineExtendDivisor = 4

// extendDeadline sets the write deadline to one write timeout from now, unless
// it was extended recently.
func (o *output) extendDeadline() {
	now := time.Now()
	if now.Sub(o.deadlineSetAt) < o.writeTimeout/deadlineExtendDivisor {
		return
	}
	o.deadlineSetAt = now
	_ = o.controller.SetWriteDeadline(now.Add(o.writeTimeout))
}

// startStream sends the header of a streamed response. Further calls have no
// effect.
func (o *output) startStream() {
	if o.headerSent {
		return
	}
	o.headerSent = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one SSE event. After a failed write it does nothing.
func (o *output) writeEvent(data []byte) {
	if o.writeErr != nil {
		return
	}
	o.extendDeadline()
	o.eventBuffer = append(o.eventBuffer[:0], "data: "...)
	o.eventBuffer = append(o.eventBuffer, data...)
	o.eventBuffer = append(o.eventBuffer, "\n\n"...)
	o.unflushed = true
	_, o.writeErr = o.w.Write(o.eventBuffer)
}

// writeChunk writes part of a response unchanged. After a failed write it does
// nothing.
func (o *output) writeChunk(chunk []byte) {
	if o.writeErr != nil {
		return
	}
	o.extendDeadline()
	o.unflushed = true
	_, o.writeErr = o.w.Write(chunk)
}

// flush sends buffered data to the caller.
func (o *output) flush() {
	if o.writeErr == nil && o.unflushed {
		o.unflushed = false
		o.writeErr = o.controller.Flush()
	}
}

// writeResponse sends a complete response that is not streamed.
func (o *output) writeResponse(status int, contentType string, body []byte) {
	o.headerSent = true
	o.extendDeadline()
	o.w.Header().Set("Content-Type", contentType)
	o.w.WriteHeader(status)
	_, o.writeErr = o.w.Write(body)
}
