package relay

import (
	"bytes"
	"slices"
)

// Rewriter returns the addresses to replace in the bytes that the upstream sends,
// with their replacements. It is called for each chunk.
type Rewriter func() []Replacement

// Replacement replaces Old by New. Both must have the same length, so that length
// fields such as Content-Length stay correct.
type Replacement struct{ Old, New string }

// apply replaces all occurrences in data and returns the bytes that can be sent.
// A suffix that may be the beginning of a text to replace is returned as pending;
// the caller prepends it to the next chunk.
func (w Rewriter) apply(data []byte) (send, pending []byte) {
	replacements := w()
	keep := 0
	for _, p := range replacements {
		data = bytes.ReplaceAll(data, []byte(p.Old), []byte(p.New))
		keep = max(keep, partialMatch(data, []byte(p.Old)))
	}
	cut := len(data) - keep
	return data[:cut], slices.Clone(data[cut:])
}

// partialMatch returns the length of the longest suffix of data that is a proper
// prefix of text.
func partialMatch(data, text []byte) int {
	for n := min(len(data), len(text)-1); n > 0; n-- {
		if bytes.HasSuffix(data, text[:n]) {
			return n
		}
	}
	return 0
}
