package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/targetleaving"
)

const (
	// leavingBound is the time after which a leaving target must get no new work.
	leavingBound = 3 * time.Second
	// maxControlBytesPerSecond is the maximum that an instance may send to its
	// peers.
	maxControlBytesPerSecond = 3000
	// messageOverhead is added to the size of each message's JSON for the
	// sender's name, its incarnation and the framing, in bytes. pollPeriod is the
	// time between two polls of the targets' reports.
	messageOverhead = 160
	pollPeriod      = 500 * time.Millisecond
)

// report is the state of a target when the report was taken.
type report struct {
	taken   time.Duration
	leaving bool
}

// fleetRun simulates instances that poll targets whose reports lag, with an
// instance list that never changes, and records when targets get work.
type fleetRun struct {
	w *world
	// lag is the minimum age of the reports that instances get.
	lag time.Duration
	// leftAt is when each target that is leaving began to leave.
	leftAt   map[string]time.Duration
	reports  map[string][]report
	cutPolls map[string]bool // "instance|target"
	nextPoll time.Duration
	// late describes the dispatches to targets that began to leave more than
	// leavingBound before.
	late []string
	// cancelled counts the attempts that instances cancelled.
	cancelled int
	// bytesSent counts the bytes that each instance sent to its peers.
	bytesSent map[string]int
	// sent counts the requests of sendEverywhere.
	sent int
}

func newFleetRun(w *world, lag time.Duration) *fleetRun {
	f := &fleetRun{
		w: w, lag: lag, leftAt: map[string]time.Duration{}, reports: map[string][]report{}, cutPolls: map[string]bool{}, bytesSent: map[string]int{},
	}
	w.hooks.onAction = f.onAction
	return f
}

func (f *fleetRun) onAction(in *instance, a event.Action) {
	switch {
	case a.Dispatch != nil:
		left, ok := f.leftAt[a.Dispatch.Target]
		if ok && f.w.now > left+leavingBound {
			f.late = append(f.late, fmt.Sprintf("%s dispatched to %s %v after it began to leave", in.name, a.Dispatch.Target, f.w.now-left))
		}
	case a.CancelAttempt != nil:
		f.cancelled++
	case a.SendPeer != nil:
		raw, _ := json.Marshal(a.SendPeer.Message)
		f.bytesSent[in.name] += len(raw) + messageOverhead
	}
}

func (f *fleetRun) startLeaving(target string) { f.leftAt[target] = f.w.now }

// poll passes the latest report of each target that is at least as old as the
// lag to every running instance.
func (f *fleetRun) poll() {
	for _, name := range sortedKeys(f.w.targets) {
		_, leaving := f.leftAt[name]
		f.reports[name] = append(f.reports[name], report{f.w.now, leaving})
		for len(f.reports[name]) > 1 && f.reports[name][1].taken <= f.w.now-f.lag {
			f.reports[name] = f.reports[name][1:]
		}
		r := f.reports[name][0]
		for _, at := range f.w.nodeNames() {
			if in := f.w.nodes[at]; !in.paused {
				f.w.step(in, event.Event{TargetReported: &event.TargetReported{
					Target: name, Leaving: r.leaving, Unreachable: f.cutPolls[at+"|"+name],
				}})
			}
		}
	}
}

// run advances virtual time; send is called at each tick.
func (f *fleetRun) run(span time.Duration, send func()) {
	for end := f.w.now + span; f.w.now < end; {
		if f.w.now >= f.nextPoll {
			f.nextPoll = f.w.now + pollPeriod
			f.poll()
		}
		send()
		f.w.runFor(event.TickPeriod)
	}
}

// sendEverywhere sends a request to each instance.
func (f *fleetRun) sendEverywhere() {
	for _, name := range f.w.nodeNames() {
		if in := f.w.nodes[name]; !in.paused && !in.stopped {
			f.sent++
			f.w.send(name, exampleRequest(fmt.Sprintf("k%d", f.sent), 1, true))
		}
	}
}

// TestLeavingTargetsGetNoWork makes targets leave while the instance list never
// shows it, combined with pauses, restarts and network cuts.
func TestLeavingTargetsGetNoWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := readyWorld(4, 1_000_000)
		f := newFleetRun(w, time.Duration(rapid.IntRange(0, 800).Draw(rt, "lag"))*time.Millisecond)
		w.addTarget("t3", "m")
		w.listInstances()
		names := w.nodeNames()
		node := func(rt *rapid.T) string { return rapid.SampledFrom(names).Draw(rt, "instance") }
		f.run(2*time.Second, func() {})
		rt.Repeat(map[string]func(*rapid.T){
			"leave": func(rt *rapid.T) {
				name := rapid.SampledFrom([]string{"t1", "t2"}).Draw(rt, "target")
				if _, left := f.leftAt[name]; !left {
					f.startLeaving(name)
				}
			},
			"list":      func(*rapid.T) { w.listInstances() },
			"pause":     func(rt *rapid.T) { w.nodes[node(rt)].paused = rapid.Bool().Draw(rt, "paused") },
			"restart":   func(rt *rapid.T) { w.startNode(node(rt)); w.listInstances() },
			"cut peers": func(rt *rapid.T) { w.cutPeers[pair(node(rt), node(rt))] = rapid.Bool().Draw(rt, "cut") },
			"cut polls": func(rt *rapid.T) {
				f.cutPolls[node(rt)+"|"+rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(rt, "target")] = rapid.Bool().Draw(rt, "cut")
			},
			"run": func(rt *rapid.T) {
				f.run(time.Duration(rapid.IntRange(50, 1500).Draw(rt, "ms"))*time.Millisecond, func() {})
			},
			"send":    func(*rapid.T) { f.sendEverywhere() },
			"go dead": func(rt *rapid.T) { w.targets["t3"].dead = rapid.Bool().Draw(rt, "dead") },
			"": func(rt *rapid.T) {
				if len(f.late) > 0 {
					rt.Fatalf("%v", f.late)
				}
			},
		})
	})
}

// failing returns the instances for which a check of one target fails.
func (f *fleetRun) failing(target string, ok func(*target) bool) []string {
	var out []string
	for _, name := range f.w.nodeNames() {
		if !ok(f.w.nodes[name].node.members.targets[target]) {
			out = append(out, name)
		}
	}
	return out
}

// instancesNaming returns the instances that give the address of an instance to
// callers.
func (f *fleetRun) instancesNaming(instance string) []string {
	var out []string
	for _, name := range f.w.nodeNames() {
		var answer event.AnswerAddresses
		f.w.hooks.onAction = func(_ *fakeInstance, a event.Action) {
			if a.AnswerAddresses != nil {
				answer = *a.AnswerAddresses
			}
		}
		f.w.nodes[name].node.configs.index.Document.Policies.Addresses.PerCustomer = 0
		f.w.step(f.w.nodes[name], event.Event{AddressesRequested: &event.AddressesRequested{Customer: "c"}})
		if slices.Contains(answer.Addresses, instance+":1") {
			out = append(out, name)
		}
	}
	f.w.hooks.onAction = f.onAction
	return out
}

// fakeInstance is an alias for use where a parameter shadows the type name.
type fakeInstance = instance

func TestMembershipInSmallAndLargeFleet(t *testing.T) {
	for _, size := range []int{9, 330} {
		Convey(fmt.Sprintf("Given %d instances", size), t, func() {
			c := fleetOf(size)
			f := newFleetRun(c.w, 0)
			c.w.addTarget("t1", "m")
			c.w.listInstances()
			names := c.w.nodeNames()
			first, last := names[0], names[size-1]
			idle := func() {}
			f.run(2*time.Second, idle)
			Convey("all instances learn in time that a target which refused one of them is leaving", func() {
				f.nextPoll = f.w.now + time.Hour // no reports
				n := c.w.nodes[first].node
				n.announceLeaving(n.members.targets["t1"])
				f.run(leavingBound, idle)
				So(f.failing("t1", func(t *target) bool { return t.Leaving }), ShouldBeEmpty)
			})
			Convey("no instance gives callers the address of an instance that has been stopping for 1 s or crashed more than configBound ago", func() {
				So(f.instancesNaming(last), ShouldHaveLength, size)
				c.w.step(c.w.nodes[last], event.Event{ShutdownRequired: &event.ShutdownRequired{}})
				f.run(time.Second, idle)
				So(f.instancesNaming(last), ShouldBeEmpty)
				delete(c.w.nodes, first) // its entry stays in the instance lists
				f.run(configBound, idle)
				So(f.instancesNaming(first), ShouldBeEmpty)
			})
			Convey("an instance that only its monitors can't hear is missing from less than a quarter of the answers to callers", func() {
				for _, m := range c.w.nodes[last].node.members.ring(last).MonitorsOf(last, func(string) bool { return false }) {
					c.w.cutPeers[pair(last, m)] = true
				}
				missing := 0
				for range 20 {
					f.run(heartbeatPeriod, idle)
					missing += size - len(f.instancesNaming(last))
				}
				So(missing, ShouldBeLessThan, 20*size/4)
			})
			Convey("control messages stay within their bound, and all instances still give callers the address of a live one", func() {
				clear(f.bytesSent)
				const span = 20
				f.run(span*time.Second/2, idle)
				f.startLeaving("t1")
				f.run(span*time.Second/2, idle)
				maxBytesPerSecond := 0
				for _, b := range f.bytesSent {
					maxBytesPerSecond = max(maxBytesPerSecond, b/span)
				}
				t.Logf("%d instances: at most %d bytes/s sent by one", size, maxBytesPerSecond)
				So(maxBytesPerSecond, ShouldBeLessThanOrEqualTo, maxControlBytesPerSecond)
				So(f.instancesNaming(names[size/2]), ShouldHaveLength, size)
			})
		})
	}
}

func TestGracefulStops(t *testing.T) {
	Convey("Given two instances with a request in flight", t, func() {
		w := readyWorld(2, 10_000)
		f := newFleetRun(w, 0)
		idle := func() {}
		f.run(2*time.Second, idle)
		c := w.send("n1", exampleRequest("k", 100, true))
		for w.nodes["n1"].node.requests.byHandle[c.handle].phase != phaseRunning {
			w.deliver(0)
		}
		heldBack := w.pending // the attempt is in flight
		w.pending = nil
		usedTarget := w.nodes["n1"].node.requests.byHandle[c.handle].targetName
		Convey("the request completes although its target leaves and disappears from the list", func() {
			f.startLeaving(usedTarget)
			f.run(leavingBound, idle)
			info := w.targets[usedTarget]
			delete(w.targets, usedTarget)
			w.listInstances()
			f.run(time.Second, idle)
			w.targets[usedTarget] = info
			w.pending = append(heldBack, w.pending...)
			f.run(time.Second, idle)
			So(w.answers[c].complete, ShouldBeTrue)
			So(f.cancelled, ShouldEqual, 0)
			So(w.nodes["n1"].node.members.targets[usedTarget].inFlight, ShouldEqual, 0)
		})
		Convey("a target is reinstated when the list and its reports show it as live, but not because of a stale list", func() {
			w.pending = append(heldBack, w.pending...)
			leaving := func() bool { return w.nodes["n1"].node.members.targets["t1"].Leaving }
			f.startLeaving("t1")
			f.run(2*time.Second, idle)
			w.listInstances()
			So(leaving(), ShouldBeTrue)
			delete(f.leftAt, "t1")
			f.run(targetleaving.MinTime-pollPeriod, idle)
			So(leaving(), ShouldBeTrue)
			f.run(2*targetleaving.MinTime, idle)
			So(leaving(), ShouldBeFalse)
		})
		Convey("a target that the list marks as leaving is treated as leaving, whatever its reports say, until the list shows it as live again", func() {
			w.pending = append(heldBack, w.pending...)
			leaving := func() bool { return w.nodes["n1"].node.members.targets["t1"].Leaving }
			w.targets["t1"].info.State = event.StateLeaving
			w.listInstances()
			f.run(3*targetleaving.MinTime, idle)
			So(leaving(), ShouldBeTrue)
			w.targets["t1"].info.State = event.StateLive
			w.listInstances() // this may be an older list that arrives late
			f.run(pollPeriod, idle)
			So(leaving(), ShouldBeTrue)
			f.run(targetleaving.MinTime, idle)
			So(leaving(), ShouldBeFalse)
		})
		Convey("a late report does not reinstate a target that refused a request", func() {
			w.pending = append(heldBack, w.pending...)
			n := w.nodes["n1"].node
			n.announceLeaving(n.members.targets["t1"])
			w.listInstances()
			f.run(targetleaving.MinTime-pollPeriod, idle)
			So(n.members.targets["t1"].Leaving, ShouldBeTrue)
		})
		Convey("a stopping instance completes its requests, refuses new ones and returns its grant", func() {
			w.step(w.nodes["n1"], event.Event{ShutdownRequired: &event.ShutdownRequired{}})
			refused := w.send("n1", exampleRequest("k2", 100, true))
			f.run(2*time.Second, idle)
			So(w.answers[refused].refused, ShouldEqual, errkind.Stopping)
			So(w.answers[refused].ran, ShouldEqual, errkind.RanNo)
			So(w.nodes["n1"].stopped, ShouldBeFalse)
			w.pending = append(heldBack, w.pending...)
			f.run(3*time.Second, idle)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.nodes["n1"].stopped, ShouldBeTrue)
			for holder := range w.ledgerBudgets()["b"].Grants {
				So(string(holder), ShouldNotStartWith, "n1/")
			}
		})
	})
}

func TestResumedInstanceWaitsForReports(t *testing.T) {
	Convey("An instance that is paused before a target's first report gives it no work when it resumes", t, func() {
		w := readyWorld(1, 1000)
		f := newFleetRun(w, 0)
		w.targets["t1"].info.Address, w.targets["t2"].info.Address = "t1:2", "t2:2" // new targets
		w.listInstances()
		w.nodes["n1"].paused = true
		f.startLeaving("t1")
		f.startLeaving("t2")
		f.run(leavingBound+time.Second, func() {})
		w.nodes["n1"].paused = false
		f.nextPoll = w.now + pollPeriod
		f.sendEverywhere()
		f.run(time.Second, func() {})
		So(f.late, ShouldBeEmpty)
	})
}
