// Package backoff computes delays that grow with each failure. Its functions have a
// result for all arguments: counts and durations may come from a configuration or from
// what other processes sent.
package backoff

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds how often a delay is doubled.
const maxDoublings = 10

// Exponential returns base doubled for each of a number of failures, at most limit. A
// negative number of failures counts as none, a negative duration as 0.
func Exponential(base, limit time.Duration, failures int) time.Duration {
	limit = max(limit, 0)
	d := min(max(base, 0), limit)
	for range min(failures, maxDoublings) {
		if d > limit/2 {
			return limit
		}
		d *= 2
	}
	return d
}

// Jittered returns a random duration between half of d and d.
func Jittered(d time.Duration, rng *rand.Rand) time.Duration {
	half := max(d, 0) / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}

// Below returns a random duration of at least 0 that is less than limit, or 0 if there is
// none.
func Below(limit time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(max(limit, 1))))
}
