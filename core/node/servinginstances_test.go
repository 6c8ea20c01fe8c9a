package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/peerload"
)

// mixedFleet returns a hosted node in a fleet of itself, seven other instances
// with a large share of a processor and seventy with a small one.
func mixedFleet() (*hosted, []event.Instance) {
	h := newHosted()
	h.node.settings.Policies.Addresses = config.AddressPolicy{TTLSeconds: 1, RequestsPerProcessor: 180}
	h.node.members.self.ProcessorMillis = 800
	h.configure(2, 100_000)
	var entries []event.Instance
	for i := range 77 {
		in := event.Instance{Name: fmt.Sprintf("n%d", i+2), Role: event.RoleRouter, State: event.StateLive, ProcessorMillis: 192}
		in.Address, in.PeerAddress, in.DatagramAddress = in.Name+":1", in.Name+":2", in.Name+":3"
		if i < 7 {
			in.ProcessorMillis = 800
		}
		entries = append(entries, in)
	}
	h.list(false, append(entries, h.node.members.self)...)
	h.advance(100 * time.Millisecond)
	return h, entries
}

// addresses returns the addresses that callers are told.
func (h *hosted) addresses() []string {
	for _, a := range h.step(event.Event{AddressesRequested: &event.AddressesRequested{Query: 1}}) {
		if a.AnswerAddresses != nil {
			return a.AnswerAddresses.Addresses
		}
	}
	return nil
}

// hear delivers a message from a peer.
func (h *hosted) hear(from string, m event.PeerMessage) {
	h.step(event.Event{PeerReceived: &event.PeerReceived{From: from, Incarnation: "1", Message: m}})
}

func TestCallersAreDirectedToAsManyInstancesAsTheLoadNeeds(t *testing.T) {
	Convey("Given a large fleet", t, func() {
		h, entries := mixedFleet()
		for _, in := range entries {
			h.hear(in.Name, event.PeerMessage{Heartbeat: &event.Heartbeat{}})
		}
		Convey("a moderate load is directed to the instances with the largest share of a processor", func() {
			So(h.addresses(), ShouldHaveLength, 8)
			So(h.node.servesCallers(), ShouldBeTrue)
			Convey("also by an instance that hears from no peer", func() {
				before := h.addresses()
				h.advance(20 * time.Second)
				So(h.addresses(), ShouldResemble, before)
			})
		})
		Convey("one that stops is no longer named", func() {
			h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{Stopping: true}})
			So(h.addresses(), ShouldNotContain, "n2:1")
			for _, in := range entries[7:] { // those with a small share
				So(h.addresses(), ShouldNotContain, in.Address)
			}
		})
		Convey("one whose configuration is overdue is not named until it is no longer", func() {
			h.hear("n2", event.PeerMessage{Loads: &event.Loads{Outdated: true}})
			So(h.addresses(), ShouldNotContain, "n2:1")
			h.hear("n2", event.PeerMessage{Loads: &event.Loads{}})
			So(h.addresses(), ShouldContain, "n2:1")
		})
		Convey("this one is not named while it is overdue itself", func() {
			So(h.addresses(), ShouldContain, "10.0.0.1:1")
			h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 9}})
			for range 30 {
				h.advance(100 * time.Millisecond)
				h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 9}})
			}
			So(h.addresses(), ShouldNotContain, "10.0.0.1:1")
			h.configure(9, 100_000)
			So(h.addresses(), ShouldContain, "10.0.0.1:1")
		})
		Convey("a load that the large ones can't carry is directed to more instances", func() {
			for _, in := range entries[:7] {
				h.hear(in.Name, event.PeerMessage{Loads: &event.Loads{Requests: 300}})
			}
			So(len(h.addresses()), ShouldBeGreaterThan, 40)
			Convey("and to fewer again only after a while", func() {
				for _, in := range entries[:7] {
					h.hear(in.Name, event.PeerMessage{Loads: &event.Loads{}})
				}
				So(len(h.addresses()), ShouldBeGreaterThan, 40)
			})
		})
	})
}

func TestPeersWithWorkAreAskedForTokensFirst(t *testing.T) {
	Convey("In a large fleet whose ledger view doesn't list holders, peers with work are asked for tokens first", t, func() {
		h, entries := mixedFleet()
		for _, in := range entries {
			h.hear(in.Name, event.PeerMessage{Heartbeat: &event.Heartbeat{}})
		}
		working := []string{"n60", "n70", "n78"}
		for _, name := range working {
			h.hear(name, event.PeerMessage{Loads: &event.Loads{Targets: []event.TargetLoad{{Target: "t1", Running: 1}}}})
		}
		asked := h.node.transferPeers("b")
		So(asked, ShouldHaveLength, maxPeersAsked)
		So(asked[:len(working)], ShouldResemble, working)
	})
}

func TestLoadMessagesFitIntoDatagrams(t *testing.T) {
	Convey("The work at many targets is sent in parts that fit into a datagram, and summed by the receiver", t, func() {
		h, entries := mixedFleet()
		var targets []event.TargetLoad
		for i := range 100 {
			targets = append(targets, event.TargetLoad{Target: fmt.Sprintf("i-%010d", i), PrefillTokens: 123_456, Running: 12})
		}
		messages := peerload.Messages(event.Loads{Targets: targets})
		So(len(messages), ShouldBeGreaterThan, 1)
		for _, m := range messages {
			raw, err := json.Marshal(event.PeerMessage{Loads: m})
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThan, 1300)
			h.hear(entries[0].Name, event.PeerMessage{Loads: m})
		}
		work := h.node.peerWork()
		So(work, ShouldHaveLength, 100)
		So(work["i-0000000099"].Running, ShouldEqual, 12)
		Convey("a message with an impossible part is refused", func() {
			for _, m := range []event.Loads{{Part: 3, Parts: 2}, {Part: -1}, {Parts: 1 << 30}} {
				h.hear(entries[1].Name, event.PeerMessage{Loads: &m})
			}
			So(h.node.members.peers[entries[1].Name].loads.At, ShouldEqual, 0)
		})
	})
}

func TestConfigurationSpreadsThroughLargeHostedFleet(t *testing.T) {
	// Guards against a change that only a few watches of a large fleet report.
	Convey("A configuration that one instance of a large fleet reads is in force everywhere in time", t, func() {
		for seed := range uint64(10) {
			s := newBudgetSimulation(seed, spreadPolicy(), largeFleet(86))
			s.runUntil(rampUp)
			s.generation++
			s.configure(s.nodes[int(seed)%len(s.nodes)])
			s.runUntil(s.now + maxSpreadTime)
			behind := 0
			for _, in := range s.nodes {
				if in.node.configs.generation() <= s.generation {
					behind++
				}
			}
			So(behind, ShouldEqual, 0)
		}
	})
}

func TestLeavingTargetSpreadsThroughLargeHostedFleet(t *testing.T) {
	// Guards against a leaving target that only a few watches of a large fleet report.
	Convey("A target that one instance of a large fleet sees leaving gets no work anywhere in time", t, func() {
		for seed := range uint64(10) {
			s := newBudgetSimulation(seed, spreadPolicy(), largeFleet(86))
			s.runUntil(rampUp)
			leaving := targetEntry("t1")
			leaving.State = event.StateLeaving
			entries := []event.Instance{leaving, targetEntry("t2")}
			for _, in := range s.nodes {
				entries = append(entries, s.entry(in.name))
			}
			s.step(s.nodes[int(seed)%len(s.nodes)], event.Event{InstancesListed: &event.InstancesListed{Instances: entries}})
			s.runUntil(s.now + maxSpreadTime)
			unaware := 0
			for _, in := range s.nodes {
				if !in.node.members.targets["t1"].Leaving {
					unaware++
				}
			}
			So(unaware, ShouldEqual, 0)
		}
	})
}

// maxSpreadTime is what is left, after the watch that reports a change, of the
// three seconds in which a configuration must be in force and a target drains.
const maxSpreadTime = 1700 * time.Millisecond
