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
	// leavingTimeout is the promised time after which a target gets no new work
	// once it reports, or the instance list shows, that it is leaving.
	leavingTimeout = 3 * time.Second
	// observeAfterBound is how long callers continue to send after that.
	observeAfterBound = 1500 * time.Millisecond
	// listLag is the delay of changes in the instance list.
	listLag = 10 * time.Second
	// shortLag is the delay in a scenario that waits for the list.
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
			Name: "platform down, then planned stop", Mechanism: "as for the outage and the planned stop alone", promises: []Promise{PlannedStop}, run: platformDownThenStop,
		},
	}
}

// targetLeaves makes an engine report that it is leaving. From then on the engine
// refuses new work, so refusals in its run log count as new work too.
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

// onlyListShowsLeaving marks an engine as leaving in the instance list only, while
// one instance cannot read the list.
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

// checkNoNewWork lets callers continue past the bound and then checks the target's
// run log. since is the time from which the target was leaving.
func (s *scenarioRun) checkNoNewWork(t *harness.Target, since time.Time) error {
	bound := since.Add(leavingTimeout)
	err := s.waitFor("the time in which new work is observed has passed", func() bool { return time.Since(bound) > observeAfterBound })
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

// signalStop waits until an instance serves streams and a non-idempotent request,
// sends it SIGTERM and returns the time of the signal.
func (s *scenarioRun) signalStop(r *harness.Router) (time.Time, error) {
	if err := s.waitForStreamsAndNonIdempotent(r); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	return at, r.Signal(syscall.SIGTERM)
}

// checkStopped waits until a graceful stop has finished and checks that the exit
// code is 0 and that no grant is left outstanding.
func (s *scenarioRun) checkStopped(r *harness.Router) error {
	if err := r.Stop(waitTimeout); err != nil {
		s.addViolation(PlannedStop, "%v", err)
	}
	s.removeRouter(r)
	name, address := r.Settings.Name, r.Settings.Callers.Address
	if err := s.waitFor("the end of all answers of "+name, func() bool { return s.callers.inFlightAt(address) == 0 }); err != nil {
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

// checkInFlightAnswers records a violation for each answer that was in flight at
// the time of the stop and was cut off. The callers must have stopped, because
// only finished requests are recorded.
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

// platformDownThenStop stops an instance while the platform is down. The platform
// recovers once no request is in flight at the instance.
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
	if err := s.waitFor("the end of all answers of b-1", func() bool { return s.callers.inFlightAt(r.Settings.Callers.Address) == 0 }); err != nil {
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
