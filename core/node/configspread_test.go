package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// configSpreadBound is the time within which platforms require a configuration
// to be in force in a large fleet.
const configSpreadBound = 3 * time.Second

// configSpread plays the platform's configuration in a simulated fleet: instances
// that follow it closely read a change after a short delay, the others at their
// next look.
type configSpread struct {
	*budgetSimulation
	stored config.Stored
	// loss is the part of the messages to an instance that get lost, by name.
	loss map[string]float64
}

const (
	watchDelay = 100 * time.Millisecond
	// looseLook is the shortest time between two looks of an instance that follows
	// the platform loosely; the longest is twice that.
	looseLook = 5 * time.Second
	// restartRead is the time from an instance's start until it has read the
	// platform.
	restartRead = 300 * time.Millisecond
)

func newConfigSpread(seed uint64, instances int) *configSpread {
	s := &configSpread{budgetSimulation: newBudgetSimulation(seed, spreadPolicy(), largeFleet(instances)), loss: map[string]float64{}}
	s.loseMessage = func(_, to string) bool { return s.rng.Float64() < s.loss[to] }
	s.followed = func(in *simulatedNode) { s.readAfter(in, watchDelay) }
	for _, in := range s.nodes {
		s.look(in.name)
	}
	return s
}

// look schedules the next looks of an instance that follows the platform loosely.
func (s *configSpread) look(name string) {
	s.schedule(looseLook+time.Duration(s.rng.Int64N(int64(looseLook))), func() {
		s.readAfter(s.instance(name), 0)
		s.look(name)
	})
}

func (s *configSpread) instance(name string) *simulatedNode {
	for _, in := range s.nodes {
		if in.name == name {
			return in
		}
	}
	return nil
}

// readAfter lets an instance read the platform's configuration after a delay.
func (s *configSpread) readAfter(in *simulatedNode, delay time.Duration) {
	s.schedule(delay, func() {
		if s.stored.Generation > 0 {
			stored := s.stored
			s.step(in, event.Event{ConfigRead: &event.ConfigRead{Stored: &stored}})
		}
	})
}

// change stores a new configuration, which the instances that follow closely
// learn at once.
func (s *configSpread) change(generation uint64) {
	s.stored = config.Stored{Generation: generation, Routing: &config.Routing{}}
	for _, in := range s.nodes {
		if !in.dead && !in.node.members.follow.loosely {
			s.readAfter(in, watchDelay)
		}
	}
}

// outdated counts the running instances that have not put a generation in force,
// but for those that started less than restartRead ago.
func (s *configSpread) outdated(generation uint64, started map[string]time.Duration) int {
	count := 0
	for _, in := range s.nodes {
		if !in.dead && in.node.configs.generation() < generation && s.now-started[in.name] > restartRead+watchDelay {
			count++
		}
	}
	return count
}

func TestConfigurationReachesIdleInstancesThatLoseMessages(t *testing.T) {
	// Guards against an idle instance that learns of a change from nobody.
	Convey("While messages to some instances get lost and others restart, each puts a change in force in time", t, func() {
		for seed := range uint64(2) {
			s := newConfigSpread(seed, 86)
			started := map[string]time.Duration{}
			s.runUntil(rampUp)
			for round := range uint64(4) {
				for _, in := range s.nodes {
					s.loss[in.name] = []float64{0, 0, 0, 0.5, 0.8, 0.95}[s.rng.IntN(6)]
				}
				s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
				for range 4 {
					if in := s.nodes[s.rng.IntN(len(s.nodes))]; !in.dead {
						name := in.name
						s.kill(in, 500*time.Millisecond)
						started[name] = s.now + 500*time.Millisecond
						s.schedule(500*time.Millisecond+restartRead, func() { s.readAfter(s.instance(name), 0) })
					}
				}
				generation := 10 + round
				s.change(generation)
				s.runUntil(s.now + configSpreadBound)
				So(fmt.Sprintf("seed %d, round %d: %d outdated", seed, round, s.outdated(generation, started)), ShouldEqual, fmt.Sprintf("seed %d, round %d: 0 outdated", seed, round))
			}
		}
	})
}
