package faults

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"

	"plantainfield.example/bench/relay"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/ledger"
	"plantainfield.example/standins/platform"
)

const (
	// crashText in a prompt makes the engine that runs it crash.
	crashText = "poison-pill"
	// maxCrashes is the promised maximum number of targets in the fleet that one
	// request crashes.
	maxCrashes = 2
	// resends is the number of times that the crashing request is sent; the
	// sends are spread over all instances.
	resends = 8
	// minRefusals is the number of requests that each instance must have refused
	// because the budget was exhausted.
	minRefusals = 3
)

func budgetScenarios() []Scenario {
	return []Scenario{
		{Name: "budget run to its end everywhere", Mechanism: "reservation of the worst case; conditional update of the ledger", run: exhaustBudget},
		{Name: "budget run to its end through a cut", Mechanism: "admission against the recorded grant only", run: exhaustBudgetDuringCut},
		{Name: "budget run to its end, platform down", Mechanism: "admission against the recorded grant only", run: exhaustBudgetPlatformDown},
		{Name: "paused instance replaced, wakes after its grant was closed", Mechanism: "a closed grant is charged in full", run: resumeAfterGrantClosed},
		{
			Name: "request that crashes engines", Mechanism: "quarantine shared by all instances", promises: []Promise{CrashBound},
			options: options{engineFlags: []string{"--crash-on", crashText}}, run: crashingRequest,
		},
	}
}

// tightBudgetRequest returns a model request on the tight budget.
func tightBudgetRequest(rng *rand.Rand) request {
	return request{customer: tight, idempotent: true, stream: rng.IntN(2) == 0, text: "no hot water"}
}

// exhaustedRefusals returns the number of sends that an instance refused because
// the budget was exhausted.
func (s *scenarioRun) exhaustedRefusals(address string) int {
	n := 0
	for _, r := range s.requestLog.Records() {
		for _, send := range r.Sends {
			if send.Address == address && send.Result.Error != nil && send.Result.Error.Code == errkind.BudgetExhausted {
				n++
			}
		}
	}
	return n
}

// waitUntilExhausted waits until each of these instances has refused minRefusals
// sends because the budget was exhausted.
func (s *scenarioRun) waitUntilExhausted(names ...string) error {
	for _, name := range names {
		address := s.router(name).Settings.Callers.Address
		if err := s.waitFor("refusals for an exhausted budget at "+name, func() bool { return s.exhaustedRefusals(address) >= minRefusals }); err != nil {
			return err
		}
	}
	return nil
}

func exhaustBudget(s *scenarioRun) error {
	s.callers.start(callerCount, tightBudgetRequest)
	return s.waitUntilExhausted("a-1", "a-2", "b-1", "b-2")
}

func exhaustBudgetDuringCut(s *scenarioRun) error {
	s.callers.start(callerCount, tightBudgetRequest)
	if err := s.waitForRequests(requestsBefore); err != nil {
		return err
	}
	s.network.setCentres(centreA, centreB, relay.Cut)
	s.network.setPlatform("b-1", relay.Cut)
	s.network.setPlatform("b-2", relay.Cut)
	if err := s.waitUntilExhausted("a-1", "a-2"); err != nil {
		return err
	}
	s.network.setPlatform("b-1", relay.Open)
	s.network.setPlatform("b-2", relay.Open)
	s.network.setCentres(centreA, centreB, relay.Open)
	return s.waitUntilExhausted("b-1", "b-2")
}

func exhaustBudgetPlatformDown(s *scenarioRun) error {
	s.callers.start(callerCount, tightBudgetRequest)
	if err := s.waitForRequests(requestsBefore); err != nil {
		return err
	}
	if err := s.SetFaults(platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := s.waitForRequests(4 * requestsDuring); err != nil {
		return err
	}
	if err := s.SetFaults(platform.Faults{}); err != nil {
		return err
	}
	return s.waitUntilExhausted("a-1", "a-2", "b-1", "b-2")
}

// resumeAfterGrantClosed pauses an instance, starts a new process under its name
// at other addresses, and resumes the paused process after its grant was closed.
// Callers exhaust the budget at both.
func resumeAfterGrantClosed(s *scenarioRun) error {
	s.callers.start(callerCount, tightBudgetRequest)
	old := s.router("b-1")
	address := old.Settings.Callers.Address
	if err := s.waitFor("streams at b-1", func() bool { return s.callers.streamsAt(address) >= 2 }); err != nil {
		return err
	}
	if err := old.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s.Unregister("b-1")
	if _, err := s.addInstance("b-1"); err != nil {
		return err
	}
	if err := s.waitFor("the grant is closed", func() bool { return s.grantClosed("b-1/") }); err != nil {
		return err
	}
	if err := old.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	s.callers.updateAddresses(func([]string) []string { return s.callerAddresses() })
	if err := s.waitUntilExhausted("a-1", "a-2", "b-1", "b-2"); err != nil {
		return err
	}
	return s.waitFor("refusals for an exhausted budget at the resumed process", func() bool { return s.exhaustedRefusals(address) >= minRefusals })
}

// grantClosed reports whether a grant of the tight budget is closed whose holder's
// name has a prefix.
func (s *scenarioRun) grantClosed(prefix string) bool {
	obs, err := s.observations(nil)
	if err != nil {
		return false
	}
	for _, o := range obs.Ledgers {
		shard, err := ledger.Decode(o.Value)
		if err != nil || shard.Budgets[tight.name] == nil {
			continue
		}
		for h, g := range shard.Budgets[tight.name].Grants {
			if strings.HasPrefix(string(h), prefix) && g.Closed {
				return true
			}
		}
	}
	return false
}

// crashingRequest sends a request that crashes each engine that runs it. Like one
// caller, it repeats the request with the same idempotency key.
func crashingRequest(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	q := request{customer: wide, idempotent: true, stream: true, text: crashText}
	rng := rand.New(rand.NewPCG(s.callers.seed, crashSeed))
	r := s.callers.newRecord(q)
	finalAnswers := 0
	for n := range resends {
		address := s.callerAddresses()[(n+rng.IntN(2))%len(s.Routers)]
		send := s.callers.send(address, r, q)
		r.Sends = append(r.Sends, send)
		if send.Result.Error != nil && send.Result.Error.RetryAfterSeconds == 0 {
			finalAnswers++
		}
		if send.Result.Complete {
			s.addViolation(CrashBound, "the crashing request got a complete answer")
		}
	}
	s.requestLog.Add(r)
	if err := s.checkCrashes(r.Nonce, finalAnswers); err != nil {
		return err
	}
	return s.waitForRequests(requestsAfter)
}

// crashSeed selects a random sequence for the crashing request that differs from
// the callers' sequences.
const crashSeed = 1 << 32

func (s *scenarioRun) checkCrashes(nonce string, finalAnswers int) error {
	runs, err := s.runs()
	if err != nil {
		return err
	}
	crashes := 0
	for _, e := range runs {
		if e.Nonce == nonce && e.Event == "crashed" {
			crashes++
		}
	}
	if crashes > maxCrashes {
		s.addViolation(CrashBound, "one request crashed %d engines", crashes)
	}
	if crashes == 0 {
		return fmt.Errorf("no engine crashed")
	}
	if finalAnswers == 0 {
		s.addViolation(CrashBound, "none of %d sends got a final answer", resends)
	}
	return nil
}
