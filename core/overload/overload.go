// Package overload decides which requests an instance takes while it is short of
// processor time. It answers the load of callers who stay at one instance and send
// more than it can process: taken in, their requests would delay every answer,
// time-out and configuration there.
package overload

import (
	"math"
	"time"
)

const (
	// window is the time over which waits are averaged.
	window = 50 * time.Millisecond
	// lateWindows is the number of successive windows in which the mean wait must be
	// longer than tolerated for the instance to be short. A single pause, such as a
	// garbage collection, is shorter.
	lateWindows = 2
	// stallRatio is how many times the tolerated wait work that was not begun must have
	// waited, and two windows at least, for the instance to be short.
	stallRatio = 3
	// severeRatio is how many times the tolerated wait work must wait for all requests
	// to be refused. Below it only those of customers with more than their share are.
	severeRatio = 5
	// staleWindows is the number of successive windows without observations after which
	// earlier ones no longer count: nothing had to wait.
	staleWindows = 4
	// shareTolerance is how many times the mean number of requests a customer may have
	// before it exceeds its share.
	shareTolerance = 1.25
	// rateHalfLife is the time in which the measured rate of a customer without
	// requests falls by half.
	rateHalfLife = time.Second
	// forgottenRate is the number of recent requests below which a customer is no
	// longer counted.
	forgottenRate = 0.05
	// minRetryAfter and retrySpread bound when callers are asked to come back.
	minRetryAfter = 50 * time.Millisecond
	retrySpread   = 500 * time.Millisecond
)

// usage is the number of a customer's requests that were taken recently: each counts
// half after rateHalfLife.
type usage struct {
	recent float64
	at     time.Duration
}

func (u *usage) value(now time.Duration) float64 {
	return u.recent * math.Exp2(-float64(now-u.at)/float64(rateHalfLife))
}

// Source is where the wait of work that was ready is observed.
type Source int

// The sources of waits.
const (
	// Loop is the wait of events for the loop that decides, and Scheduler the wait of
	// goroutines that are last in the scheduler's queue. Under load the one may be long
	// while the other is short.
	Loop Source = iota
	Scheduler
	sources
)

// waits are the waits that were observed at one source.
type waits struct {
	// sum and count are those of the current window.
	sum   time.Duration
	count int
	// mean is the mean wait in the last window with observations, and late the number
	// of successive windows in which it was longer than tolerated.
	mean time.Duration
	late int
	// empty is the number of windows since then without observations.
	empty int
}

func (w *waits) endWindow(tolerated time.Duration) {
	if w.count == 0 {
		if w.empty++; w.empty == staleWindows {
			w.mean, w.late = 0, 0
		}
		return
	}
	w.empty = 0
	w.mean = w.sum / time.Duration(w.count)
	w.sum, w.count = 0, 0
	if w.mean > tolerated {
		w.late++
	} else {
		w.late = 0
	}
}

// Gate decides which requests are taken. All times are since one fixed moment. It is
// not safe for concurrent use.
type Gate struct {
	// tolerated is the mean wait of work that is ready up to which the instance is not
	// short of processor time.
	tolerated time.Duration
	// began is when the current window began.
	began time.Duration
	waits [sources]waits
	// customers holds the usage of each customer that was active recently.
	customers map[string]*usage
}

// NewGate returns a Gate that has observed nothing, for an instance whose work may wait
// for a time in the mean.
func NewGate(tolerated time.Duration) *Gate {
	return &Gate{tolerated: tolerated, customers: map[string]*usage{}}
}

// Observe records that work which became ready was begun after a wait.
func (g *Gate) Observe(now time.Duration, s Source, wait time.Duration) {
	g.endWindow(now)
	g.waits[s].sum += max(0, wait)
	g.waits[s].count++
}

// endWindow ends the current window if it is over.
func (g *Gate) endWindow(now time.Duration) {
	if now-g.began < window {
		return
	}
	for i := range g.waits {
		g.waits[i].endWindow(g.tolerated)
	}
	g.began = now
}

// Wait returns how long work waits at the moment, given how long the oldest work that
// was not begun yet has waited.
func (g *Gate) Wait(now, pending time.Duration) time.Duration {
	g.endWindow(now)
	longest := pending
	for _, w := range g.waits {
		longest = max(longest, w.mean)
	}
	return longest
}

// Short reports whether the instance is short of processor time, given how long the
// oldest work that was not begun yet has waited.
func (g *Gate) Short(now, pending time.Duration) bool {
	g.endWindow(now)
	short := pending >= max(lateWindows*window, stallRatio*g.tolerated)
	for _, w := range g.waits {
		short = short || w.late >= lateWindows
	}
	return short
}

// Admit reports whether a request of a customer is taken, and counts it then. pending
// is how long the oldest work that was not begun yet has waited.
func (g *Gate) Admit(now, pending time.Duration, customer string) bool {
	if g.Short(now, pending) && (g.Wait(now, pending) >= severeRatio*g.tolerated || g.exceedsShare(now, customer)) {
		return false
	}
	g.countRequest(now, customer)
	return true
}

// countRequest counts a request that was taken.
func (g *Gate) countRequest(now time.Duration, customer string) {
	u := g.customers[customer]
	if u == nil {
		u = &usage{at: now}
		g.customers[customer] = u
	}
	u.recent, u.at = u.value(now)+1, now
}

// exceedsShare reports whether more requests of a customer were taken recently than of
// all customers in the mean. A customer that is alone always exceeds its share.
func (g *Gate) exceedsShare(now time.Duration, customer string) bool {
	u := g.customers[customer]
	if u == nil {
		return false
	}
	total := 0.0
	for name, other := range g.customers {
		v := other.value(now)
		if v < forgottenRate {
			delete(g.customers, name)
			continue
		}
		total += v
	}
	return len(g.customers) == 1 || u.value(now)*float64(len(g.customers)) > shareTolerance*total
}

// RetryAfter returns when the caller of a refused request may come back: after the
// work that waits, spread by a random number from 0 to 1 so that callers don't come
// back at the same moment. Other instances may have room before.
func (g *Gate) RetryAfter(now, pending time.Duration, random float64) time.Duration {
	return max(minRetryAfter, g.Wait(now, pending)) + time.Duration(random*float64(retrySpread))
}
