package faults

import (
	"syscall"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/bench/relay"
	"plantainfield.example/core/event"
	standin "plantainfield.example/standins/platform"
)

const (
	// requestsBefore, requestsDuring and requestsAfter are the numbers of requests
	// that callers finish before, during and after a fault.
	requestsBefore = 30
	requestsDuring = 30
	requestsAfter  = 30
	// pauseDuration is longer than the silence after which peers mark an instance
	// as unreachable.
	pauseDuration = 5500 * time.Millisecond
	// slowAnswerDelay is the delay of each answer of a slow platform.
	slowAnswerDelay = 300 * time.Millisecond
	// droppedAnswers is the number of writes whose answer the platform drops.
	droppedAnswers = 20

	unreachable = "unreachable"
)

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	all := []Scenario{
		{Name: "no fault", Mechanism: "settling and return of grants", promises: []Promise{PlannedStop}, run: noFault},
		{Name: "callers leave and send again elsewhere", Mechanism: "one bill per key in a log with conditional create", run: callersAbandon},
		{Name: "kill an instance in mid-stream", Mechanism: "worst case of each attempt held in the ledger; begun record; one bill per key", run: killInstance},
		{Name: "replace an instance in mid-stream", Mechanism: "closing the grant of a dead holder without a clock", run: replaceInstance},
		{Name: "pause an instance past its peers' timeout", Mechanism: "grants without a lease; begun record", run: pauseInstance},
		{Name: "cut between data centres", Mechanism: "grants are rights recorded in the ledger", run: cutCentres},
		{Name: "cut an instance from the platform", Mechanism: "admission against own grants; begun record before dispatch", run: cutPlatform},
		{Name: "platform hangs for an instance", Mechanism: "timeout of each platform call", run: platformHangs},
		{Name: "platform down", Mechanism: "admission against own grants; bills wait for the platform", run: platformDown},
		{Name: "platform slow", Mechanism: "one request in flight per object; answers wait a bounded time for bills", run: platformSlow},
		{Name: "platform answers dropped", Mechanism: "reading back operation ids", run: answersDropped},
		{Name: "kill an engine in mid-stream", Mechanism: "a stream without its end marker is incomplete; retries at another target", run: killEngine},
		{Name: "kill a service in mid-call", Mechanism: "begun record; failed attempts have an unknown outcome", run: killService},
		{Name: "platform down, then kill an instance", Mechanism: "bills that peers hold until the platform is back", run: platformDownThenKill},
		{Name: "instance cut from the platform, then killed", Mechanism: "bills that peers hold for an instance", run: platformCutThenKill},
		{Name: "cut between data centres, then kill", Mechanism: "as for the cut and the kill alone", run: centreCutThenKill},
	}
	all = append(all, configurationScenarios()...)
	all = append(all, stopScenarios()...)
	return append(all, budgetScenarios()...)
}

// startLoad starts callers with mixed requests and waits until they have finished
// the first ones.
func (s *scenarioRun) startLoad() error {
	s.callers.start(callerCount, mixedRequest)
	return s.waitForRequests(requestsBefore)
}

func noFault(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsAfter); err != nil {
		return err
	}
	s.callers.stop()
	return s.stopAll()
}

// stopAll stops all instances gracefully and checks that no grant is left
// outstanding.
func (s *scenarioRun) stopAll() error {
	if err := s.settle(); err != nil {
		return err
	}
	for _, r := range s.Routers {
		if err := r.Stop(waitTimeout); err != nil {
			s.addViolation(PlannedStop, "%v", err)
		}
	}
	left, err := s.outstanding("")
	if left != 0 {
		s.addViolation(PlannedStop, "%d tokens are outstanding after all instances stopped", left)
	}
	return err
}

// waitForStreamsAndNonIdempotent waits until an instance serves at least two
// streams and a non-idempotent request.
func (s *scenarioRun) waitForStreamsAndNonIdempotent(r *harness.Router) error {
	return s.waitFor("streams and a non-idempotent request at "+r.Settings.Name, func() bool { return s.callers.hasStreamsAndNonIdempotent(r.Settings.Callers.Address) })
}

func (s *scenarioRun) killWithNonIdempotentInFlight(name string) error {
	r := s.router(name)
	if err := s.waitForStreamsAndNonIdempotent(r); err != nil {
		return err
	}
	r.Kill()
	s.removeRouter(r)
	return nil
}

// callersAbandon makes callers abandon streams and send the requests to another
// instance, so that two instances bill the same request.
func callersAbandon(s *scenarioRun) error {
	s.callers.abandonSome = true
	if err := s.startLoad(); err != nil {
		return err
	}
	return s.waitForRequests(3 * requestsAfter)
}

func killInstance(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.killWithNonIdempotentInFlight("a-1"); err != nil {
		return err
	}
	return s.waitForRequests(requestsDuring + requestsAfter)
}

func replaceInstance(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.killWithNonIdempotentInFlight("a-1"); err != nil {
		return err
	}
	s.Unregister("a-1")
	r, err := s.addInstance("a-3")
	if err != nil {
		return err
	}
	if err := s.waitFor("the new instance answers requests", func() bool { return s.serves(r) }); err != nil {
		return err
	}
	s.callers.updateAddresses(func([]string) []string { return s.callerAddresses() })
	return s.waitForRequests(requestsDuring + requestsAfter)
}

func pauseInstance(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	r := s.router("b-1")
	if err := s.waitForStreamsAndNonIdempotent(r); err != nil {
		return err
	}
	if err := r.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	start := time.Now()
	if err := s.waitForRequests(requestsDuring); err != nil {
		return err
	}
	err := s.waitFor("the peers mark the instance as unreachable", func() bool {
		return time.Since(start) >= pauseDuration && s.stateOf(s.router("a-1"), "b-1") == unreachable
	})
	if err != nil {
		return err
	}
	if err := r.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return s.waitUntilLive("a-1", "b-1")
}

// waitUntilLive waits until the instance at reports another as live, and then
// until callers have finished more requests.
func (s *scenarioRun) waitUntilLive(at, name string) error {
	err := s.waitFor(name+" is live", func() bool { return s.stateOf(s.router(at), name) == string(event.StateLive) })
	if err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

func cutCentres(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	s.network.setCentres(centreA, centreB, relay.Cut)
	if err := s.waitUntilUnreachable("a-1", "b-1"); err != nil {
		return err
	}
	s.network.setCentres(centreA, centreB, relay.Open)
	return s.waitUntilLive("a-1", "b-1")
}

func (s *scenarioRun) waitUntilUnreachable(at, name string) error {
	err := s.waitFor(name+" is unreachable", func() bool { return s.stateOf(s.router(at), name) == unreachable })
	if err != nil {
		return err
	}
	return s.waitForRequests(requestsDuring)
}

func cutPlatform(s *scenarioRun) error   { return s.withPlatformLink(relay.Cut) }
func platformHangs(s *scenarioRun) error { return s.withPlatformLink(relay.Frozen) }

// withPlatformLink sets the mode of the relay from one instance to the platform
// while callers send, and then opens it again.
func (s *scenarioRun) withPlatformLink(mode relay.Mode) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	s.network.setPlatform("b-2", mode)
	if err := s.waitForRequests(2 * requestsDuring); err != nil {
		return err
	}
	s.network.setPlatform("b-2", relay.Open)
	return s.waitForRequests(requestsAfter)
}

// withPlatformFaults injects faults into the platform while callers send, and then
// clears them.
func (s *scenarioRun) withPlatformFaults(f standin.Faults) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.SetFaults(f); err != nil {
		return err
	}
	if err := s.waitForRequests(2 * requestsDuring); err != nil {
		return err
	}
	if err := s.SetFaults(standin.Faults{}); err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

func platformDown(s *scenarioRun) error { return s.withPlatformFaults(standin.Faults{Down: true}) }

func platformSlow(s *scenarioRun) error {
	return s.withPlatformFaults(standin.Faults{DelayMillis: int(slowAnswerDelay / time.Millisecond)})
}

func answersDropped(s *scenarioRun) error {
	return s.withPlatformFaults(standin.Faults{DropAnswers: droppedAnswers})
}

// killEngine kills an engine that runs streams.
func killEngine(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	t := s.Targets[0]
	err := s.waitFor("streams at "+t.Name, func() bool { return s.running(t) >= 2 })
	if err != nil {
		return err
	}
	t.Kill()
	return s.waitForRequests(requestsDuring + requestsAfter)
}

// running returns the number of streams that an engine runs.
func (s *scenarioRun) running(t *harness.Target) int {
	var l struct{ Running int }
	_ = getJSON("http://"+t.Instance.Address+"/v1/load", &l)
	return l.Running
}

// killService kills the only service while calls are in flight and restarts it at
// the same address.
func killService(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.waitFor("calls in flight at the service", s.callers.serviceCallsInFlight); err != nil {
		return err
	}
	t := s.Targets[len(s.Targets)-1]
	t.Kill()
	if err := s.waitForRequests(requestsDuring); err != nil {
		return err
	}
	if err := s.RestartTarget(t); err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

func platformDownThenKill(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	if err := s.SetFaults(standin.Faults{Down: true}); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsDuring); err != nil {
		return err
	}
	if err := s.killWithStreamsInFlight("a-1"); err != nil {
		return err
	}
	if err := s.SetFaults(standin.Faults{}); err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

// platformCutThenKill kills an instance that has been unable to reach the platform
// for a while.
func platformCutThenKill(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	s.network.setPlatform("b-2", relay.Cut)
	if err := s.waitForRequests(2 * requestsDuring); err != nil {
		return err
	}
	if err := s.killWithStreamsInFlight("b-2"); err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

// killWithStreamsInFlight kills an instance that serves at least two streams. It
// does not wait for a non-idempotent request: without the platform the instance
// cannot begin one.
func (s *scenarioRun) killWithStreamsInFlight(name string) error {
	r := s.router(name)
	if err := s.waitFor("streams at "+name, func() bool { return s.callers.streamsAt(r.Settings.Callers.Address) >= 2 }); err != nil {
		return err
	}
	r.Kill()
	s.removeRouter(r)
	return nil
}

func centreCutThenKill(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	s.network.setCentres(centreA, centreB, relay.Cut)
	if err := s.killWithNonIdempotentInFlight("a-2"); err != nil {
		return err
	}
	if err := s.waitUntilUnreachable("a-1", "b-1"); err != nil {
		return err
	}
	s.network.setCentres(centreA, centreB, relay.Open)
	return s.waitUntilLive("a-1", "b-1")
}
