package node

import (
	"slices"
	"time"

	"plantainfield.example/core/brittle"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/limit"
	"plantainfield.example/core/routing"
	"plantainfield.example/core/targethealth"
	"plantainfield.example/core/targetleaving"
)

// target is what this instance knows of a target.
type target struct {
	event.Instance
	targetleaving.Evidence
	limiter  *limit.Limiter
	load     routing.Load
	prefixes *routing.Prefixes
	inFlight int
	// prefillTokens is the number of prompt tokens that this instance has sent
	// and that the target has yet to prefill.
	prefillTokens int64
	// knownSince is when the target became known.
	knownSince time.Duration
	reports    targethealth.Reports
	// unreachable is set if the last attempt to fetch a report failed.
	unreachable bool
	health      targethealth.Target
	// waitUntil is the time until which the target wants no request from this
	// instance.
	waitUntil time.Duration
	// brittleShare is this instance's share of the slots while the target is brittle.
	brittleShare brittle.Share
	// limit is the limit on the requests of all instances that the target names.
	limit statedLimit
	// avoidUntil is the time before which the target is avoided, because it
	// failed or was full.
	avoidUntil time.Duration
}

// usableAsFallback reports whether the target may get attempts if no target is
// usable.
func (t *target) usableAsFallback(now time.Duration) bool {
	return !t.Leaving && !t.unreachable && now >= t.waitUntil
}

// usable reports whether the target may get attempts once it has room.
func (t *target) usable(now time.Duration) bool {
	return t.usableAsFallback(now) && now >= t.avoidUntil
}

// chooseTarget selects among the usable targets that have room. If all targets
// are avoided, it selects among these, since they may have recovered.
func (n *Node) chooseTarget(r *request) (*target, errkind.Kind) {
	open, full := n.openTargets(r, func(t *target) bool { return t.usable(n.now) })
	if len(open) == 0 && !full {
		open, full = n.openTargets(r, func(t *target) bool { return t.usableAsFallback(n.now) })
	}
	if len(open) == 0 {
		if full {
			return nil, errkind.Overloaded
		}
		r.retryAfter = n.noticedRetryAfter(r.Serves)
		return nil, errkind.NoTarget
	}
	if n.sharesLoads() {
		return n.leastWork(r, open), errkind.None
	}
	candidates := make([]routing.Candidate, 0, len(open))
	for _, t := range open {
		candidates = append(candidates, routing.Candidate{
			Name: t.Name, InFlight: t.inFlight, OtherLoad: t.load.OtherLoad(n.now),
			Match: t.prefixes.Match(r.PrefixHashes), SameDataCentre: t.DataCentre == n.settings.DataCentre,
		})
	}
	q := routing.Query{PrefixHashes: r.PrefixHashes, RequestHash: r.id.Hash(), Rng: n.rng}
	return open[n.selector.Select(candidates, q)], errkind.None
}

// openTargets returns the allowed targets that have room. full is set if there
// are others that have no room or whose state is not known well enough.
func (n *Node) openTargets(r *request, allowed func(*target) bool) (open []*target, full bool) {
	for _, t := range n.members.targetsOf(r.Serves) {
		if !allowed(t) || !r.goesOnAt(t) || slices.Contains(r.failedTargets, t.Name) {
			continue
		}
		now, ever := n.limitAllows(t)
		if !ever {
			continue
		}
		if t.inFlight >= n.concurrencyLimit(t) || !n.stateKnown(t) || !now {
			full = true
			continue
		}
		open = append(open, t)
	}
	return open, full
}

// stateKnown reports whether the target's state is known well enough to give it
// work.
func (n *Node) stateKnown(t *target) bool {
	// An instance that was paused, or has just started, may have missed that the
	// target is leaving.
	return n.settings.Disabled.TargetReports || !t.unreachable && t.reports.Fresh(n.now, max(t.knownSince, n.resumedAt))
}

// concurrencyLimit returns the number of attempts that may be in flight at a
// target: the lower of its limiter's limit and this instance's share of the
// connections that the target accepts.
func (n *Node) concurrencyLimit(t *target) int {
	limit := t.limiter.Limit(n.limits())
	for _, service := range t.Serves {
		if class := n.configs.index.TargetClass(service); class != nil && class.MaxConnections > 0 {
			limit = min(limit, int(max(1, class.MaxConnections/n.fleetSize())))
		}
		if n.brittle.Active(n.now, service) && t.Slots > 0 {
			serving := n.currentServing()
			limit = min(limit, t.brittleShare.Slots(int(t.Slots), t.Name, n.settings.Name, serving.names, serving.at))
		}
	}
	return limit
}

// releaseTarget updates the state of the target after an attempt has ended.
func (n *Node) releaseTarget(r *request, e event.AttemptEnded) {
	t := r.target
	t.inFlight--
	t.endPrefill(r)
	if e.TargetLeaving {
		n.targetAnswered(t)
		n.announceLeaving(t)
		return
	}
	if e.TargetBusy {
		t.avoidUntil = n.now + n.brittle.BusyTime(n.now, r.Serves)
	}
	n.updateHealth(r, e)
}

func (n *Node) targetReported(e event.TargetReported) {
	t := n.members.targets[e.Target]
	if t == nil {
		return
	}
	t.unreachable = e.Unreachable
	if e.Unreachable {
		n.targetLost(t)
		t.avoidUntil = n.now + targethealth.AvoidAfterFailure
		return
	}
	n.targetAnswered(t)
	t.reports.Record(n.now)
	t.load.ObserveReport(e.Running+e.Waiting, t.inFlight, n.now)
	t.applyCacheEvents(e, n.now)
	t.ReportsLeaving = e.Leaving
	if e.Leaving {
		n.announceLeaving(t)
		return
	}
	t.ReportedLiveAt = n.now
	t.Reinstate(n.now)
}

// applyCacheEvents applies the prompt cache events of a target's report.
func (t *target) applyCacheEvents(e event.TargetReported, now time.Duration) {
	if e.CacheEventGap {
		t.prefixes.RecordEventLoss(now)
	}
	t.prefixes.RecordCached(e.CachedPrefixes, now)
	t.prefixes.RecordEvicted(e.EvictedPrefixes, now)
}
