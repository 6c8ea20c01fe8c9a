package limit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/config"
)

// TestLimitMeetsTheGoal keeps a target as full as its limit allows. The
// target's latency rises with the attempts in flight and varies by up to a
// tenth.
func TestLimitMeetsTheGoal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := config.Defaults().Policies.Limits
		goal := time.Duration(p.FirstTokenTargetMillis) * time.Millisecond
		feasible := rapid.IntRange(2, 60).Draw(rt, "feasible") // attempts that meet the goal even at the highest latency
		perAttempt := goal * 10 / 11 / time.Duration(feasible)
		noise := rapid.SliceOfN(rapid.IntRange(-100, 100), 97, 97).Draw(rt, "noise")
		l := New()
		const samples = 20_000
		over, sum := 0, 0
		for i := range samples {
			inFlight := l.Limit(p)
			l.ObserveStart(p, inFlight)
			took := perAttempt * time.Duration(inFlight) * time.Duration(1000+noise[i%len(noise)]) / 1000
			l.ObserveFirstToken(p, took)
			if i < samples/4 {
				continue // the time that the limiter gets to find the limit
			}
			sum += inFlight
			if took > goal {
				over++
			}
		}
		counted := samples * 3 / 4
		if over*100 > counted*5 {
			rt.Fatalf("%d of %d over the goal", over, counted)
		}
		if mean := sum / counted; mean*10 < feasible*7 || mean > feasible*13/10+1 {
			rt.Fatalf("mean limit %d, but %d attempts meet the goal", mean, feasible)
		}
	})
}

func TestFixedLimitAndUnusedLimit(t *testing.T) {
	p := config.Defaults().Policies.Limits
	l := New()
	for range 10 * window {
		l.ObserveFirstToken(p, time.Millisecond) // never in full use
	}
	if got := l.Limit(p); got != initial {
		t.Errorf("a limit that was not in full use changed to %d", got)
	}
	p.Policy, p.MaxConcurrencyPerTarget = config.LimitFixed, 3
	if got := l.Limit(p); got != 3 {
		t.Errorf("fixed limit %d, want 3", got)
	}
}

func TestLimitIncreasesBeforeAttemptsEnd(t *testing.T) {
	Convey("First tokens within the goal raise the limit to its maximum before any attempt has ended", t, func() {
		p := config.Defaults().Policies.Limits
		for earlier := range window { // samples of earlier attempts shift the windows
			l := New()
			for range earlier {
				l.ObserveFirstToken(p, time.Millisecond)
			}
			inFlight := 0
			for inFlight < int(p.MaxConcurrencyPerTarget) && inFlight < l.Limit(p) {
				inFlight++
				l.ObserveStart(p, inFlight)
				l.ObserveFirstToken(p, time.Millisecond)
			}
			So(inFlight, ShouldEqual, p.MaxConcurrencyPerTarget)
		}
	})
}
