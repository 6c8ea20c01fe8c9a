// Package targethealth summarizes how the attempts at targets end, and says for how
// long a target is avoided after a failure.
package targethealth

import (
	"time"

	"plantainfield.example/core/backoff"
)

const (
	// AvoidAfterFailure is how long a target is avoided after a failure: it gets new
	// attempts only if no target is usable.
	AvoidAfterFailure = 2 * time.Second
	// MaxAvoidTime bounds how long a target that keeps losing attempts is
	// avoided. This time starts at AvoidAfterFailure and doubles with each loss
	// in a row.
	MaxAvoidTime = 8 * time.Second
	// errorAvoidTime is how long a target that returns errors more often than
	// others is avoided.
	errorAvoidTime = 3 * time.Second
	// failureWeight is the weight of one attempt in the moving average of a
	// target's failures. With it, a target that starts to fail is noticed after a
	// few attempts.
	failureWeight = 0.15
	// failureFloor is the share of failed attempts up to which errors do not
	// cause a target to be avoided; failureRatio is the same as a multiple of its
	// service's average share, since some services answer a part of their calls
	// with errors.
	failureFloor = 0.3
	failureRatio = 2
	// serviceFailureWeight is failureWeight for a whole service, which has many
	// targets.
	serviceFailureWeight = 0.02
)

// Target summarizes how a target's attempts have ended.
type Target struct {
	// FailureShare is the moving average of the share of attempts that failed.
	FailureShare float64
	// Losses counts the consecutive attempts that were lost without an answer.
	Losses int
}

// Services holds the moving average of the share of failed attempts, by service.
type Services map[string]float64

func (s Services) record(t *Target, serves string, value float64) {
	t.FailureShare += failureWeight * (value - t.FailureShare)
	s[serves] += serviceFailureWeight * (value - s[serves])
}

// Succeeded records an attempt that was answered.
func (s Services) Succeeded(t *Target, serves string) {
	t.Losses = 0
	s.record(t, serves, 0)
}

// Lost records an attempt without an answer and returns for how long the target is
// avoided.
func (s Services) Lost(t *Target, serves string) time.Duration {
	s.record(t, serves, 1)
	avoid := backoff.Exponential(AvoidAfterFailure, MaxAvoidTime, t.Losses)
	t.Losses++
	return avoid
}

// Failed records an attempt that the target answered with an error, and returns for
// how long the target is avoided: 0 if it does not fail more often than others.
func (s Services) Failed(t *Target, serves string) time.Duration {
	s.record(t, serves, 1)
	if t.FailureShare > max(failureFloor, failureRatio*s[serves]) {
		return errorAvoidTime
	}
	return 0
}

const (
	// FirstReportTimeout is how long to wait for a new target's first report
	// before relying on the instance list alone. It leaves a second beyond the
	// longest pause of this process that is not detected.
	FirstReportTimeout = 2 * time.Second
	// minReportTTL is the age up to which a report is always valid.
	minReportTTL = 1500 * time.Millisecond
	// reportTTLPeriods is the validity of a report in report intervals, for
	// targets that report rarely.
	reportTTLPeriods = 3
)

// Reports follows when a target reports.
type Reports struct {
	// lastAt is when it last reported, and interval the smoothed time between its
	// reports; 0 before the first report.
	lastAt   time.Duration
	interval time.Duration
}

// Record records a report.
func (r *Reports) Record(now time.Duration) {
	if r.lastAt > 0 {
		const smoothing = 8
		// A new interval has a weight of 1/8.
		r.interval += (now - r.lastAt - r.interval) / smoothing
	}
	r.lastAt = now
}

// Fresh reports whether the last report is recent enough, or none has come since a
// time after which one had to.
func (r *Reports) Fresh(now, since time.Duration) bool {
	if r.lastAt == 0 {
		return now-since >= FirstReportTimeout
	}
	return now-r.lastAt < max(minReportTTL, reportTTLPeriods*r.interval)
}
