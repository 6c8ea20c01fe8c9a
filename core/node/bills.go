package node

import (
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

const (
	// billWaitServe is how long the last frame of a complete answer waits for
	// its bill line to be durable under config.IsolatedServe. The frame is then
	// sent although the line is lost if this instance dies.
	billWaitServe = 300 * time.Millisecond
	// billWaitRefuse is the same under config.IsolatedRefuse. The answer is
	// then ended as cut off.
	billWaitRefuse = 5 * time.Second
	// segmentPeriod is the minimum time between two segments of one writer while
	// a peer can hold the lines, so that a segment carries many lines.
	segmentPeriod = 200 * time.Millisecond
	// platformTimeout is the time without an answer from the platform after
	// which the platform counts as unreachable.
	platformTimeout = 2 * configPollPeriod
)

// billLog is one shard's bill log and the state of the platform call on it.
type billLog struct {
	log      *bill.Log
	inFlight bool
	failures int
	retryAt  time.Duration
	// nextCreate is the earliest time of the next write of a segment while a
	// peer can hold the lines; without such a peer, segments are written without
	// delay.
	nextCreate time.Duration
}

// maxRecentBills bounds the requests in recentBills.
const maxRecentBills = 8192

// recentBills remembers the body hashes of the last billed requests whose lines
// this instance held. The log alone is not enough, since an instance need not
// read the log itself.
type recentBills struct {
	bodies map[bill.RequestID]string
	order  []bill.RequestID
}

func (b *recentBills) add(id bill.RequestID, bodyHash string) {
	if b.bodies == nil {
		b.bodies = map[bill.RequestID]string{}
	}
	if _, known := b.bodies[id]; !known {
		b.order = append(b.order, id)
	}
	b.bodies[id] = bodyHash
	if len(b.order) > maxRecentBills {
		delete(b.bodies, b.order[0])
		b.order = b.order[1:]
	}
}

// billState holds the bill logs and every line that this instance holds until
// it is written.
type billState struct {
	logs []*billLog
	held heldTable
	// recent remembers lines that were held and have been written.
	recent recentBills
	// nextReview is when the held lines are reviewed next.
	nextReview time.Duration
	platform   platformHealth
	// round is the acknowledgement round of held lines: 1 once a graceful stop
	// has begun, 0 before.
	round uint64
}

// platformHealth is when the platform last answered a call and when a call last
// failed.
type platformHealth struct{ answered, failed time.Duration }

func (h *platformHealth) observe(s event.PlatformStatus, now time.Duration) {
	switch s {
	case event.PlatformUnavailable, event.PlatformUnknown:
		h.failed = now
	default:
		h.answered = now
	}
}

// platformReachable reports whether the last platform call did not fail and its
// answer is recent.
func (n *Node) platformReachable() bool {
	h := n.bills.platform
	return h.answered >= h.failed && n.now-max(h.answered, n.resumedAt) < platformTimeout
}

// newBillLine returns the bill line of a request's current attempt.
func (n *Node) newBillLine(r *request, tokens int64) bill.Line {
	head, _ := n.bills.logs[bill.Shard(r.id)].log.Head()
	return bill.Line{
		Customer: r.Customer, Key: r.Key, Budget: r.Budget, Tokens: tokens, Attempt: r.attempt,
		BodyHash: r.BodyHash, MinSegment: head,
	}
}

// billedForOtherBody reports whether the request's key was billed for another
// body, as far as this instance has read the log or holds lines.
func (n *Node) billedForOtherBody(r *request) bool {
	if h := n.bills.held.byID[r.id]; h != nil && h.line.BodyHash != r.BodyHash {
		return true
	}
	if body, ok := n.bills.recent.bodies[r.id]; ok && body != r.BodyHash {
		return true
	}
	return n.bills.logs[bill.Shard(r.id)].log.BilledWithOtherBody(r.id, r.BodyHash)
}

// awaitBill starts to make the bill line of an answered request durable. The
// last frame is sent once the line is written or held by a second instance.
func (n *Node) awaitBill(r *request, line bill.Line) {
	if n.settings.Disabled.Bills {
		n.releaseAnswer(r)
		return
	}
	r.phase = phaseBilling
	r.billDeadline = n.now + billWaitRefuse
	if n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		r.billDeadline = n.now + billWaitServe
	}
	if n.bills.logs[bill.Shard(r.id)].log.Written(r.id) {
		n.releaseAnswer(r)
		return
	}
	h := n.bills.held.add(line, n.now)
	h.owned = true
	if n.replicated(h) {
		n.releaseAnswer(r)
		return
	}
	n.askToHold(h)
	n.reviewLine(h)
	n.advanceBillLog(n.bills.logs[bill.Shard(r.id)])
}

// releaseAnswer closes a request and sends the last frame of its answer, or the
// recorded answer of an earlier run.
func (n *Node) releaseAnswer(r *request) {
	n.requests.remove(r)
	if r.replay != nil {
		n.emit(event.Action{ReplayAnswer: &event.ReplayAnswer{Request: r.Request, Answer: *r.replay}})
		return
	}
	n.emit(event.Action{ReleaseAnswer: &event.ReleaseAnswer{Request: r.Request}})
}

// billWaitExpired ends the wait of a last frame whose bill line is neither
// written nor held by a second instance.
func (n *Node) billWaitExpired(r *request) {
	if n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		n.releaseAnswer(r)
		return
	}
	r.mayHaveRun = true
	n.finishRefused(r, errkind.StreamCut)
}

// isolated reports whether a new request must be refused because its bill line
// could neither be written nor held by a second instance, or because this
// instance already holds maxHeldBills lines. Under config.IsolatedServe, no
// request is refused for these reasons.
func (n *Node) isolated() bool {
	if n.settings.Disabled.Bills || n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		return false
	}
	if n.bills.held.full() {
		return true
	}
	return !n.platformReachable() && len(n.eligibleBackups()) == 0
}

func (n *Node) tickBills() {
	if n.settings.Disabled.Bills {
		return
	}
	n.reviewBills()
	for _, l := range n.bills.logs {
		n.advanceBillLog(l)
	}
}

// advanceBillLog makes the platform call that is due on a shard's log: a probe
// for its end, a read of a segment that others wrote, or a write of the next
// segment.
func (n *Node) advanceBillLog(l *billLog) {
	_, known := l.log.Head()
	if l.inFlight || n.now < l.retryAt || (known && l.log.Pending() == 0) {
		return
	}
	l.log.RewindToPending()
	if name, ok := l.log.NextProbe(); ok {
		n.probeSegment(l, name)
		return
	}
	if l.log.Behind() {
		l.inFlight = true
		n.readSegment(l)
		return
	}
	if n.now < l.nextCreate && len(n.eligibleBackups()) > 0 {
		return
	}
	name, value, ok := l.log.NextCreate(string(n.holder))
	if !ok {
		return
	}
	l.inFlight = true
	l.nextCreate = n.now + segmentPeriod
	n.createSegment(l, event.Object{Kind: event.KindBillSegment, Name: name, Value: value})
}

// probeSegment reads whether a segment exists, to find the end of the log.
func (n *Node) probeSegment(l *billLog, name string) {
	l.inFlight = true
	n.callPlatform(event.OpGet, event.Object{Kind: event.KindBillSegment, Name: name}, func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK, event.PlatformNotFound:
			l.log.RecordProbe(r.Status == event.PlatformOK)
			l.inFlight, l.failures = false, 0
			n.advanceBillLog(l)
		default:
			n.billCallFailed(l)
		}
	})
}

func (n *Node) createSegment(l *billLog, o event.Object) {
	n.callPlatform(event.OpCreate, o, func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			n.segmentAdded(l, l.log.CommitCreate())
		case event.PlatformUnavailable:
			n.billCallFailed(l)
		default: // another writer's segment, or a lost result: read it
			n.readSegment(l)
		}
	})
}

func (n *Node) readSegment(l *billLog) {
	o := event.Object{Kind: event.KindBillSegment, Name: l.log.NextSegmentName()}
	n.callPlatform(event.OpGet, o, func(r event.PlatformResult) {
		if r.Status != event.PlatformOK {
			n.billCallFailed(l)
			return
		}
		lines, err := l.log.ApplySegment(r.Object.Value)
		if err != nil {
			n.billCallFailed(l)
			return
		}
		n.segmentAdded(l, lines)
	})
}

// segmentAdded marks lines that are in the log as written and continues with
// the next call.
func (n *Node) segmentAdded(l *billLog, lines []bill.Line) {
	l.inFlight, l.failures = false, 0
	ids := make([]bill.RequestID, len(lines))
	for i, line := range lines {
		ids[i] = line.ID()
	}
	n.billsWritten(ids, "")
	n.advanceBillLog(l)
}

// billCallFailed abandons the open call; the next one follows after a backoff.
func (n *Node) billCallFailed(l *billLog) {
	l.log.AbandonCreate()
	l.inFlight = false
	l.retryAt = n.now + n.backoff(l.failures)
	l.failures++
}
