package node

import (
	"slices"
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/limit"
	"plantainfield.example/core/retry"
	"plantainfield.example/core/routing"
)

// avoidAfterFailure is how long a target that failed gets no new attempts.
const avoidAfterFailure = 2 * time.Second

// avoidWhenFull is the same for a target that was full: a few times the work of
// one short request.
const avoidWhenFull = 200 * time.Millisecond

// leavingHold is how long a target stays leaving after the last evidence. It
// is longer than reports and peers' messages lag.
const leavingHold = 5 * time.Second

// target is one back end as this instance sees it.
type target struct {
	event.Instance
	limiter  *limit.Limiter
	load     routing.Load
	prefixes *routing.Prefixes
	inFlight int
	// unread is the number of prompt tokens that this instance has sent and that
	// the target has not yet read.
	unread int64
	// since is when the target became known; reportedAt when it last reported
	// and reportEvery the smoothed time between its reports, both 0 before.
	since       time.Duration
	reportedAt  time.Duration
	reportEvery time.Duration
	// leaving targets get no new attempts.
	leaving bool
	// leavingAt is the time of the last evidence for that.
	leavingAt time.Duration
	// delisted is set while the list calls the target leaving, or leaves it out.
	delisted   bool
	vanishedAt time.Duration
	// missing is set while the target is not listed after the platform came back
	// into reach, and may be listed again.
	missing bool
	// relisted is set if the list took the target up again afterwards.
	relisted bool
	// unreachable is set from a report that failed to the next one.
	unreachable bool
	// saysLeaving is the target's own last report.
	saysLeaving bool
	// saidLiveAt is when the target last reported that it isn't leaving.
	saidLiveAt time.Duration
	health     targetHealth
	// avoidUntil keeps new attempts away after a failure.
	avoidUntil time.Duration
}

func (t *target) serves(name string) bool { return slices.Contains(t.Serves, name) }

// able tells whether the target may get attempts if no other one can.
func (t *target) able() bool { return !t.leaving && !t.unreachable }

// usable tells whether the target may get attempts once it has room.
func (t *target) usable(now time.Duration) bool { return t.able() && now >= t.avoidUntil }

// chooseTarget selects among the live targets that have room. If all of them
// have failed lately, it selects among these: they may have recovered.
func (n *Node) chooseTarget(r *request) (*target, errkind.Kind) {
	open, full := n.openTargets(r, func(t *target) bool { return t.usable(n.now) })
	if len(open) == 0 && !full {
		open, full = n.openTargets(r, (*target).able)
	}
	if len(open) == 0 {
		if full {
			return nil, errkind.Overloaded
		}
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

// openTargets returns the allowed targets that have room, and whether there are
// others without.
func (n *Node) openTargets(r *request, allowed func(*target) bool) (open []*target, full bool) {
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		if !t.serves(r.Serves) || !allowed(t) || slices.Contains(r.failedTargets, name) {
			continue
		}
		if t.inFlight >= n.limitOf(t) || !n.known(t) {
			full = true
			continue
		}
		open = append(open, t)
	}
	return open, full
}

// known tells whether the target's state is known well enough to give it work.
func (n *Node) known(t *target) bool {
	return n.settings.Disabled.TargetReports || t.fresh(n.now, n.resumedAt)
}

// limitOf is the number of attempts that may be in flight at a target: its
// limiter's, and this instance's part of the connections that it takes.
func (n *Node) limitOf(t *target) int {
	limit := t.limiter.Limit(n.limits())
	for _, service := range t.Serves {
		if class := n.configs.index.TargetClass(service); class != nil && class.MaxConnections > 0 {
			limit = min(limit, int(max(1, class.MaxConnections/n.fleetSize())))
		}
	}
	return limit
}

// releaseTarget ends an attempt's use of its target.
func (n *Node) releaseTarget(r *request, e event.AttemptEnded) {
	t := r.target
	t.inFlight--
	t.endRead(r)
	if e.TargetLeaving {
		n.targetLeaving(t)
		return
	}
	if e.TargetBusy {
		t.avoidUntil = n.now + avoidWhenFull
	}
	n.noteAttempt(r, e)
}

func (n *Node) targetReported(e event.TargetReported) {
	t := n.members.targets[e.Target]
	if t == nil {
		return
	}
	t.unreachable = e.Unreachable
	if e.Unreachable {
		t.avoidUntil = n.now + avoidAfterFailure
		return
	}
	t.noteReport(n.now)
	t.load.ObserveReport(e.Running+e.Waiting, t.inFlight, n.now)
	t.cacheEvents(e, n.now)
	t.saysLeaving = e.Leaving
	if e.Leaving {
		n.targetLeaving(t)
		return
	}
	t.saidLiveAt = n.now
	t.comeBack(n.now)
}

// cacheEvents takes what a report tells of the target's prompt cache.
func (t *target) cacheEvents(e event.TargetReported, now time.Duration) {
	if e.CacheEventGap {
		t.prefixes.RecordEventLoss(now)
	}
	t.prefixes.RecordCached(e.CachedPrefixes, now)
	t.prefixes.RecordEvicted(e.EvictedPrefixes, now)
}

func (n *Node) delay(r *request) time.Duration {
	return retry.Delay(n.configs.index.Document.Policies.Retries, r.attempts, n.rng)
}
