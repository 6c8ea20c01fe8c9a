package gateway

import (
	"bytes"
	"strconv"
)

// eventBuffer parses a stream of server-sent events (text/event-stream). It
// holds back an incomplete event, so that the data sent to the caller always
// ends between two events.
type eventBuffer struct {
	// count is the number of complete events; lastID is the ID of the latest
	// one that has an ID.
	count  int
	lastID string
	// partial is the beginning of an event that is not yet complete.
	partial []byte
}

var (
	blankLine = []byte("\n\n")
	blankCRLF = []byte("\r\n\r\n")
	fieldID   = []byte("id:")
)

// add appends the next bytes of the stream and returns the data up to the end
// of the last complete event. The result is the caller's.
func (e *eventBuffer) add(chunk []byte) []byte {
	e.partial = append(e.partial, chunk...)
	end := completeLength(e.partial)
	if end == 0 {
		return nil
	}
	complete := e.partial[:end:end]
	e.partial = bytes.Clone(e.partial[end:])
	e.scan(complete)
	return complete
}

// continues reports whether the next bytes of a stream, a complete event at least, go
// on after the event with an ID: with an event that has an ID itself, a later one where
// both are numbers.
func continues(complete []byte, after string) bool {
	next := eventBuffer{}
	next.scan(complete[:firstEventLength(complete)])
	last, errLast := strconv.ParseInt(after, 10, 64)
	id, errID := strconv.ParseInt(next.lastID, 10, 64)
	if errLast != nil || errID != nil {
		return next.lastID != "" && next.lastID != after
	}
	return id > last
}

// firstEventLength returns the length of the first complete event of b.
func firstEventLength(b []byte) int {
	end := len(b)
	for _, blank := range [][]byte{blankLine, blankCRLF} {
		if i := bytes.Index(b, blank); i >= 0 {
			end = min(end, i+len(blank))
		}
	}
	return end
}

// completeLength returns the length of the complete events at the beginning of
// b.
func completeLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		end = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankCRLF); i >= 0 {
		end = max(end, i+len(blankCRLF))
	}
	return end
}

// scan counts complete events and records the last ID.
func (e *eventBuffer) scan(complete []byte) {
	inEvent := false
	for line := range bytes.Lines(complete) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if inEvent {
				e.count++
			}
			inEvent = false
			continue
		}
		inEvent = true
		if id, ok := bytes.CutPrefix(line, fieldID); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// startedCount returns the number of events, including a partial one, since a
// partial event may already contain tokens.
func (e *eventBuffer) startedCount() int {
	if len(bytes.TrimSpace(e.partial)) > 0 {
		return e.count + 1
	}
	return e.count
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
