package node

import (
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/retry"
	"plantainfield.example/core/streamorigin"
)

// phase is the processing stage of a request.
type phase int

const (
	phaseWaitingForGrant       phase = iota // waiting for a grant that covers its tokens
	phaseWaitingForBegunRecord              // waiting for its begun record to be written
	phaseQueued                             // waiting for a target or for the end of a retry delay
	phaseRunning                            // has an attempt in flight
	phaseBilling                            // answered except for the last frame, which waits for the bill
	phaseHandedOver                         // handed over to a peer
	phaseWaitingForOrigin                   // resumes a stream; waiting for its origin
	phaseWaitingForClaim                    // suspected of crashing targets; waiting for its claim
)

// request is the state of a request from its arrival to its answer.
type request struct {
	event.RequestArrived
	id      bill.RequestID
	phase   phase
	arrived time.Duration
	// reserved is the open reservation in tokens; 0 if there is none.
	reserved int64
	budgetWait
	attempts retry.Attempts
	// attempt is the ID of the last attempt; targetName and target are its
	// target, and dispatched is when it was dispatched.
	attempt    string
	targetName string
	target     *target
	dispatched time.Duration
	// firstTokenSeen is set once the current attempt has sent the first part of
	// its answer.
	firstTokenSeen bool
	// prefillTokens is the number of prompt tokens that the target has yet to
	// prefill.
	prefillTokens int64
	// retryAfter, if set, overrides the error kind's retry-after time in a
	// refusal.
	retryAfter time.Duration
	// failedTargets names the targets that are not tried again.
	failedTargets []string
	// handedTo names the peers that the request was handed over to because this
	// instance reached no target.
	handedTo []string
	// notBefore is the end of the retry delay.
	notBefore time.Duration
	// queued is set once the request was found to be able to wait for a target.
	queued bool
	// lastFailure is the error kind to answer with if no retry follows.
	lastFailure errkind.Kind
	// mayHaveRun is set once an attempt may have started.
	mayHaveRun bool
	callerGone bool
	// billDeadline is when the last frame stops waiting for the bill.
	billDeadline time.Duration
	// record is the begun record of a non-idempotent request, and recordVersion
	// its version in the platform.
	record        *begunRecord
	recordVersion string
	// recordMayExist is set once a write of the begun record may have taken
	// effect although its result was lost; takeover is the version that this
	// write would replace.
	recordMayExist bool
	takeover       string
	// claim identifies the claim that permits running a suspect body, or is
	// empty.
	claim string
	// trial names the target whose trial (the exclusive right to run a suspect
	// body there) the request holds or asks for, or is empty; trialClaim
	// identifies the claim on it.
	trial      string
	trialClaim string
	// origin is what began the stream, or nil if it has not begun or is not a stream
	// that can be resumed.
	origin *streamorigin.Origin
	// replay is the recorded answer to send instead of running the request again.
	replay *event.RecordedAnswer
}

// requestTable indexes the open requests by handle, ID and attempt.
type requestTable struct {
	byHandle  map[uint64]*request
	byID      map[bill.RequestID]*request
	byAttempt map[string]*request
	// order holds the open requests in order of arrival.
	order []*request
}

func newRequestTable() requestTable {
	return requestTable{map[uint64]*request{}, map[bill.RequestID]*request{}, map[string]*request{}, nil}
}

func (t *requestTable) open() int { return len(t.byHandle) }

func (t *requestTable) add(r *request) {
	t.byHandle[r.Request] = r
	t.byID[r.id] = r
	t.order = append(t.order, r)
}

func (t *requestTable) remove(r *request) {
	delete(t.byHandle, r.Request)
	delete(t.byID, r.id)
	delete(t.byAttempt, r.attempt)
	if i := slices.Index(t.order, r); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// inPhase returns the open requests in a phase, in order of arrival.
func (t *requestTable) inPhase(p phase) []*request {
	var out []*request
	for _, r := range t.order {
		if r.phase == p {
			out = append(out, r)
		}
	}
	return out
}

// requestArrived admits a request or refuses it at once.
func (n *Node) requestArrived(e event.RequestArrived) {
	r := &request{RequestArrived: e, id: bill.RequestID{Customer: e.Customer, Key: e.Key}, arrived: n.now, attempts: retry.NewAttempts(e.HandedOver && e.MaxAttempts == 1)}
	if kind := n.admissionError(r); kind != errkind.None {
		n.refuseOnArrival(e.Request, kind)
		return
	}
	n.requests.add(r)
	n.members.arrivals.Add()
	n.members.follow.lastRequest = n.now
	if n.handOverUnreached(r) {
		return
	}
	if r.Resumed {
		n.findOrigin(r)
		return
	}
	n.reserveOrWait(r)
}

// ready reports whether the instance can serve: it has a configuration, knows
// the position in the bill logs from which on the lines of new requests may be
// written, and knows which bodies are suspected of crashing targets.
func (n *Node) ready() bool {
	return n.configs.index != nil && n.billLogEndsKnown() && n.quarantine.loaded
}

func (n *Node) admissionError(r *request) errkind.Kind {
	// Returns the error kind with which to refuse a new request, or errkind.None.
	if !n.ready() {
		return errkind.NotReady
	}
	if n.stopping && (n.now >= n.refuseFrom || n.mayBeCut(r)) {
		return errkind.Stopping
	}
	if other := n.requests.byID[r.id]; other != nil {
		if other.BodyHash != r.BodyHash {
			return errkind.KeyReused
		}
		return errkind.InProgress
	}
	if kind := n.quarantined(r); kind != errkind.None {
		return kind
	}
	if n.billedForOtherBody(r) {
		return errkind.KeyReused
	}
	if n.isolated() {
		return errkind.Isolated
	}
	return errkind.None
}

// mayBeCut reports whether the request is one to a service that must not run twice, and
// may still be in progress when this instance, which stops, ends its requests. Another
// instance can serve it to its end. A model's answer that is cut does no such harm.
func (n *Node) mayBeCut(r *request) bool {
	return n.endAt > 0 && r.Kind == event.KindService && !r.Idempotent && n.now+n.deadline(r) > n.endAt && n.liveInstances() > 1
}

func (n *Node) refuseOnArrival(handle uint64, kind errkind.Kind) {
	a := errkind.Lookup(kind)
	after := time.Duration(a.RetryAfterSeconds) * time.Second
	if (kind == errkind.Stopping || kind == errkind.NotReady) && n.liveInstances() > 1 {
		after = otherInstanceRetryAfter
	}
	n.emit(event.Action{Refuse: &event.Refuse{Request: handle, Kind: kind, Ran: a.Ran, RetryAfter: after}})
}

// otherInstanceRetryAfter is the retry-after time if this instance does not
// serve while others do: callers may retry at another instance at once, but
// should not all do so at the same moment.
const otherInstanceRetryAfter = 50 * time.Millisecond

// reserveOrWait reserves the worst-case tokens of the next attempt, or makes
// the request wait for the ledger. It hands the request over instead while this
// instance reaches no target for it.
func (n *Node) reserveOrWait(r *request) {
	if n.handOverUnreached(r) {
		return
	}
	if r.Budget == "" {
		n.afterReserve(r)
		return
	}
	if n.book.Account(r.Budget).Reserve(r.WorstCaseTokens) {
		r.reserved = r.WorstCaseTokens
		n.afterReserve(r)
		return
	}
	r.phase = phaseWaitingForGrant
	r.budgetWait = budgetWait{since: n.now}
	s := n.ledgers.shardOf(r.Budget)
	if n.blocked(r) {
		n.reportExposure(true)
		return
	}
	if n.exceedsBudget(s, r) {
		r.refusal = errkind.BudgetExhausted
		n.logTokensUnavailable(r, nil)
		n.finishRefused(r, errkind.BudgetExhausted)
		return
	}
	if s.inFlight && s.failures > 0 { // the platform has just failed to answer
		n.askPeers(r, errkind.BudgetUnavailable)
		return
	}
	n.startLedgerUpdate(s)
}

func (n *Node) afterReserve(r *request) {
	// Continues a request whose tokens are reserved. If the request is not
	// idempotent, its begun record has to be written before it is queued.
	if !r.Idempotent && r.record == nil && !n.settings.Disabled.BegunRecords {
		n.createBegunRecord(r)
		return
	}
	n.enqueue(r)
}

func (n *Node) deadline(r *request) time.Duration {
	// The deadline is the time after its arrival within which the request must get
	// its first token.
	if r.Deadline > 0 {
		return r.Deadline
	}
	return time.Duration(n.configs.index.Document.Policies.Limits.DefaultDeadlineMillis) * time.Millisecond
}

func (n *Node) dispatch(r *request, t *target) {
	r.attempts.Dispatched++
	r.attempts.Deposit(n.retryBudget, n.retryPolicy())
	r.attempt = fmt.Sprintf("%s-%s-%d-%d", n.settings.Name, n.settings.Incarnation, r.Request, r.attempts.Dispatched)
	r.targetName, r.target = t.Name, t
	r.phase = phaseRunning
	n.requests.byAttempt[r.attempt] = r
	r.dispatched, r.firstTokenSeen = n.now, false
	t.inFlight++
	if l := n.limitOf(t); l != nil {
		l.bucket.Take(n.now)
	}
	t.limiter.ObserveStart(n.limits(), t.inFlight)
	t.load.ObserveInFlight(t.inFlight)
	t.beginPrefill(r)
	t.prefixes.RecordUse(r.PrefixHashes, n.now)
	n.emit(event.Action{Dispatch: &event.Dispatch{
		Request: r.Request, Attempt: r.attempt, Stream: r.id.Digest(),
		Target: t.Name, Address: t.Address, Version: t.Version, MaxTokens: r.reserved, ReportNotice: t.limit.known,
		Witnesses: n.witnesses(t),
	}})
}

func (n *Node) firstToken(attempt string) {
	if r := n.requests.byAttempt[attempt]; r != nil {
		r.mayHaveRun, r.firstTokenSeen = true, true
		n.targetAnswered(r.target)
		r.target.endPrefill(r)
		n.sampleFirstToken(r)
		n.quarantine.parts.RecordAnswer(n.now, r.Serves, r.SharedParts())
		n.streamBegun(r)
	}
}

// callerGone handles a caller's disconnect: it cancels a running idempotent
// attempt, and ends a request that is waiting for tokens or for a target.
func (n *Node) callerGone(handle uint64) {
	r := n.requests.byHandle[handle]
	if r == nil {
		return
	}
	r.callerGone = true
	switch r.phase {
	case phaseRunning:
		if r.Idempotent {
			n.emit(event.Action{CancelAttempt: &event.CancelAttempt{Request: r.Request, Attempt: r.attempt}})
		}
	case phaseWaitingForGrant, phaseWaitingForOrigin, phaseQueued:
		n.finishRefused(r, errkind.CallerGone)
	}
}

// attemptEnded settles the tokens of an attempt, then answers, bills or retries
// its request.
func (n *Node) attemptEnded(e event.AttemptEnded) {
	r := n.requests.byAttempt[e.Attempt]
	if r == nil {
		return
	}
	delete(n.requests.byAttempt, e.Attempt)
	if e.Outcome == event.AttemptCrashed && n.reach.Unreached(r.Serves) {
		e.Outcome = event.AttemptFailed // the target may as well be out of reach
	}
	n.sampleAttemptEnd(r, e)
	n.releaseTarget(r, e)
	if !e.Unsent {
		r.attempts.Sent++
	}
	defer n.dispatchWaitingFor(r.target)
	r.failedTargets = append(r.failedTargets, r.targetName)
	n.settleAttempt(r, e)
	n.updateQuarantine(r, e)
	switch e.Outcome {
	case event.AttemptCompleted, event.AttemptRejected:
		n.finishAnswered(r, e)
	case event.AttemptCancelled:
		n.finishCancelled(r, e)
	case event.AttemptNotStarted:
		r.lastFailure = errkind.TargetNotStarted
		n.retryOrRefuse(r, true)
	default:
		r.attemptLost(e.BytesDelivered)
		n.retryOrRefuse(r, r.repeatable(e.BytesDelivered))
	}
}

// attemptLost records that an attempt, here or at a peer, may have run and brought no
// complete answer.
func (r *request) attemptLost(bytesDelivered bool) {
	r.mayHaveRun, r.lastFailure = true, errkind.TargetFailed
	if bytesDelivered {
		r.lastFailure = errkind.StreamCut
	}
}

// repeatable reports whether the request may run once more after an attempt that may have
// run.
func (r *request) repeatable(bytesDelivered bool) bool {
	return r.Resumable || r.Idempotent && !bytesDelivered
}

// settleAttempt charges the tokens that the attempt consumed, or its whole
// reservation if the usage is unknown.
func (n *Node) settleAttempt(r *request, e event.AttemptEnded) {
	if r.Budget == "" {
		return
	}
	used := r.reserved
	if e.UsageKnown {
		used = e.Usage
	}
	if e.Outcome == event.AttemptNotStarted {
		used = 0
	}
	n.book.Account(r.Budget).Settle(r.reserved, used)
	r.reserved = 0
	if r.Resumable { // tokens already read and delivered are not consumed again
		r.WorstCaseTokens -= min(used, r.WorstCaseTokens)
	}
}

// retryOrRefuse retries the request at another target if that is allowed, and
// otherwise refuses it.
func (n *Node) retryOrRefuse(r *request, allowed bool) {
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	if kind := n.quarantined(r); kind != errkind.None {
		n.finishRefused(r, kind)
		return
	}
	if !allowed || !n.chargeAttempt(r) {
		n.finishRefused(r, r.lastFailure)
		return
	}
	r.notBefore = n.now + r.attempts.NextDelay(n.configs.index.Document.Policies.Retries, n.rng)
	n.reserveOrWait(r)
}

// chargeAttempt reports whether the request may be sent to one more target, and charges
// that attempt to the retry budget.
func (n *Node) chargeAttempt(r *request) bool {
	return r.attempts.Charge(n.retryBudget, n.retryPolicy(), n.maxAttempts(r))
}

// maxAttempts returns the maximum number of targets that the request may be sent
// to.
func (n *Node) maxAttempts(r *request) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return int(n.configs.index.Document.Policies.Retries.MaxAttempts)
}

// retryPolicy returns the configured policy with this instance's share of the
// fleet's reserve.
func (n *Node) retryPolicy() retry.Policy {
	p := n.configs.index.Document.Policies.Retries
	policy := retry.Policy{RetryPolicy: p, Reserve: retry.DefaultReserve}
	if p.FleetReserve > 0 {
		policy.Reserve = p.FleetReserve / max(1, n.fleetSize())
	}
	return policy
}

// finishRefused ends a request with an error answer.
func (n *Node) finishRefused(r *request, kind errkind.Kind) {
	ran := executionOf(r, kind)
	if !r.Idempotent && r.mayHaveRun && kind != errkind.Quarantined {
		kind = errkind.OutcomeUnknown
	}
	kind = n.budgetRefusal(r, kind)
	if r.reserved > 0 {
		n.book.Account(r.Budget).Settle(r.reserved, 0)
		r.reserved = 0
	}
	n.closeRecord(r, ran)
	n.waiting.remove(r)
	n.releaseClaim(r)
	n.requests.remove(r)
	n.emit(event.Action{Refuse: &event.Refuse{
		Request: r.Request, Kind: kind, Ran: ran,
		RetryAfter: n.retryAfter(r, kind),
	}})
}

// executionOf returns what a refusal may state about whether the request ran.
// If no attempt of it may have run, that is RanNo, except for error kinds that
// concern other requests with its key or its body.
func executionOf(r *request, kind errkind.Kind) errkind.Ran {
	if r.mayHaveRun {
		return errkind.RanUnknown
	}
	switch kind {
	case errkind.InProgress, errkind.OutcomeUnknown, errkind.Quarantined:
		return errkind.Lookup(kind).Ran
	}
	return errkind.RanNo
}

// finishAnswered bills a complete answer and holds its last frame until the
// bill is durable.
func (n *Node) finishAnswered(r *request, e event.AttemptEnded) {
	line := n.newBillLine(r, e.Usage)
	n.recordOutcome(r, e.Answer, line)
	n.awaitBill(r, line)
}

// finishCancelled bills the tokens that a cancelled attempt consumed for a
// caller that has disconnected. If there are none, it refuses the request.
func (n *Node) finishCancelled(r *request, e event.AttemptEnded) {
	r.mayHaveRun = true
	if e.Usage > 0 {
		n.closeRecord(r, errkind.RanUnknown)
		n.awaitBill(r, n.newBillLine(r, e.Usage))
		return
	}
	n.finishRefused(r, errkind.CallerGone)
}

// tickRequests dispatches queued requests whose retry delay is over, refuses
// those that can't meet their deadlines, and ends waits for bills that are
// overdue.
func (n *Node) tickRequests() {
	n.tickDispatch()
	for _, r := range n.requests.inPhase(phaseBilling) {
		if n.now >= r.billDeadline {
			n.billWaitExpired(r)
		}
	}
}
