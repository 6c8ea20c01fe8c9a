package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"plantainfield.example/core/clientlimit"
	"plantainfield.example/fleet/clientconn"
	"plantainfield.example/fleet/logring"
	"plantainfield.example/fleet/settings"
)

// listenerLimiters bound the connections of each listener. directory, ready and metrics
// only exist on a platform, admin only without one.
type listenerLimiters struct {
	callers, directory, ready, metrics, admin, peers *clientconn.Limiter
}

// connections returns how the sockets of the process are divided.
func connections(s *settings.Settings) clientlimit.Connections {
	return clientlimit.DivideConnections(s.Limits.MemoryBytes, s.Limits.MaxSockets)
}

// withRequestLimit returns settings whose number of concurrent requests fits into the
// sockets and the memory of the process.
func withRequestLimit(s *settings.Settings) *settings.Settings {
	limited := *s
	limited.Limits.MaxStreams = min(s.Limits.MaxStreams, connections(s).Requests)
	return &limited
}

// newHostedLimiters returns the limiters of an instance on a platform.
func newHostedLimiters(adapter *PlatformAdapter, log *zap.Logger) *listenerLimiters {
	log = log.Named(logring.InstanceLogger)
	limits, parts := adapter.Settings.Limits, connections(adapter.Settings)
	return &listenerLimiters{
		callers: clientconn.New("callers", clientconn.Limits{
			Connections: parts.Clients, RequestBytes: limits.RequestBytes(), WriteTimeout: settings.Millis(limits.WriteTimeoutMillis),
		}, log),
		directory: clientconn.New("directory", clientconn.Limits{Connections: parts.Directory}, log),
		ready:     clientconn.New("ready", clientconn.Limits{Connections: parts.Operators}, log),
		metrics:   clientconn.New("metrics", clientconn.Limits{Connections: parts.Operators}, log),
		peers:     newPeerLimiter(parts, log),
	}
}

// newLimiters returns the limiters of an instance with its own interface. Its handlers
// set the time-outs of writes.
func newLimiters(s *settings.Settings, log *zap.Logger) *listenerLimiters {
	parts := connections(s)
	return &listenerLimiters{
		callers: clientconn.New("callers", clientconn.Limits{Connections: parts.Clients, RequestBytes: s.Limits.RequestBytes()}, log),
		admin:   clientconn.New("admin", clientconn.Limits{Connections: parts.Operators, RequestBytes: s.Limits.RequestBytes()}, log),
		peers:   newPeerLimiter(parts, log),
	}
}

func newPeerLimiter(parts clientlimit.Connections, log *zap.Logger) *clientconn.Limiter {
	return clientconn.New("peers", clientconn.Limits{Connections: parts.Peers, TracksReads: true}, log)
}

func (l *listenerLimiters) collectors() []prometheus.Collector {
	var all []prometheus.Collector
	for _, limiter := range []*clientconn.Limiter{l.callers, l.directory, l.ready, l.metrics, l.admin, l.peers} {
		if limiter != nil {
			all = append(all, limiter.Collectors()...)
		}
	}
	return all
}
