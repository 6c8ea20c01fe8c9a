package gateway

import (
	"bytes"
	"strconv"
)

// events follows a stream of events (text/event-stream) and holds back the
// part of an event that has not yet come whole, so that what the caller has
// always ends between two events.
type events struct {
	// count is the number of whole events; last is the id of the latest one.
	count int
	last  string
	// tail is the beginning of an event that is not yet whole.
	tail []byte
}

var (
	blankLine = []byte("\n\n")
	blankCRLF = []byte("\r\n\r\n")
	fieldID   = []byte("id:")
)

// add takes the next bytes of the stream and returns those up to the end of the
// last whole event. They are valid until the next call.
func (e *events) add(part []byte) []byte {
	e.tail = append(e.tail, part...)
	end := endOfEvents(e.tail)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.tail[:end])
	e.tail = append(e.tail[:0], e.tail[end:]...)
	e.note(whole)
	return whole
}

// endOfEvents is the length of the whole events at the beginning of b.
func endOfEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		end = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankCRLF); i >= 0 {
		end = max(end, i+len(blankCRLF))
	}
	return end
}

// note counts whole events and keeps the last id.
func (e *events) note(whole []byte) {
	within := false
	for line := range bytes.Lines(whole) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if within {
				e.count++
			}
			within = false
			continue
		}
		within = true
		if id, ok := bytes.CutPrefix(line, fieldID); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// begun is the number of events, with one that is not yet whole: a part of it
// may hold tokens.
func (e *events) begun() int {
	if len(bytes.TrimSpace(e.tail)) > 0 {
		return e.count + 1
	}
	return e.count
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
