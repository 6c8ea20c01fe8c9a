// Package audit compares the ledger with the bill log.
package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
)

// Report is the result of an audit.
type Report struct {
	Budgets []BudgetReport `json:"budgets"`
	// Violations lists broken invariants; it is empty if the ledger and the
	// bill log are consistent.
	Violations []string `json:"violations"`
	// Bills is the number of bill lines.
	Bills int `json:"bills"`
}

// BudgetReport is the result for one budget. Amounts are in tokens.
type BudgetReport struct {
	Budget      string `json:"budget"`
	Prepaid     int64  `json:"prepaid"`
	Settled     int64  `json:"settled"`
	Outstanding int64  `json:"outstanding"`
	// Billed is the sum of the budget's bill lines; Bills is their number.
	Billed int64 `json:"billed"`
	Bills  int   `json:"bills"`
}

// Run audits ledger shards and bill segments as stored in the platform.
func Run(ledgers, segments []event.Object) (Report, error) {
	r := Report{Violations: []string{}, Budgets: []BudgetReport{}}
	rows := map[string]*BudgetReport{}
	for _, o := range ledgers {
		if err := r.addShard(rows, o); err != nil {
			return r, err
		}
	}
	if err := r.addBills(rows, segments); err != nil {
		return r, err
	}
	for _, row := range rows {
		if row.Billed > row.Settled+row.Outstanding {
			r.Violations = append(r.Violations, fmt.Sprintf("budget %s: billed %d tokens, settled and outstanding %d", row.Budget, row.Billed, row.Settled+row.Outstanding))
		}
		r.Budgets = append(r.Budgets, *row)
	}
	slices.SortFunc(r.Budgets, func(a, b BudgetReport) int { return cmp.Compare(a.Budget, b.Budget) })
	slices.Sort(r.Violations)
	return r, nil
}

func (r *Report) addShard(rows map[string]*BudgetReport, o event.Object) error {
	// Adds the budgets of a ledger shard to rows and checks their invariants.
	s, err := ledger.Decode(o.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", o.Name, err)
	}
	for name, b := range s.Budgets {
		if err := b.Check(); err != nil {
			r.Violations = append(r.Violations, fmt.Sprintf("budget %s: %v", name, err))
		}
		if name == ledgerera.StateBudget {
			continue
		}
		rows[name] = &BudgetReport{Budget: name, Prepaid: b.Prepaid, Settled: b.SettledTotal(), Outstanding: b.Outstanding()}
	}
	return nil
}

func (r *Report) addBills(rows map[string]*BudgetReport, segments []event.Object) error {
	// Adds the lines of bill segments to the rows of their budgets and reports
	// requests that were billed twice.
	seen := map[bill.RequestID]bool{}
	for _, o := range segments {
		var seg bill.Segment
		if err := json.Unmarshal(o.Value, &seg); err != nil {
			return fmt.Errorf("%s: %w", o.Name, err)
		}
		for _, line := range seg.Lines {
			r.Bills++
			if seen[line.ID()] {
				r.Violations = append(r.Violations, fmt.Sprintf("customer %s, key %s: billed twice", line.Customer, line.Key))
			}
			seen[line.ID()] = true
			row := rows[line.Budget]
			if row == nil {
				row = &BudgetReport{Budget: line.Budget}
				rows[line.Budget] = row
			}
			row.Billed += line.Tokens
			row.Bills++
		}
	}
	return nil
}
