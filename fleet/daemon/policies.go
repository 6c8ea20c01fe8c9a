package daemon

import (
	"time"

	"plantainfield.example/core/config"
)

// The policies of a fleet whose operator states none. Where a figure was
// measured, the run is in journal/ and the commit that set it.
const (
	// grantRunwaySeconds is twice the eight seconds for which instances are
	// usually cut off from the store; measured against 12 and 20.
	grantRunwaySeconds = 16
	// grantFloorTokens covers a usual long request; measured against 15,000,
	// 25,000 and 60,000.
	grantFloorTokens = 20_000
	// grantSharePerMille is the part of what is left that all grants take. The
	// rest survives a loss of all processes; measured against 500, 600 and 650.
	grantSharePerMille = 400
	// grantRefillMillis keeps an instance's ledger updates below one a second.
	grantRefillMillis = 1500
	// grantWaitMillis leaves a request that waited time to be in time: the shortest
	// goal of a route's first event is 400 ms, and a target needs a hundred. Few
	// that wait longer are served.
	grantWaitMillis = 250
	// retryAttempts is for routes that state no number of attempts.
	retryAttempts = 2
	// retryDelayMillis is short, for the next attempt goes to another target.
	retryDelayMillis = 10
	// addressSeconds is how long callers keep an address answer. Some keep it three
	// times as long, which a stopping instance serves through.
	addressSeconds = 1
	// quarantineTargets is the number of targets that one request may crash before
	// it is given up: the platform allows three.
	quarantineTargets = 3
)

// hostedPolicies returns these policies with the platform's bounds.
func hostedPolicies(h *PlatformAdapter) config.Policies {
	p := config.Defaults().Policies
	p.Grants = config.GrantPolicy{
		Policy: config.GrantSpread, SizeTokens: grantFloorTokens, RunwaySeconds: grantRunwaySeconds, MaxSharePerMille: grantSharePerMille,
		PeerTransfer: true, RefillMillis: grantRefillMillis, MaxWaitMillis: grantWaitMillis,
	}
	p.Routing.Policy = config.RouteLeastWork
	p.Retries = h.Retries
	p.Retries.MaxAttempts = retryAttempts
	p.Retries.BaseDelayMillis = retryDelayMillis
	p.Limits.Policy = config.LimitFixed
	p.Addresses = config.AddressPolicy{TTLSeconds: min(addressSeconds, max(1, int64(h.AddressTTL/time.Second)))}
	p.Quarantine.MaxTargets = quarantineTargets
	p.Billing.WhenIsolated = config.IsolatedServe
	return p
}
