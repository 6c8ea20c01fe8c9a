package load

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/audit"
	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
	"plantainfield.example/standins/runlog"
)

// PrepaidTotal is the prepaid total of a budget since the time From, in tokens.
type PrepaidTotal struct {
	From  time.Time
	Total int64
}

// Observations are the inputs of Check: the callers' records, the targets' run
// logs and the objects stored by the platform.
type Observations struct {
	Records        []Record
	Runs           []runlog.Entry
	Ledgers, Bills []event.Object
	// Prepaid maps each budget to the history of its totals, oldest first.
	Prepaid map[string][]PrepaidTotal
	// ServicePrice is the cost of one call of a plain service, in tokens.
	ServicePrice int64
}

// Findings lists the violations of each promise. FalseRefusals are not
// violations: they are only counted.
type Findings struct {
	Overspend  []string
	Billing    []string
	AtMostOnce []string
	// FalseNotRun lists requests that ran although their answer stated that they
	// did not run.
	FalseNotRun []string
	// WrongAnswer lists answers that belong to another request, or that ended
	// normally but are incomplete.
	WrongAnswer []string
	// FalseRefusals lists requests that were refused for lack of budget although
	// the budget could have covered them at that moment.
	FalseRefusals []string
}

// Check looks for violations of the promises in the observations. It returns an
// error if the run logs contain a nonce that no caller recorded.
func Check(o Observations) (Findings, error) {
	report, err := audit.Run(o.Ledgers, o.Bills)
	if err != nil {
		return Findings{}, err
	}
	c := &checker{Observations: o, byNonce: map[string]*requestRuns{}, billLines: map[bill.RequestID][]bill.Line{}}
	for i := range o.Records {
		r := &o.Records[i]
		c.byNonce[r.Nonce] = &requestRuns{record: r}
	}
	if err := c.readRuns(); err != nil {
		return Findings{}, err
	}
	if err := c.readBills(); err != nil {
		return Findings{}, err
	}
	for i := range o.Records {
		c.checkRequest(&o.Records[i])
	}
	c.checkBudgets(report)
	return c.findings, nil
}

// run is one execution of a request at a target.
type run struct {
	target, attempt string
	start           time.Time
	// end is zero if the run log has no end of this run. It equals start for a
	// service call, whose end is not logged.
	end time.Time
	// tokens is the consumption according to the run log, or the price of a
	// service call.
	tokens  int64
	crashed bool
}

// requestRuns is a request with its runs at all targets.
type requestRuns struct {
	record *Record
	runs   []*run
}

// checker holds the state of one Check.
type checker struct {
	Observations
	findings  Findings
	byNonce   map[string]*requestRuns
	billLines map[bill.RequestID][]bill.Line
}

// readRuns assigns the run log entries to their requests.
func (c *checker) readRuns() error {
	runs := map[string]*run{}
	entries := slices.Clone(c.Runs)
	slices.SortStableFunc(entries, func(a, b runlog.Entry) int { return a.Time.Compare(b.Time) })
	for _, e := range entries {
		if e.Nonce == "" {
			continue // not sent by the recorded callers
		}
		q := c.byNonce[e.Nonce]
		if q == nil {
			return fmt.Errorf("target %s ran a request with nonce %s, which no caller recorded", e.Target, e.Nonce)
		}
		id := e.Target + " " + e.Attempt
		switch e.Event {
		case "started", "crashed":
			r := &run{target: e.Target, attempt: e.Attempt, start: e.Time, tokens: e.Tokens, crashed: e.Event == "crashed"}
			if q.record.Service {
				r.tokens, r.end = c.ServicePrice, e.Time
			}
			runs[id] = r
			q.runs = append(q.runs, r)
		case "finished", "cancelled":
			if r := runs[id]; r != nil {
				r.tokens, r.end = max(r.tokens, e.Tokens), e.Time
			}
		}
	}
	return nil
}

func (c *checker) readBills() error {
	for _, o := range c.Bills {
		var seg bill.Segment
		if err := json.Unmarshal(o.Value, &seg); err != nil {
			return fmt.Errorf("%s: %w", o.Name, err)
		}
		for _, line := range seg.Lines {
			c.billLines[line.ID()] = append(c.billLines[line.ID()], line)
		}
	}
	return nil
}

func addFinding(list *[]string, format string, args ...any) {
	*list = append(*list, fmt.Sprintf(format, args...))
}

func (c *checker) checkRequest(r *Record) {
	q := c.byNonce[r.Nonce]
	if !r.Idempotent && len(q.runs) > 1 {
		addFinding(&c.findings.AtMostOnce, "non-idempotent request %s ran %d times", r.Key, len(q.runs))
	}
	c.checkBills(r, q)
	c.checkNotRun(r, q)
	for i := range r.Sends {
		c.checkAnswer(r, &r.Sends[i])
	}
	if s := c.falseRefusal(r); s != nil {
		addFinding(&c.findings.FalseRefusals, "request %s was refused with %s, although budget %s could have covered it", r.Key, s.Result.Error.Code, r.Budget)
	}
}

func (c *checker) checkBills(r *Record, q *requestRuns) {
	lines := c.billLines[bill.RequestID{Customer: r.Customer, Key: r.Key}]
	complete := r.FirstComplete()
	switch {
	case len(lines) > 1: // reported by audit.Run
	case len(lines) == 0 && complete != nil:
		addFinding(&c.findings.Billing, "request %s has a complete answer but no bill", r.Key)
	case len(lines) == 1 && len(q.runs) == 0:
		addFinding(&c.findings.Billing, "request %s is billed but did not run", r.Key)
	case len(lines) == 1 && !q.consumed(lines[0].Tokens):
		addFinding(&c.findings.Billing, "request %s is billed %d tokens, which none of its runs consumed", r.Key, lines[0].Tokens)
	}
}

// consumed reports whether a run of the request consumed this number of tokens.
// The billed run may be an earlier one than the run whose answer was received, if
// the caller abandoned the first answer and sent the request again.
func (q *requestRuns) consumed(tokens int64) bool {
	return slices.ContainsFunc(q.runs, func(r *run) bool { return r.tokens == tokens })
}

// checkNotRun compares answers that state "not run" with the runs. Such an answer
// covers only its own send, so sends that follow a send with any other answer are
// not checked: the earlier send may have caused the runs.
func (c *checker) checkNotRun(r *Record, q *requestRuns) {
	for i := range r.Sends {
		s := &r.Sends[i]
		if !s.statesNotRun() {
			return
		}
		for _, ran := range q.runs {
			later := i+1 < len(r.Sends) && !ran.start.Before(r.Sends[i+1].Start)
			if !ran.start.Before(s.Start) && !later {
				addFinding(&c.findings.FalseNotRun, "request %s was answered %s, which states that it did not run, but it ran at %s", r.Key, s.Result.Error.Code, ran.target)
			}
		}
	}
}
