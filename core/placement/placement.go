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
	// Kept is the number of the prompt's tokens, from its beginning on, that this
	// instance knows the target to keep.
	Kept int64
	// Near is set for a target in this instance's data centre.
	Near bool
}

// farTokens is what a target in another data centre must have less to do, to be
// worth the traffic between data centres.
const farTokens = 50

// Request is what is placed.
type Request struct {
	// Parts are the prompt's parts in order. The last one is the request's own.
	Parts []Part
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
	home := r.home(cs)
	best := home
	if best < 0 {
		best = rng.IntN(len(cs))
	}
	for range min(sampled, len(cs)-1) {
		i := rng.IntN(len(cs))
		if r.cost(cs, i, home) < r.cost(cs, best, home) {
			best = i
		}
	}
	return best
}

// home is the target that keeps the last shared part, by rendezvous hashing: all
// instances agree on it without a message. It is -1 if the prompt shares nothing.
func (r Request) home(cs []Candidate) int {
	if r.shared() == 0 {
		return -1
	}
	key := r.Parts[len(r.Parts)-2].ID
	best, most := 0, uint64(0)
	for i, c := range cs {
		if s := score(key, c.Name); i == 0 || s > most {
			best, most = i, s
		}
	}
	return best
}

// cost is the work before the request's first token and the harm to others, in
// prompt tokens.
func (r Request) cost(cs []Candidate, i, home int) int64 {
	c := cs[i]
	kept := c.Kept
	if i == home {
		kept = max(kept, r.shared())
	}
	cost := c.Work.Tokens() + r.total() - kept
	if !c.Near {
		cost += farTokens
	}
	return cost
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
