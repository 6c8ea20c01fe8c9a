package serving

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which an instance counts its requests for one
	// value of their rate.
	demandWindow = time.Second
	// demandHalfLife is the time in which the rate of requests that the fleet is
	// prepared for falls by half, so that a short lull changes little.
	demandHalfLife = 20 * time.Second
)

// Arrivals measures the rate of requests at an instance.
type Arrivals struct {
	perSecond float64
	// count is the number of requests since the window began.
	count int
	since time.Duration
}

// Add counts a request.
func (a *Arrivals) Add() { a.count++ }

// At returns the rate in the last full window, per second.
func (a *Arrivals) At(now time.Duration) float64 {
	if elapsed := now - a.since; elapsed >= demandWindow {
		a.perSecond = float64(a.count) / elapsed.Seconds()
		a.count, a.since = 0, now
	}
	return a.perSecond
}

// Demand is the rate of callers' requests that a fleet is prepared for. It rises
// with the measured rate and falls slowly.
type Demand struct {
	// PerSecond is the rate as of the last update.
	PerSecond float64
	updatedAt time.Duration
}

// Update takes in the rate that was measured in the whole fleet and returns the
// demand. It does not fall while mayFall is false.
func (d *Demand) Update(now time.Duration, measured float64, mayFall bool) float64 {
	if mayFall {
		d.PerSecond *= math.Exp2(-float64(now-d.updatedAt) / float64(demandHalfLife))
	}
	d.updatedAt = now
	d.PerSecond = max(d.PerSecond, measured)
	return d.PerSecond
}
