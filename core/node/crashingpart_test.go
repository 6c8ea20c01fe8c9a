package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
)

const (
	// firstPart and secondPart start the prompts of the crashing requests and of
	// most sound ones; crashingPart ends each target that begins to answer it.
	firstPart, secondPart, crashingPart uint64 = 1, 2, 66
	// otherFirstPart starts the prompts of another kind of request.
	otherFirstPart uint64 = 9
	// rareParts is the number of parts that few sound requests hold each.
	rareParts = 40
	// endsBeforeBound is the number of targets that a part may end before its late
	// sends count.
	endsBeforeBound = 5
)

// partSimulation is a fleet whose targets end when they begin to answer a prompt
// with crashingPart.
type partSimulation struct {
	*bodySimulation
	// boundFrom is the end of the fifth target under crashingPart, or of the last one
	// if there are fewer.
	boundFrom time.Duration
	byRequest map[uint64]*partRequest
	prompts   []*partRequest
}

type partRequest struct {
	parts []placement.Part
	// crashes is set if the prompt holds crashingPart.
	crashes bool
	sent    time.Duration
	// attempts counts the attempts that arrived at a target; begun is set once the
	// first of them has sent an event.
	attempts int
	begun    bool
	r        *simulatedRequest
}

func newPartSimulation(seed uint64) *partSimulation {
	s := &partSimulation{bodySimulation: newBodySimulation(seed, true), byRequest: map[uint64]*partRequest{}}
	s.budgetSimulation.runAttempt = s.run
	return s
}

// run runs an attempt at its target, if that has not ended.
func (s *partSimulation) run(in *simulatedNode, a event.Dispatch, r *simulatedRequest) {
	p := s.byRequest[a.Request]
	t := s.byName[a.Target]
	s.schedule(s.linkDelay(), func() {
		if t.ended {
			s.step(in, event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Attempt, Outcome: event.AttemptNotStarted, Unsent: true, UsageKnown: true}})
			return
		}
		x := &runningAttempt{in: in, attempt: a.Attempt, request: a.Request, r: r}
		x.headAt = s.now + 3*time.Duration(s.rng.Int64N(int64(maxHeadDelay)))
		x.eventsAt = x.headAt + firstEventDelay
		t.running = append(t.running, x)
		if p == nil {
			s.schedule(r.duration, func() { s.complete(t, x) })
			return
		}
		p.attempts++
		if p.crashes {
			s.crashingPartArrived(in, t, x)
			return
		}
		s.schedule(x.eventsAt-s.now, func() { s.begin(in, x, p) })
		s.schedule(x.eventsAt-s.now+r.duration, func() { s.complete(t, x) })
	})
}

func (s *partSimulation) begin(in *simulatedNode, x *runningAttempt, p *partRequest) {
	if x.over {
		return
	}
	p.begun = p.begun || p.attempts == 1
	s.schedule(s.linkDelay(), func() { s.step(in, event.Event{FirstToken: &event.FirstToken{Attempt: x.attempt}}) })
}

func (s *partSimulation) crashingPartArrived(in *simulatedNode, t *endingTarget, x *runningAttempt) {
	if s.inTouch(in) && s.crashed >= endsBeforeBound && s.now-s.boundFrom > stabilityWindow {
		s.lateSends++
	}
	end := x.eventsAt - s.now
	x.eventsAt = s.now + time.Hour
	s.schedule(end, func() {
		if t.ended {
			return
		}
		s.crashed++
		if s.crashed <= endsBeforeBound {
			s.boundFrom = s.now
		}
		s.endTarget(t)
	})
}

// sendPrompt sends a resumable request, with a body of its own, to a random
// instance that runs.
func (s *partSimulation) sendPrompt(shared ...uint64) {
	in := s.nodes[s.rng.IntN(len(s.nodes))]
	if in.dead {
		return
	}
	s.handle++
	p := &partRequest{sent: s.now, r: &simulatedRequest{budget: customerName(0), arrived: s.now, duration: time.Second}}
	for _, id := range append(shared, 1_000_000+s.handle) {
		p.parts = append(p.parts, placement.Part{ID: id, Tokens: 100})
		p.crashes = p.crashes || id == crashingPart
	}
	s.byRequest[s.handle] = p
	s.prompts = append(s.prompts, p)
	in.open[s.handle] = p.r
	s.step(in, event.Event{RequestArrived: &event.RequestArrived{
		Request: s.handle, Customer: customerName(0), Key: fmt.Sprint(s.handle), BodyHash: fmt.Sprint(s.handle), Serves: "app", Parts: p.parts,
		Resumable: true, Idempotent: true, MaxAttempts: 2, HandedOver: true, Deadline: 10 * time.Second,
	}})
}

// repeatPrompt sends requests at random intervals from now on.
func (s *partSimulation) repeatPrompt(mean time.Duration, shared func() []uint64) {
	s.schedule(time.Duration(s.rng.ExpFloat64()*float64(mean)), func() {
		s.sendPrompt(shared()...)
		s.repeatPrompt(mean, shared)
	})
}

// sendSound sends sound requests from now on: most of them share the first parts
// of the crashing ones.
func (s *partSimulation) sendSound() {
	s.repeatPrompt(30*time.Millisecond, func() []uint64 { return []uint64{firstPart, secondPart} })
	s.repeatPrompt(30*time.Millisecond, func() []uint64 { return []uint64{otherFirstPart, otherFirstPart + 1} })
	s.repeatPrompt(60*time.Millisecond, func() []uint64 { return []uint64{firstPart, 100 + s.rng.Uint64N(rareParts)} })
}

func (s *partSimulation) sendCrashing(mean time.Duration) {
	s.repeatPrompt(mean, func() []uint64 { return []uint64{firstPart, secondPart, crashingPart} })
}

// soundRefused counts the sound requests that were refused because of crashes.
func (s *partSimulation) soundRefused() int {
	count := 0
	for _, p := range s.prompts {
		if !p.crashes && (p.r.refused == errkind.Quarantined || p.r.refused == errkind.PartQuarantined) {
			count++
		}
	}
	return count
}

// begunShare returns the share of the sound requests sent from a time on that
// began at the first attempt.
func (s *partSimulation) begunShare(from time.Duration) float64 {
	begun, all := 0.0, 0.0
	for _, p := range s.prompts {
		if p.crashes || p.sent < from || p.sent > s.now-time.Second {
			continue
		}
		all++
		if p.begun {
			begun++
		}
	}
	return begun / all
}

// checkParts checks that requests with crashingPart are given up, and no others.
func (s *partSimulation) checkParts(t *testing.T, what string) {
	share := s.begunShare(s.boundFrom + 2*stabilityWindow)
	t.Logf("%s: %d targets ended, %d late sends, %d sound requests refused, %.2f begun", what, s.crashed, s.lateSends, s.soundRefused(), share)
	So(s.crashed, ShouldBeGreaterThan, 0)
	So(s.lateSends, ShouldBeLessThanOrEqualTo, maxLateSends)
	So(s.soundRefused(), ShouldEqual, 0)
	So(share, ShouldBeGreaterThan, 0.5)
}

func TestPartThatEndsItsTargetsIsGivenUp(t *testing.T) {
	// Guards against crashes that are counted by body while one prompt part causes them.
	for _, mean := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
		Convey(fmt.Sprintf("A part under which five targets ended, each with another request every %v, is sent to at most three more", mean), t, func() {
			for _, seed := range []uint64{0, 1, 2, 3, 28} {
				s := newPartSimulation(seed)
				s.runUntil(rampUp)
				s.sendSound()
				s.sendCrashing(mean)
				s.runUntil(30 * time.Second)
				s.checkParts(t, fmt.Sprintf("every %v, seed %d", mean, seed))
			}
		})
	}
}

func TestPartThatEndsItsTargetsIsGivenUpByInstancesThatMissedTheEnds(t *testing.T) {
	// Guards against crashes of a part that only the instances of their time know of.
	for _, mean := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond} {
		Convey(fmt.Sprintf("While instances are cut off and killed, a part that ends its targets is sent to at most three more, every %v", mean), t, func() {
			for seed := range uint64(3) {
				s := newPartSimulation(seed)
				s.runUntil(rampUp)
				s.sendSound()
				s.sendCrashing(mean)
				s.runUntil(rampUp + 5*mean)
				for end := s.now + 20*time.Second; s.now < end; {
					s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
					s.disturb()
				}
				s.cutAll(false)
				s.checkParts(t, fmt.Sprintf("disturbed, every %v, seed %d", mean, seed))
			}
		})
		Convey(fmt.Sprintf("and after all instances were started anew, every %v", mean), t, func() {
			for seed := range uint64(3) {
				s := newPartSimulation(seed)
				s.runUntil(rampUp)
				s.sendSound()
				s.sendCrashing(mean)
				s.runUntil(rampUp + 10*mean)
				for range 4 {
					s.restartAll()
					s.runUntil(s.now + 8*time.Second)
				}
				s.checkParts(t, fmt.Sprintf("started anew, every %v, seed %d", mean, seed))
			}
		})
	}
}

func TestSoundPartsAreServedWhileManyTargetsEndTogether(t *testing.T) {
	// Guards against sound parts that are given up because their targets ended for other reasons.
	Convey("While half of the targets end at the same moment, again and again, no request is refused because of its parts", t, func() {
		for seed := range uint64(3) {
			s := newPartSimulation(seed)
			s.runUntil(rampUp)
			s.sendSound()
			for range 6 {
				s.runUntil(s.now + 4*time.Second)
				for i, e := range s.targets {
					if i%2 == 0 && !s.byName[e.Name].ended {
						s.endTarget(s.byName[e.Name])
					}
				}
			}
			s.runUntil(s.now + 4*time.Second)
			t.Logf("seed %d: %d requests, %d sound ones refused", seed, len(s.prompts), s.soundRefused())
			So(s.soundRefused(), ShouldEqual, 0)
		}
	})
}
