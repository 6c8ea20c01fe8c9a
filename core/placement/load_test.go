package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

)

// The load: streams with short prompts beside some with very long ones, and the
// figures of an engine that reads prompts in chunks between tokens.
const (
	loadTargets   = 18
	loadInstances = 9
	loadSpan      = 30 * time.Second
	// reportEvery is the age up to which instances know what others sent.
	reportEvery = 300 * time.Millisecond
	// pauseAim is the longest pause between events that is in time.
	pauseAim = 300 * time.Millisecond
	// strideTokens is the number of tokens in an event.
	strideTokens = 6
	chunkTokens  = 2048
)

// loadKind is one kind of request.
type loadKind struct {
	name      string
	perSecond float64
	prompt    func(*rand.Rand) int64
	events    int
	firstAim  time.Duration
	worth     float64
	mean      float64
}

func logNormal(rng *rand.Rand, mean, spread, most float64) float64 {
	return min(most, math.Exp(math.Log(mean)-spread*spread/2+spread*rng.NormFloat64()))
}

func loadKinds() []loadKind {
	return []loadKind{
		{"report", 29, func(r *rand.Rand) int64 {
			return int64(512 + logNormal(r, 4870, .7, 14_600) + logNormal(r, 6610, 1.4, 54_600))
		}, 64, 800 * time.Millisecond, 5.1, 12000},
		{"question", 54, func(r *rand.Rand) int64 { return int64(logNormal(r, 628, 1, 3310)) }, 49, 400 * time.Millisecond, 1.8, 628},
		{"summary", 45, func(r *rand.Rand) int64 { return int64(logNormal(r, 1800, 1.3, 6870)) }, 4, 400 * time.Millisecond, .52, 1800},
	}
}

// stream is one request at an engine.
type stream struct {
	kind     int
	instance int
	prompt   int64
	read     int64
	tokens   int
	arrived  time.Duration
	first    time.Duration
	event    time.Duration
	pause    time.Duration
}

// engine reads one prompt at a time, a chunk in each step, and makes a token of
// each other stream in the same step.
type engine struct {
	name    string
	reading []*stream
	running []*stream
	at      time.Duration
}

// step plays one step and returns the streams that ended.
func (e *engine) step(kinds []loadKind) (ended []*stream) {
	millis := 3.82 + 0.0227*float64(len(e.running))
	left := int64(chunkTokens)
	for left > 0 && len(e.reading) > 0 {
		s := e.reading[0]
		part := min(left, s.prompt-s.read)
		millis += float64(part)/68.2 + 0.242*float64(part)*float64(s.read)/1e6
		s.read += part
		left -= part
		if s.read < s.prompt {
			break
		}
		e.reading = e.reading[1:]
		e.running = append(e.running, s)
	}
	e.at += time.Duration(millis * float64(time.Millisecond))
	kept := e.running[:0]
	for _, s := range e.running {
		s.tokens++
		if s.tokens%strideTokens == 1 {
			if s.first == 0 {
				s.first = e.at
			} else {
				s.pause = max(s.pause, e.at-s.event)
			}
			s.event = e.at
		}
		if s.tokens >= kinds[s.kind].events*strideTokens {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	return ended
}

func (e *engine) idle() bool { return len(e.reading)+len(e.running) == 0 }

func (e *engine) work() Work {
	w := Work{Running: len(e.reading) + len(e.running)}
	for _, s := range e.reading {
		w.Unread += s.prompt - s.read
	}
	return w
}

// served counts the streams of a kind, and those late in their first event or
// by a pause.
type served struct {
	all, lateFirst, latePause, late int
	credit, owed                    float64
}

// play runs the load against a choice of targets and returns what callers got.
func play(seed uint64, choose func([]Candidate, Request, *rand.Rand) int) map[string]served {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := loadKinds()
	var all []*engine
	for i := range loadTargets {
		all = append(all, &engine{name: fmt.Sprintf("t%d", i)})
	}
	known := make([]Work, loadTargets)
	own := make([][]Work, loadInstances)
	out := map[string]served{}
	next := make([]time.Duration, len(kinds))
	var reported time.Duration
	for now := time.Duration(0); now < loadSpan; {
		kind := 0
		for k := range kinds {
			if next[k] < next[kind] {
				kind = k
			}
		}
		now = next[kind]
		next[kind] += time.Duration(rng.ExpFloat64() / kinds[kind].perSecond * float64(time.Second))
		for _, e := range all {
			for !e.idle() && e.at < now {
				for _, s := range e.step(kinds) {
					out[kinds[s.kind].name] = out[kinds[s.kind].name].add(s, kinds[s.kind])
				}
			}
			e.at = max(e.at, now)
		}
		if now >= reported {
			reported = now + reportEvery
			for i, e := range all {
				known[i] = e.work()
			}
			for i := range own {
				own[i] = make([]Work, loadTargets)
			}
		}
		s := &stream{kind: kind, instance: rng.IntN(loadInstances), prompt: kinds[kind].prompt(rng), arrived: now}
		cs := make([]Candidate, loadTargets)
		for i, e := range all {
			cs[i] = Candidate{Name: e.name, Work: known[i].Add(own[s.instance][i]), Near: true}
		}
		to := choose(cs, Request{Parts: []Part{{rng.Uint64(), s.prompt}}}, rng)
		own[s.instance][to] = own[s.instance][to].Add(Work{s.prompt, 1})
		all[to].reading = append(all[to].reading, s)
	}
	return out
}

func (c served) add(s *stream, k loadKind) served {
	c.all++
	first, pause := s.first-s.arrived > k.firstAim, s.pause > pauseAim
	if first {
		c.lateFirst++
	}
	if pause {
		c.latePause++
	}
	worth := k.worth * min(4, 0.3+0.7*float64(s.prompt)/k.mean)
	c.owed += worth
	if first || pause {
		c.late++
		worth *= 0.3
	}
	c.credit += worth
	return c
}


func TestLoad(t *testing.T) {
	for seed := range uint64(3) {
		fmt.Println(play(seed, Choose))
	}
}
