package node

import (
	"slices"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/queue"
)

// queueCheckPeriod is the time between two checks of whether waiting requests
// can still meet their deadlines.
const queueCheckPeriod = 100 * time.Millisecond

// line is the queue before all targets that serve one name.
type line struct {
	queue    queue.Queue[*request]
	estimate queue.Estimate
}

// dispatchState holds the requests that wait for a target.
type dispatchState struct {
	lines map[string]*line
	// delayed requests wait for the end of their retry delay first.
	delayed   []*request
	nextCheck time.Duration
}

func (s *dispatchState) line(serves string) *line {
	l := s.lines[serves]
	if l == nil {
		l = &line{}
		s.lines[serves] = l
	}
	return l
}

// remove takes a request out of its queue, if it waits.
func (s *dispatchState) remove(r *request) {
	if r.phase != phaseQueued {
		return
	}
	s.line(r.Serves).queue.Remove(r)
	s.delayed = slices.DeleteFunc(s.delayed, func(d *request) bool { return d == r })
}

func (n *Node) limits() config.LimitPolicy { return n.configs.index.Document.Policies.Limits }

// enqueue lets a request wait for a target, and dispatches what has room.
func (n *Node) enqueue(r *request) {
	r.phase = phaseQueued
	if n.now < r.notBefore {
		n.waiting.delayed = append(n.waiting.delayed, r)
		return
	}
	n.push(r)
}

func (n *Node) push(r *request) {
	l := n.waiting.line(r.Serves)
	entry := queue.Entry[*request]{Value: r, Priority: r.Priority, Deadline: r.arrived + n.deadline(r)}
	evicted, full := l.queue.Push(entry, max(1, int(n.limits().QueueLength)))
	n.drain(l)
	if full {
		evicted.retryAfter = l.estimate.Wait(l.queue.Len(), n.places(r.Serves))
		n.finishRefused(evicted, errkind.Overloaded)
	}
	n.refuseHopeless(r.Serves, l)
}

// drain dispatches waiting requests in their order while targets have room.
func (n *Node) drain(l *line) {
	for _, r := range l.queue.Values() {
		target, kind := n.chooseTarget(r)
		switch {
		case kind == errkind.None:
			l.queue.Remove(r)
			if n.admitAttempt(r, target) {
				n.dispatch(r, target)
			}
		case kind != errkind.Overloaded:
			n.finishRefused(r, kind)
		case len(r.failedTargets) == 0:
			return // nor is there room for those behind
		}
	}
}

// refuseHopeless refuses the waiting requests that can't meet their deadlines.
func (n *Node) refuseHopeless(serves string, l *line) {
	places := n.places(serves)
	ahead := 0
	for _, r := range l.queue.Values() {
		left := r.arrived + n.deadline(r) - n.now
		answer := l.estimate.TimeToFirstToken(ahead, places)
		if left > 0 && answer <= left {
			ahead++
			continue
		}
		r.retryAfter = answer - max(left, 0)
		n.finishRefused(r, errkind.DeadlineUnmeetable)
	}
}

// places is the number of attempts that the usable targets take at a time.
func (n *Node) places(serves string) int {
	sum := 0
	for _, t := range n.members.targets {
		if t.serves(serves) && t.usable(n.now) {
			sum += n.limitOf(t)
		}
	}
	return sum
}

// tickDispatch ends retry delays, dispatches where room has come up in other
// ways than by the end of an attempt, and refuses what has become hopeless.
func (n *Node) tickDispatch() {
	for _, r := range slices.Clone(n.waiting.delayed) {
		if n.now >= r.notBefore {
			n.waiting.remove(r)
			n.push(r)
		}
	}
	check := n.now >= n.waiting.nextCheck
	if check {
		n.waiting.nextCheck = n.now + queueCheckPeriod
	}
	for _, serves := range sortedKeys(n.waiting.lines) {
		l := n.waiting.lines[serves]
		if l.queue.Len() == 0 {
			continue
		}
		n.drain(l)
		if check {
			n.refuseHopeless(serves, l)
		}
	}
}

// roomAt dispatches what waits for a target that has room again.
func (n *Node) roomAt(t *target) {
	for _, serves := range t.Serves {
		if l := n.waiting.lines[serves]; l != nil {
			n.drain(l)
		}
	}
}

// sampleFirstToken takes the time to an attempt's first token.
func (n *Node) sampleFirstToken(r *request) {
	took := n.now - r.dispatched
	n.waiting.line(r.Serves).estimate.ObserveFirstToken(took)
	if r.Kind == event.KindModel {
		r.target.limiter.ObserveFirstToken(n.limits(), took)
	}
}

// sampleEnd takes what an attempt that ended tells of its target.
func (n *Node) sampleEnd(r *request, e event.AttemptEnded) {
	if e.Outcome != event.AttemptNotStarted {
		n.waiting.line(r.Serves).estimate.ObserveServiceTime(n.now - r.dispatched)
	}
	if e.BetweenTokens > 0 && r.Kind == event.KindModel {
		r.target.limiter.ObserveTokenInterval(n.limits(), e.BetweenTokens)
	}
}
