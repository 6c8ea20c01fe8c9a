package runtime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
)

func TestPosterKeepsTheOrderOfEventsBeyondAFullQueue(t *testing.T) {
	Convey("Events that don't fit into the loop's queue don't block, and follow in order", t, func() {
		l := NewLoop(node.Settings{Name: "n1", LedgerShards: 1})
		for range eventQueueSize - 1 {
			l.Post(event.Event{Tick: &event.Tick{}})
		}
		p := l.NewPoster()
		for i := range uint64(5) {
			p.Post(event.Event{CallerGone: &event.CallerGone{Request: i}})
		}
		for range eventQueueSize - 1 {
			<-l.events
		}
		for i := range uint64(5) {
			select {
			case e := <-l.events:
				So(e.CallerGone.Request, ShouldEqual, i)
			case <-time.After(5 * time.Second):
				So("an event is missing", ShouldBeEmpty)
			}
		}
	})
}
