package node

import (
	"encoding/json"
	"fmt"
	"slices"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// consumed returns the tokens that the targets recorded for a budget.
func (w *world) consumed(budget string) int64 {
	var sum int64
	for _, t := range w.targets {
		for _, r := range t.runs {
			if r.budget == budget {
				sum += r.tokens
			}
		}
	}
	return sum
}

// runsOf returns the attempts that targets recorded for a request.
func (w *world) runsOf(id bill.RequestID) []string {
	var attempts []string
	for _, name := range sortedKeys(w.targets) {
		for _, r := range w.targets[name].runs {
			if r.customer == id.Customer && r.key == id.Key {
				attempts = append(attempts, r.attempt)
			}
		}
	}
	return attempts
}

// bills returns the number of bill lines for each request.
func (w *world) bills() map[bill.RequestID]int {
	count := map[bill.RequestID]int{}
	for _, o := range w.objects[event.KindBillSegment] {
		var seg bill.Segment
		_ = json.Unmarshal(o.Value, &seg)
		for _, l := range seg.Lines {
			count[l.ID()]++
		}
	}
	return count
}

// violations checks the guarantees of the router against the records of the
// fakes.
func (w *world) violations(prepaid map[string]int64) []string {
	out := slices.Clone(w.problems)
	for budget, total := range prepaid {
		if used := w.consumed(budget); used > total {
			out = append(out, fmt.Sprintf("budget %s: consumed %d of %d prepaid", budget, used, total))
		}
	}
	for id, n := range w.bills() {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %v: %d bills", id, n))
		}
	}
	for _, c := range w.callers {
		an := w.answers[c]
		runs := w.runsOf(bill.RequestID{Customer: an.request.Customer, Key: an.request.Key})
		if !an.request.Idempotent && !an.request.Resumable && len(runs) > 1 {
			out = append(out, fmt.Sprintf("request %v: non-idempotent, ran %d times", an.request.Key, len(runs)))
		}
		if an.done && an.refused != errkind.None && an.ran == errkind.RanNo && intersects(an.attempts, runs) {
			out = append(out, fmt.Sprintf("request %v: refused as not run (%s), but ran", an.request.Key, an.refused))
		}
	}
	slices.Sort(out)
	return out
}

func intersects(a, b []string) bool {
	return slices.ContainsFunc(a, func(s string) bool { return slices.Contains(b, s) })
}

// ledgerBudgets decodes all ledger objects.
func (w *world) ledgerBudgets() map[string]*ledger.Budget {
	all := map[string]*ledger.Budget{}
	for _, o := range w.objects[event.KindLedger] {
		if s, err := ledger.Decode(o.Value); err == nil {
			addBudgets(all, s)
		}
	}
	return all
}
