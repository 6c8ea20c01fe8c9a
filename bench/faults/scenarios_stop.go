package faults

import (
	"bytes"
	"net/http"
	"syscall"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/bench/relay"
	"plantainfield.example/core/event"
	"plantainfield.example/standins/platform"
)

const (
	// leavingTimeout is the promise: no new work later than this after a target
	// says, or the instance list shows, that it is leaving.
	leavingTimeout = 3 * time.Second
	// observeAfterBound is how long callers go on after that.
	observeAfterBound = 1500 * time.Millisecond
	// listLag is how late the instance list is.
	listLag = 10 * time.Second
	// shortLag is the list's lag where a scenario waits for it.
	shortLag = 200 * time.Millisecond
)

func stopScenarios() []Scenario {
	return []Scenario{
		{
			Name: "target leaves, list lags 10 s", Mechanism: "a target's own report stops new work", promises: []Promise{LeavingTarget},
			options: options{platformFlags: []string{"--instance-lag", listLag.String()}}, run: targetLeaves,
		},
		{
			Name: "only the list says that a target leaves", Mechanism: "the list and peers stop new work", promises: []Promise{LeavingTarget},
			options: options{platformFlags: []string{"--instance-lag", shortLag.String()}}, run: onlyListShowsLeaving,
		},
		{
			Name: "planned stop in mid-stream", Mechanism: "graceful shutdown; grants returned", promises: []Promise{PlannedStop}, run: plannedStop,
		},
		{
			Name: "platform down, then planned stop", Mechanism: "as for each of the two", promises: []Promise{PlannedStop}, run: platformDownThenStop,
		},
	}
}

// targetLeaves lets an engine itself say that it is going away. The engine
// would then refuse new work; its record of refusals counts as new work too.
func targetLeaves(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	t := s.Targets[0]
	resp, err := http.Post("http://"+t.Instance.Address+"/control/leave", "application/json", bytes.NewReader(nil))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return s.checkNoNewWork(t, time.Now())
}

// onlyListShowsLeaving shows an engine as leaving in the instance list alone, while one
// instance does not get the list.
func onlyListShowsLeaving(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	t := s.Targets[0]
	s.network.setPlatform("a-2", relay.Cut)
	if err := s.SetState(t, event.StateLeaving); err != nil {
		return err
	}
	if err := s.checkNoNewWork(t, time.Now().Add(shortLag)); err != nil {
		return err
	}
	s.network.setPlatform("a-2", relay.Open)
	return s.waitForRequests(requestsAfter)
}

// checkNoNewWork lets callers go on and then looks into the target's own record.
func (s *scenarioRun) checkNoNewWork(t *harness.Target, since time.Time) error {
	bound := since.Add(leavingTimeout)
	err := s.waitFor("the bound is over", func() bool { return time.Since(bound) > observeAfterBound })
	if err != nil {
		return err
	}
	if err := s.waitForRequests(requestsAfter); err != nil {
		return err
	}
	runs, err := s.runs()
	if err != nil {
		return err
	}
	for _, e := range runs {
		if e.Target == t.Name && (e.Event == "started" || e.Event == "refused") && e.Time.After(bound) {
			s.addViolation(LeavingTarget, "%s %s attempt %s %v after it was leaving", t.Name, e.Event, e.Attempt, e.Time.Sub(since).Round(time.Millisecond))
		}
	}
	return nil
}

func plannedStop(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	r := s.router("b-1")
	stopped, err := s.signalStop(r)
	if err != nil {
		return err
	}
	if err := s.checkStopped(r); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsAfter); err != nil {
		return err
	}
	s.callers.stop()
	s.checkInFlightAnswers(r, stopped)
	return s.stopAll()
}

// signalStop asks an instance in mid-stream to stop and returns when it did.
func (s *scenarioRun) signalStop(r *harness.Router) (time.Time, error) {
	if err := s.waitForStreamsAndNonIdempotent(r); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	return at, r.Signal(syscall.SIGTERM)
}

// checkStopped waits for the end of a planned stop and checks it: exit code 0 and
// no grant left.
func (s *scenarioRun) checkStopped(r *harness.Router) error {
	if err := r.Stop(waitTimeout); err != nil {
		s.addViolation(PlannedStop, "%v", err)
	}
	s.removeRouter(r)
	name, address := r.Settings.Name, r.Settings.Callers.Address
	if err := s.waitFor("answers of "+name, func() bool { return s.callers.inFlightAt(address) == 0 }); err != nil {
		return err
	}
	left, err := s.outstanding(name + "/")
	if err != nil {
		return err
	}
	if left != 0 {
		s.addViolation(PlannedStop, "%s left %d tokens outstanding", name, left)
	}
	return nil
}

// checkInFlightAnswers finds answers that were in flight at the stop and broke. It needs
// the records of all callers, which must have stopped.
func (s *scenarioRun) checkInFlightAnswers(r *harness.Router, at time.Time) {
	name, address := r.Settings.Name, r.Settings.Callers.Address
	for _, rec := range s.requestLog.Records() {
		for _, send := range rec.Sends {
			res := send.Result
			if send.Address == address && send.Start.Before(at) && send.End.After(at) && !res.Complete && res.Error == nil {
				s.addViolation(PlannedStop, "request %s, in flight at %s when it was stopped, was cut off: %v", rec.Key, name, res.TransportErr)
			}
		}
	}
}

// platformDownThenStop stops an instance while the platform is down; the platform
// comes back once nothing is in flight there.
func platformDownThenStop(s *scenarioRun) error {
	if err := s.startLoad(); err != nil {
		return err
	}
	r := s.router("b-1")
	if err := s.waitForStreamsAndNonIdempotent(r); err != nil {
		return err
	}
	if err := s.SetFaults(platform.Faults{Down: true}); err != nil {
		return err
	}
	at := time.Now()
	if err := r.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := s.waitFor("answers of b-1", func() bool { return s.callers.inFlightAt(r.Settings.Callers.Address) == 0 }); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsDuring); err != nil {
		return err
	}
	if err := s.SetFaults(platform.Faults{}); err != nil {
		return err
	}
	if err := s.checkStopped(r); err != nil {
		return err
	}
	if err := s.waitForRequests(requestsAfter); err != nil {
		return err
	}
	s.callers.stop()
	s.checkInFlightAnswers(r, at)
	return nil
}
