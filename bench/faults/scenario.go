package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"plantainfield.example/bench/harness"
	"plantainfield.example/bench/load"
	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
	"plantainfield.example/standins/platform"
)

// Promise names an invariant that the system must maintain under every fault. A
// violation is recorded with scenarioRun.addViolation.
type Promise string

// The promises, in the order in which they are reported:
//   - NotRunIsTrue: a request whose answer states that it did not run did not run.
//   - OwnAnswer: a caller gets only the answer to its own request, and an answer that
//     ends normally is complete.
//   - LeavingTarget: a target that is leaving gets no new work after leavingTimeout.
//   - PlannedStop: a graceful stop cuts off no answer, leaves no tokens outstanding
//     and ends with exit code 0.
//   - Configuration: exactly one of two concurrent applies is accepted; an accepted
//     generation is in force on every reachable instance within inForceTimeout; no
//     instance returns to a lower generation.
//   - ProcessesGoOn: no process of an instance ends unless the scenario ends it.
//   - CrashBound: a request crashes at most maxCrashes engines, gets a final error and
//     never a complete answer.
const (
	NeverOverspent Promise = "never overspent"
	BilledOnce     Promise = "billed exactly once"
	AtMostOnce     Promise = "non-idempotent at most once"
	NotRunIsTrue   Promise = "not run is true"
	OwnAnswer      Promise = "own whole answer"
	LeavingTarget  Promise = "leaving target gets no new work"
	PlannedStop    Promise = "planned stop cuts nothing off"
	Configuration  Promise = "configuration in force, never reverts"
	ProcessesGoOn  Promise = "no process ends by itself"
	CrashBound     Promise = "crashing request is given up"
)

// checkedAlways are the promises that are checked after every scenario. load.Check
// finds their violations.
var checkedAlways = []Promise{NeverOverspent, BilledOnce, AtMostOnce, NotRunIsTrue, OwnAnswer, ProcessesGoOn}

// Scenario runs load on a fleet and injects one or two faults.
type Scenario struct {
	Name string
	// Mechanism names the part of the design that the scenario tests.
	Mechanism string
	// promises are checked in addition to checkedAlways, by the scenario's own code.
	promises []Promise
	options  options
	// run injects the faults while callers send requests.
	run func(*scenarioRun) error
}

// Runner runs scenarios.
type Runner struct {
	// Bin is the directory of the built programs.
	Bin string
	// Seed is the seed of the callers' random choices of requests and instances.
	Seed uint64
	// Keep keeps the processes' files after the run.
	Keep bool
	// Out receives the report.
	Out io.Writer
}

const (
	callerCount   = 12
	waitTimeout   = 20 * time.Second
	settleTimeout = 10 * time.Second
	// maxShown is the maximum number of violations printed for one promise.
	maxShown = 4
)

// scenarioRun is one run of a scenario on its own cluster.
type scenarioRun struct {
	*cluster
	ctx        context.Context
	requestLog *load.RequestLog
	callers    *callerPool
	violations map[Promise][]string
	log        func(format string, args ...any)
}

// addViolation records a violation of a promise.
func (s *scenarioRun) addViolation(p Promise, format string, args ...any) {
	s.violations[p] = append(s.violations[p], fmt.Sprintf(format, args...))
}

// waitFor waits until a condition holds. It returns an error after waitTimeout or
// when the run is interrupted.
func (s *scenarioRun) waitFor(what string, condition func() bool) error {
	err := harness.Eventually(waitTimeout, what, func() bool { return s.ctx.Err() != nil || condition() })
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	return err
}

// waitForRequests waits until the callers have finished n more requests.
func (s *scenarioRun) waitForRequests(n int) error {
	goal := s.requestLog.Len() + n
	return s.waitFor(fmt.Sprintf("%d more requests", n), func() bool { return s.requestLog.Len() >= goal })
}

// Run runs a scenario, prints a line for each promise and reports whether all
// promises held.
func (r *Runner) Run(ctx context.Context, sc Scenario) bool {
	start := time.Now()
	found, records, findings, err := r.execute(ctx, sc)
	promises := append(append([]Promise(nil), checkedAlways...), sc.promises...)
	ok := true
	for _, p := range promises {
		verdict := "held"
		violations := found[p]
		falseRefusals := "-"
		if p == NeverOverspent {
			falseRefusals = fmt.Sprint(len(findings.FalseRefusals))
		}
		switch {
		case len(violations) > 0:
			verdict, ok = "VIOLATED", false
		case err != nil:
			verdict, ok = "not run", false
		}
		fmt.Fprintf(r.Out, "%s | %s | %d | %d | %s | %s\n", p, sc.Name, records, len(violations), falseRefusals, verdict)
		for i, v := range violations {
			if i == maxShown {
				fmt.Fprintf(r.Out, "    and %d more\n", len(violations)-maxShown)
				break
			}
			fmt.Fprintln(r.Out, "    violation:", v)
		}
	}
	if err != nil {
		fmt.Fprintf(r.Out, "    %s: scenario failed to run: %v\n", sc.Name, err)
	}
	fmt.Fprintf(r.Out, "    %s took %.1f s, seed %d\n", sc.Name, time.Since(start).Seconds(), r.Seed)
	return ok
}

// execute starts a cluster, runs the scenario and checks the promises. It returns
// the violations, the number of recorded requests and the findings of load.Check.
func (r *Runner) execute(ctx context.Context, sc Scenario) (map[Promise][]string, int, load.Findings, error) {
	var findings load.Findings
	dir, err := os.MkdirTemp("", "plantainfield-faults-")
	if err != nil {
		return nil, 0, findings, err
	}
	if r.Keep {
		fmt.Fprintln(r.Out, "    files of", sc.Name, "in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	c, err := startCluster(r.Bin, dir, sc.options)
	if err != nil {
		return nil, 0, findings, err
	}
	defer c.kill()
	s := &scenarioRun{cluster: c, ctx: ctx, requestLog: &load.RequestLog{}, violations: map[Promise][]string{}}
	s.log = func(format string, args ...any) { fmt.Fprintf(r.Out, "    "+format+"\n", args...) }
	s.callers = newCallerPool(s.requestLog, r.Seed, c.callerAddresses())
	err = sc.run(s)
	s.callers.stop()
	if ctx.Err() != nil {
		return nil, 0, findings, ctx.Err()
	}
	// Check the promises even if the run failed: a violation may be the cause.
	findings, checkErr := s.settleAndCheck()
	return s.violations, s.requestLog.Len(), findings, errors.Join(err, checkErr)
}

func (s *scenarioRun) settleAndCheck() (load.Findings, error) {
	for _, err := range s.EndedByThemselves() {
		s.addViolation(ProcessesGoOn, "%v", err)
	}
	if err := s.SetFaults(platform.Faults{}); err != nil {
		return load.Findings{}, err
	}
	if err := s.settle(); err != nil {
		return load.Findings{}, err
	}
	return s.check()
}

// settle waits until all runs have ended and all complete answers are billed. A
// timeout is only logged: check reports the missing bills.
func (s *scenarioRun) settle() error {
	err := harness.Eventually(settleTimeout, "all complete answers are billed", func() bool { return s.ctx.Err() != nil || s.allBilled() })
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if err != nil {
		s.log("not all complete answers were billed, or targets were still busy, after %v", settleTimeout)
	}
	return nil
}

// allBilled reports whether all complete answers have a bill line and no target is
// busy.
func (s *scenarioRun) allBilled() bool {
	obs, err := s.observations(nil)
	if err != nil {
		return false
	}
	lines, err := billLines(obs.Bills)
	if err != nil {
		return false
	}
	for _, r := range s.requestLog.Records() {
		if r.FirstComplete() != nil && !lines[bill.RequestID{Customer: r.Customer, Key: r.Key}] {
			return false
		}
	}
	return s.targetsIdle()
}

func billLines(segments []event.Object) (map[bill.RequestID]bool, error) {
	lines := map[bill.RequestID]bool{}
	for _, o := range segments {
		var seg bill.Segment
		if err := json.Unmarshal(o.Value, &seg); err != nil {
			return nil, err
		}
		for _, l := range seg.Lines {
			lines[l.ID()] = true
		}
	}
	return lines, nil
}

// targetsIdle reports whether no engine that answers has running or waiting
// streams.
func (s *scenarioRun) targetsIdle() bool {
	for _, t := range s.Targets {
		var l struct{ Running, Waiting int }
		if getJSON("http://"+t.Instance.Address+"/v1/load", &l) == nil && l.Running+l.Waiting > 0 {
			return false
		}
	}
	return true
}

func (s *scenarioRun) check() (load.Findings, error) {
	obs, err := s.observations(s.requestLog.Records())
	if err != nil {
		return load.Findings{}, err
	}
	f, err := load.Check(obs)
	for p, list := range map[Promise][]string{
		NeverOverspent: f.Overspend, BilledOnce: f.Billing, AtMostOnce: f.AtMostOnce, NotRunIsTrue: f.FalseNotRun, OwnAnswer: f.WrongAnswer,
	} {
		s.violations[p] = append(s.violations[p], list...)
	}
	return f, err
}
