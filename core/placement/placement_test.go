package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func candidates(count int) []Candidate {
	var cs []Candidate
	for i := range count {
		cs = append(cs, Candidate{Name: fmt.Sprintf("t%02d", i)})
	}
	return cs
}

func prompt(shared uint64, tokens int64) Request {
	return Request{Parts: []Part{{ID: 1, Tokens: 500}, {ID: shared, Tokens: tokens}, {ID: shared + 1_000_000, Tokens: 600}}}
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	Convey("Requests with the same shared part go to the same target while it has no more work than others", t, func() {
		cs := candidates(18)
		first := Choose(cs, prompt(7, 5000), rng)
		for range 100 {
			So(Choose(cs, prompt(7, 5000), rng), ShouldEqual, first)
		}
	})
	Convey("a target with many tokens to prefill is skipped in favour of the second preferred target", t, func() {
		cs := candidates(18)
		first := Choose(cs, prompt(7, 5000), rng)
		cs[first].Work.PrefillTokens = 50_000
		second := Choose(cs, prompt(7, 5000), rng)
		So(second, ShouldNotEqual, first)
		for range 100 {
			So(Choose(cs, prompt(7, 5000), rng), ShouldEqual, second)
		}
	})
	Convey("a prompt without shared parts goes to the target with less work", t, func() {
		cs := candidates(2)
		cs[0].Work.PrefillTokens = 1000
		chosen := 0
		for range 100 {
			chosen += Choose(cs, Request{Parts: []Part{{ID: 9, Tokens: 100}}}, rng)
		}
		So(chosen, ShouldBeGreaterThan, 90)
	})
	Convey("a request without a prompt is placed too", t, func() {
		So(Choose(candidates(1), Request{}, rng), ShouldEqual, 0)
	})
}

// simulateRounds simulates requests that arrive at several instances with simulateRounds
// reports of each other that are one round old. It returns the number of shared
// tokens that were prefilled and the prefilled tokens of the busiest target, in
// per cent of the mean.
func simulateRounds(choose func(cs []Candidate, r Request, rng *rand.Rand) int) (sharedPrefill, busiest int64) {
	const targets, rounds, perRound = 18, 60, 16
	rng := rand.New(rand.NewPCG(3, 4))
	cached := map[string]bool{}
	work := make([]int64, targets)
	total := make([]int64, targets)
	var sum int64
	for range rounds {
		seen := candidates(targets)
		for i := range seen {
			work[i] = max(0, work[i]-3*perRound*300) // what a target prefills between two reports
			seen[i].Work.PrefillTokens = work[i]
		}
		for range perRound {
			r := prompt(uint64(rng.IntN(167))+2, 4900)
			i := choose(seen, r, rng)
			key := fmt.Sprint(i, r.Parts[1].ID)
			prefill := r.total()
			if cached[key] {
				prefill -= r.shared()
			} else {
				sharedPrefill += r.shared()
			}
			cached[key] = true
			work[i] += prefill
			total[i] += prefill
			sum += prefill
		}
	}
	for _, n := range total {
		busiest = max(busiest, n*100*targets/sum)
	}
	return sharedPrefill, busiest
}

// TestChooseReusesLongSharedParts compares Choose with random placement under
// the load that the package is made for: with Choose, at most half as many
// shared tokens are prefilled, and no target gets more than twice its share.
func TestChooseReusesLongSharedParts(t *testing.T) {
	atRandom := func(cs []Candidate, _ Request, rng *rand.Rand) int { return rng.IntN(len(cs)) }
	sharedPrefillAtRandom, busiestAtRandom := simulateRounds(atRandom)
	sharedPrefill, busiest := simulateRounds(Choose)
	t.Logf("shared tokens prefilled: %d with random placement, %d with Choose; busiest target: %d and %d per cent of the mean", sharedPrefillAtRandom, sharedPrefill, busiestAtRandom, busiest)
	if 2*sharedPrefill > sharedPrefillAtRandom {
		t.Errorf("%d shared tokens prefilled, more than half of %d", sharedPrefill, sharedPrefillAtRandom)
	}
	if busiest > 200 {
		t.Errorf("the busiest target got %d per cent of the mean", busiest)
	}
}

func TestChooseIsInRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := candidates(rapid.IntRange(1, 30).Draw(rt, "targets"))
		for i := range cs {
			cs[i].Work = Work{PrefillTokens: rapid.Int64Range(0, 1<<20).Draw(rt, "prefillTokens"), Running: rapid.IntRange(0, 99).Draw(rt, "running")}
		}
		var r Request
		for i := range rapid.IntRange(0, 4).Draw(rt, "parts") {
			r.Parts = append(r.Parts, Part{ID: uint64(i), Tokens: rapid.Int64Range(0, 9999).Draw(rt, "tokens")})
		}
		if i := Choose(cs, r, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed")))); i < 0 || i >= len(cs) {
			rt.Fatalf("chose %d of %d", i, len(cs))
		}
	})
}
