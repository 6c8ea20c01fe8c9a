package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// propagationBound is the shortest time within which platforms require a
// configuration, or that a target is leaving, to be known everywhere.
const propagationBound = 2 * time.Second

// following returns the last FollowPlatform action, or nil.
func following(actions []event.Action) *event.FollowPlatform {
	var last *event.FollowPlatform
	for _, a := range actions {
		if a.FollowPlatform != nil {
			last = a.FollowPlatform
		}
	}
	return last
}

func TestIdleInstancesFollowThePlatformLoosely(t *testing.T) {
	Convey("An instance of a large fleet to which no caller is directed", t, func() {
		f := newHostedFixture(300, 10)
		var last *event.FollowPlatform
		run := func(heard bool, d time.Duration) {
			for end := f.now + d; f.now < end; f.now += hostedTickPeriod {
				if heard {
					f.step(event.Event{PeerReceived: &event.PeerReceived{From: "n1", Incarnation: "1", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 1}}}})
				}
				if a := following(f.step(event.Event{Tick: &event.Tick{}})); a != nil {
					last = a
				}
			}
		}
		if f.node.servesCallers() {
			t.Fatal("the instance serves callers")
		}
		run(true, time.Second)
		Convey("follows the platform loosely while it hears from peers", func() {
			So(last, ShouldNotBeNil)
			So(last.Closely, ShouldBeFalse)
			Convey("but closely after a second of silence", func() {
				run(false, maxPeerSilence+followCheckPeriod+hostedTickPeriod)
				So(last.Closely, ShouldBeTrue)
			})
			Convey("but closely from the first request of a caller on", func() {
				f.serve()
				run(true, followCheckPeriod+hostedTickPeriod)
				So(last.Closely, ShouldBeTrue)
				run(true, quietAfter+followCheckPeriod)
				So(last.Closely, ShouldBeFalse)
			})
		})
	})
}

func TestChangesReachIdleInstancesThroughPeers(t *testing.T) {
	Convey("In a fleet of 300, what six instances read is known everywhere in time", t, func() {
		for seed := range uint64(3) {
			s := newBudgetSimulation(seed, spreadPolicy(), largeFleet(300))
			for c := range s.fleet.customers {
				s.loadFactor[customerName(c)] = 0
			}
			s.runUntil(rampUp)
			leaving := targetEntry("t1")
			leaving.State = event.StateLeaving
			list := []event.Instance{leaving, targetEntry("t2")}
			for _, in := range s.nodes {
				list = append(list, s.entry(in.name))
			}
			stored := &config.Stored{Generation: 7, Routing: &config.Routing{}}
			for i := range 6 {
				s.step(s.nodes[i*40+3], event.Event{ConfigRead: &event.ConfigRead{Stored: stored}})
				s.step(s.nodes[i*40+3], event.Event{InstancesListed: &event.InstancesListed{Instances: list}})
			}
			s.runUntil(s.now + propagationBound)
			outdated, unaware := 0, 0
			for _, in := range s.nodes {
				if in.node.configs.generation() < 7 {
					outdated++
				}
				if !in.node.members.targets["t1"].Leaving {
					unaware++
				}
			}
			So(fmt.Sprintf("seed %d: %d outdated, %d unaware", seed, outdated, unaware), ShouldEqual, fmt.Sprintf("seed %d: 0 outdated, 0 unaware", seed))
		}
	})
}
