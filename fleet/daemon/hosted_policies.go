package daemon

import (
	"time"

	"plantainfield.example/core/config"
)

// Policies of a fleet whose operator sets none.
const (
	// grantRunwaySeconds is the eight seconds for which instances are usually cut
	// off from the store, and the time from one refill to the next.
	grantRunwaySeconds = 10
	// grantFloorTokens is the smallest amount that is requested for a grant. It
	// covers a typical long request.
	grantFloorTokens = 20_000
	// grantSharePerMille is the share of the remaining budget that all grants
	// together may hold. The rest survives the loss of all processes.
	grantSharePerMille = 400
	// grantFullShareSeconds is how long a budget must last for grants to hold
	// that share of it: some times the runway, since instances may be lost
	// several times while it is spent.
	grantFullShareSeconds = 60
	// grantIdleSharePerMille is the share of a budget up to which the platform
	// allows refusals of requests that it covers.
	grantIdleSharePerMille = 30
	// grantRefillMillis keeps an instance's ledger updates below one per
	// second.
	grantRefillMillis = 1500
	// grantWaitMillis leaves a request that waited for a grant enough time to
	// meet its latency target: the shortest first-event target of a route is
	// 400 ms, and a target needs about 100 ms. Few requests that wait longer
	// are served.
	grantWaitMillis = 250
	// retryAttempts applies to routes that do not set a number of attempts.
	retryAttempts = 2
	// retryDelayMillis is short because the next attempt goes to another
	// target.
	retryDelayMillis = 10
	// requestsPerProcessor uses three quarters of a processor at the processor
	// time that a request takes.
	requestsPerProcessor = 180
	// addressSeconds is how long callers may cache an address response. Some
	// callers keep it three times as long; a stopping instance still serves
	// requests for that time.
	addressSeconds = 1
	// quarantineTargets is the number of targets that one request may crash
	// before it is given up. The platform allows three.
	quarantineTargets = 3
)

// hostedPolicies returns these policies, limited by the platform's bounds.
func hostedPolicies(adapter *PlatformAdapter) config.Policies {
	p := config.Defaults().Policies
	p.Grants = config.GrantPolicy{
		Policy: config.GrantSpread, SizeTokens: grantFloorTokens, RunwaySeconds: grantRunwaySeconds, MaxSharePerMille: grantSharePerMille, FullShareSeconds: grantFullShareSeconds,
		IdleSharePerMille: grantIdleSharePerMille,
		PeerTransfer:      true, RefillMillis: grantRefillMillis, MaxWaitMillis: grantWaitMillis, CombineUpdates: true,
	}
	p.Routing.Policy = config.RoutingLeastWork
	p.Retries = adapter.Retries
	p.Retries.MaxAttempts = retryAttempts
	p.Retries.BaseDelayMillis = retryDelayMillis
	p.Limits.Policy = config.LimitFixed
	p.Addresses = config.AddressPolicy{
		TTLSeconds: min(addressSeconds, max(1, int64(adapter.AddressTTL/time.Second))), RequestsPerProcessor: requestsPerProcessor,
	}
	p.Quarantine.MaxTargets = quarantineTargets
	p.Billing.WhenIsolated = config.IsolatedServe
	return p
}
