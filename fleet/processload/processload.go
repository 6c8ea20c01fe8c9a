// Package processload tells what keeps a process from its work: time in which
// goroutines could run but did not, and garbage collection.
package processload

import (
	"runtime/metrics"
	"time"
)

// Names of the runtime's metrics that are read.
const (
	metricRunQueue   = "/sched/latencies:seconds"
	metricGC         = "/cpu/classes/gc/total:cpu-seconds"
	metricMemory     = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// Load is the load of a process in a period.
type Load struct {
	// RunQueueMedian and RunQueueP99 are quantiles of the time that goroutines waited
	// for a processor after they could have run.
	RunQueueMedian, RunQueueP99 time.Duration
	// GC is the processor time that garbage collection used.
	GC time.Duration
	// MemoryBytes is the memory that counts against the memory limit, and Goroutines
	// the number of goroutines, both at the end of the period.
	MemoryBytes uint64
	Goroutines  uint64
}

// Sampler reads the load of this process. It is not safe for concurrent use.
type Sampler struct {
	samples []metrics.Sample
	// runQueue and gc are the totals at the end of the last period.
	runQueue []uint64
	gc       float64
}

// NewSampler returns a Sampler whose first period begins now.
func NewSampler() *Sampler {
	s := &Sampler{}
	for _, name := range []string{metricRunQueue, metricGC, metricMemory, metricReleased, metricGoroutines} {
		s.samples = append(s.samples, metrics.Sample{Name: name})
	}
	s.Sample()
	return s
}

// Sample returns the load since the last call.
func (s *Sampler) Sample() Load {
	metrics.Read(s.samples)
	histogram, gc := s.samples[0].Value.Float64Histogram(), s.samples[1].Value.Float64()
	waits := subtract(histogram.Counts, s.runQueue)
	load := Load{
		RunQueueMedian: quantile(histogram.Buckets, waits, 0.5),
		RunQueueP99:    quantile(histogram.Buckets, waits, 0.99),
		GC:             seconds(gc - s.gc),
		MemoryBytes:    s.samples[2].Value.Uint64() - s.samples[3].Value.Uint64(),
		Goroutines:     s.samples[4].Value.Uint64(),
	}
	s.runQueue, s.gc = append(s.runQueue[:0], histogram.Counts...), gc
	return load
}

func subtract(now, before []uint64) []uint64 {
	out := append([]uint64(nil), now...)
	for i := range before {
		out[i] -= before[i]
	}
	return out
}

// quantile returns the lower bound of the bucket that holds the quantile q of a
// histogram: counts[i] values lie between buckets[i] and buckets[i+1].
func quantile(buckets []float64, counts []uint64, q float64) time.Duration {
	total := uint64(0)
	for _, c := range counts {
		total += c
	}
	below := uint64(0)
	for i, c := range counts {
		below += c
		if c > 0 && float64(below) >= q*float64(total) {
			return seconds(max(0, buckets[i])) // the first bucket begins at minus infinity
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
