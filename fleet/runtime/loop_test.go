package runtime

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/node"
)

func TestConfigurationDoesNotWaitBehindRequests(t *testing.T) {
	Convey("A configuration is in force before requests that were posted earlier are decided on", t, func() {
		l := NewLoop(node.Settings{
			Name: "n1", Incarnation: "1", LedgerShards: 1, Policies: config.Defaults().Policies,
			Disabled: node.Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
		})
		handle, actions := l.Open()
		l.Post(event.Event{RequestArrived: &event.RequestArrived{Request: handle, Customer: "c", Key: "first", Serves: "app", HandedOver: true}})
		for i := range uint64(eventQueueSize - 2) {
			l.Post(event.Event{RequestArrived: &event.RequestArrived{Request: handle + 1 + i, Customer: "c", Key: fmt.Sprint(i), Serves: "app", HandedOver: true}})
		}
		l.Post(event.Event{ConfigRead: &event.ConfigRead{Stored: &config.Stored{
			Generation: 7, Routing: &config.Routing{Targets: []config.TargetClass{{Service: "app", MaxConnections: 40}}},
		}}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		first := <-actions
		cancel()
		<-done
		So(first.Refuse, ShouldNotBeNil)
		So(first.Refuse.Kind, ShouldNotEqual, errkind.NotReady)
	})
}
