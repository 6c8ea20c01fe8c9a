package node

import (
	"slices"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/queue"
)

// queueCheckPeriod is the time between two checks of whether queued requests
// can still meet their deadlines.
const queueCheckPeriod = 100 * time.Millisecond

// targetQueue is the queue for the targets of one model or service.
type targetQueue struct {
	entries  queue.Queue[*request]
	estimate queue.Estimate
}

// dispatchState holds the requests that wait for a target.
type dispatchState struct {
	// queues holds the queue of each model and service, by its name.
	queues map[string]*targetQueue
	// delayed are the requests whose retry delay is not over yet.
	delayed   []*request
	nextCheck time.Duration
}

func (s *dispatchState) queueFor(serves string) *targetQueue {
	q := s.queues[serves]
	if q == nil {
		q = &targetQueue{}
		s.queues[serves] = q
	}
	return q
}

// remove removes a request from its queue, if it is queued.
func (s *dispatchState) remove(r *request) {
	if r.phase != phaseQueued {
		return
	}
	s.queueFor(r.Serves).entries.Remove(r)
	s.delayed = slices.DeleteFunc(s.delayed, func(d *request) bool { return d == r })
}

func (n *Node) limits() config.LimitPolicy { return n.configs.index.Document.Policies.Limits }

// enqueue queues a request, after its retry delay if it has one, and dispatches
// queued requests while targets have room.
func (n *Node) enqueue(r *request) {
	r.phase = phaseQueued
	if n.now < r.notBefore {
		n.waiting.delayed = append(n.waiting.delayed, r)
		return
	}
	n.push(r)
}

func (n *Node) push(r *request) {
	// If the queue is full, the least urgent request is refused.
	q := n.waiting.queueFor(r.Serves)
	entry := queue.Entry[*request]{Value: r, Priority: r.Priority, Deadline: r.arrived + n.deadline(r)}
	evicted, full := q.entries.Push(entry, max(1, int(n.limits().QueueLength)))
	n.drain(q)
	if full {
		evicted.retryAfter = q.estimate.Wait(q.entries.Len(), n.capacity(r.Serves))
		n.finishRefused(evicted, errkind.Overloaded)
	}
	n.refuseUnmeetable(r.Serves, q)
}

// drain dispatches queued requests in order while targets have room.
func (n *Node) drain(q *targetQueue) {
	for _, r := range q.entries.Values() {
		if n.handOverUnreached(r) {
			continue
		}
		target, kind := n.chooseTarget(r)
		switch {
		case kind == errkind.None:
			q.entries.Remove(r)
			if n.admitAttempt(r, target) {
				n.dispatch(r, target)
			}
		case kind != errkind.Overloaded:
			if !n.targetsRefused(r) || !n.handOverToPeer(r) {
				n.finishRefused(r, kind)
			}
		case len(r.failedTargets) == 0 && r.origin == nil:
			return // there is no room for the requests behind it either
		}
	}
}

// limitedQueueMargin divides the expected wait: a request must have more time left
// by that part of it to be queued for targets that name limits. These serve
// requests one by one, and a request that is refused later has waited in vain.
const limitedQueueMargin = 4

// refuseUnmeetable refuses the queued requests that can't meet their deadlines.
func (n *Node) refuseUnmeetable(serves string, q *targetQueue) {
	capacity := n.capacity(serves)
	limited := n.anyLimited(serves)
	ahead := 0
	for _, r := range q.entries.Values() {
		left := r.arrived + n.deadline(r) - n.now
		firstToken := q.estimate.TimeToFirstToken(ahead, capacity)
		needed := firstToken
		if limited && !r.queued {
			needed += firstToken / limitedQueueMargin
		}
		if left > 0 && needed <= left {
			r.queued = true
			ahead++
			continue
		}
		r.retryAfter = firstToken - max(left, 0)
		n.finishRefused(r, errkind.DeadlineUnmeetable)
	}
}

// capacity returns the number of attempts that the usable targets accept at a
// time from this instance.
func (n *Node) capacity(serves string) float64 {
	sum := 0.0
	serviceTime := n.waiting.queueFor(serves).estimate.ServiceTime()
	for _, t := range n.members.targetsOf(serves) {
		if !t.usable(n.now) {
			continue
		}
		slots := float64(n.concurrencyLimit(t))
		if limited, ok := n.limitedSlots(t, serviceTime); ok {
			slots = min(slots, limited)
		}
		sum += slots
	}
	return sum
}

// tickDispatch queues requests whose retry delay is over, dispatches to targets
// that have gained room other than by the end of an attempt, and refuses
// requests that can no longer meet their deadlines.
func (n *Node) tickDispatch() {
	for _, r := range slices.Clone(n.waiting.delayed) {
		if n.now >= r.notBefore {
			n.waiting.remove(r)
			n.push(r)
		}
	}
	checkDue := n.now >= n.waiting.nextCheck
	if checkDue {
		n.waiting.nextCheck = n.now + queueCheckPeriod
	}
	for _, serves := range sortedKeys(n.waiting.queues) {
		q := n.waiting.queues[serves]
		if q.entries.Len() == 0 {
			continue
		}
		n.drain(q)
		if checkDue {
			n.refuseUnmeetable(serves, q)
		}
	}
}

// dispatchWaitingFor dispatches requests that wait for a target that has room
// again.
func (n *Node) dispatchWaitingFor(t *target) {
	for _, serves := range t.Serves {
		if q := n.waiting.queues[serves]; q != nil {
			n.drain(q)
		}
	}
}

// sampleFirstToken records an attempt's time to first token.
func (n *Node) sampleFirstToken(r *request) {
	took := n.now - r.dispatched
	n.waiting.queueFor(r.Serves).estimate.ObserveFirstToken(took)
	if r.Kind == event.KindModel {
		r.target.limiter.ObserveFirstToken(n.limits(), took)
	}
}

// sampleAttemptEnd records how long an attempt occupied its target, and its
// time between tokens.
func (n *Node) sampleAttemptEnd(r *request, e event.AttemptEnded) {
	if e.Outcome != event.AttemptNotStarted {
		n.waiting.queueFor(r.Serves).estimate.ObserveServiceTime(n.now - e.Ago - r.dispatched)
	}
	if e.BetweenTokens > 0 && r.Kind == event.KindModel {
		r.target.limiter.ObserveTokenInterval(n.limits(), e.BetweenTokens)
	}
}
