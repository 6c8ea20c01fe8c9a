package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
)

// hearOthers lets a time pass in which all peers but one send heartbeats.
func (h *hosted) hearOthers(d time.Duration, entries []event.Instance, silent string) {
	for end := h.now + d; h.now < end; {
		for _, in := range entries {
			if in.Name != silent {
				h.hear(in.Name, event.PeerMessage{Heartbeat: &event.Heartbeat{}})
			}
		}
		h.advance(500 * time.Millisecond)
	}
}

// fewInstances returns a hosted node in a fleet of itself and three others, whose
// entries name their incarnation "1".
func fewInstances() (*hosted, []event.Instance) {
	h := newHosted()
	var entries []event.Instance
	for _, name := range []string{"n2", "n3", "n4"} {
		entries = append(entries, event.Instance{
			Name: name, Role: event.RoleRouter, State: event.StateLive, Incarnation: "1",
			Address: name + ":1", PeerAddress: name + ":2", DatagramAddress: name + ":3",
		})
	}
	h.list(false, append(entries, h.node.members.self)...)
	h.hearOthers(time.Second, entries, "")
	return h, entries
}

func TestInstanceThatDepartedIsNotNamedAgain(t *testing.T) {
	Convey("Given a fleet of which one instance says that it stops", t, func() {
		h, entries := fewInstances()
		So(h.addresses(), ShouldContain, "n2:1")
		// forgetSilence makes n2 an instance whose monitors have left as well.
		forgetSilence := func() { h.node.members.peers["n2"].silentAt = 0 }
		Convey("it is not named however long ago it said so, and though its entry stays", func() {
			h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{Stopping: true}})
			for range 10 {
				h.hearOthers(4*time.Second, entries, "n2")
				forgetSilence()
				So(h.addresses(), ShouldNotContain, "n2:1")
			}
			Convey("nor after an older list has lacked it and brought it back", func() {
				h.list(false, entries[1:]...)
				h.list(false, append(entries, h.node.members.self)...)
				So(h.addresses(), ShouldNotContain, "n2:1")
			})
			Convey("nor after an older message of its own arrives", func() {
				h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{}})
				So(h.addresses(), ShouldNotContain, "n2:1")
			})
			Convey("but at once when a later incarnation is listed", func() {
				later := append([]event.Instance{}, entries...)
				later[0].Incarnation = "2"
				h.list(false, append(later, h.node.members.self)...)
				h.step(event.Event{PeerReceived: &event.PeerReceived{From: "n2", Incarnation: "2", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{}}}})
				So(h.addresses(), ShouldContain, "n2:1")
			})
		})
		Convey("nor if only a peer has told of it, before the instance was listed", func() {
			h.hear("n3", event.PeerMessage{Heartbeat: &event.Heartbeat{Facts: []event.Fact{{Kind: event.FactStopping, Name: "n9", Incarnation: "1"}}}})
			h.hearOthers(10*time.Second, entries, "")
			late := event.Instance{Name: "n9", Role: event.RoleRouter, State: event.StateLive, Incarnation: "1", Address: "n9:1", PeerAddress: "n9:2"}
			h.list(false, append(entries, late, h.node.members.self)...)
			So(h.addresses(), ShouldNotContain, "n9:1")
		})
	})
}

func TestCrashedInstancesWhoseMonitorsCrashedTooAreNotNamed(t *testing.T) {
	Convey("After a crash of neighbours in the ring, the others stop naming them and do not begin again", t, func() {
		c := fleetOf(9)
		f := newFleetRun(c.w, 0)
		c.w.addTarget("t1", "m")
		c.w.listInstances()
		idle := func() {}
		f.run(2*time.Second, idle)
		crashed := gossip.NewRing(c.w.nodeNames()...)[:5]
		for _, name := range crashed {
			delete(c.w.nodes, name) // its entry stays in the instance lists
		}
		f.run(3*configBound, idle)
		for range 20 {
			f.run(time.Second, idle)
			for _, name := range crashed {
				So(f.instancesNaming(name), ShouldBeEmpty)
			}
		}
	})
}

func TestDepartedInstanceThatEndsWithoutAWordIsReportedSilent(t *testing.T) {
	Convey("An instance that has said that it stops, and ends before its stop is complete, does not pass for one that still runs", t, func() {
		c := fleetOf(9)
		f := newFleetRun(c.w, 0)
		c.w.addTarget("t1", "m")
		c.w.listInstances()
		idle := func() {}
		f.run(2*time.Second, idle)
		name := c.w.nodeNames()[4]
		c.w.step(c.w.nodes[name], event.Event{ShutdownRequired: &event.ShutdownRequired{Linger: time.Hour}})
		f.run(time.Second, idle)
		delete(c.w.nodes, name)
		f.run(configBound, idle)
		for _, other := range c.w.nodeNames() {
			n := c.w.nodes[other].node
			So(n.reachable(n.members.peers[name]), ShouldBeFalse)
		}
	})
}
