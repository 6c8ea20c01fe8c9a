// Package routing chooses a target for an attempt.
package routing

import (
	"math"
	"math/rand/v2"

	"plantainfield.example/core/config"
)

// Candidate is a target that may take the attempt.
type Candidate struct {
	Name string
	// InFlight is this instance's own count of attempts at the target.
	InFlight int
	// OtherLoad is the estimated load of other instances.
	OtherLoad float64
	// Match is the number of the prompt's prefixes that the target has cached.
	Match int
	// SameDataCentre is set for a target in this instance's data centre.
	SameDataCentre bool
}

func (c Candidate) load() float64 { return float64(c.InFlight) + c.OtherLoad }

// alike is the difference of loads below which data centres decide.
const alike = 0.5

// lighter tells whether a should get the attempt rather than b, by load, or
// by data centre if their loads are alike.
func lighter(a, b Candidate) bool {
	difference := a.load() - b.load()
	if a.SameDataCentre != b.SameDataCentre && math.Abs(difference) <= alike {
		return a.SameDataCentre
	}
	return difference < 0
}

// Query is what a selector may look at besides the candidates.
type Query struct {
	// PrefixHashes identify growing prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// RequestHash is the request's stable hash.
	RequestHash uint64
	Rng         *rand.Rand
}

// Selector chooses the index of one of the candidates, of which there is at
// least one, in name order.
type Selector interface {
	Select(candidates []Candidate, q Query) int
}

// New returns the selector that a policy names.
func New(p config.RoutingPolicy) Selector {
	switch p.Policy {
	case config.RouteRoundRobin:
		return &roundRobin{}
	case config.RoutePowerOfTwo:
		return powerOfTwo{}
	case config.RouteLeastLoaded:
		return leastLoaded{}
	default:
		return affinity{boundPerMille: p.LoadBoundPerMille}
	}
}
