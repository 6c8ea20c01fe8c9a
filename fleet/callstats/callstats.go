// Package callstats counts the calls that an instance makes to the platform, by
// kind of object, operation and outcome, for metrics and for the log.
package callstats

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Key identifies calls that are counted together.
type Key struct {
	// Kind is the kind of object, and Operation what is done with it.
	Kind      string
	Operation string
	// Outcome is "ok", the status code of a refusal, or "failed" if no response
	// was received.
	Outcome string
}

// Totals are sums over all calls of a Key.
type Totals struct {
	Calls uint64
	// SentBytes and ReceivedBytes are the sizes of bodies.
	SentBytes, ReceivedBytes uint64
	Took                     time.Duration
}

// Call is one call that has ended.
type Call struct {
	Key
	// SentBytes and ReceivedBytes are the sizes of the bodies.
	SentBytes, ReceivedBytes int
	Took                     time.Duration
}

// Recorder counts calls. It is safe for concurrent use. It implements
// prometheus.Collector.
type Recorder struct {
	mu sync.Mutex
	// totals is guarded by mu, as is era.
	totals map[Key]Totals
	era    uint64
}

// NewRecorder returns a Recorder without calls.
func NewRecorder() *Recorder { return &Recorder{totals: map[Key]Totals{}} }

// SetEra records the newest era in which the platform answered.
func (r *Recorder) SetEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = era
}

// Era returns the newest era in which the platform answered, or 0 for none.
func (r *Recorder) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// Observe counts a call.
func (r *Recorder) Observe(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.totals[c.Key]
	t.Calls++
	t.SentBytes += uint64(c.SentBytes)
	t.ReceivedBytes += uint64(c.ReceivedBytes)
	t.Took += c.Took
	r.totals[c.Key] = t
}

// Totals returns the totals since the start.
func (r *Recorder) Totals() map[Key]Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Key]Totals, len(r.totals))
	for k, t := range r.totals {
		out[k] = t
	}
	return out
}

var (
	labels       = []string{"kind", "operation", "outcome"}
	callsDesc    = prometheus.NewDesc("plantainfield_platform_calls_total", "Calls to the platform by kind of object, operation and outcome.", labels, nil)
	sentDesc     = prometheus.NewDesc("plantainfield_platform_sent_bytes_total", "Size of the bodies sent to the platform.", labels, nil)
	receivedDesc = prometheus.NewDesc("plantainfield_platform_received_bytes_total", "Size of the bodies received from the platform.", labels, nil)
	secondsDesc  = prometheus.NewDesc("plantainfield_platform_call_seconds_total", "Time that calls to the platform took.", labels, nil)
	eraDesc      = prometheus.NewDesc("plantainfield_platform_era", "Newest era of the platform's store plus 1; 0 for a store without eras. It rises when the store comes back from a copy.", nil, nil)
)

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{callsDesc, sentDesc, receivedDesc, secondsDesc, eraDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(ch chan<- prometheus.Metric) {
	for k, t := range r.Totals() {
		counter := func(d *prometheus.Desc, v float64) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, k.Kind, k.Operation, k.Outcome)
		}
		counter(callsDesc, float64(t.Calls))
		counter(sentDesc, float64(t.SentBytes))
		counter(receivedDesc, float64(t.ReceivedBytes))
		counter(secondsDesc, t.Took.Seconds())
	}
	ch <- prometheus.MustNewConstMetric(eraDesc, prometheus.GaugeValue, float64(r.Era()))
}

// logLine is one Key's part of a log line.
type logLine struct {
	Kind          string  `json:"kind"`
	Operation     string  `json:"op"`
	Outcome       string  `json:"outcome"`
	Calls         uint64  `json:"calls"`
	SentBytes     uint64  `json:"sent_bytes"`
	ReceivedBytes uint64  `json:"received_bytes"`
	MeanMillis    float64 `json:"mean_ms"`
}

// LogEvery logs the calls of each period until ctx ends.
func (r *Recorder) LogEvery(ctx context.Context, period time.Duration, log *zap.Logger) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	before := map[Key]Totals{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := r.Totals()
		if lines := difference(before, now); len(lines) > 0 {
			log.Info("platform calls", zap.Duration("period", period), zap.Any("calls", lines))
		}
		before = now
	}
}

// difference returns the calls that were counted between two totals, in order of
// their keys.
func difference(before, now map[Key]Totals) []logLine {
	var lines []logLine
	for k, t := range now {
		b := before[k]
		calls := t.Calls - b.Calls
		if calls == 0 {
			continue
		}
		lines = append(lines, logLine{
			Kind: k.Kind, Operation: k.Operation, Outcome: k.Outcome, Calls: calls,
			SentBytes: t.SentBytes - b.SentBytes, ReceivedBytes: t.ReceivedBytes - b.ReceivedBytes,
			MeanMillis: float64((t.Took - b.Took).Milliseconds()) / float64(calls),
		})
	}
	slices.SortFunc(lines, func(a, b logLine) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Outcome, b.Outcome))
	})
	return lines
}
