package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/streamorigin"
)

const (
	// streamTime is how long a stream takes from its first event on.
	streamTime = 2 * time.Second
	// maxTakeUps is how often a caller takes up a stream that was broken off.
	maxTakeUps = 2
	// takeUpDelay bounds the time after which it does so.
	takeUpDelay = 150 * time.Millisecond
	// watchPeriod is the time between two looks of a caller at its request.
	watchPeriod = 20 * time.Millisecond
)

// simulatedStream is a stream over all tries of its caller.
type simulatedStream struct {
	// first is the key of the request that brought the first event, and version that
	// of the target which sent it.
	first, version string
	// mixed is set once a target of another version has sent an event.
	mixed bool
	// takeUps counts the requests that resumed the stream, wentOn those of them that
	// brought an event.
	takeUps, wentOn int
	// lastWentOn is the last request that counts in wentOn.
	lastWentOn uint64
}

// streamSimulation is a fleet of targets of two versions, with streams that callers
// take up again.
type streamSimulation struct {
	*bodySimulation
	streams   []*simulatedStream
	byRequest map[uint64]*simulatedStream
}

func newStreamSimulation(seed uint64) *streamSimulation {
	s := &streamSimulation{bodySimulation: newBodySimulation(seed, true), byRequest: map[uint64]*simulatedStream{}}
	s.versions = []string{"v1", "v1.1"}
	for i := range s.targets {
		s.targets[i].Version = s.versions[i%len(s.versions)]
	}
	s.budgetSimulation.runAttempt = s.run
	return s
}

// run runs an attempt at its target, if that has not ended.
func (s *streamSimulation) run(in *simulatedNode, a event.Dispatch, r *simulatedRequest) {
	t, stream := s.byName[a.Target], s.byRequest[a.Request]
	version := a.Version
	s.schedule(s.linkDelay(), func() {
		if t.ended {
			s.step(in, event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Attempt, Outcome: event.AttemptNotStarted, Unsent: true, UsageKnown: true}})
			return
		}
		x := &runningAttempt{in: in, attempt: a.Attempt, request: a.Request, r: r}
		x.eventsAt = s.now + time.Duration(s.rng.Int64N(int64(maxHeadDelay))) + firstEventDelay
		t.running = append(t.running, x)
		if stream != nil {
			s.schedule(x.eventsAt-s.now, func() { s.sendEvent(x, stream, version) })
		}
		s.schedule(x.eventsAt-s.now+streamTime, func() { s.complete(t, x) })
	})
}

func (s *streamSimulation) sendEvent(x *runningAttempt, stream *simulatedStream, version string) {
	if x.over || x.in.dead {
		return
	}
	if stream.first == "" {
		stream.first, stream.version = fmt.Sprint(x.request), version
	}
	stream.mixed = stream.mixed || stream.version != version
	if stream.first != fmt.Sprint(x.request) && stream.lastWentOn != x.request {
		stream.lastWentOn = x.request
		stream.wentOn++
	}
	s.step(x.in, event.Event{FirstToken: &event.FirstToken{Attempt: x.attempt}})
}

// sendStream begins a stream, or takes it up, at a random instance that runs.
func (s *streamSimulation) sendStream(stream *simulatedStream) {
	in := s.nodes[s.rng.IntN(len(s.nodes))]
	for in.dead {
		in = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	s.handle++
	r := &simulatedRequest{budget: customerName(0), arrived: s.now, duration: streamTime}
	s.byRequest[s.handle] = stream
	in.open[s.handle] = r
	arrival := event.RequestArrived{
		Request: s.handle, Customer: customerName(0), Key: fmt.Sprint(s.handle), BodyHash: fmt.Sprint(s.handle), Serves: "app",
		Resumable: true, Idempotent: true, MaxAttempts: 2, HandedOver: true, Deadline: 10 * time.Second,
	}
	if stream.first != "" {
		arrival.Resumed, arrival.Resumes = true, stream.first
		stream.takeUps++
	}
	s.step(in, event.Event{RequestArrived: &arrival})
	s.watch(in, r, stream)
}

// watch has the caller take up its stream if the request fails or its instance is
// lost.
func (s *streamSimulation) watch(in *simulatedNode, r *simulatedRequest, stream *simulatedStream) {
	s.schedule(watchPeriod, func() {
		switch {
		case !r.done && !in.dead:
			s.watch(in, r, stream)
		case stream.takeUps < maxTakeUps && (in.dead || r.refused != errkind.None):
			s.schedule(time.Duration(s.rng.Int64N(int64(takeUpDelay))), func() { s.sendStream(stream) })
		}
	})
}

func (s *streamSimulation) repeatStreams(mean time.Duration) {
	s.schedule(time.Duration(s.rng.ExpFloat64()*float64(mean)), func() {
		stream := &simulatedStream{}
		s.streams = append(s.streams, stream)
		s.sendStream(stream)
		s.repeatStreams(mean)
	})
}

// killSome kills some instances and ends some targets at nearly the same moment.
func (s *streamSimulation) killSome(instances, targets int) {
	for _, e := range slices.Clone(s.targets) {
		if t := s.byName[e.Name]; !t.ended && targets > 0 {
			targets--
			s.endTarget(t)
		}
	}
	s.schedule(50*time.Millisecond, func() {
		for _, i := range s.rng.Perm(len(s.nodes))[:instances] {
			if !s.nodes[i].dead {
				s.kill(s.nodes[i], time.Second)
			}
		}
	})
}

// checkStreams checks that no stream changed the version and that most of those
// that callers took up went on.
func (s *streamSimulation) checkStreams(t *testing.T, what string) {
	mixed, takeUps, wentOn := 0, 0, 0
	for _, stream := range s.streams {
		if stream.mixed {
			mixed++
		}
		takeUps += stream.takeUps
		wentOn += stream.wentOn
	}
	t.Logf("%s: %d streams, %d of two versions; %d taken up, %d went on", what, len(s.streams), mixed, takeUps, wentOn)
	So(mixed, ShouldEqual, 0)
	So(takeUps, ShouldBeGreaterThan, 0)
	So(2*wentOn, ShouldBeGreaterThan, takeUps)
}

func TestStreamsGoOnOnlyAtTheVersionThatBeganThem(t *testing.T) {
	// Guards against streams that hold events of targets with different software.
	Convey("While targets of two versions end and instances are killed, each stream goes on at the version that began it, and most do", t, func() {
		for seed := range uint64(4) {
			s := newStreamSimulation(seed)
			s.runUntil(rampUp)
			s.repeatStreams(10 * time.Millisecond)
			for range 6 {
				s.runUntil(s.now + 4*time.Second)
				s.killSome(3, 3)
			}
			s.runUntil(s.now + 4*time.Second)
			s.checkStreams(t, fmt.Sprintf("seed %d", seed))
		}
	})
}

// versionedTarget is the entry of a target with a version of the software.
func versionedTarget(name, version string, start int64) event.Instance {
	e := targetEntry(name)
	e.Version, e.StartMillis = version, start
	return e
}

// arriveStream sends a request for a stream, which resumes another one unless
// resumes is empty.
func (h *hosted) arriveStream(resumes string) []event.Action {
	h.handle++
	return h.step(event.Event{RequestArrived: &event.RequestArrived{
		Request: h.handle, Customer: "c", Key: fmt.Sprint(h.handle), BodyHash: fmt.Sprint(h.handle), Serves: "app", Resumable: true, Idempotent: true,
		Resumed: resumes != "", Resumes: resumes, MaxAttempts: 3, HandedOver: true, Deadline: 10 * time.Second,
	}})
}

// beginStream begins a stream and returns its attempt.
func (h *hosted) beginStream() *event.Dispatch {
	d := dispatched(h.arriveStream(""))
	h.step(event.Event{FirstToken: &event.FirstToken{Attempt: d.Attempt}})
	return d
}

func TestInterruptedStreamIsResumedAtItsVersionOrRefusedAtOnce(t *testing.T) {
	// Guards against streams that wait for a version that no target has, or go on at another one.
	Convey("Given a stream that began at the only target of its version", t, func() {
		h := newHosted()
		h.list(false, versionedTarget("t1", "v1", 1))
		d := h.beginStream()
		first := fmt.Sprint(h.handle)
		h.list(false, versionedTarget("t1", "v1", 1), versionedTarget("t2", "v2", 2))
		lose := func() []event.Action {
			actions := h.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: d.Attempt, Outcome: event.AttemptCrashed, BytesDelivered: true, UsageKnown: true}})
			return append(actions, h.advance(500*time.Millisecond)...)
		}
		Convey("it is refused at once after the loss of that target", func() {
			actions := lose()
			So(dispatched(actions), ShouldBeNil)
			So(refusal(actions).Kind, ShouldEqual, errkind.NoTarget)
		})
		Convey("it goes on at another target of the version", func() {
			h.list(false, versionedTarget("t1", "v1", 1), versionedTarget("t2", "v2", 2), versionedTarget("t3", "v1", 3))
			So(dispatched(lose()).Target, ShouldEqual, "t3")
		})
		Convey("a caller who resumes it is sent to the same version, although the target has started again with another one", func() {
			lose()
			h.list(false, versionedTarget("t1", "v2", 9), versionedTarget("t2", "v2", 2), versionedTarget("t3", "v1", 3))
			for range 5 {
				So(dispatched(h.arriveStream(first)).Target, ShouldEqual, "t3")
			}
		})
		Convey("one who resumes a stream of which nothing is known is refused at once, as not run", func() {
			got := refusal(h.arriveStream("unknown"))
			So(got.Kind, ShouldEqual, errkind.StreamOriginUnknown)
			So(got.Ran, ShouldEqual, errkind.RanNo)
		})
	})
}

func TestOlderEntryDoesNotBringBackTheVersionOfAnEarlierStart(t *testing.T) {
	// Guards against streams that go on at a target which an outdated list shows with its former software.
	Convey("Given a target that has started again with another version", t, func() {
		h := newHosted()
		h.list(false, versionedTarget("t1", "v1", 1))
		h.list(false, versionedTarget("t1", "v2", 2))
		Convey("an older list changes nothing", func() {
			h.list(false, versionedTarget("t1", "v1", 1))
			So(h.beginStream().Version, ShouldEqual, "v2")
		})
	})
}

func TestStreamThatWaitsForItsVersionHoldsUpNoOthers(t *testing.T) {
	// Guards against a queue that stands still behind a stream whose version has no room.
	Convey("Given a stream that waits because all targets of its version are full", t, func() {
		h := newHosted()
		h.list(false, versionedTarget("t1", "v1", 1))
		h.beginStream()
		first := fmt.Sprint(h.handle)
		for dispatched(h.arriveStream("")) != nil {
		}
		h.list(false, versionedTarget("t1", "v1", 1), versionedTarget("t2", "v2", 2))
		h.advance(100 * time.Millisecond)
		So(dispatched(h.arriveStream(first)), ShouldBeNil)
		Convey("requests behind it go to the others", func() {
			So(dispatched(h.arriveStream("")).Target, ShouldEqual, "t2")
		})
	})
}

func TestLostQuestionsOfOriginsEndInTime(t *testing.T) {
	// Guards against requests that wait for a peer which never replies.
	Convey("Given peers that do not reply, and targets of one version", t, func() {
		h := newSuspectHosted(2, 3)
		for _, p := range []string{"p1", "p2", "p3"} {
			h.receive(p, event.PeerMessage{Heartbeat: &event.Heartbeat{}})
		}
		So(refusal(h.arriveStream("unknown")), ShouldBeNil)
		Convey("a request that resumes a stream is refused soon, since this instance may be cut off", func() {
			got := refusal(h.advance(300 * time.Millisecond))
			So(got.Kind, ShouldEqual, errkind.StreamOriginUnknown)
		})
		reply := func(sole bool) []event.Action {
			var actions []event.Action
			for _, p := range []string{"p1", "p2", "p3"} {
				record := streamorigin.Record{Stream: streamorigin.Key("unknown"), Origin: streamorigin.Origin{Serves: "app"}}
				actions = append(actions, h.receive(p, event.PeerMessage{Origin: &streamorigin.Message{Reply: &streamorigin.Reply{Record: record, Sole: sole}}})...)
			}
			return actions
		}
		Convey("it goes on if a peer replies that it knows nothing, and that no other version has served for long", func() {
			reply(true)
			So(h.node.requests.byHandle[h.handle].phase, ShouldEqual, phaseRunning)
		})
		Convey("it is refused, as not run, if no peer has watched the targets for long", func() {
			got := refusal(reply(false))
			So(got.Kind, ShouldEqual, errkind.StreamOriginUnknown)
			So(got.Ran, ShouldEqual, errkind.RanNo)
		})
		Convey("it ends if its caller leaves meanwhile", func() {
			So(refusal(h.step(event.Event{CallerGone: &event.CallerGone{Request: h.handle}})).Kind, ShouldEqual, errkind.CallerGone)
			So(refusal(h.advance(300*time.Millisecond)), ShouldBeNil)
		})
	})
}

func TestStreamIsNotResumedByInstancesThatAreCutOffTogether(t *testing.T) {
	// Guards against streams that go on at another version, because an instance in a cut asks only
	// those that are cut off with it, which have missed the version that began them.
	Convey("Given an instance of four that can't reach the platform, and hears from one peer", t, func() {
		h := newSuspectHosted(2, 3)
		for _, p := range []string{"p1", "p2", "p3"} {
			h.receive(p, event.PeerMessage{Heartbeat: &event.Heartbeat{}})
		}
		silent := func(names ...string) {
			var facts []event.Fact
			for _, name := range names {
				facts = append(facts, event.Fact{Kind: event.FactSilent, Name: name})
			}
			h.receive("p1", event.PeerMessage{Heartbeat: &event.Heartbeat{Facts: facts}})
		}
		resumed := func(replying ...string) bool {
			h.arriveStream("unknown")
			for _, p := range replying {
				record := streamorigin.Record{Stream: streamorigin.Key("unknown"), Origin: streamorigin.Origin{Serves: "app"}}
				h.receive(p, event.PeerMessage{Origin: &streamorigin.Message{Reply: &streamorigin.Reply{Record: record, Sole: true}}})
			}
			r := h.node.requests.byHandle[h.handle]
			return r != nil && r.phase == phaseRunning
		}
		h.step(event.Event{TargetsLost: &event.TargetsLost{}})
		h.advance(100 * time.Millisecond)
		So(resumed("p1", "p2", "p3"), ShouldBeTrue)
		h.advance(100 * time.Millisecond)
		silent("p2", "p3")
		Convey("a stream of which that peer knows no other version is refused", func() { So(resumed("p1"), ShouldBeFalse) })
		Convey("it goes on once the targets are listed again", func() {
			l := &event.InstancesListed{Relist: &event.TargetRelist{Away: true, RenewalPeriod: time.Second}}
			l.Instances = append(l.Instances, h.node.members.self)
			for _, p := range h.node.members.peers {
				l.Instances = append(l.Instances, p.Instance)
			}
			for _, known := range h.node.members.targets {
				l.Instances = append(l.Instances, known.Instance)
			}
			h.step(event.Event{InstancesListed: l})
			So(resumed("p1"), ShouldBeTrue)
		})
	})
}
