package node

import (
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

const (
	// billHold is how long the last frame of a whole answer waits for its bill
	// under config.IsolatedServe. It then goes out although the bill is lost if
	// this instance dies.
	billHold = 300 * time.Millisecond
	// billCut is how long it waits under config.IsolatedRefuse. The answer is
	// then ended as cut.
	billCut = 5 * time.Second
	// segmentPeriod is the least time between two segments of one writer, so
	// that a segment carries many lines.
	segmentPeriod = 200 * time.Millisecond
	// platformTimeout is the time without an answer from the platform after
	// which it counts as unreachable.
	platformTimeout = 2 * configPollPeriod
)

// billLog is one shard's bill log and the call on it that is in flight.
type billLog struct {
	log        *bill.Log
	flying     bool
	failures   int
	retryAt    time.Duration
	nextCreate time.Duration
}

// maxRecent bounds the billed requests that are remembered beside the log.
const maxRecent = 8192

// recentBills remembers the bodies of the last requests whose lines this
// instance held, since it need not read the log itself.
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
	if len(b.order) > maxRecent {
		delete(b.bodies, b.order[0])
		b.order = b.order[1:]
	}
}

// billState holds every line that this instance has to see written.
type billState struct {
	logs []*billLog
	held heldTable
	// recent are lines that were held and are written.
	recent recentBills
	// nextReview is when held lines are looked over next.
	nextReview time.Duration
	platform   platformHealth
	// round is 1 once a graceful stop has begun.
	round uint64
}

// platformHealth is when the platform last answered and last failed to.
type platformHealth struct{ answered, failed time.Duration }

func (h *platformHealth) observe(s event.PlatformStatus, now time.Duration) {
	switch s {
	case event.PlatformUnavailable, event.PlatformUnknown:
		h.failed = now
	default:
		h.answered = now
	}
}

// platformReachable tells whether the platform's last answer was no failure
// and is recent.
func (n *Node) platformReachable() bool {
	h := n.bills.platform
	return h.answered >= h.failed && n.now-max(h.answered, n.resumedAt) < platformTimeout
}

// newBillLine makes the bill line of a request's present attempt.
func (n *Node) newBillLine(r *request, tokens int64) bill.Line {
	head, _ := n.bills.logs[bill.Shard(r.id)].log.Head()
	return bill.Line{
		Customer: r.Customer, Key: r.Key, Budget: r.Budget, Tokens: tokens, Attempt: r.attempt,
		BodyHash: r.BodyHash, MinSegment: head,
	}
}

// billedForOtherBody tells whether the request's key was billed for another body, as
// far as this instance has read the log or holds lines.
func (n *Node) billedForOtherBody(r *request) bool {
	if h := n.bills.held.byID[r.id]; h != nil && h.line.BodyHash != r.BodyHash {
		return true
	}
	if body, ok := n.bills.recent.bodies[r.id]; ok && body != r.BodyHash {
		return true
	}
	return n.bills.logs[bill.Shard(r.id)].log.BilledWithOtherBody(r.id, r.BodyHash)
}

// awaitBill sees to the bill line of an answered request. The last frame goes
// out once the line is written or held by a second instance.
func (n *Node) awaitBill(r *request, line bill.Line) {
	if n.settings.Disabled.Bills {
		n.releaseAnswer(r)
		return
	}
	r.phase = phaseBilling
	r.billDeadline = n.now + billCut
	if n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		r.billDeadline = n.now + billHold
	}
	if n.bills.logs[bill.Shard(r.id)].log.Written(r.id) {
		n.releaseAnswer(r)
		return
	}
	h := n.bills.held.add(line, n.now)
	h.own = true
	if n.safe(h) {
		n.releaseAnswer(r)
		return
	}
	n.askToHold(h)
	n.reviewLine(h)
	n.flyBills(n.bills.logs[bill.Shard(r.id)])
}

// releaseAnswer lets the last frame go, or the recorded answer of an earlier run.
func (n *Node) releaseAnswer(r *request) {
	n.requests.remove(r)
	if r.replay != nil {
		n.emit(event.Action{ReplayAnswer: &event.ReplayAnswer{Request: r.Request, Answer: *r.replay}})
		return
	}
	n.emit(event.Action{ReleaseAnswer: &event.ReleaseAnswer{Request: r.Request}})
}

// billWaitExpired ends the wait of a last frame whose bill is neither written nor
// held by a second instance.
func (n *Node) billWaitExpired(r *request) {
	if n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		n.releaseAnswer(r)
		return
	}
	r.mayHaveRun = true
	n.finishRefused(r, errkind.StreamCut)
}

// isolated tells whether a new request must be refused since its bill could
// neither be written nor held by a second instance.
func (n *Node) isolated() bool {
	if n.settings.Disabled.Bills || n.configs.index.Document.Policies.Billing.WhenIsolated == config.IsolatedServe {
		return false
	}
	if n.bills.held.full() {
		return true
	}
	return !n.platformReachable() && len(n.witnesses()) == 0
}

func (n *Node) tickBills() {
	if n.settings.Disabled.Bills {
		return
	}
	n.reviewBills()
	for _, l := range n.bills.logs {
		n.flyBills(l)
	}
}

// flyBills makes the call that is due on a shard's log: find its end, read
// what others wrote, or write the next segment.
func (n *Node) flyBills(l *billLog) {
	_, known := l.log.Head()
	if l.flying || n.now < l.retryAt || (known && l.log.Pending() == 0) {
		return
	}
	l.log.RewindToPending()
	if name, ok := l.log.NextProbe(); ok {
		n.probeBills(l, name)
		return
	}
	if l.log.Behind() {
		l.flying = true
		n.readBills(l)
		return
	}
	if n.now < l.nextCreate && len(n.witnesses()) > 0 {
		return
	}
	name, value, ok := l.log.NextCreate(string(n.holder))
	if !ok {
		return
	}
	l.flying = true
	l.nextCreate = n.now + segmentPeriod
	n.createBills(l, event.Object{Kind: event.KindBillSegment, Name: name, Value: value})
}

// probeBills asks whether a segment exists, to find the end of the log.
func (n *Node) probeBills(l *billLog, name string) {
	l.flying = true
	n.callPlatform(event.OpGet, event.Object{Kind: event.KindBillSegment, Name: name}, func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK, event.PlatformNotFound:
			l.log.RecordProbe(r.Status == event.PlatformOK)
			l.flying, l.failures = false, 0
			n.flyBills(l)
		default:
			n.billsFailed(l)
		}
	})
}

func (n *Node) createBills(l *billLog, o event.Object) {
	n.callPlatform(event.OpCreate, o, func(r event.PlatformResult) {
		switch r.Status {
		case event.PlatformOK:
			n.billsLanded(l, l.log.CommitCreate())
		case event.PlatformUnavailable:
			n.billsFailed(l)
		default: // another writer's segment, or a lost answer: read it
			n.readBills(l)
		}
	})
}

func (n *Node) readBills(l *billLog) {
	o := event.Object{Kind: event.KindBillSegment, Name: l.log.NextSegmentName()}
	n.callPlatform(event.OpGet, o, func(r event.PlatformResult) {
		if r.Status != event.PlatformOK {
			n.billsFailed(l)
			return
		}
		lines, err := l.log.ApplySegment(r.Object.Value)
		if err != nil {
			n.billsFailed(l)
			return
		}
		n.billsLanded(l, lines)
	})
}

// billsLanded takes lines that stand in the log and goes on.
func (n *Node) billsLanded(l *billLog, lines []bill.Line) {
	l.flying, l.failures = false, 0
	ids := make([]bill.RequestID, len(lines))
	for i, line := range lines {
		ids[i] = line.ID()
	}
	n.billsWritten(ids, "")
	n.flyBills(l)
}

// billsFailed gives the open call up.
func (n *Node) billsFailed(l *billLog) {
	l.log.AbandonCreate()
	l.flying = false
	l.retryAt = n.now + n.backoff(l.failures)
	l.failures++
}
