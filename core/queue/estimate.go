package queue

import "time"

// sampleWeight sets the smoothing: a new sample has a weight of 1/sampleWeight,
// the mean of the earlier ones the rest.
const sampleWeight = 8

// Estimate predicts waiting times from the durations of earlier attempts.
type Estimate struct {
	// serviceTime is the smoothed time that an attempt occupies its slot at a
	// target, and firstToken the smoothed time to its first token; 0 before the
	// first sample.
	serviceTime time.Duration
	firstToken  time.Duration
}

// ServiceTime returns the smoothed time that an attempt occupies its slot at a
// target, or 0 before the first sample.
func (e *Estimate) ServiceTime() time.Duration { return e.serviceTime }

// ObserveServiceTime records how long an attempt occupied its slot at a target.
func (e *Estimate) ObserveServiceTime(d time.Duration) { smooth(&e.serviceTime, d) }

// ObserveFirstToken records the time from an attempt's dispatch to its first
// token.
func (e *Estimate) ObserveFirstToken(d time.Duration) { smooth(&e.firstToken, d) }

func smooth(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += (d - *mean) / sampleWeight
}

// Wait returns the expected time until an entry with ahead entries before it is
// dispatched, at targets that together serve slots attempts at a time. It is 0
// before the first sample, and if there is no slot.
func (e *Estimate) Wait(ahead int, slots float64) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(e.serviceTime) / slots)
}

// TimeToFirstToken returns the expected time until the first token of an entry
// with ahead entries before it.
func (e *Estimate) TimeToFirstToken(ahead int, slots float64) time.Duration {
	return e.Wait(ahead, slots) + e.firstToken
}
