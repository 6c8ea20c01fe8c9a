package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
)

func drawCandidates(rt *rapid.T) []Candidate {
	count := rapid.IntRange(1, 8).Draw(rt, "candidates")
	var cs []Candidate
	for i := range count {
		cs = append(cs, Candidate{
			Name: fmt.Sprintf("t%d", i), InFlight: rapid.IntRange(0, 10).Draw(rt, "inFlight"),
			OtherLoad: float64(rapid.IntRange(0, 10).Draw(rt, "others")), Match: rapid.IntRange(0, 3).Draw(rt, "match"),
			SameDataCentre: rapid.Bool().Draw(rt, "near"),
		})
	}
	return cs
}

func query(rt *rapid.T) Query {
	return Query{PrefixHashes: []uint64{rapid.Uint64().Draw(rt, "prefix")}, Rng: rand.New(rand.NewPCG(1, 2))}
}

// TestAffinityIsBounded checks that a target whose load is above the bound gets
// nothing while another is below it, and that no target below it had more of
// the prompt cached, or as much and was nearer.
func TestAffinityIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := drawCandidates(rt)
		got := cs[New(config.Defaults().Policies.Routing).Select(cs, query(rt))]
		total := 0.0
		for _, c := range cs {
			total += c.load()
		}
		limit := 1.25*(total+1)/float64(len(cs)) + 1
		for _, c := range cs {
			if got.load() >= limit && c.load() < limit-1 {
				rt.Fatalf("%+v is above the bound %v and %+v below", got, limit, c)
			}
			better := c.Match > got.Match || c.Match == got.Match && c.SameDataCentre && !got.SameDataCentre
			if c.load() < limit-1 && better && c.load() <= got.load() {
				rt.Fatalf("%+v was preferred to %+v", got, c)
			}
		}
	})
}

// TestSamePromptGoesToSameTarget checks that a prompt that is cached nowhere
// goes to the same target again, whatever the load of the others, while that
// target's load is within the bound.
func TestSamePromptGoesToSameTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := []Candidate{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		q := query(rt)
		s := New(config.Defaults().Policies.Routing)
		first := cs[s.Select(cs, q)].Name
		for i := range cs {
			cs[i].InFlight = 2
			if cs[i].Name != first {
				cs[i].InFlight = rapid.IntRange(1, 5).Draw(rt, "elsewhere")
			}
		}
		if again := cs[s.Select(cs, q)].Name; again != first {
			rt.Fatalf("the prompt went to %s and then to %s", first, again)
		}
	})
}

func TestLeastLoadedPrefersSameDataCentreAtEqualLoad(t *testing.T) {
	q := Query{Rng: rand.New(rand.NewPCG(1, 2))}
	equal := []Candidate{{Name: "far", InFlight: 2}, {Name: "near", InFlight: 2, SameDataCentre: true}}
	if got := (leastLoaded{}).Select(equal, q); got != 1 {
		t.Errorf("equal loads: chose the far target")
	}
	unequal := []Candidate{{Name: "far", InFlight: 2}, {Name: "near", InFlight: 3, SameDataCentre: true}}
	if got := (leastLoaded{}).Select(unequal, q); got != 0 {
		t.Errorf("chose the near target although its load is higher")
	}
}

func TestOtherLoadExcludesOwnAttemptsAndDecays(t *testing.T) {
	var l Load
	l.ObserveInFlight(3)
	l.ObserveInFlight(2)
	l.ObserveReport(10, 1, time.Second) // two of this instance's three attempts have ended since the report was taken
	if got := l.OtherLoad(time.Second); got != 7 {
		t.Errorf("load of others %v, want 7", got)
	}
	if got := l.OtherLoad(time.Second + reportHalfLife); got != 3.5 {
		t.Errorf("load of others %v after the half-life, want 3.5", got)
	}
	if got := l.OtherLoad(time.Minute); got > 0.01 {
		t.Errorf("load of others %v after a minute, want almost 0", got)
	}
}

func TestLocalUseOutweighsCacheEvents(t *testing.T) {
	p := NewPrefixes()
	p.RecordCached([]uint64{1, 2}, 0)
	p.RecordUse([]uint64{1, 2, 3}, 10*time.Second)
	p.RecordEvicted([]uint64{3}, 11*time.Second) // happened before the use
	if got := p.Match([]uint64{1, 2, 3, 4}); got != 3 {
		t.Errorf("a late eviction was not ignored: match %d, want 3", got)
	}
	p.RecordEvicted([]uint64{3}, 20*time.Second)
	if got := p.Match([]uint64{1, 2, 3, 4}); got != 2 {
		t.Errorf("an eviction was ignored: match %d, want 2", got)
	}
	p.RecordCached([]uint64{9}, 20*time.Second)
	p.RecordEventLoss(21 * time.Second)
	if p.Match([]uint64{9}) != 0 || p.Match([]uint64{1, 2}) != 2 {
		t.Errorf("a loss of events must drop prefixes known from events only, and keep those used here")
	}
}

func TestPrefixesAreBounded(t *testing.T) {
	p := NewPrefixes()
	for i := range uint64(5 * maxPrefixes) {
		p.RecordUse([]uint64{i}, time.Duration(i))
	}
	if len(p.entries) > maxPrefixes || p.Match([]uint64{5*maxPrefixes - 1}) != 1 {
		t.Errorf("%d prefixes remembered, or the last one dropped", len(p.entries))
	}
}
