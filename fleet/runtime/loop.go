// Package runtime drives the decision core: it feeds events into it on one
// goroutine and hands each action to the duty that carries it out.
package runtime

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
)

const (
	eventRingSize  = 4096
	peerRingSize   = 1024
	platformRing   = 1024
	requestRing    = 16
	platformDuties = 16
)

// Requests that the loop's owner has open get their actions on a ring.
type requestRings struct {
	mu    sync.Mutex
	rings map[uint64]chan event.Action
}

// Loop runs one node. All its methods are safe for concurrent use.
type Loop struct {
	node     *node.Node
	events   chan event.Event
	platform chan event.PlatformCall
	peers    chan event.SendPeer
	index    atomic.Pointer[config.Index]
	// instances is the last instance list.
	instances atomic.Pointer[[]event.Instance]
	cacheSeen cacheNumbers
	// listChanged holds one token after a change of the instance list.
	listChanged chan struct{}
	last        atomic.Uint64
	requests    requestRings
	dumps       chan chan node.Dump
	stopped     chan struct{}
	stopOnce    sync.Once
	// ended is closed once Run has returned.
	ended    chan struct{}
	counters Counters
	// datagrams sends a message that may be lost; it must not block.
	datagrams func(to string, m event.PeerMessage)
	// tick is the time between two ticks.
	tick time.Duration
	// notes takes the core's notes for the log; it must not block.
	notes func(event.LogEntry)
}

// Counters counts what the loop did, for metrics.
type Counters struct {
	Steps         atomic.Uint64
	PeerDrops     atomic.Uint64
	PlatformDrops atomic.Uint64
	Refusals      RefusalCounter
}

// NewLoop returns a loop around a new node.
func NewLoop(s node.Settings) *Loop {
	return &Loop{
		node:        node.New(s),
		events:      make(chan event.Event, eventRingSize),
		platform:    make(chan event.PlatformCall, platformRing),
		peers:       make(chan event.SendPeer, peerRingSize),
		requests:    requestRings{rings: map[uint64]chan event.Action{}},
		dumps:       make(chan chan node.Dump),
		stopped:     make(chan struct{}),
		listChanged: make(chan struct{}, 1),
		ended:       make(chan struct{}),
		notes:       func(event.LogEntry) {},
		datagrams:   func(string, event.PeerMessage) {},
		tick:        event.TickPeriod,
	}
}

// SendDatagrams sends messages that may be lost with a function that never
// blocks. It must be called before Run.
func (l *Loop) SendDatagrams(with func(to string, m event.PeerMessage)) { l.datagrams = with }

// TickEvery sets the time between two ticks, at most event.MaxTickPeriod. It
// must be called before Run.
func (l *Loop) TickEvery(d time.Duration) { l.tick = min(d, event.MaxTickPeriod) }

// LogNotes sends the core's notes to a function that never blocks. It must be
// called before Run.
func (l *Loop) LogNotes(to func(event.LogEntry)) { l.notes = to }

// Index returns the configuration in force, or nil before there is one.
func (l *Loop) Index() *config.Index { return l.index.Load() }

// Counters returns the loop's counters.
func (l *Loop) Counters() *Counters { return &l.counters }

// Stopped is closed once a graceful stop is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// PlatformCalls is the ring of calls to make.
func (l *Loop) PlatformCalls() <-chan event.PlatformCall { return l.platform }

// PeerMessages is the ring of messages to send.
func (l *Loop) PeerMessages() <-chan event.SendPeer { return l.peers }

// Ended is closed once the loop runs no more: no event is answered then.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// Post queues an event. It is dropped once the loop has ended.
func (l *Loop) Post(e event.Event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// Open returns a new handle and the ring of its actions.
func (l *Loop) Open() (uint64, <-chan event.Action) {
	handle := l.last.Add(1)
	ring := make(chan event.Action, requestRing)
	l.requests.mu.Lock()
	l.requests.rings[handle] = ring
	l.requests.mu.Unlock()
	return handle, ring
}

// Close forgets a handle.
func (l *Loop) Close(handle uint64) {
	l.requests.mu.Lock()
	delete(l.requests.rings, handle)
	l.requests.mu.Unlock()
}

// Dump returns the node's state.
func (l *Loop) Dump(ctx context.Context) (node.Dump, error) {
	reply := make(chan node.Dump, 1)
	select {
	case l.dumps <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return node.Dump{}, ctx.Err()
	case <-l.ended:
		return node.Dump{}, ErrEnded
	}
}

// ErrEnded reports that the loop runs no more.
var ErrEnded = errors.New("the loop has ended")

// Run steps the node until ctx ends. It may be called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	start := time.Now()
	for {
		var e event.Event
		select {
		case <-ctx.Done():
			return
		case reply := <-l.dumps:
			reply <- l.node.Dump()
			continue
		case <-ticker.C:
			e = event.Event{Tick: &event.Tick{}}
		case e = <-l.events:
		}
		l.step(time.Since(start), e)
	}
}

// step runs one event and, at once, the results of calls that found no room.
func (l *Loop) step(now time.Duration, e event.Event) {
	queue := []event.Event{e}
	for len(queue) > 0 {
		in := event.Input{Now: now, Seed: rand.Uint64(), Event: queue[0]}
		queue = queue[1:]
		l.counters.Steps.Add(1)
		for _, a := range l.node.Step(in) {
			if failed := l.carryOut(a); failed != nil {
				queue = append(queue, event.Event{PlatformResult: failed})
			}
		}
	}
}

// carryOut hands an action to its duty. It never blocks; a platform call that
// finds no room returns its failure.
func (l *Loop) carryOut(a event.Action) *event.PlatformResult {
	switch {
	case a.PlatformCall != nil:
		select {
		case l.platform <- *a.PlatformCall:
		default:
			l.counters.PlatformDrops.Add(1)
			return &event.PlatformResult{Call: a.PlatformCall.Call, Status: event.PlatformUnavailable}
		}
	case a.SendPeer != nil && a.SendPeer.Datagram:
		l.datagrams(a.SendPeer.Address, a.SendPeer.Message)
	case a.SendPeer != nil:
		select {
		case l.peers <- *a.SendPeer:
		default:
			l.counters.PeerDrops.Add(1)
		}
	case a.AdoptConfig != nil:
		l.adopt(a.AdoptConfig)
	case a.LogEntry != nil:
		l.notes(*a.LogEntry)
	case a.ShutdownDone != nil:
		l.stopOnce.Do(func() { close(l.stopped) })
	default:
		if a.Refuse != nil {
			l.counters.Refusals.Add(a.Refuse.Kind)
		}
		l.deliver(handleOf(a), a)
	}
	return nil
}

func handleOf(a event.Action) uint64 {
	switch {
	case a.Dispatch != nil:
		return a.Dispatch.Request
	case a.CancelAttempt != nil:
		return a.CancelAttempt.Request
	case a.ReleaseAnswer != nil:
		return a.ReleaseAnswer.Request
	case a.Refuse != nil:
		return a.Refuse.Request
	case a.ReplayAnswer != nil:
		return a.ReplayAnswer.Request
	case a.HandOver != nil:
		return a.HandOver.Request
	case a.AnswerApply != nil:
		return a.AnswerApply.Apply
	case a.AnswerAddresses != nil:
		return a.AnswerAddresses.Query
	case a.AnswerStatus != nil:
		return a.AnswerStatus.Query
	}
	return 0
}

func (l *Loop) deliver(handle uint64, a event.Action) {
	l.requests.mu.Lock()
	ring := l.requests.rings[handle]
	l.requests.mu.Unlock()
	if ring == nil {
		return
	}
	select {
	case ring <- a:
	default: // a request has far fewer actions than its ring has room
	}
}
