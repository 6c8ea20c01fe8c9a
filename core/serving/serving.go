// Package serving chooses the instances of a fleet that serve callers. The
// number of instances that hold parts of the budgets thus follows the load
// instead of the size of the fleet.
package serving

import (
	"cmp"
	"math"
	"slices"
)

const (
	// smallFleet is the size up to which all instances serve callers.
	smallFleet = 12
	// minInstances is the smallest number of instances that serve callers in a
	// larger fleet.
	minInstances = 4
	// spareRatio is the number of chosen instances per further one that is there
	// for losses.
	spareRatio = 2
	// minDemandDivisor makes Choose assume that the callers of a large fleet need
	// at least this part of its capacity.
	minDemandDivisor = 6
)

// Candidate is an instance that can serve callers.
type Candidate struct {
	Name string
	// Capacity is the number of callers' requests per second that the instance is
	// sized for; 0 if it is unknown.
	Capacity float64
	// Rank orders candidates of the same capacity; the largest goes first.
	Rank uint64
}

// Choose returns the candidates that serve callers, in order of preference.
// Callers spread evenly, so it chooses the smallest number for which an equal
// share of the demand, in requests per second, is within the capacity of each,
// preferring those with the largest capacity, and adds some for losses. If a
// capacity is unknown, all candidates serve.
func Choose(candidates []Candidate, demand float64) []Candidate {
	order := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Name, b.Name))
	})
	if len(order) <= smallFleet || order[len(order)-1].Capacity <= 0 {
		return order
	}
	total := 0.0
	for _, c := range order {
		total += c.Capacity
	}
	demand = max(demand, total/minDemandDivisor)
	for k := minInstances; k < len(order); k++ {
		if demand/float64(k) <= order[k-1].Capacity {
			return order[:withSpares(order, k)]
		}
	}
	return order
}

// withSpares returns the number of instances that serve if k can carry the
// demand. Spares have at least the capacity of the others: callers don't send
// them fewer requests.
func withSpares(order []Candidate, k int) int {
	end := min(len(order), k+int(math.Ceil(float64(k)/spareRatio)))
	for k < end && order[k].Capacity >= order[k-1].Capacity {
		k++
	}
	return k
}
