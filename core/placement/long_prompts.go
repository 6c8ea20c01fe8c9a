package placement

import (
	"cmp"
	"slices"
)

const (
	// longPrompt is the number of tokens above which a prompt slows the streams
	// beside it too much: at the slower engines, a step with a chunk of 2,048
	// tokens after that many takes 55 ms, so the six steps of one event take
	// more than the 300 ms that routes allow between events.
	longPrompt = 16_000
	// targetsPerReserved is the number of targets per target that is reserved
	// for long prompts. With fewer targets, none is reserved.
	targetsPerReserved = 4
	// mismatchTokens is the extra work, in prompt tokens, that a reserved target
	// counts as having for other prompts, and an unreserved target for long
	// ones: the work of about a quarter of a target's slots.
	// TestLongPromptsBesideStreams checks the effect of this weight and the next
	// one.
	mismatchTokens = 8000
	// slowdownPerMille is the weight of a running stream for each token to
	// prefill beyond longPrompt, in thousandths of a token.
	slowdownPerMille = 500
	perMille         = 1000
)

// Long reports whether the request's prompt is long enough for the reserved
// targets.
func (r Request) Long() bool { return r.total() > longPrompt }

// reserved returns the candidates that are reserved for long prompts, chosen by
// rendezvous hashing; none while there are no such prompts.
func (r Request) reserved(cs []Candidate) []int {
	count := len(cs) / targetsPerReserved
	if count == 0 || !(r.LongPrompts || r.Long()) {
		return nil
	}
	type ranked struct {
		index int
		score uint64
	}
	all := make([]ranked, len(cs))
	for i, c := range cs {
		all[i] = ranked{i, score(longPrompt, c.Name)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]int, count)
	for i := range chosen {
		chosen[i] = all[i].index
	}
	return chosen
}

// longCost returns the cost that separates long prompts from streams, in prompt
// tokens: a surcharge on a target reserved for the other kind of prompt, and
// the delay that a long prompt causes to the target's running streams.
func (p choice) longCost(i int, prefillTokens int64) int64 {
	var cost int64
	if len(p.reserved) > 0 && slices.Contains(p.reserved, i) != p.r.Long() {
		cost += mismatchTokens
	}
	if p.r.Long() {
		cost += max(0, prefillTokens-longPrompt) * int64(p.cs[i].Work.Running) * slowdownPerMille / perMille
	}
	return cost
}
