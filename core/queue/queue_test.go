package queue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOrderAndNoStarvation pushes and pops at random. An entry must precede
// every entry of lower or equal priority with a later deadline, and every entry
// whose deadline is so much later that no priority can compensate.
func TestOrderAndNoStarvation(t *testing.T) {
	const longest = 2 * maxPriority * priorityStep
	rapid.Check(t, func(rt *rapid.T) {
		var q Queue[int]
		entries := map[int]Entry[int]{}
		waiting := map[int]bool{}
		now, length := time.Duration(0), rapid.IntRange(1, 20).Draw(rt, "length")
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "seconds")) * time.Second
				e := Entry[int]{
					Value: len(entries), Priority: rapid.IntRange(-20, 20).Draw(rt, "priority"),
					Deadline: now + time.Duration(rapid.IntRange(1, 60).Draw(rt, "deadline"))*time.Second,
				}
				entries[e.Value], waiting[e.Value] = e, true
				if evicted, full := q.Push(e, length); full {
					delete(waiting, evicted)
				}
			},
			"pop": func(*rapid.T) {
				if q.Len() > 0 {
					v := q.Values()[0]
					q.Remove(v)
					delete(waiting, v)
				}
			},
			"": func(rt *rapid.T) {
				got := q.Values()
				if len(got) != len(waiting) || len(got) > length {
					rt.Fatalf("waiting %v, want %v, at most %d", got, waiting, length)
				}
				for i, v := range got[:max(0, len(got)-1)] {
					a, b := entries[v], entries[got[i+1]]
					if b.Priority >= a.Priority && b.Deadline < a.Deadline || b.Deadline+longest < a.Deadline {
						rt.Fatalf("%+v waits before %+v", a, b)
					}
				}
				for v := range waiting {
					if !slices.Contains(got, v) || q.Ahead(v) != slices.Index(got, v) {
						rt.Fatalf("%d is missing from %v", v, got)
					}
				}
			},
		})
	})
}
