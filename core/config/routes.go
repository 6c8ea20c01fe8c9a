package config

import (
	"strings"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non_idempotent"
	// RouteStreaming requests answer with a stream of events. They run at most
	// once unless the route is resumable.
	RouteStreaming RouteKind = "streaming"
)

// Routing is the part of a configuration that only a platform states which
// holds the configuration itself.
type Routing struct {
	// Routes send requests to services by host and path.
	Routes []Route `json:"routes"`
	// Targets describe the targets of each service.
	Targets []TargetClass `json:"targets"`
	// CallerLimits bounds what callers may send.
	CallerLimits CallerLimits `json:"callerLimits"`
	// CustomerPriorities go before their routes' priorities; 0 goes first.
	CustomerPriorities map[string]int64 `json:"customerPriorities"`
}

// Route sends the requests of a host and path prefix to targets.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Host is the host name that callers ask for.
	Host string `json:"host"`
	// PathPrefix starts the paths of the route; the longest matching one wins.
	PathPrefix string `json:"pathPrefix"`
	// Kind says how often a request may run.
	Kind RouteKind `json:"kind" enum:"idempotent,non_idempotent,streaming"`
	// TimeoutMillis bounds the time from a request to its whole answer.
	TimeoutMillis int64 `json:"timeoutMillis" min:"1" max:"3600000"`
	// LatencyGoalMillis is the goal for the answer, or for the first event of a stream.
	LatencyGoalMillis int64 `json:"aimMillis" min:"0" max:"3600000"`
	// PauseGoalMillis is the goal for the pause between two events; 0 for none.
	PauseGoalMillis int64 `json:"pauseAimMillis" min:"0" max:"3600000"`
	// Priority orders requests that wait; 0 goes first.
	Priority int64 `json:"priority" min:"0" max:"1000"`
	// Destinations are the services that take the requests, by weight.
	Destinations []Destination `json:"destinations"`
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int64 `json:"maxAttempts" min:"1" max:"10"`
	// Anonymous routes need no API key.
	Anonymous bool `json:"anonymous"`
	// Resumable streams may go on at another target from an event's id.
	Resumable bool `json:"resumable"`
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string `json:"service"`
	// Weight is the share, in relation to the other destinations' weights.
	Weight int64 `json:"weight" min:"0" max:"1000000"`
}

// TargetClass describes the targets of one service.
type TargetClass struct {
	// Service is the name that targets are listed under.
	Service string `json:"service"`
	// MaxConnections bounds the connections to one target from all instances.
	MaxConnections int64 `json:"maxConnections" min:"0" max:"1000000"`
	// Engine describes model engines; nil for plain services.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the engines of one service.
type EngineClass struct {
	// TokensPerEvent is the most tokens in one event of a stream.
	TokensPerEvent int64 `json:"tokensPerEvent" min:"1" max:"100000"`
}

// CallerLimits bounds what callers may send under a configuration; a field
// that is 0 sets no bound.
type CallerLimits struct {
	MaxHeaderBytes      int64 `json:"maxHeaderBytes" min:"0" max:"1073741824"`
	MaxBodyBytes        int64 `json:"maxBodyBytes" min:"0" max:"1073741824"`
	HeaderTimeoutMillis int64 `json:"headerTimeoutMillis" min:"0" max:"3600000"`
	IdleTimeoutMillis   int64 `json:"idleTimeoutMillis" min:"0" max:"3600000"`
}

// Timeout bounds the time from a request to its whole answer.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Repeatable tells whether a request that may have run may be sent again whole.
func (r *Route) Repeatable() bool { return r.Kind == RouteIdempotent }

// Destination returns the service for a request, chosen by weight with a hash
// that is uniform over requests.
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

// Route returns the route of a host with the longest prefix of a path, or nil.
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
