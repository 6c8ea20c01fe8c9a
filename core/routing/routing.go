// Package routing chooses a target for an attempt.
package routing

import (
	"math"
	"math/rand/v2"

	"plantainfield.example/core/config"
)

// Candidate is a target that may serve the attempt.
type Candidate struct {
	Name string
	// InFlight is the number of this instance's own attempts at the target.
	InFlight int
	// OtherLoad is the estimated load of other instances.
	OtherLoad float64
	// Match is the number of the prompt's prefixes that the target has cached.
	Match int
	// SameDataCentre is set for a target in this instance's data centre.
	SameDataCentre bool
}

func (c Candidate) load() float64 { return float64(c.InFlight) + c.OtherLoad }

// loadTolerance is the difference up to which two loads count as equal, so that
// the data centre decides.
const loadTolerance = 0.5

// lessLoaded reports whether a should get the attempt rather than b, by load,
// or by data centre if their loads count as equal.
func lessLoaded(a, b Candidate) bool {
	difference := a.load() - b.load()
	if a.SameDataCentre != b.SameDataCentre && math.Abs(difference) <= loadTolerance {
		return a.SameDataCentre
	}
	return difference < 0
}

// Query holds what a selector may consider besides the candidates.
type Query struct {
	// PrefixHashes identify prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// RequestHash is the request's stable hash.
	RequestHash uint64
	Rng         *rand.Rand
}

// Selector chooses one of the candidates and returns its index. There is at
// least one candidate, and they are sorted by name.
type Selector interface {
	Select(candidates []Candidate, q Query) int
}

// New returns the selector for a policy.
func New(p config.RoutingPolicy) Selector {
	switch p.Policy {
	case config.RoutingRoundRobin:
		return &roundRobin{}
	case config.RoutingPowerOfTwo:
		return powerOfTwo{}
	case config.RoutingLeastLoaded:
		return leastLoaded{}
	default:
		return affinity{boundPerMille: p.LoadBoundPerMille}
	}
}
