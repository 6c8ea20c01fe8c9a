// Package runtime drives the decision core. It feeds events into the core on a
// single goroutine and passes each resulting action to the worker that executes
// it.
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
	eventQueueSize    = 4096
	changeQueueSize   = 64
	peerQueueSize     = 1024
	platformQueueSize = 1024
	probeQueueSize    = 16
	actionQueueSize   = 16
	platformWorkers   = 16
)

// postedEvent is an event and the time when it was posted.
type postedEvent struct {
	event.Event
	at time.Time
}

// actionQueues holds the action channels of the open handles. A handle belongs
// to a request or to a query.
type actionQueues struct {
	mu     sync.Mutex
	queues map[uint64]chan event.Action
}

// Loop runs one core node. Its methods are safe for concurrent use, except
// where noted.
type Loop struct {
	node *node.Node
	// decide is the node's Step.
	decide func(event.Input) []event.Action
	// changes holds the events that have precedence over all others in events.
	changes       chan postedEvent
	events        chan postedEvent
	platformCalls chan event.PlatformCall
	peerMessages  chan event.SendPeer
	targetProbes  chan event.ProbeTarget
	index         atomic.Pointer[config.Index]
	// standing is what the core last said of newer configurations.
	standing atomic.Pointer[event.ConfigStanding]
	// instances is the latest instance list.
	instances    atomic.Pointer[[]event.Instance]
	cacheCursors cacheEventCursors
	// listChanged holds one token after the instance list has changed.
	listChanged      chan struct{}
	lastHandle       atomic.Uint64
	actions          actionQueues
	dumpRequests     chan chan node.Dump
	shutdownComplete chan struct{}
	shutdownOnce     sync.Once
	following        *Following
	// ended is closed once Run has returned.
	ended    chan struct{}
	counters Counters
	lateness Lateness
	waits    Lateness
	// began is when the Loop was made, and progress the time from then until it last
	// began to process something.
	began time.Time
	// startedAfter is the time from began until Run began, from which the core's time
	// counts.
	startedAfter atomic.Int64
	// uptimeStart is the uptime when Run began.
	uptimeStart time.Duration
	progress    atomic.Int64
	// onWait receives how long each event or tick has waited. It must not block.
	onWait func(wait time.Duration)
	// sendDatagram sends a message that may be lost. It must not block.
	sendDatagram func(to string, m event.PeerMessage)
	// tickPeriod is the time between two ticks.
	tickPeriod time.Duration
	// onLogEntry receives the core's log entries. It must not block.
	onLogEntry func(event.LogEntry)
	// onPanic is called before a panic of the node ends the process.
	onPanic func(Failure)
}

// Counters are the loop's counters, for metrics.
type Counters struct {
	// Steps counts the events that the core has processed.
	Steps atomic.Uint64
	// PeerDrops and PlatformDrops count the messages to peers and the platform
	// calls that did not fit into their queues.
	PeerDrops     atomic.Uint64
	PlatformDrops atomic.Uint64
	Refusals      RefusalCounter
}

// NewLoop returns a Loop with a new node.
func NewLoop(s node.Settings) *Loop {
	n := node.New(s)
	return &Loop{
		node:             n,
		decide:           n.Step,
		changes:          make(chan postedEvent, changeQueueSize),
		events:           make(chan postedEvent, eventQueueSize),
		platformCalls:    make(chan event.PlatformCall, platformQueueSize),
		peerMessages:     make(chan event.SendPeer, peerQueueSize),
		targetProbes:     make(chan event.ProbeTarget, probeQueueSize),
		actions:          actionQueues{queues: map[uint64]chan event.Action{}},
		dumpRequests:     make(chan chan node.Dump),
		shutdownComplete: make(chan struct{}),
		listChanged:      make(chan struct{}, 1),
		ended:            make(chan struct{}),
		following:        NewFollowing(),
		onLogEntry:       func(event.LogEntry) {},
		onPanic:          func(Failure) {},
		sendDatagram:     func(string, event.PeerMessage) {},
		tickPeriod:       event.TickPeriod,
		onWait:           func(time.Duration) {},
		began:            time.Now(),
	}
}

// SetDatagramSender sets the function that sends messages that may be lost. The
// function must never block. SetDatagramSender must be called before Run.
func (l *Loop) SetDatagramSender(send func(to string, m event.PeerMessage)) { l.sendDatagram = send }

// SetTickPeriod sets the time between two ticks, limited to
// event.MaxTickPeriod. It must be called before Run.
func (l *Loop) SetTickPeriod(d time.Duration) { l.tickPeriod = min(d, event.MaxTickPeriod) }

// SetLogHandler sets the function that receives the core's log entries. The
// function must never block. SetLogHandler must be called before Run.
func (l *Loop) SetLogHandler(handle func(event.LogEntry)) { l.onLogEntry = handle }

// SetWaitHandler sets the function that receives how long each event or tick has
// waited when the loop begins to process it. The function must never block.
// SetWaitHandler must be called before Run.
func (l *Loop) SetWaitHandler(handle func(wait time.Duration)) { l.onWait = handle }

// Stalled returns the time since the loop last began to process something. In a loop
// that runs it is hardly longer than the tick period.
func (l *Loop) Stalled() time.Duration {
	return time.Since(l.began) - time.Duration(l.progress.Load())
}

// Index returns the configuration in force, or nil if there is none yet.
func (l *Loop) Index() *config.Index { return l.index.Load() }

// Standing returns what the core last said of newer configurations.
func (l *Loop) Standing() event.ConfigStanding {
	if s := l.standing.Load(); s != nil {
		return *s
	}
	return event.ConfigStanding{}
}

// BehindFor returns for how long a newer configuration than the one in force has been
// known, 0 if none is.
func (l *Loop) BehindFor() time.Duration {
	s := l.Standing()
	if !s.Behind {
		return 0
	}
	return max(0, time.Since(l.began)-time.Duration(l.startedAfter.Load())-s.Since)
}

// Following returns how closely the core wants the platform to be followed.
func (l *Loop) Following() *Following { return l.following }

// Counters returns the loop's counters.
func (l *Loop) Counters() *Counters { return &l.counters }

// ShutdownComplete returns a channel that is closed once a graceful stop is
// complete.
func (l *Loop) ShutdownComplete() <-chan struct{} { return l.shutdownComplete }

// Lateness tells how late the loop processes its ticks.
func (l *Loop) Lateness() *Lateness { return &l.lateness }

// EventWaits tells how long posted events wait until the loop processes them.
func (l *Loop) EventWaits() *Lateness { return &l.waits }

// PlatformCalls returns the queue of platform calls to make.
func (l *Loop) PlatformCalls() <-chan event.PlatformCall { return l.platformCalls }

// PeerMessages returns the queue of messages to send to peers.
func (l *Loop) PeerMessages() <-chan event.SendPeer { return l.peerMessages }

// TargetProbes returns the queue of probes of targets. Probes that don't fit into it
// are dropped; the core asks again.
func (l *Loop) TargetProbes() <-chan event.ProbeTarget { return l.targetProbes }

// Ended returns a channel that is closed once Run has returned. Events are no
// longer processed then.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// Post queues an event and blocks while the queue is full. The event is dropped once
// the loop has ended. What serves a request uses a Poster.
func (l *Loop) Post(e event.Event) { l.post(postedEvent{e, time.Now()}) }

func (l *Loop) post(e postedEvent) {
	select {
	case l.queueOf(e.Event) <- e:
	case <-l.ended:
	}
}

// queueOf returns the queue of an event. What an operator has changed must be in force
// within a bound that requests don't have, however many of them wait.
func (l *Loop) queueOf(e event.Event) chan postedEvent {
	if e.ConfigRead != nil || e.InstancesListed != nil || e.TargetsLost != nil || e.ShutdownRequired != nil || e.PeerReceived != nil && e.PeerReceived.Message.ConfigReply != nil {
		return l.changes
	}
	return l.events
}

// tryPost queues an event unless the queue is full.
func (l *Loop) tryPost(e postedEvent) bool {
	select {
	case l.queueOf(e.Event) <- e:
		return true
	default:
		return false
	}
}

// Open returns a new handle and the channel of its actions.
func (l *Loop) Open() (uint64, <-chan event.Action) {
	handle := l.lastHandle.Add(1)
	queue := make(chan event.Action, actionQueueSize)
	l.actions.mu.Lock()
	l.actions.queues[handle] = queue
	l.actions.mu.Unlock()
	return handle, queue
}

// Close releases a handle.
func (l *Loop) Close(handle uint64) {
	l.actions.mu.Lock()
	delete(l.actions.queues, handle)
	l.actions.mu.Unlock()
}

// Dump returns the node's state.
func (l *Loop) Dump(ctx context.Context) (node.Dump, error) {
	result := make(chan node.Dump, 1)
	select {
	case l.dumpRequests <- result:
		return <-result, nil
	case <-ctx.Done():
		return node.Dump{}, ctx.Err()
	case <-l.ended:
		return node.Dump{}, ErrEnded
	}
}

// ErrEnded reports that the loop has ended.
var ErrEnded = errors.New("the loop has ended")

// Run feeds events into the node until ctx ends. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(l.tickPeriod)
	defer ticker.Stop()
	start := time.Now()
	l.uptimeStart = uptime()
	l.startedAfter.Store(int64(start.Sub(l.began)))
	l.progress.Store(int64(start.Sub(l.began)))
	for {
		var e event.Event
		select {
		case posted := <-l.changes:
			l.observeWait(&l.waits, posted.at)
			l.step(time.Since(start), posted.Event)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case posted := <-l.changes:
			l.observeWait(&l.waits, posted.at)
			e = posted.Event
		case reply := <-l.dumpRequests:
			reply <- l.node.Dump()
			continue
		case due := <-ticker.C:
			l.observeWait(&l.lateness, due)
			e = event.Event{Tick: &event.Tick{}}
		case posted := <-l.events:
			l.observeWait(&l.waits, posted.at)
			e = posted.Event
		}
		l.step(time.Since(start), e)
	}
}

// observeWait records that the loop begins to process what has been due since a time.
func (l *Loop) observeWait(in *Lateness, due time.Time) {
	now := time.Now()
	l.progress.Store(int64(now.Sub(l.began)))
	wait := now.Sub(due)
	in.observe(wait)
	l.onWait(wait)
}

// step processes one event and, right after it, the failures of platform calls
// that did not fit into the queue.
func (l *Loop) step(now time.Duration, e event.Event) {
	queue := []event.Event{e}
	for len(queue) > 0 {
		in := event.Input{Now: now, Uptime: l.uptimeOf(queue[0]), Seed: rand.Uint64(), Event: queue[0]}
		queue = queue[1:]
		l.counters.Steps.Add(1)
		for _, a := range l.stepNode(in) {
			if failed := l.execute(a); failed != nil {
				queue = append(queue, event.Event{PlatformResult: failed})
			}
		}
	}
}

// execute passes an action to the worker that executes it. It never blocks. For
// a platform call that does not fit into the queue it returns the failed
// result.
func (l *Loop) execute(a event.Action) *event.PlatformResult {
	switch {
	case a.PlatformCall != nil:
		select {
		case l.platformCalls <- *a.PlatformCall:
		default:
			l.counters.PlatformDrops.Add(1)
			return &event.PlatformResult{Call: a.PlatformCall.Call, Status: event.PlatformUnavailable}
		}
	case a.SendPeer != nil && a.SendPeer.Datagram:
		l.sendDatagram(a.SendPeer.Address, a.SendPeer.Message)
	case a.SendPeer != nil:
		select {
		case l.peerMessages <- *a.SendPeer:
		default:
			l.counters.PeerDrops.Add(1)
		}
	case a.ProbeTarget != nil:
		select {
		case l.targetProbes <- *a.ProbeTarget:
		default:
		}
	case a.AdoptConfig != nil:
		l.adoptConfig(a.AdoptConfig)
	case a.ConfigStanding != nil:
		l.standing.Store(a.ConfigStanding)
	case a.FollowPlatform != nil:
		l.following.Set(a.FollowPlatform.Closely)
	case a.LogEntry != nil:
		l.onLogEntry(*a.LogEntry)
	case a.ShutdownDone != nil:
		l.shutdownOnce.Do(func() { close(l.shutdownComplete) })
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
	l.actions.mu.Lock()
	queue := l.actions.queues[handle]
	l.actions.mu.Unlock()
	if queue == nil {
		return
	}
	select {
	case queue <- a:
	default: // the queue is larger than the number of actions of a request
	}
}
