package runtime

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
)

// A process that ended with a panic left a stack, but not the event and the request
// that it was handling.
func TestPanicOfTheNodeIsReportedWithItsEventAndRequest(t *testing.T) {
	Convey("Given a loop with an open request", t, func() {
		l := NewLoop(node.Settings{
			Name: "n1", Incarnation: "1", LedgerShards: 1, Policies: config.Defaults().Policies,
			Disabled: node.Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
		})
		l.step(0, event.Event{ConfigRead: &event.ConfigRead{Stored: &config.Stored{Generation: 1, Routing: &config.Routing{}}}})
		l.step(0, event.Event{InstancesListed: &event.InstancesListed{Instances: []event.Instance{{Name: "t", Role: event.RoleEngine, Address: "t:1", Serves: []string{"m"}, State: event.StateLive}}}})
		handle, _ := l.Open()
		l.step(time.Second, event.Event{RequestArrived: &event.RequestArrived{Request: handle, Customer: "c", Key: "k-7", Serves: "m", Kind: event.KindService, Idempotent: true}})
		So(l.node.Dump().Requests, ShouldHaveLength, 1)
		Convey("a panic of the node is reported with the event and the request, and goes on", func() {
			var failures []Failure
			l.SetPanicHandler(func(f Failure) { failures = append(failures, f) })
			l.decide = func(event.Input) []event.Action { panic("negative shift amount") }
			So(func() {
				l.step(time.Second, event.Event{HandOverEnded: &event.HandOverEnded{Request: handle, Lost: true}})
			}, ShouldPanicWith, "negative shift amount")
			So(failures, ShouldHaveLength, 1)
			So(failures[0].Event, ShouldContainSubstring, `"handOverEnded":{"request":1`)
			So(failures[0].Request.Key, ShouldEqual, "k-7")
		})
		Convey("a long event is cut off", func() {
			f := l.describe(event.Event{RequestArrived: &event.RequestArrived{Key: strings.Repeat("k", 2*maxLoggedEventBytes)}})
			So(len(f.Event), ShouldEqual, maxLoggedEventBytes)
		})
		Convey("a node whose state can't be read doesn't hide the panic", func() {
			l.node = nil
			So(l.describe(event.Event{CallerGone: &event.CallerGone{Request: handle}}).Request, ShouldBeNil)
		})
	})
}
