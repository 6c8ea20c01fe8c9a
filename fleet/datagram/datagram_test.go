package datagram

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"plantainfield.example/core/event"
)

// eventRecorder is a Sink that sends events to a channel.
type eventRecorder chan event.Event

func (r eventRecorder) Post(e event.Event) { r <- e }

func TestDatagrams(t *testing.T) {
	Convey("Given two instances of one deployment and one of another", t, func() {
		sink := make(eventRecorder, 8)
		listen := func(key, name string) *Transport {
			tr, err := Listen("127.0.0.1:0", key, name, "1", sink, zap.NewNop())
			So(err, ShouldBeNil)
			return tr
		}
		a, b, other := listen("key", "a"), listen("key", "b"), listen("other", "x")
		go a.Run(t.Context())
		to := a.socket.LocalAddr().String()
		message := event.PeerMessage{Loads: &event.Loads{Targets: []event.TargetLoad{{Target: "t", PrefillTokens: 5, Running: 2}}}}
		Convey("a message arrives with its sender, and datagrams of other deployments are rejected", func() {
			other.Send(to, message)
			raw, err := net.Dial("udp4", to)
			So(err, ShouldBeNil)
			_, _ = raw.Write([]byte("short"))
			b.Send(to, message)
			got := (<-sink).PeerReceived
			So(got.From, ShouldEqual, "b")
			So(got.Message.Loads.Targets, ShouldResemble, message.Loads.Targets)
			So(len(sink), ShouldEqual, 0)
		})
		Convey("a message that does not fit is counted", func() {
			many := event.PeerMessage{Loads: &event.Loads{Targets: make([]event.TargetLoad, 500)}}
			b.Send(to, many)
			So(b.Oversized.Load(), ShouldEqual, 1)
		})
	})
}
