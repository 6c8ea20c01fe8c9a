package load

import (
	"slices"
	"strings"
	"time"

	"plantainfield.example/core/audit"
	"plantainfield.example/core/errkind"
)

// budgetRefusals are the error kinds of requests that were refused because the
// budget was exhausted or could not be reached.
var budgetRefusals = []errkind.Kind{errkind.BudgetExhausted, errkind.BudgetUnsettled, errkind.BudgetUnavailable, errkind.Isolated}

// falseRefusal returns the first send that was refused for lack of budget although
// the budget could have covered it, or nil. The budget covers a request if its
// total, less the consumption of finished runs and the worst case of all other
// runs, is at least the worst case of the request.
func (c *checker) falseRefusal(r *Record) *Send {
	for i := range r.Sends {
		s := &r.Sends[i]
		if s.Result.Error == nil || !slices.Contains(budgetRefusals, s.Result.Error.Code) {
			continue
		}
		if c.prepaidAt(r.Budget, s.Start)-c.maxConsumedAt(r.Budget, s.End) >= r.WorstCase {
			return s
		}
	}
	return nil
}

func (c *checker) prepaidAt(budget string, at time.Time) int64 {
	var total int64
	for _, p := range c.Prepaid[budget] {
		if !p.From.After(at) {
			total = p.Total
		}
	}
	return total
}

// maxConsumedAt returns an upper bound on the consumption of a budget until a
// time: runs that had not finished by then count with their worst case.
func (c *checker) maxConsumedAt(budget string, at time.Time) int64 {
	var sum int64
	for _, q := range c.byNonce {
		if q.record.Budget != budget {
			continue
		}
		for _, ran := range q.runs {
			switch {
			case ran.start.After(at):
			case !ran.end.IsZero() && !ran.end.After(at):
				sum += ran.tokens
			default:
				sum += q.record.WorstCase
			}
		}
	}
	return sum
}

// consumedBefore returns the tokens consumed, according to the run logs, by the runs
// of a budget that started and ended before a time. Runs without a logged end count
// with the tokens logged so far.
func (c *checker) consumedBefore(budget string, at time.Time) int64 {
	var sum int64
	for _, q := range c.byNonce {
		for _, ran := range q.runs {
			if q.record.Budget == budget && ran.start.Before(at) && (ran.end.IsZero() || ran.end.Before(at)) {
				sum += ran.tokens
			}
		}
	}
	return sum
}

// checkBudgets compares the consumption of each budget with the prepaid totals in
// force over time and with what the ledger has settled or holds as outstanding.
func (c *checker) checkBudgets(report audit.Report) {
	for _, v := range report.Violations {
		if strings.HasSuffix(v, "billed twice") {
			addFinding(&c.findings.Billing, "%s", v)
		} else {
			addFinding(&c.findings.Overspend, "%s", v)
		}
	}
	end := time.Unix(1<<40, 0)
	for budget, totals := range c.Prepaid {
		for i, p := range totals {
			until := end
			if i+1 < len(totals) {
				until = totals[i+1].From
			}
			if used := c.consumedBefore(budget, until); used > p.Total {
				addFinding(&c.findings.Overspend, "budget %s: %d tokens were consumed, but only %d were prepaid", budget, used, p.Total)
			}
		}
	}
	for _, b := range report.Budgets {
		if used := c.consumedBefore(b.Budget, end); used > b.Settled+b.Outstanding {
			addFinding(&c.findings.Overspend, "budget %s: %d tokens were consumed, but the ledger settled or holds only %d", b.Budget, used, b.Settled+b.Outstanding)
		}
	}
	slices.Sort(c.findings.Overspend)
}
