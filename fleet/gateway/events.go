package gateway

import "strconv"

// events counts the events of a stream (text/event-stream) that passed.
type events struct {
	// count is the number of events, begun or whole.
	count int
	// within is set inside of an event, blank at the start of a line.
	within bool
	blank  bool
}

// add takes the next bytes of the stream. An event counts from its first byte
// on, since a part of it may hold tokens.
func (e *events) add(part []byte) {
	for _, b := range part {
		switch {
		case b == '\r':
		case b == '\n':
			if e.blank {
				e.within = false
			}
			e.blank = true
		default:
			if !e.within {
				e.within = true
				e.count++
			}
			e.blank = false
		}
	}
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
