package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"plantainfield.example/core/clientlimit"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/logring"
	"plantainfield.example/fleet/settings"
)

// requestMemoryShare is the part of the memory that clients' requests may use.
const requestMemoryShare = 4

// listenerLimiters bound the connections of each listener.
type listenerLimiters struct {
	callers, directory, ready, metrics, peers *clientconn.Limiter
}

// connections returns how the sockets of the process are divided.
func (a *PlatformAdapter) connections() clientlimit.Connections {
	return clientlimit.DivideConnections(a.MemoryBytes, a.Sockets)
}

func newHostedLimiters(adapter *PlatformAdapter, log *zap.Logger) *listenerLimiters {
	parts := adapter.connections()
	limiter := func(name string, limits clientconn.Limits) *clientconn.Limiter {
		return clientconn.New(name, limits, log.Named(logring.InstanceLogger))
	}
	return &listenerLimiters{
		callers: limiter("callers", clientconn.Limits{
			Connections: parts.Clients, RequestBytes: adapter.MemoryBytes / requestMemoryShare,
			WriteTimeout: settings.Millis(adapter.Settings.Limits.WriteTimeoutMillis),
		}),
		directory: limiter("directory", clientconn.Limits{Connections: parts.Directory}),
		ready:     limiter("ready", clientconn.Limits{Connections: parts.Operators}),
		metrics:   limiter("metrics", clientconn.Limits{Connections: parts.Operators}),
		peers:     limiter("peers", clientconn.Limits{Connections: parts.Peers, TracksReads: true}),
	}
}

func (l *listenerLimiters) collectors() []prometheus.Collector {
	var all []prometheus.Collector
	for _, limiter := range []*clientconn.Limiter{l.callers, l.directory, l.ready, l.metrics, l.peers} {
		all = append(all, limiter.Collectors()...)
	}
	return all
}
