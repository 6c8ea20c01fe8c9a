// Package placement chooses the target at which a request has the least work in
// front of it.
//
// It answers this load: prompts of very different lengths of which long parts
// are shared, at engines that read prompts in chunks between the tokens of
// other requests. A long prompt delays every stream that runs beside it, so
// that the tokens that wait to be read are the load that counts. A part that
// an engine has kept is not read again. Many instances choose at the same time
// by reports of each other that are a few hundred milliseconds old.
package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	// runningTokens is the weight of a running request in prompt tokens: about
	// the time that its share of a step takes, at the speed at which an engine
	// reads a prompt.
	runningTokens = 300
	// readWeight is the weight of a token that must be read against one that
	// waits before it: reading it delays this request and, at an engine that is
	// busy half of the time, about as much work that comes behind it.
	readWeight = 2
	// sampled is the number of targets, drawn at random, that are compared beside
	// the one that keeps the prompt's shared parts. Comparing all of them would
	// send the requests of all instances to the same target until the next report.
	sampled = 4
)

// Work is what a target has to do.
type Work struct {
	// Unread is the number of prompt tokens that were sent and not yet read.
	Unread int64
	// Running is the number of requests, those with unread prompts included.
	Running int
}

// Add returns the sum of two loads.
func (w Work) Add(o Work) Work { return Work{w.Unread + o.Unread, w.Running + o.Running} }

// Tokens is the load in prompt tokens.
func (w Work) Tokens() int64 { return w.Unread + int64(w.Running)*runningTokens }

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// Candidate is a target that may take the request.
type Candidate struct {
	Name string
	Work Work
	// CachedTokens is the number of the prompt's tokens, from its beginning on, that this
	// instance knows the target to keep.
	CachedTokens int64
	// SameDataCentre is set for a target in this instance's data centre.
	SameDataCentre bool
}

// farTokens is what a target in another data centre must have less to do, to be
// worth the traffic between data centres.
const farTokens = 50

// Request is what is placed.
type Request struct {
	// Parts are the prompt's parts in order. The last one is the request's own.
	Parts []Part
	// LongPrompts is set while the service gets long prompts, too.
	LongPrompts bool
}

// total is the length of the prompt.
func (r Request) total() int64 {
	var sum int64
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// shared is the length of the parts that other requests have too.
func (r Request) shared() int64 {
	if len(r.Parts) < 2 {
		return 0
	}
	return r.total() - r.Parts[len(r.Parts)-1].Tokens
}

// Choose returns the index of the best of the candidates, of which there is at
// least one.
func Choose(cs []Candidate, r Request, rng *rand.Rand) int {
	p := placing{cs: cs, r: r, homes: r.homes(cs), apart: r.apart(cs)}
	best := p.homes.first
	if best < 0 {
		best = rng.IntN(len(cs))
	}
	consider := func(i int) {
		if i >= 0 && p.cost(i) < p.cost(best) {
			best = i
		}
	}
	consider(p.homes.second)
	if r.Long() {
		for _, i := range p.apart {
			consider(i)
		}
	}
	if len(cs) <= sampled {
		for i := range cs {
			consider(i)
		}
		return best
	}
	for range sampled {
		consider(rng.IntN(len(cs)))
	}
	return best
}

// placing is the choice for one request.
type placing struct {
	cs    []Candidate
	r     Request
	homes homes
	// apart are the candidates that are kept for long prompts.
	apart []int
}

// homes are the targets that keep the last shared part, by rendezvous hashing:
// all instances agree on them without a message. The second takes what the first
// has no room for. They are -1 if there is none.
type homes struct{ first, second int }

func (r Request) homes(cs []Candidate) homes {
	h := homes{-1, -1}
	if r.shared() == 0 {
		return h
	}
	key := r.Parts[len(r.Parts)-2].ID
	var most, next uint64
	for i, c := range cs {
		switch s := score(key, c.Name); {
		case h.first < 0 || s > most:
			h.second, next = h.first, most
			h.first, most = i, s
		case h.second < 0 || s > next:
			h.second, next = i, s
		}
	}
	return h
}

// kept is how much of the prompt a candidate probably keeps, in tokens.
func (r Request) kept(cs []Candidate, i int, h homes) int64 {
	switch i {
	case h.first:
		return max(cs[i].CachedTokens, r.shared())
	case h.second:
		return max(cs[i].CachedTokens, r.shared()/2)
	}
	return cs[i].CachedTokens
}

// cost is the work before the request's first token and the harm to others, in
// prompt tokens.
func (p placing) cost(i int) int64 {
	c := p.cs[i]
	unread := p.r.total() - p.r.kept(p.cs, i, p.homes)
	cost := c.Work.Tokens() + readWeight*unread
	if !c.SameDataCentre {
		cost += farTokens
	}
	return cost + p.longCost(i, unread)
}

// score is the rendezvous hash of a part and a target.
func score(part uint64, target string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], part)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(target)
	return h.Sum64()
}
