package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/callers"
	"plantainfield.example/fleet/runtime"
)

// collector reads the instance's counters at each scrape.
type collector struct {
	loop     *runtime.Loop
	requests activeRequestCounter

	steps, peerDrops, platformDrops, refusals, generation, knownGeneration, behind, activeRequests *prometheus.Desc
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("plantainfield_"+name, help, labels, nil)
}

// activeRequestCounter reports the number of requests in progress.
type activeRequestCounter interface{ ActiveRequests() int64 }

func newMetrics(loop *runtime.Loop, server *callers.Server, limiters *listenerLimiters) *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(newCollector(loop, server), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.MustRegister(server.Collectors()...)
	r.MustRegister(limiters.collectors()...)
	return r
}

func newCollector(loop *runtime.Loop, server activeRequestCounter) *collector {
	return &collector{
		loop: loop, requests: server,
		steps:           desc("core_steps_total", "Events processed by the decision core."),
		peerDrops:       desc("peer_messages_dropped_total", "Messages to peers that were dropped because the send queue was full."),
		platformDrops:   desc("platform_calls_dropped_total", "Platform calls that were dropped because the call queue was full."),
		refusals:        desc("refusals_total", "Refused requests by error kind.", "kind"),
		generation:      desc("configuration_generation", "Generation of the configuration in force."),
		knownGeneration: desc("configuration_generation_known", "Highest generation of the configuration that any instance is known to have in force."),
		behind:          desc("configuration_behind_seconds", "Time for which this instance has known of a newer configuration than its own, 0 if it knows of none."),
		activeRequests:  desc("caller_requests", "Requests of callers in progress."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.steps, c.peerDrops, c.platformDrops, c.refusals, c.generation, c.knownGeneration, c.behind, c.activeRequests} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	counters := c.loop.Counters()
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	counter(c.steps, counters.Steps.Load())
	counter(c.peerDrops, counters.PeerDrops.Load())
	counter(c.platformDrops, counters.PlatformDrops.Load())
	refusals := counters.Refusals.Snapshot()
	for kind := range errkind.Table {
		counter(c.refusals, refusals[kind], string(kind))
	}
	generation := uint64(0)
	if ix := c.loop.Index(); ix != nil {
		generation = ix.Generation
	}
	gauge(c.generation, float64(generation))
	gauge(c.knownGeneration, float64(c.loop.Standing().Highest))
	gauge(c.behind, c.loop.BehindFor().Seconds())
	gauge(c.activeRequests, float64(c.requests.ActiveRequests()))
}

// hostedRegistry returns the metrics registry of an instance on a platform.
func hostedRegistry(p hostedParams) *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(newCollector(p.Loop, p.Gateway), collectors.NewGoCollector(), p.Adapter.PlatformCalls)
	r.MustRegister(p.Gateway.Collectors()...)
	r.MustRegister(p.Limiters.collectors()...)
	return r
}
