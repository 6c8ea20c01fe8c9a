package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
)

// TestBudgetBoundsRetries requests retries at random. They must not exceed the
// share of first attempts, or the reserve if that is more.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := Policy{RetryPolicy: config.Defaults().Policies.Retries, Reserve: rapid.Int64Range(0, DefaultReserve).Draw(rt, "reserve")}
		p.BudgetPerMille = rapid.Int64Range(0, perMille).Draw(rt, "share")
		b := NewBudget()
		var first, retries int64
		for range rapid.IntRange(1, 300).Draw(rt, "rounds") {
			for range rapid.IntRange(0, 50).Draw(rt, "first") {
				b.Deposit(p)
				first++
			}
			for range rapid.IntRange(0, 20).Draw(rt, "asked") {
				if b.TryWithdraw(p) {
					retries++
				}
			}
			if allowed := max(p.Reserve, first*p.BudgetPerMille/perMille); retries > allowed {
				rt.Fatalf("%d retries for %d first attempts, at most %d allowed", retries, first, allowed)
			}
		}
	})
}

func TestDelayIsExponentialWithJitter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := config.RetryPolicy{BaseDelayMillis: rapid.Int64Range(1, 10_000).Draw(rt, "base")}
		earlier := rapid.IntRange(0, 40).Draw(rt, "earlier retries")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		full := min(maxDelay, time.Duration(p.BaseDelayMillis)*time.Millisecond<<min(earlier, 10))
		seen := map[time.Duration]bool{}
		for range 50 {
			d := Delay(p, earlier, rng)
			if d < full/2 || d > full {
				rt.Fatalf("delay %v, want %v to %v", d, full/2, full)
			}
			seen[d] = true
		}
		if len(seen) < 10 {
			rt.Fatalf("only %d different delays of 50", len(seen))
		}
	})
}
