package node

import (
	"fmt"
	"slices"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/retry"
)

// phase is where a request stands.
type phase int

const (
	phaseWaitingForGrant       phase = iota // waits for tokens
	phaseWaitingForBegunRecord              // waits for its begun record
	phaseQueued                             // waits for a target or a retry delay
	phaseRunning                            // has an attempt in flight
	phaseBilling                            // is answered but for the last frame; waits for its bill
	phaseHandedOver                         // is with a peer
	phaseWaitingForClaim                    // is suspect of crashing targets; waits for its claim
)

// request is one request from its arrival to its answer.
type request struct {
	event.RequestArrived
	id      bill.RequestID
	phase   phase
	arrived time.Duration
	// reserved is the open reservation in tokens; 0 if there is none.
	reserved int64
	budgetWait
	attempts int
	// sent counts the attempts that may have reached their target.
	sent       int
	attempt    string
	targetName string
	// target is where the current attempt runs.
	target *target
	// dispatched is when the current attempt began.
	dispatched time.Duration
	// firstSeen is set once the current attempt has sent a part of its answer.
	firstSeen bool
	// unread is the number of prompt tokens that the target has not yet read.
	unread int64
	// retryAfter overrides the kind's time to come back after a refusal.
	retryAfter time.Duration
	// failedTargets are not tried again.
	failedTargets []string
	// notBefore is the end of the retry delay.
	notBefore time.Duration
	// lastFailure is the kind for the final answer if no retry follows.
	lastFailure errkind.Kind
	// mayHaveRun is set once an attempt may have started.
	mayHaveRun    bool
	callerGone    bool
	billDeadline  time.Duration
	record        *begunRecord
	recordVersion string
	// recordMayExist is set once a write of the begun record may have taken effect
	// though no answer said so; takeover is the version it would replace.
	recordMayExist bool
	takeover       string
	// claim is the right to run a suspect body, or empty.
	claim string
	// trial is the target whose trial the request has or asks for, or empty.
	trial      string
	trialClaim string
	// replay is the recorded answer that is given in place of a new run.
	replay *event.RecordedAnswer
}

// requestTable finds requests by handle, name and attempt.
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

// arrive admits a request or refuses it at once.
func (n *Node) arrive(e event.RequestArrived) {
	r := &request{RequestArrived: e, id: bill.RequestID{Customer: e.Customer, Key: e.Key}, arrived: n.now}
	if kind := n.admissionError(r); kind != errkind.None {
		n.refuseUnknownRequest(e.Request, kind)
		return
	}
	n.requests.add(r)
	n.reserveOrWait(r)
}

// ready tells whether the instance can serve: it has a configuration, and
// knows from where on the lines of new requests may stand in the bill logs and
// which bodies are suspected of crashing targets.
func (n *Node) ready() bool {
	return n.configs.index != nil && n.billLogEndsKnown() && n.quarantine.loaded
}

func (n *Node) admissionError(r *request) errkind.Kind {
	if !n.ready() {
		return errkind.NotReady
	}
	if n.stopping && n.now >= n.refuseFrom {
		return errkind.Stopping
	}
	if other := n.requests.byID[r.id]; other != nil {
		if other.BodyHash != r.BodyHash {
			return errkind.KeyReused
		}
		return errkind.InProgress
	}
	if n.quarantined(r) {
		return errkind.Quarantined
	}
	if n.billedForOtherBody(r) {
		return errkind.KeyReused
	}
	if n.isolated() {
		return errkind.Isolated
	}
	return errkind.None
}

func (n *Node) refuseUnknownRequest(handle uint64, kind errkind.Kind) {
	a := errkind.Lookup(kind)
	after := time.Duration(a.RetryAfterSeconds) * time.Second
	if (kind == errkind.Stopping || kind == errkind.NotReady) && n.liveInstances() > 1 {
		after = otherInstanceRetryAfter
	}
	n.emit(event.Action{Refuse: &event.Refuse{Request: handle, Kind: kind, Ran: a.Ran, RetryAfter: after}})
}

// otherInstanceRetryAfter is when to come back, at another instance, if this one
// does not serve while others do: at once, but not all in one moment.
const otherInstanceRetryAfter = 50 * time.Millisecond

// reserveOrWait sets the worst case of the next attempt aside, or waits for
// the ledger.
func (n *Node) reserveOrWait(r *request) {
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
	if s.inFlight && s.failures > 0 { // the platform has just failed to answer
		n.askPeers(r, errkind.BudgetUnavailable)
		return
	}
	n.startLedgerUpdate(s)
}

func (n *Node) afterReserve(r *request) {
	if !r.Idempotent && r.record == nil && !n.settings.Disabled.BegunRecords {
		n.createBegunRecord(r)
		return
	}
	n.enqueue(r)
}

func (n *Node) deadline(r *request) time.Duration {
	if r.Deadline > 0 {
		return r.Deadline
	}
	return time.Duration(n.configs.index.Document.Policies.Limits.DefaultDeadlineMillis) * time.Millisecond
}

func (n *Node) dispatch(r *request, t *target) {
	r.attempts++
	if r.attempts == 1 {
		n.retries.Deposit(n.retryPolicy())
	}
	r.attempt = fmt.Sprintf("%s-%s-%d-%d", n.settings.Name, n.settings.Incarnation, r.Request, r.attempts)
	r.targetName, r.target = t.Name, t
	r.phase = phaseRunning
	n.requests.byAttempt[r.attempt] = r
	r.dispatched, r.firstSeen = n.now, false
	t.inFlight++
	t.limiter.ObserveStart(n.limits(), t.inFlight)
	t.load.ObserveInFlight(t.inFlight)
	t.beginRead(r)
	t.prefixes.RecordUse(r.PrefixHashes, n.now)
	n.emit(event.Action{Dispatch: &event.Dispatch{
		Request: r.Request, Attempt: r.attempt, Stream: r.id.Digest(),
		Target: t.Name, Address: t.Address, MaxTokens: r.reserved,
	}})
}

func (n *Node) firstToken(attempt string) {
	if r := n.requests.byAttempt[attempt]; r != nil {
		r.mayHaveRun, r.firstSeen = true, true
		r.target.endRead(r)
		n.sampleFirstToken(r)
	}
}

// callerGone cancels what the caller no longer waits for.
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
	case phaseWaitingForGrant, phaseQueued:
		n.finishRefused(r, errkind.CallerGone)
	}
}

// attemptEnded settles an attempt and answers, bills or retries its request.
func (n *Node) attemptEnded(e event.AttemptEnded) {
	r := n.requests.byAttempt[e.Attempt]
	if r == nil {
		return
	}
	delete(n.requests.byAttempt, e.Attempt)
	n.sampleEnd(r, e)
	n.releaseTarget(r, e)
	if !e.Unsent {
		r.sent++
	}
	defer n.roomAt(r.target)
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
		r.mayHaveRun = true
		r.lastFailure = errkind.TargetFailed
		if e.BytesDelivered {
			r.lastFailure = errkind.StreamCut
		}
		n.retryOrRefuse(r, r.Resumable || r.Idempotent && !e.BytesDelivered)
	}
}

// settleAttempt charges what the attempt consumed, or all of its reservation
// where that is not known.
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
	if r.Resumable { // what was read and delivered is not consumed again
		r.WorstCaseTokens -= min(used, r.WorstCaseTokens)
	}
}

// retryOrRefuse repeats the request at another target if that is allowed.
func (n *Node) retryOrRefuse(r *request, allowed bool) {
	if r.callerGone {
		n.finishRefused(r, errkind.CallerGone)
		return
	}
	if n.quarantined(r) {
		n.finishRefused(r, errkind.Quarantined)
		return
	}
	if !allowed || !n.attemptsLeft(r) {
		n.finishRefused(r, r.lastFailure)
		return
	}
	r.failedTargets = append(r.failedTargets, r.targetName)
	r.notBefore = n.now + n.delay(r)
	n.reserveOrWait(r)
}

// attemptsLeft tells whether the request may be sent to one more target, and
// takes it off the retry budget. A first send needs no budget.
func (n *Node) attemptsLeft(r *request) bool {
	if r.sent == 0 {
		return true
	}
	most := int(n.configs.index.Document.Policies.Retries.MaxAttempts)
	if r.MaxAttempts > 0 {
		most = r.MaxAttempts
	}
	return r.sent < most && n.retries.TryWithdraw(n.retryPolicy())
}

// retryPolicy is the policy with this instance's part of the fleet's reserve.
func (n *Node) retryPolicy() retry.Policy {
	p := n.configs.index.Document.Policies.Retries
	share := retry.Policy{RetryPolicy: p, Reserve: retry.DefaultReserve}
	if p.FleetReserve > 0 {
		share.Reserve = p.FleetReserve / max(1, n.fleetSize())
	}
	return share
}

// finishRefused ends a request with an error answer.
func (n *Node) finishRefused(r *request, kind errkind.Kind) {
	ran := ranOf(r, kind)
	if !r.Idempotent && r.mayHaveRun && kind != errkind.Quarantined {
		kind = errkind.OutcomeUnknown
	}
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
		RetryAfter: n.retryAfter(r, kind), BudgetCovers: n.budgetCovers(r, kind),
	}})
}

// ranOf is what a refusal may claim about execution. Without an attempt that
// may have run, only kinds that speak of other attempts leave it open.
func ranOf(r *request, kind errkind.Kind) errkind.Ran {
	if r.mayHaveRun {
		return errkind.RanUnknown
	}
	switch kind {
	case errkind.InProgress, errkind.OutcomeUnknown, errkind.Quarantined:
		return errkind.Lookup(kind).Ran
	}
	return errkind.RanNo
}

// finishAnswered bills a whole answer and holds its last frame until the bill
// is durable.
func (n *Node) finishAnswered(r *request, e event.AttemptEnded) {
	line := n.newBillLine(r, e.Usage)
	n.recordOutcome(r, e.Answer, line)
	n.awaitBill(r, line)
}

// finishCancelled bills what a caller consumed that went away.
func (n *Node) finishCancelled(r *request, e event.AttemptEnded) {
	r.mayHaveRun = true
	if e.Usage > 0 {
		n.closeRecord(r, errkind.RanUnknown)
		n.awaitBill(r, n.newBillLine(r, e.Usage))
		return
	}
	n.finishRefused(r, errkind.CallerGone)
}

// tickRequests dispatches queued requests whose delay is over and refuses
// those whose deadline has passed.
func (n *Node) tickRequests() {
	n.tickDispatch()
	for _, r := range n.requests.inPhase(phaseBilling) {
		if n.now >= r.billDeadline {
			n.billWaitExpired(r)
		}
	}
}
