package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

const (
	// limitGrace is the time from the first response that names a limit until the
	// limit binds, limitWindow the time over which requests are counted, and
	// limitKnown the time after which an instance that passed on such a response
	// counts as knowing of it.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitKnown  = 500 * time.Millisecond
	// responseDelay is the time from a dispatch to the head of the response.
	responseDelay = 30 * time.Millisecond
)

// allowedRequests is the number of requests that a target with a limit may get in
// limitWindow from the instances that know of it.
func allowedRequests(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// limitedTargets plays targets that name limits in a simulated fleet, and records
// what they get.
type limitedTargets struct {
	*budgetSimulation
	// limits holds the limit of each target that names one, in requests a second,
	// and namedAt when it first did.
	limits  map[string]float64
	namedAt map[string]time.Duration
	// told is when an incarnation of an instance first got a response of a target
	// that named its limit.
	told     map[toldKey]time.Duration
	arrivals map[string][]arrival
	// disrupted holds when each instance was last cut off, connected again or
	// started.
	disrupted map[string]time.Duration
}

type toldKey struct {
	instance    string
	incarnation int
	target      string
}

type arrival struct {
	at       time.Duration
	instance string
	// counts is set if the instance had passed on the limit limitKnown before and
	// is not excused by a disruption.
	counts bool
}

func newLimitedTargets(seed uint64, fleet simulatedFleet, limits map[string]float64) *limitedTargets {
	s := &limitedTargets{
		budgetSimulation: newBudgetSimulation(seed, spreadPolicy(), fleet), limits: limits, namedAt: map[string]time.Duration{},
		told: map[toldKey]time.Duration{}, arrivals: map[string][]arrival{}, disrupted: map[string]time.Duration{},
	}
	s.budgetSimulation.dispatched = s.arrived
	return s
}

// arrived records an attempt that reaches a target, and lets the target respond.
func (s *limitedTargets) arrived(in *simulatedNode, a event.Dispatch) {
	limit, limited := s.limits[a.Target]
	key := toldKey{in.name, in.incarnation, a.Target}
	told, knows := s.told[key]
	last, wasDisrupted := s.disrupted[in.name]
	excused := s.cut[in.name] || wasDisrupted && s.now-last < limitGrace+limitWindow
	s.arrivals[a.Target] = append(s.arrivals[a.Target], arrival{s.now, in.name, limited && knows && s.now-told >= limitKnown && !excused})
	if limited && s.namedAt[a.Target] == 0 {
		s.namedAt[a.Target] = s.now
	}
	s.schedule(responseDelay, func() {
		if limited && !knows && !in.dead {
			s.told[key] = s.now
		}
		s.step(in, event.Event{TargetNotice: &event.TargetNotice{Target: a.Target, Address: a.Address, Limited: limited, Limit: limit}})
	})
}

// excess returns by how many requests a target's limit was exceeded in the worst
// window, or 0.
func (s *limitedTargets) excess(target string) int {
	worst := 0
	var window []time.Duration
	for _, a := range s.arrivals[target] {
		if !a.counts || a.at < s.namedAt[target]+limitGrace {
			continue
		}
		window = append(window, a.at)
		window = slices.DeleteFunc(window, func(at time.Duration) bool { return at <= a.at-limitWindow })
		worst = max(worst, len(window)-allowedRequests(s.limits[target]))
	}
	return worst
}

// arrivedBetween counts the requests that a target got in a span of time.
func (s *limitedTargets) arrivedBetween(target string, from, to time.Duration) int {
	count := 0
	for _, a := range s.arrivals[target] {
		if a.at >= from && a.at < to {
			count++
		}
	}
	return count
}

// disrupt cuts off or connects an instance, or kills it.
func (s *limitedTargets) disrupt() {
	in := s.nodes[s.rng.IntN(len(s.nodes))]
	if in.dead {
		return
	}
	s.disrupted[in.name] = s.now
	if s.rng.IntN(3) == 0 {
		s.disrupted[in.name] = s.now + 500*time.Millisecond
		s.kill(in, 500*time.Millisecond)
		return
	}
	s.cut[in.name] = !s.cut[in.name]
}

func TestLimitedTargetsGetNoMoreThanTheyTake(t *testing.T) {
	// Guards against instances that each keep a target's limit for themselves, or not at all.
	Convey("A target that names a limit gets no more requests than that from all instances together", t, func() {
		for _, fleet := range []simulatedFleet{smallFleet(100_000_000), largeFleet(90)} {
			for _, limit := range []float64{0, 0.3, 2.3, 20} {
				for seed := range uint64(2) {
					s := newLimitedTargets(seed, fleet, map[string]float64{})
					s.runUntil(rampUp)
					s.limits["t1"] = limit
					s.runUntil(s.now + 15*time.Second)
					So(fmt.Sprintf("%d instances, limit %g, seed %d: %d too many", fleet.instances, limit, seed, s.excess("t1")),
						ShouldEqual, fmt.Sprintf("%d instances, limit %g, seed %d: 0 too many", fleet.instances, limit, seed))
				}
			}
		}
	})
	Convey("also while instances are cut off, killed and started", t, func() {
		for seed := range uint64(4) {
			s := newLimitedTargets(seed, smallFleet(100_000_000), map[string]float64{})
			s.runUntil(rampUp)
			s.limits["t1"] = 2.3
			for s.now < 30*time.Second {
				s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
				s.disrupt()
			}
			So(fmt.Sprintf("seed %d: %d too many", seed, s.excess("t1")), ShouldEqual, fmt.Sprintf("seed %d: 0 too many", seed))
		}
	})
	Convey("and gets more again once it names no limit", t, func() {
		s := newLimitedTargets(1, smallFleet(100_000_000), map[string]float64{"t1": 2.3})
		s.runUntil(10 * time.Second)
		So(s.arrivedBetween("t1", 4*time.Second, 10*time.Second), ShouldBeBetweenOrEqual, 1, 6*allowedRequests(2.3)/4)
		delete(s.limits, "t1")
		s.runUntil(20 * time.Second)
		So(s.arrivedBetween("t1", 16*time.Second, 20*time.Second), ShouldBeGreaterThan, 4*allowedRequests(2.3))
	})
}

func TestLimitsBelowTheDemandAreUsedAndTheRestIsRefusedAtOnce(t *testing.T) {
	Convey("When all targets of a service name limits below the demand, three quarters of these are used", t, func() {
		for seed := range uint64(3) {
			s := newLimitedTargets(seed, smallFleet(100_000_000), map[string]float64{"t1": 8, "t2": 5})
			s.runUntil(8 * time.Second)
			from := s.now
			s.runUntil(from + 12*time.Second)
			So(s.excess("t1")+s.excess("t2"), ShouldEqual, 0)
			used := s.arrivedBetween("t1", from, s.now) + s.arrivedBetween("t2", from, s.now)
			So(used, ShouldBeGreaterThanOrEqualTo, 12*13*3/4)
			refused, late := 0, 0
			for _, r := range s.requests {
				if r.arrived >= from && r.refused != errkind.None {
					refused++
					if r.ended-r.arrived > time.Second {
						late++
					}
				}
			}
			t.Logf("seed %d: %d used, %d refused, %d of them late", seed, used, refused, late)
			So(refused, ShouldBeGreaterThan, 0)
			So(late, ShouldEqual, 0)
		}
	})
}

// rememberSigns makes targets say at random that they leave or want nothing for a
// time, and returns what breaks these statements: attempts of an instance to a
// target that it knew to leave for leavingGrace, or more than maxDuringWait in a
// wait.
func (s *limitedTargets) rememberSigns() (broken func() []string) {
	const (
		leavingGrace  = 2 * time.Second
		maxDuringWait = 2
	)
	type heard struct {
		leaving, waitFrom, waitUntil time.Duration
		during                       int
	}
	signs := map[toldKey]*heard{}
	var found []string
	leaves := map[string]bool{}
	s.dispatched = func(in *simulatedNode, a event.Dispatch) {
		key := toldKey{in.name, in.incarnation, a.Target}
		h := signs[key]
		if h == nil {
			h = &heard{}
			signs[key] = h
		}
		if h.leaving > 0 && s.now-h.leaving > leavingGrace {
			found = append(found, fmt.Sprintf("%v: %s sends to %s, which said at %v that it leaves", s.now, in.name, a.Target, h.leaving))
		}
		if s.now >= h.waitFrom && s.now < h.waitUntil {
			if h.during++; h.during > maxDuringWait {
				found = append(found, fmt.Sprintf("%v: %s sends request %d to %s, which waits until %v", s.now, in.name, h.during, a.Target, h.waitUntil))
			}
		}
		leaves[a.Target] = leaves[a.Target] || a.Target == "t1" && s.now > 15*time.Second
		notice := event.TargetNotice{Target: a.Target, Address: a.Address, Leaving: leaves[a.Target]}
		if s.rng.IntN(20) == 0 {
			notice.Wait = time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
		s.schedule(responseDelay, func() {
			if in.dead {
				return
			}
			if notice.Leaving && h.leaving == 0 {
				h.leaving = s.now
			}
			if notice.Wait > 0 {
				h.waitFrom, h.waitUntil, h.during = s.now+500*time.Millisecond, max(h.waitUntil, s.now+notice.Wait), 0
			}
			s.step(in, event.Event{TargetNotice: &notice})
		})
	}
	return func() []string { return found }
}

func TestTargetsThatLeaveOrWaitAreLeftAloneUnderRandomFaults(t *testing.T) {
	Convey("While instances are cut off, killed and started, none sends to a target against its word", t, func() {
		for seed := range uint64(4) {
			s := newLimitedTargets(seed, smallFleet(100_000_000), map[string]float64{})
			broken := s.rememberSigns()
			for s.now < 25*time.Second {
				s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
				s.disrupt()
			}
			So(broken(), ShouldBeEmpty)
		}
	})
}
