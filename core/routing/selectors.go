package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

const perMille = 1000

// leastLoaded selects the candidate with the lowest load.
type leastLoaded struct{}

func (leastLoaded) Select(cs []Candidate, _ Query) int {
	best := 0
	for i, c := range cs {
		if lessLoaded(c, cs[best]) {
			best = i
		}
	}
	return best
}

// powerOfTwo selects the less loaded of two random candidates.
type powerOfTwo struct{}

func (powerOfTwo) Select(cs []Candidate, q Query) int {
	i, j := q.Rng.IntN(len(cs)), q.Rng.IntN(len(cs))
	if lessLoaded(cs[j], cs[i]) {
		return j
	}
	return i
}

// roundRobin selects the candidates in turn.
type roundRobin struct{ next int }

func (r *roundRobin) Select(cs []Candidate, _ Query) int {
	r.next++
	return r.next % len(cs)
}

// affinity selects, among the candidates whose load is below a bound, the one
// that has the most of the prompt cached; then one in this data centre; then
// the one with the highest rendezvous score for the prompt's first prefix.
type affinity struct{ boundPerMille int64 }

func (a affinity) Select(cs []Candidate, q Query) int {
	key := q.RequestHash
	if len(q.PrefixHashes) > 0 {
		key = q.PrefixHashes[0]
	}
	bound := a.bound(cs)
	best := -1
	for i, c := range cs {
		if c.load() < bound && (best < 0 || closer(c, cs[best], key)) {
			best = i
		}
	}
	if best < 0 {
		return leastLoaded{}.Select(cs, q)
	}
	return best
}

// closer reports whether a has more affinity to a prompt than b.
func closer(a, b Candidate, key uint64) bool {
	if a.Match != b.Match {
		return a.Match > b.Match
	}
	if a.SameDataCentre != b.SameDataCentre {
		return a.SameDataCentre
	}
	return score(key, a.Name) > score(key, b.Name)
}

// bound returns the load from which a candidate is skipped.
func (a affinity) bound(cs []Candidate) float64 {
	total := 1.0
	for _, c := range cs {
		total += c.load()
	}
	mean := total / float64(len(cs))
	return math.Ceil(mean * float64(a.boundPerMille) / perMille)
}

// score returns the rendezvous hash of a key and a candidate.
func score(key uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}
