package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// latencyBuckets are in seconds. They range from a fast plain response to the
// longest deadline of a stream.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .3, .4, .8, 1.5, 3, 6, 15}

type metrics struct {
	refused      *prometheus.CounterVec
	handOvers    *prometheus.CounterVec
	notices      *prometheus.CounterVec
	responseTime *prometheus.HistogramVec
	firstEvent   *prometheus.HistogramVec
}

func newMetrics() *metrics {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, []string{"kind"})
	}
	return &metrics{
		refused:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "plantainfield_requests_refused_total", Help: "Requests that the router refused or aborted, by error kind."}, []string{"kind"}),
		handOvers:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "plantainfield_hand_overs_total", Help: "Requests sent to peers because this instance reached no target for them, by result: answered, refused, lost or cancelled."}, []string{"result"}),
		notices:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "plantainfield_target_notices_total", Help: "Responses in which targets said something of themselves, by what they said; unusable if it could not be read."}, []string{"notice"}),
		responseTime: histogram("plantainfield_answer_seconds", "Time from a request's arrival to the end of its response, by kind of route."),
		firstEvent:   histogram("plantainfield_first_event_seconds", "Time from a request's arrival to the first data of its stream, by kind of route."),
	}
}

// Collectors returns the server's metrics for registration.
func (s *Server) Collectors() []prometheus.Collector {
	return append(s.admission.collectors(), s.metrics.refused, s.metrics.handOvers, s.metrics.notices, s.metrics.responseTime, s.metrics.firstEvent)
}

func (m *metrics) countHandOver(end event.HandOverEnded, cancelled bool) {
	result := "answered"
	switch {
	case cancelled:
		result = "cancelled"
	case end.Refused:
		result = "refused"
	case end.Lost:
		result = "lost"
	}
	m.handOvers.WithLabelValues(result).Inc()
}

func (m *metrics) countNotice(notice TargetNotice, err error) {
	for name, given := range map[string]bool{"wait": notice.Wait > 0, "leaving": notice.Leaving, "brittle": notice.Brittle, "limit": notice.Limited, "unusable": err != nil} {
		if given {
			m.notices.WithLabelValues(name).Inc()
		}
	}
}

func (m *metrics) observeResponse(r *config.Route, arrived time.Time) {
	m.responseTime.WithLabelValues(string(r.Kind)).Observe(time.Since(arrived).Seconds())
}

func (m *metrics) observeFirstEvent(r *config.Route, arrived time.Time) {
	m.firstEvent.WithLabelValues(string(r.Kind)).Observe(time.Since(arrived).Seconds())
}
