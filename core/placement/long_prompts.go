package placement

import (
	"cmp"
	"slices"
)

const (
	// longPrompt is the number of tokens from which a prompt slows the streams
	// beside it too much: at the slower engines measured a step with a chunk of
	// 2,048 tokens after that many takes 55 ms, and six of them, one event, more
	// than the 300 ms of the routes.
	longPrompt = 16_000
	// targetsPerLong is the number of targets for each one that is kept for long
	// prompts. With fewer targets none is.
	targetsPerLong = 4
	// apartTokens is what a target that is kept for long prompts counts as having
	// more to do for other prompts, and another target for long ones: the work of
	// about a quarter of its places. This and the next weight were chosen by the
	// load of TestLongPromptsBesideStreams.
	apartTokens = 8000
	// slowedPerMille is the weight of a running stream for each unread token beyond
	// longPrompt, in thousandths of a token.
	slowedPerMille = 500
	perMille       = 1000
)

// Long tells whether the request's prompt is one that is kept apart.
func (r Request) Long() bool { return r.total() > longPrompt }

// apart returns the candidates that are kept for long prompts, by rendezvous
// hashing; none while there are no such prompts.
func (r Request) apart(cs []Candidate) []int {
	count := len(cs) / targetsPerLong
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
	apart := make([]int, count)
	for i := range apart {
		apart[i] = all[i].index
	}
	return apart
}

// longCost is what keeps long prompts and streams apart, in prompt tokens: a
// surcharge on the targets of the other sort, and the streams that a long prompt
// would slow.
func (p placing) longCost(i int, unread int64) int64 {
	var cost int64
	if len(p.apart) > 0 && slices.Contains(p.apart, i) != p.r.Long() {
		cost += apartTokens
	}
	if p.r.Long() {
		cost += max(0, unread-longPrompt) * int64(p.cs[i].Work.Running) * slowedPerMille / perMille
	}
	return cost
}
