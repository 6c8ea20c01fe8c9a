package load

import (
	"context"
	"fmt"
	"slices"

	"plantainfield.example/core/audit"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/platform"
	"plantainfield.example/standins/runlog"
)

// AuditReport compares what the targets ran with the ledger and the bills.
type AuditReport struct {
	Ledger audit.Report `json:"ledger"`
	// ConsumedTokens is the consumption according to all targets' run logs.
	ConsumedTokens int64 `json:"consumedTokens"`
	// SettledTokens and PrepaidTokens are the sums over all budgets of the ledger.
	SettledTokens int64 `json:"settledTokens"`
	PrepaidTokens int64 `json:"prepaidTokens"`
	// Runs is the number of attempts that targets started.
	Runs       int      `json:"runs"`
	Violations []string `json:"violations"`
}

// nonIdempotentCall is the stand-in service's call that must run at most once
// per idempotency key.
const nonIdempotentCall = "POST /bookings"

// Audit compares the ledger and the bills on the platform with the targets' run
// logs at the paths runLogs.
func Audit(ctx context.Context, client *platform.Client, runLogs []string) (AuditReport, error) {
	var r AuditReport
	ledgers, _, err := client.List(ctx, event.KindLedger)
	if err != nil {
		return r, err
	}
	bills, _, err := client.List(ctx, event.KindBillSegment)
	if err != nil {
		return r, err
	}
	if r.Ledger, err = audit.Run(ledgers, bills); err != nil {
		return r, err
	}
	r.Violations = slices.Clone(r.Ledger.Violations)
	for _, b := range r.Ledger.Budgets {
		r.SettledTokens += b.Settled
		r.PrepaidTokens += b.Prepaid
	}
	return r, r.addRuns(runLogs)
}

func (r *AuditReport) addRuns(runLogs []string) error {
	consumed := map[string]int64{}
	bookings := map[string]int{}
	for _, path := range runLogs {
		entries, err := runlog.Read(path)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if e.Event == "started" {
				r.Runs++
				if e.Call == nonIdempotentCall {
					bookings[e.Key]++
				}
			}
			consumed[e.Attempt] = max(consumed[e.Attempt], e.Tokens)
		}
	}
	for _, n := range consumed {
		r.ConsumedTokens += n
	}
	for key, n := range bookings {
		if n > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("non-idempotent call with key %s ran %d times", key, n))
		}
	}
	if r.ConsumedTokens > r.PrepaidTokens {
		r.Violations = append(r.Violations, fmt.Sprintf("targets consumed %d tokens, but only %d are prepaid", r.ConsumedTokens, r.PrepaidTokens))
	}
	slices.Sort(r.Violations)
	return nil
}
