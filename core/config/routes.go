package config

import (
	"strings"
	"time"
)

// RouteKind states whether a request of a route may run more than once.
type RouteKind string

const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non_idempotent"
	// RouteStreaming requests are answered with a stream of events. They run at
	// most once unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Routing is the part of a configuration that is present only if the platform
// itself holds the configuration.
type Routing struct {
	// Routes maps requests to services by host and path.
	Routes []Route `json:"routes"`
	// Targets describes the targets of each service.
	Targets []TargetClass `json:"targets"`
	// CallerLimits sets limits on what callers may send.
	CallerLimits CallerLimits `json:"callerLimits"`
	// CustomerPriorities overrides the priorities of routes, by customer name; 0
	// goes first.
	CustomerPriorities map[string]int64 `json:"customerPriorities"`
}

// Route sends the requests of a host and path prefix to targets.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Host is the host name in the request.
	Host string `json:"host"`
	// PathPrefix is the common prefix of the route's paths; the longest
	// matching prefix wins.
	PathPrefix string `json:"pathPrefix"`
	// Kind states whether a request may run more than once.
	Kind RouteKind `json:"kind" enum:"idempotent,non_idempotent,streaming"`
	// TimeoutMillis limits the time from a request to its complete answer, in
	// milliseconds.
	TimeoutMillis int64 `json:"timeoutMillis" min:"1" max:"3600000"`
	// LatencyGoalMillis is the goal for the time to the answer, or to the first
	// event of a stream, in milliseconds.
	LatencyGoalMillis int64 `json:"aimMillis" min:"0" max:"3600000"`
	// PauseGoalMillis is the goal for the pause between two events, in
	// milliseconds; 0 for none.
	PauseGoalMillis int64 `json:"pauseAimMillis" min:"0" max:"3600000"`
	// Priority orders waiting requests; 0 goes first.
	Priority int64 `json:"priority" min:"0" max:"1000"`
	// Destinations lists the services that serve the requests, with their
	// weights.
	Destinations []Destination `json:"destinations"`
	// MaxAttempts is the maximum number of targets that one request may be sent
	// to.
	MaxAttempts int64 `json:"maxAttempts" min:"1" max:"10"`
	// Anonymous is set if requests need no API key.
	Anonymous bool `json:"anonymous"`
	// Resumable is set if another target can resume a stream after an event's
	// ID.
	Resumable bool `json:"resumable"`
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string `json:"service"`
	// Weight is the share, relative to the other destinations' weights.
	Weight int64 `json:"weight" min:"0" max:"1000000"`
}

// TargetClass describes the targets of one service.
type TargetClass struct {
	// Service is the name that targets are listed under.
	Service string `json:"service"`
	// MaxConnections limits the connections to one target from all instances.
	MaxConnections int64 `json:"maxConnections" min:"0" max:"1000000"`
	// Engine describes model engines; nil for plain services.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the engines of one service.
type EngineClass struct {
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent int64 `json:"tokensPerEvent" min:"1" max:"100000"`
}

// CallerLimits sets limits on what callers may send under a configuration; a
// field that is 0 sets none. Sizes are in bytes, timeouts in milliseconds.
type CallerLimits struct {
	MaxHeaderBytes      int64 `json:"maxHeaderBytes" min:"0" max:"1073741824"`
	MaxBodyBytes        int64 `json:"maxBodyBytes" min:"0" max:"1073741824"`
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis" min:"0" max:"3600000"`
	IdleTimeoutMillis   int64 `json:"idleTimeoutMillis" min:"0" max:"3600000"`
}

// Timeout returns the limit on the time from a request to its complete answer.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Repeatable reports whether a request that may have run may be sent again in
// full.
func (r *Route) Repeatable() bool { return r.Kind == RouteIdempotent }

// Destination returns the service for a request, chosen by weight from a hash
// that is uniformly distributed over requests.
func (r *Route) Destination(hash uint64) string {
	var total uint64
	for _, d := range r.Destinations {
		total += uint64(d.Weight)
	}
	if total == 0 {
		if len(r.Destinations) == 0 {
			return ""
		}
		return r.Destinations[0].Service
	}
	at := hash % total
	for _, d := range r.Destinations {
		if at < uint64(d.Weight) {
			return d.Service
		}
		at -= uint64(d.Weight)
	}
	return ""
}

// Route returns the route of a host with the longest matching path prefix, or
// nil.
func (ix *Index) Route(host, path string) *Route {
	var best *Route
	for _, r := range ix.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// TargetClass returns the description of a service's targets, or nil.
func (ix *Index) TargetClass(service string) *TargetClass { return ix.classes[service] }
