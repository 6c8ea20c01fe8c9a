package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRequestRefusedAsNotRunDidNotRun refuses requests in every way: budgets
// that are exhausted between attempts, callers that leave, deadlines, targets
// that die or lose answers.
func TestRequestRefusedAsNotRunDidNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const prepaid = 120
		w := readyWorld(2, prepaid)
		actions := w.faultActions(func(name string) bool { return !w.lastHolder(name) })
		actions["send"] = func(rt *rapid.T) {
			number := rapid.IntRange(1, 20).Draw(rt, "key")
			r := exampleRequest(fmt.Sprintf("k%d", number), rapid.Int64Range(5, 60).Draw(rt, "tokens"), number%4 != 0)
			r.Deadline = time.Duration(rapid.IntRange(0, 500).Draw(rt, "deadline ms")) * time.Millisecond
			w.send(rapid.SampledFrom(w.nodeNames()).Draw(rt, "to"), r)
		}
		actions["caller leaves"] = w.disconnectCaller
		actions["target"] = w.disruptTarget
		actions[""] = func(rt *rapid.T) {
			if v := w.violations(map[string]int64{"b": prepaid}); len(v) > 0 {
				rt.Fatalf("violations: %v", v)
			}
		}
		rt.Repeat(actions)
	})
}
