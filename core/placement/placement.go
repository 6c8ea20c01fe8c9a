// Package placement chooses the target at which the least work precedes a
// request.
//
// It is made for prompts of very different lengths that share long parts, at
// engines that prefill prompts in chunks between the output tokens of other
// requests (chunked prefill). A long prompt delays every stream that runs beside
// it, so the load that counts is the number of prompt tokens to prefill. A part
// that an engine has cached is not prefilled again. Many instances choose
// concurrently, using load reports of each other that are a few hundred
// milliseconds old.
package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// runningTokens is the weight of a running request in prompt tokens: about
	// as many as an engine prefills in the time that the request's share of a
	// step takes.
	runningTokens = 300
	// prefillWeight is the weight of a token to prefill for this request,
	// relative to one that waits before it: prefilling it delays this request
	// and, at an engine that is busy half of the time, about as much work behind
	// it.
	prefillWeight = 2
	// sampleSize is the number of randomly drawn targets that are compared
	// besides those expected to have the prompt's shared parts cached.
	// Comparing all of them would send the requests of all instances to the
	// same target until the next report.
	sampleSize = 4
)

// Work is the outstanding work of a target.
type Work struct {
	// PrefillTokens is the number of prompt tokens that were sent to the target
	// and are not yet prefilled.
	PrefillTokens int64
	// Running is the number of requests, including those whose prompts are not
	// yet prefilled.
	Running int
}

// Add returns the sum of w and o.
func (w Work) Add(o Work) Work { return Work{w.PrefillTokens + o.PrefillTokens, w.Running + o.Running} }

// Tokens returns the work in prompt tokens.
func (w Work) Tokens() int64 { return w.PrefillTokens + int64(w.Running)*runningTokens }

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// Candidate is a target that may serve the request.
type Candidate struct {
	Name string
	Work Work
	// CachedTokens is the number of the prompt's tokens, counted from its
	// beginning, that this instance knows the target to have cached.
	CachedTokens int64
	// SameDataCentre is set for a target in this instance's data centre.
	SameDataCentre bool
}

// crossDataCentreTokens is the number of prompt tokens by which the cost of a
// target in another data centre must be lower to be worth the traffic between
// data centres.
const crossDataCentreTokens = 50

// Request is the request to be placed.
type Request struct {
	// Parts are the prompt's parts in order. The last one belongs to this
	// request alone.
	Parts []Part
	// LongPrompts is set while the service receives long prompts as well.
	LongPrompts bool
}

// total returns the length of the prompt in tokens.
func (r Request) total() int64 {
	var sum int64
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// shared returns the length in tokens of the parts that other requests have as
// well.
func (r Request) shared() int64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.total() - r.Parts[len(r.Parts)-1].Tokens
}

// Choose returns the index of the best candidate; there must be at least one.
func Choose(cs []Candidate, r Request, rng *rand.Rand) int {
	p := choice{cs: cs, r: r, preferred: r.preferredTargets(cs), reserved: r.reserved(cs)}
	best := p.preferred.first
	if best < 0 {
		best = rng.IntN(len(cs))
	}
	consider := func(i int) {
		if i >= 0 && p.cost(i) < p.cost(best) {
			best = i
		}
	}
	consider(p.preferred.second)
	if r.Long() {
		for _, i := range p.reserved {
			consider(i)
		}
	}
	if len(cs) <= sampleSize {
		for i := range cs {
			consider(i)
		}
		return best
	}
	for range sampleSize {
		consider(rng.IntN(len(cs)))
	}
	return best
}

// choice is the state of the choice for one request.
type choice struct {
	cs        []Candidate
	r         Request
	preferred preferredTargets
	// reserved lists the candidates that are reserved for long prompts.
	reserved []int
}

// preferredTargets are the two targets that should have the last shared part
// cached, chosen by rendezvous hashing, so that all instances agree on them
// without communication. The second one gets the requests for which the first
// has no room. An index is -1 if there is no such target.
type preferredTargets struct{ first, second int }

func (r Request) preferredTargets(cs []Candidate) preferredTargets {
	preferred := preferredTargets{-1, -1}
	if r.shared() == 0 {
		return preferred
	}
	key := r.Parts[len(r.Parts)-2].ID
	var most, next uint64
	for i, c := range cs {
		switch s := score(key, c.Name); {
		case preferred.first < 0 || s > most:
			preferred.second, next = preferred.first, most
			preferred.first, most = i, s
		case preferred.second < 0 || s > next:
			preferred.second, next = i, s
		}
	}
	return preferred
}

// cachedTokens returns how much of the prompt a candidate probably has cached,
// in tokens.
func (r Request) cachedTokens(cs []Candidate, i int, preferred preferredTargets) int64 {
	switch i {
	case preferred.first:
		return max(cs[i].CachedTokens, r.shared())
	case preferred.second:
		return max(cs[i].CachedTokens, r.shared()/2)
	}
	return cs[i].CachedTokens
}

// cost returns the work before the request's first token plus the delay caused
// to other requests, in prompt tokens.
func (p choice) cost(i int) int64 {
	c := p.cs[i]
	prefillTokens := p.r.total() - p.r.cachedTokens(p.cs, i, p.preferred)
	cost := c.Work.Tokens() + prefillWeight*prefillTokens
	if !c.SameDataCentre {
		cost += crossDataCentreTokens
	}
	return cost + p.longCost(i, prefillTokens)
}

// score returns the rendezvous hash of a part and a target.
func score(part uint64, target string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], part)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(target)
	return h.Sum64()
}
