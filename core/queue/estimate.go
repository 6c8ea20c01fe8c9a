package queue

import "time"

// weight is that of earlier samples against one new one.
const weight = 8

// Estimate predicts waits from how long attempts took so far.
type Estimate struct {
	// hold is the smoothed time that an attempt keeps its place at a target,
	// and first that to its first token; 0 before the first sample.
	hold  time.Duration
	first time.Duration
}

// ObserveServiceTime takes how long an attempt kept its place at a target.
func (e *Estimate) ObserveServiceTime(d time.Duration) { smooth(&e.hold, d) }

// ObserveFirstToken takes the time from an attempt's dispatch to its first token.
func (e *Estimate) ObserveFirstToken(d time.Duration) { smooth(&e.first, d) }

func smooth(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
		return
	}
	*mean += (d - *mean) / weight
}

// Wait is the expected time to the dispatch of an entry with ahead others
// before it, at targets that take places attempts at a time. It is 0 before
// the first sample, and where there is no place.
func (e *Estimate) Wait(ahead, places int) time.Duration {
	if places <= 0 {
		return 0
	}
	return time.Duration(ahead+1) * e.hold / time.Duration(places)
}

// TimeToFirstToken is the expected time to the first token of such an entry.
func (e *Estimate) TimeToFirstToken(ahead, places int) time.Duration {
	return e.Wait(ahead, places) + e.first
}
