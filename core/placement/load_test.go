package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The load consists of streams with short prompts and some with very long ones,
// at engines that prefill prompts in chunks between output tokens.
const (
	loadInstances = 9
	loadSpan      = 30 * time.Second
	// reportPeriod is the maximum age of what instances know of the requests
	// that others sent.
	reportPeriod = 300 * time.Millisecond
	// pauseGoal is the longest pause between events that counts as on time.
	pauseGoal = 300 * time.Millisecond
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent = 6
	// The engine's figures are those of the model servers in the users' data
	// sheets: a chunk in tokens, the time of a step and of each stream in it in
	// milliseconds, the prompt tokens prefilled in a millisecond, and the time
	// in milliseconds for a million pairs of tokens.
	chunkTokens          = 2048
	stepMillis           = 3.82
	streamMillis         = 0.0227
	promptTokensPerMilli = 68.2
	pairsMillis          = 0.242
)

// loadKind is one kind of request: perSecond arrive on average, each with a
// number of output events and a goal for the time to the first one. worth is
// the credit for a stream whose prompt has the length mean, in tokens.
type loadKind struct {
	name           string
	perSecond      float64
	prompt         func(*rand.Rand) int64
	events         int
	firstTokenGoal time.Duration
	worth          float64
	mean           float64
}

func logNormal(rng *rand.Rand, mean, spread, limit float64) float64 {
	return min(limit, math.Exp(math.Log(mean)-spread*spread/2+spread*rng.NormFloat64()))
}

// loadShape is a load and the number of engines that serve it.
type loadShape struct {
	name    string
	targets int
	// rates are factors on the request rate of each kind.
	rates [3]float64
	// reports is the mean length of the unshared part of the reports' prompts,
	// in tokens.
	reports float64
}

var (
	usualShape = loadShape{"usual", 18, [3]float64{1, 1, 1}, 6610}
	// aloneShape gives each request a target of its own, which is the upper
	// bound for any choice.
	aloneShape = loadShape{"alone", 2000, [3]float64{1, 1, 1}, 6610}
)

func (l loadShape) kinds() []loadKind {
	kinds := []loadKind{
		{"report", 29, func(r *rand.Rand) int64 {
			return int64(512 + logNormal(r, 4870, .7, 14_600) + logNormal(r, l.reports, 1.4, 54_600))
		}, 64, 800 * time.Millisecond, 5.1, 12000},
		{"question", 54, func(r *rand.Rand) int64 { return int64(logNormal(r, 628, 1, 3310)) }, 49, 400 * time.Millisecond, 1.8, 628},
		{"summary", 45, func(r *rand.Rand) int64 { return int64(logNormal(r, 1800, 1.3, 6870)) }, 4, 400 * time.Millisecond, .52, 1800},
	}
	for i := range kinds {
		kinds[i].perSecond *= l.rates[i]
	}
	return kinds
}

// stream is one request at an engine.
type stream struct {
	kind      int
	prompt    int64
	prefilled int64
	tokens    int
	arrived   time.Duration
	first     time.Duration
	event     time.Duration
	pause     time.Duration
}

// engine prefills one prompt at a time, a chunk in each step, and generates a
// token for each other stream in the same step.
type engine struct {
	name string
	// slowness is a factor on the time of each step.
	slowness   float64
	prefilling []*stream
	running    []*stream
	at         time.Duration
}

// step simulates one step and returns the streams that ended.
func (e *engine) step(kinds []loadKind) (ended []*stream) {
	millis := stepMillis + streamMillis*float64(len(e.running)) + e.prefillChunk()
	e.at += time.Duration(millis * e.slowness * float64(time.Millisecond))
	kept := e.running[:0]
	for _, s := range e.running {
		s.token(e.at)
		if s.tokens >= kinds[s.kind].events*tokensPerEvent {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	return ended
}

// prefillChunk prefills a chunk of the waiting prompts and returns the time in
// milliseconds: the sum of a time for each token and one for each pair of a
// token and an earlier one.
func (e *engine) prefillChunk() (millis float64) {
	for left := int64(chunkTokens); left > 0 && len(e.prefilling) > 0; {
		s := e.prefilling[0]
		part := min(left, s.prompt-s.prefilled)
		millis += float64(part)/promptTokensPerMilli + pairsMillis*float64(part)*float64(s.prefilled)/1e6
		s.prefilled += part
		left -= part
		if s.prefilled < s.prompt {
			break
		}
		e.prefilling = e.prefilling[1:]
		e.running = append(e.running, s)
	}
	return millis
}

// token generates one token of a stream; each event holds several.
func (s *stream) token(at time.Duration) {
	s.tokens++
	if s.tokens%tokensPerEvent != 1 {
		return
	}
	if s.first == 0 {
		s.first = at
	} else {
		s.pause = max(s.pause, at-s.event)
	}
	s.event = at
}

func (e *engine) idle() bool { return len(e.prefilling)+len(e.running) == 0 }

func (e *engine) work() Work {
	w := Work{Running: len(e.prefilling) + len(e.running)}
	for _, s := range e.prefilling {
		w.PrefillTokens += s.prompt - s.prefilled
	}
	return w
}

// served counts the streams of a kind, and those that were late with their
// first event or by a pause between events. credit is what the streams earned,
// maxCredit what they would have earned if none had been late.
type served struct {
	all, lateFirst, latePause, late int
	credit, maxCredit               float64
}

// loadRun is the state of one simulation.
type loadRun struct {
	rng     *rand.Rand
	kinds   []loadKind
	engines []*engine
	// next is when the next request of each kind arrives.
	next []time.Duration
	// known is the engines' work when instances last exchanged reports, own the
	// work that each instance has sent to each engine since.
	known        []Work
	own          [][]Work
	nextExchange time.Duration
	results      map[string]served
}

func newLoadRun(seed uint64, shape loadShape) *loadRun {
	l := &loadRun{
		rng: rand.New(rand.NewPCG(seed, 2)), kinds: shape.kinds(), known: make([]Work, shape.targets),
		own: make([][]Work, loadInstances), results: map[string]served{},
	}
	l.next = make([]time.Duration, len(l.kinds))
	for i := range shape.targets {
		slowness := 1.0
		if i%3 == 2 {
			slowness = 1.3
		}
		l.engines = append(l.engines, &engine{name: fmt.Sprintf("t%d", i), slowness: slowness})
	}
	return l
}

// simulate runs a load with the given choice of targets and returns the results
// by kind.
func simulate(seed uint64, shape loadShape, choose func([]Candidate, Request, *rand.Rand) int) map[string]served {
	l := newLoadRun(seed, shape)
	for {
		kind, now := l.nextArrival()
		if now >= loadSpan {
			return l.results
		}
		l.runUntil(now)
		l.exchangeLoads(now)
		s := &stream{kind: kind, prompt: l.kinds[kind].prompt(l.rng), arrived: now}
		from := l.rng.IntN(loadInstances)
		to := choose(l.candidates(from), Request{Parts: []Part{{l.rng.Uint64(), s.prompt}}, LongPrompts: true}, l.rng)
		l.own[from][to] = l.own[from][to].Add(Work{s.prompt, 1})
		l.engines[to].prefilling = append(l.engines[to].prefilling, s)
	}
}

// nextArrival returns the kind and the time of the next request.
func (l *loadRun) nextArrival() (kind int, at time.Duration) {
	for k := range l.kinds {
		if l.next[k] < l.next[kind] {
			kind = k
		}
	}
	at = l.next[kind]
	l.next[kind] += time.Duration(l.rng.ExpFloat64() / l.kinds[kind].perSecond * float64(time.Second))
	return kind, at
}

// runUntil runs the engines until a time.
func (l *loadRun) runUntil(now time.Duration) {
	for _, e := range l.engines {
		for !e.idle() && e.at < now {
			for _, s := range e.step(l.kinds) {
				k := l.kinds[s.kind]
				l.results[k.name] = l.results[k.name].add(s, k)
			}
		}
		e.at = max(e.at, now)
	}
}

// exchangeLoads lets instances exchange reports of what they sent, if that is
// due.
func (l *loadRun) exchangeLoads(now time.Duration) {
	if now < l.nextExchange {
		return
	}
	l.nextExchange = now + reportPeriod
	for i, e := range l.engines {
		l.known[i] = e.work()
	}
	for i := range l.own {
		l.own[i] = make([]Work, len(l.engines))
	}
}

// candidates returns the engines as seen by an instance.
func (l *loadRun) candidates(instance int) []Candidate {
	cs := make([]Candidate, len(l.engines))
	for i, e := range l.engines {
		cs[i] = Candidate{Name: e.name, Work: l.known[i].Add(l.own[instance][i]), SameDataCentre: true}
	}
	return cs
}

func (c served) add(s *stream, k loadKind) served {
	c.all++
	first, pause := s.first-s.arrived > k.firstTokenGoal, s.pause > pauseGoal
	if first {
		c.lateFirst++
	}
	if pause {
		c.latePause++
	}
	worth := k.worth * min(4, 0.3+0.7*float64(s.prompt)/k.mean)
	c.maxCredit += worth
	if first || pause {
		c.late++
		worth *= 0.3 // the credit for a late stream
	}
	c.credit += worth
	return c
}

// sum adds up the results of several runs.
func sum(shape loadShape, choose func([]Candidate, Request, *rand.Rand) int) (kinds map[string]served, credit float64) {
	kinds = map[string]served{}
	earned, maxCredit := 0.0, 0.0
	for seed := range uint64(4) {
		for name, c := range simulate(seed, shape, choose) {
			k := kinds[name]
			kinds[name] = served{k.all + c.all, k.lateFirst + c.lateFirst, k.latePause + c.latePause, k.late + c.late, k.credit + c.credit, k.maxCredit + c.maxCredit}
			earned += c.credit
			maxCredit += c.maxCredit
		}
	}
	return kinds, earned / maxCredit
}

// chooseMixed is Choose without targets reserved for long prompts.
func chooseMixed(cs []Candidate, r Request, rng *rand.Rand) int {
	best := rng.IntN(len(cs))
	for range sampleSize {
		if i := rng.IntN(len(cs)); cs[i].Work.Tokens() < cs[best].Work.Tokens() {
			best = i
		}
	}
	return best
}

// TestLongPromptsBesideStreams simulates streams beside long prompts. It checks
// that fewer streams are late, without harm to any kind, and that loads of
// other shapes are served no worse than without targets reserved for long
// prompts.
func TestLongPromptsBesideStreams(t *testing.T) {
	Convey("Under the usual load, every kind has fewer late streams, and late pauses fall to less than a third", t, func() {
		before, creditBefore := sum(usualShape, chooseMixed)
		after, creditAfter := sum(usualShape, Choose)
		_, creditAlone := sum(aloneShape, chooseMixed)
		t.Logf("credit %.3f, without reserved targets %.3f, with a target for each request %.3f", creditAfter, creditBefore, creditAlone)
		pausesBefore, pausesAfter := 0, 0
		for name := range before {
			t.Logf("%s: of %d late %d (first event %d, pause %d), without reserved targets of %d late %d (%d, %d)", name, after[name].all, after[name].late,
				after[name].lateFirst, after[name].latePause, before[name].all, before[name].late, before[name].lateFirst, before[name].latePause)
			So(after[name].late, ShouldBeLessThan, before[name].late)
			pausesBefore += before[name].latePause
			pausesAfter += after[name].latePause
		}
		So(pausesAfter, ShouldBeLessThan, pausesBefore/3)
	})
	Convey("Loads of other shapes are served no worse", t, func() {
		for _, shape := range []loadShape{
			{"half", 18, [3]float64{.5, .5, .5}, 6610},
			{"heavy", 18, [3]float64{1.4, 1.4, 1.4}, 6610},
			{"few targets", 8, [3]float64{.5, .5, .5}, 6610},
			{"fewest targets", 5, [3]float64{.25, .25, .25}, 6610},
			{"many targets", 60, [3]float64{3, 3, 3}, 6610},
			{"no long prompts", 18, [3]float64{1, 1, 1}, 200},
			{"hardly any others", 18, [3]float64{1.2, .1, .1}, 6610},
			{"mostly long prompts", 18, [3]float64{.6, .5, .5}, 30_000},
		} {
			_, before := sum(shape, chooseMixed)
			_, after := sum(shape, Choose)
			t.Logf("%s: credit %.3f, without reserved targets %.3f", shape.name, after, before)
			So(after, ShouldBeGreaterThan, before-0.01)
		}
	})
}
