package faults

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"plantainfield.example/bench/relay"
	"plantainfield.example/standins/platform"
)

const (
	// inForceTimeout is the promised time within which an accepted configuration
	// is in force on every instance that the platform or a peer reaches.
	inForceTimeout = 4 * time.Second
	observePeriod  = 25 * time.Millisecond
	// raceRounds is the number of rounds in which two operators apply at once.
	raceRounds = 4
	// topUpTokens is the number of tokens that a top-up adds.
	topUpTokens = 20_000

	exitConflict = 3
)

func configurationScenarios() []Scenario {
	return []Scenario{
		{
			Name: "two operators apply at once", Mechanism: "conditional update by generation; instances adopt only newer generations",
			promises: []Promise{Configuration}, run: racingApplies,
		},
		{
			Name: "apply answers dropped", Mechanism: "reading back the operation id of an apply",
			promises: []Promise{Configuration}, run: applyAnswersDropped,
		},
		{
			Name: "top-up during a cut", Mechanism: "peers pass on the configuration; totals set by generation",
			promises: []Promise{Configuration}, run: topUpDuringCut,
		},
	}
}

// generationWatch polls the generation in force on each instance.
type generationWatch struct {
	done    chan struct{}
	ended   sync.WaitGroup
	highest map[string]uint64
}

// watchGenerations starts a watch that records a violation each time the generation
// of an instance decreases, until stop is called.
func (s *scenarioRun) watchGenerations() *generationWatch {
	g := &generationWatch{done: make(chan struct{}), highest: map[string]uint64{}}
	g.ended.Go(func() {
		for {
			for _, r := range s.Routers {
				got, err := s.generationAt(r)
				if err != nil {
					continue
				}
				name := r.Settings.Name
				if got < g.highest[name] {
					s.addViolation(Configuration, "generation %d was in force on %s after %d", got, name, g.highest[name])
				}
				g.highest[name] = max(got, g.highest[name])
			}
			select {
			case <-g.done:
				return
			case <-time.After(observePeriod):
			}
		}
	})
	return g
}

func (g *generationWatch) stop() {
	close(g.done)
	g.ended.Wait()
}

// checkInForce checks that a generation is in force on all instances within
// inForceTimeout after it was accepted.
func (s *scenarioRun) checkInForce(generation uint64, accepted time.Time) error {
	for _, r := range s.Routers {
		err := s.waitFor(fmt.Sprintf("generation %d on %s", generation, r.Settings.Name), func() bool {
			got, err := s.generationAt(r)
			return (err == nil && got >= generation) || time.Since(accepted) > 2*inForceTimeout
		})
		if err != nil {
			return err
		}
		if took := time.Since(accepted); took > inForceTimeout {
			s.addViolation(Configuration, "generation %d was not in force on %s after %v", generation, r.Settings.Name, took.Round(time.Millisecond))
		}
	}
	return nil
}

// applyOutcome is the outcome of one operator's apply command.
type applyOutcome struct {
	output string
	code   int
	err    error
}

func racingApplies(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	g := s.watchGenerations()
	defer g.stop()
	for round := range raceRounds {
		if err := s.raceApplies(round); err != nil {
			return err
		}
	}
	return s.waitForRequests(requestsAfter)
}

// raceApplies applies two different files concurrently at instances in two data
// centres.
func (s *scenarioRun) raceApplies(round int) error {
	var outcomes [2]applyOutcome
	var operators sync.WaitGroup
	for i, name := range []string{"a-1", "b-2"} {
		d := s.document
		d.Policies.Addresses.TTLSeconds = int64(5 + 2*round + i)
		path, err := s.writeDocument(fmt.Sprintf("race-%d-%d.json", round, i), d)
		if err != nil {
			return err
		}
		r := s.router(name)
		operators.Go(func() {
			o := &outcomes[i]
			o.output, o.code, o.err = s.CommandAt(r, "apply", path)
		})
	}
	operators.Wait()
	accepted := time.Now()
	s.document.BasedOnGeneration++
	s.checkRace(outcomes)
	return s.checkInForce(s.document.BasedOnGeneration, accepted)
}

// checkRace checks that exactly one apply was accepted and that the other, which
// was then based on an old generation, ended with the exit code of a conflict and
// reported the generation in force.
func (s *scenarioRun) checkRace(outcomes [2]applyOutcome) {
	accepted := 0
	inForce := fmt.Sprintf("generation %d", s.document.BasedOnGeneration)
	for _, o := range outcomes {
		switch {
		case o.err != nil:
			s.addViolation(Configuration, "apply: %v", o.err)
		case o.code == 0:
			accepted++
		case o.code != exitConflict || !strings.Contains(o.output, inForce):
			s.addViolation(Configuration, "the rejected apply ended with exit code %d and %q", o.code, o.output)
		}
	}
	if accepted != 1 {
		s.addViolation(Configuration, "%d of two concurrent applies were reported as accepted", accepted)
	}
}

// applyAnswersDropped makes the platform drop the answer to the next write and then
// applies a configuration, which must still be reported as accepted.
func applyAnswersDropped(s *scenarioRun) error {
	g := s.watchGenerations()
	defer g.stop()
	if err := s.SetFaults(platform.Faults{DropAnswers: 1}); err != nil {
		return err
	}
	s.document.Policies.Addresses.TTLSeconds++
	output, code, err := s.apply(s.router("a-1"))
	if err != nil {
		return err
	}
	if code != 0 {
		s.addViolation(Configuration, "an accepted apply whose answer was lost ended with exit code %d and %q", code, output)
		return nil
	}
	if err := s.checkInForce(s.document.BasedOnGeneration, time.Now()); err != nil {
		return err
	}
	return s.startLoad()
}

// topUpDuringCut raises a total while the connections between the data centres are
// cut and one instance cannot reach the platform, so that it can learn the new
// total only from a peer.
func topUpDuringCut(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	g := s.watchGenerations()
	defer g.stop()
	s.network.setCentres(centreA, centreB, relay.Cut)
	s.network.setPlatform("b-2", relay.Cut)
	if err := s.waitUntilUnreachable("a-1", "b-1"); err != nil {
		return err
	}
	if err := s.topUp(); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsDuring); err != nil {
		return err
	}
	s.network.setPlatform("b-2", relay.Open)
	s.network.setCentres(centreA, centreB, relay.Open)
	return s.waitUntilLive("a-1", "b-1")
}

// topUp raises the total of the tight budget and waits until it is in force.
func (s *scenarioRun) topUp() error {
	for i := range s.document.Budgets {
		if s.document.Budgets[i].Name == tight.name {
			s.document.Budgets[i].PrepaidTokens += topUpTokens
		}
	}
	output, code, err := s.apply(s.router("a-1"))
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("top-up: exit code %d: %s", code, output)
	}
	return s.checkInForce(s.document.BasedOnGeneration, time.Now())
}
