package clientlimit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestConnectionsGiveWayInOrder(t *testing.T) {
	Convey("Clients that make no use of their connection are disconnected first, those whose requests are in progress never", t, func() {
		inOrder := []Client{
			{Phase: Closing, Age: deliveryTime},
			{Phase: Waiting, Age: 5 * time.Second, Served: true},
			{Phase: Waiting, Age: 10 * time.Millisecond, Served: true},
			{Phase: Sending, Age: 9 * time.Second},
			{Phase: Receiving, Age: 8 * time.Second, Bytes: 1},
			{Phase: Waiting, Age: 3 * time.Second},
			{Phase: Receiving, Age: 2 * time.Second, Bytes: 1 << 20},
			{Phase: Waiting, Age: 20 * time.Millisecond},
			{Phase: Receiving, Age: 5 * time.Millisecond},
		}
		kept := []Client{
			{Phase: Running, Age: time.Minute, Bytes: 4 << 20}, {Phase: Sending, Age: patience - 1}, {Phase: Closing},
		}
		for i := range inOrder {
			clients := append(append([]Client{}, kept...), inOrder[i:]...)
			So(ForConnection(clients), ShouldEqual, len(kept))
		}
		So(ForConnection(kept), ShouldEqual, -1)
		So(ForConnection(nil), ShouldEqual, -1)
	})
}

func TestBodiesThatStandStillGiveWay(t *testing.T) {
	const mib = 1 << 20
	stalled := Client{Phase: Receiving, Age: 2 * time.Second, Bytes: 4 * mib}
	Convey("Given memory that is full", t, func() {
		m := &Memory{Limit: 6 * mib}
		So(m.Grow(0, m.Limit), ShouldBeTrue)
		Convey("a large body that stands still gives way to any that arrives", func() {
			So(m.Victim([]Client{{Phase: Receiving, Age: 50 * time.Millisecond, Bytes: 4 * mib}, stalled}, Client{}, 4<<10), ShouldEqual, 1)
			So(m.Victim([]Client{stalled}, Client{Age: 100 * time.Millisecond, Bytes: 3 * mib}, mib), ShouldEqual, 0)
		})
		Convey("of bodies that hold as much for as long, the one that asks for more is refused", func() {
			So(m.Victim([]Client{stalled, stalled}, stalled, 1), ShouldEqual, -1)
		})
		Convey("requests that may run keep their memory", func() {
			running := stalled
			running.Phase = Running
			So(m.Victim([]Client{running}, Client{}, 1), ShouldEqual, -1)
		})
	})
	Convey("Given memory in which there is room for small bodies only", t, func() {
		m := &Memory{Limit: 6 * mib}
		So(m.Grow(0, 2*mib), ShouldBeTrue)
		So(m.Grow(0, 2*mib), ShouldBeTrue)
		Convey("small bodies don't give way to large ones, which would not help these", func() {
			small := Client{Phase: Receiving, Age: time.Hour, Bytes: SmallBytes}
			So(m.Victim([]Client{small}, Client{Bytes: mib}, SmallBytes), ShouldEqual, -1)
			So(m.Victim([]Client{small, stalled}, Client{Bytes: mib}, SmallBytes), ShouldEqual, 1)
		})
	})
}

func TestResponsesThatAreNotReadGiveWay(t *testing.T) {
	Convey("Of the clients that don't take their responses, the one that makes most use of the memory gives way", t, func() {
		clients := []Client{
			{Phase: Running, Age: time.Hour, Bytes: 4 << 20},
			{Phase: Receiving, Age: time.Hour, Bytes: 4 << 20},
			{Phase: Sending, Age: patience - 1, Bytes: 4 << 20},
			{Phase: Sending, Age: time.Hour},
		}
		So(ForResponse(clients), ShouldEqual, -1)
		clients = append(clients, Client{Phase: Sending, Age: 2 * patience, Bytes: 10}, Client{Phase: Sending, Age: patience, Bytes: 1000})
		So(ForResponse(clients), ShouldEqual, len(clients)-1)
	})
}

func TestSmallBodiesHaveAShareOfTheMemory(t *testing.T) {
	const limit = 1 << 20
	Convey("Given memory that large bodies have filled as far as they may", t, func() {
		m := Memory{Limit: limit}
		held := int64(limit / 2)
		So(m.Grow(0, held), ShouldBeTrue)
		So(m.Grow(0, limit/4), ShouldBeTrue)
		So(m.Grow(0, SmallBytes+1), ShouldBeFalse)
		Convey("small ones get the rest", func() {
			for range limit / 4 / SmallBytes {
				So(m.Grow(0, SmallBytes), ShouldBeTrue)
			}
			So(m.Grow(0, 1), ShouldBeFalse)
		})
		Convey("none of them can grow to a large one", func() {
			So(m.Grow(0, SmallBytes), ShouldBeTrue)
			So(m.Grow(SmallBytes, 1), ShouldBeFalse)
			So(m.Total(), ShouldEqual, limit/2+limit/4+SmallBytes)
		})
		Convey("what is released can be used again", func() {
			m.Release(held)
			So(m.Grow(0, held), ShouldBeTrue)
			m.Release(held)
			m.Release(limit / 4)
			So(m.Total(), ShouldEqual, 0)
		})
	})
	Convey("A single large body may use all of it", t, func() {
		m := Memory{Limit: limit}
		So(m.Grow(0, limit/2), ShouldBeTrue)
		So(m.Grow(limit/2, limit/2), ShouldBeTrue)
		So(m.Grow(limit, 1), ShouldBeFalse)
	})
}

func TestConnectionsOfAllUsesFitIntoTheSockets(t *testing.T) {
	Convey("Whatever a process may have, the connections of all uses leave some over", t, func() {
		for _, sockets := range []int{300, 400, 3900, 7992} {
			for _, memory := range []int64{96 << 20, 134 << 20, 536 << 20, 64 << 30} {
				c := DivideConnections(memory, sockets)
				So(c.Clients+c.Requests+c.Directory+2*c.Operators+c.Peers+c.IdleTargets+c.IdlePeers, ShouldBeLessThanOrEqualTo, sockets*31/32)
				So(c.Clients*connectionBytes, ShouldBeLessThanOrEqualTo, memory/connectionMemoryShare)
				So(c.Requests, ShouldBeLessThanOrEqualTo, c.Clients)
			}
		}
	})
}
