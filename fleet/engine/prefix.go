package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of the prompt blocks that are hashed, in bytes.
	PrefixBlockBytes = 1024
	maxPrefixHashes  = 64
)

// PrefixHashes hashes growing prefixes of a prompt's messages, shortest first:
// one hash for each whole block, or one of all if the prompt is shorter.
func PrefixHashes(messages []json.RawMessage) []uint64 {
	h := xxhash.New()
	var hashes []uint64
	filled := 0
	for _, m := range messages {
		for len(m) > 0 && len(hashes) < maxPrefixHashes {
			n := min(PrefixBlockBytes-filled, len(m))
			_, _ = h.Write(m[:n])
			m = m[n:]
			filled += n
			if filled == PrefixBlockBytes {
				hashes = append(hashes, h.Sum64())
				filled = 0
			}
		}
	}
	if len(hashes) == 0 {
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}
