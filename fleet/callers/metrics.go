package callers

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"plantainfield.example/core/event"
	"plantainfield.example/core/stream"
)

// metrics are the metrics of the requests served. All labels have few distinct
// values.
type metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	resumes       prometheus.Counter
	dropped       *prometheus.CounterVec
	firstToken    prometheus.Histogram
	betweenTokens prometheus.Histogram
}

// Values of the label "result" of requests_total.
const (
	resultAnswered   = "answered"
	resultReplayed   = "replayed"
	resultRefused    = "refused"
	resultHandedOver = "handed_over"
	resultCut        = "cut"
)

const namespace = "plantainfield"

func newMetrics() metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, low float64, buckets int) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(low, 2, buckets),
		})
	}
	return metrics{
		requests:      counter("requests_total", "Ended requests by kind and result.", "kind", "result"),
		attempts:      counter("attempts_total", "Ended attempts by kind and outcome.", "kind", "outcome"),
		resumes:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "stream_resumes_total", Help: "Reconnections to a stream at its engine after the response broke off."}),
		dropped:       counter("frames_dropped_total", "Engine frames dropped as duplicates or as frames of other attempts.", "reason"),
		firstToken:    histogram("first_token_seconds", "Time from a request's arrival to its first output frame.", 0.001, 18),
		betweenTokens: histogram("between_tokens_seconds", "Mean time between the output frames of a complete response.", 0.0005, 14),
	}
}

// Collectors returns the server's metrics for registration.
func (s *Server) Collectors() []prometheus.Collector {
	m := s.metrics
	return []prometheus.Collector{m.requests, m.attempts, m.resumes, m.dropped, m.firstToken, m.betweenTokens}
}

// countResult records the end of the request.
func (x *exchange) countResult(result string) {
	x.server.metrics.requests.WithLabelValues(string(x.arrival.Kind), result).Inc()
}

// countAttempt records the end of an attempt.
func (x *exchange) countAttempt(e event.AttemptEnded) {
	x.server.metrics.attempts.WithLabelValues(string(x.arrival.Kind), string(e.Outcome)).Inc()
	if e.BetweenTokens > 0 {
		x.server.metrics.betweenTokens.Observe(e.BetweenTokens.Seconds())
	}
}

func (x *exchange) countFirstToken(at time.Time) {
	x.server.metrics.firstToken.Observe(at.Sub(x.arrived).Seconds())
}

func (s *Server) countDropped(v stream.Verdict) {
	reason := "foreign"
	if v == stream.DropDuplicate {
		reason = "duplicate"
	}
	s.metrics.dropped.WithLabelValues(reason).Inc()
}
