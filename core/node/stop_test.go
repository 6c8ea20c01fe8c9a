package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

func TestStoppingInstanceTakesNoRequestThatItMayHaveToCut(t *testing.T) {
	Convey("Given an instance that stops and ends its requests after 7 s, beside another one", t, func() {
		h := newHosted()
		peer := event.Instance{Name: "n2", Role: event.RoleRouter, Address: "n2:1", PeerAddress: "n2:2", State: event.StateLive}
		h.list(false, targetEntry("t1"), peer)
		h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{}})
		stop := &event.ShutdownRequired{Linger: 3 * time.Second, End: 7 * time.Second}
		handle := uint64(0)
		kind := event.KindService
		arrive := func(idempotent bool, deadline time.Duration) *event.Refuse {
			handle++
			return refusal(h.step(event.Event{RequestArrived: &event.RequestArrived{
				Request: handle, Customer: "c", Key: fmt.Sprint(handle), BodyHash: fmt.Sprint(handle),
				Kind: kind, Serves: "app", MaxAttempts: 1, Idempotent: idempotent, Deadline: deadline,
			}}))
		}
		Convey("one to a service that must not run twice and may take longer is refused as not run, with a short time to come back", func() {
			h.step(event.Event{ShutdownRequired: stop})
			h.advance(time.Second)
			got := arrive(false, 6500*time.Millisecond)
			So(got.Kind, ShouldEqual, errkind.Stopping)
			So(got.Ran, ShouldEqual, errkind.RanNo)
			So(got.RetryAfter, ShouldEqual, otherInstanceRetryAfter)
			Convey("one that ends before, or may be repeated, is taken until the linger time is over", func() {
				So(arrive(false, 5500*time.Millisecond), ShouldBeNil)
				So(arrive(true, 15*time.Second), ShouldBeNil)
				h.advance(2 * time.Second)
				So(arrive(true, time.Second).Kind, ShouldEqual, errkind.Stopping)
			})
		})
		Convey("a model's answer, which may be asked for again, is taken", func() {
			h.step(event.Event{ShutdownRequired: stop})
			kind = event.KindModel
			So(arrive(false, 15*time.Second), ShouldBeNil)
		})
		Convey("it is taken if no other instance could serve it", func() {
			h.list(false, targetEntry("t1"))
			h.step(event.Event{ShutdownRequired: stop})
			So(arrive(false, 15*time.Second), ShouldBeNil)
		})
	})
}
