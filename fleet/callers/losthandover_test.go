package callers

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
)

// A request whose peer was lost was answered with an error, although another attempt was
// allowed, and the peer didn't know how many attempts it might make.
func TestLostHandOverGoesBackToTheCore(t *testing.T) {
	// start returns a core that hands a request over for one attempt and refuses it once
	// the hand-over has ended, and what the peer was told.
	start := func(answer http.HandlerFunc) (*fakeCore, *Server, *http.Header) {
		core := newFakeCore(nil)
		s := newServer(core)
		got := &http.Header{}
		p := newPeer(s, func(w http.ResponseWriter, r *http.Request) {
			*got = r.Header.Clone()
			answer(w, r)
		})
		t.Cleanup(p.Close)
		core.react = func(e event.Event) []event.Action {
			switch {
			case e.RequestArrived != nil:
				return []event.Action{{HandOver: &event.HandOver{Request: 1, Address: strings.TrimPrefix(p.URL, "http://"), MaxAttempts: 1}}}
			case e.HandOverEnded != nil:
				return []event.Action{{Refuse: &event.Refuse{Request: 1, Kind: errkind.NoTarget, Ran: errkind.RanUnknown}}}
			}
			return nil
		}
		return core, s, got
	}
	Convey("A peer that closes the connection may have made the attempt that it was allowed", t, func() {
		core, s, got := start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, body, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, string(errkind.NoTarget))
		end := firstPosted(core, pickHandOverEnded)
		So(end.Lost, ShouldBeTrue)
		So(end.Attempts, ShouldEqual, 1)
		Convey("and knows how many attempts it may make", func() {
			a := newArrival("{}")
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header = *got
			So(s.checkHandedOver(r, &a), ShouldBeNil)
			So(a.MaxAttempts, ShouldEqual, 1)
			r.Header.Set(headerMaxAttempts, strings.Replace(r.Header.Get(headerMaxAttempts), "1;", "9;", 1))
			So(apierror.KindOf(s.checkHandedOver(r, &a)), ShouldEqual, errkind.PeerUnauthenticated)
		})
	})
	for _, kind := range []errkind.Kind{errkind.TargetFailed, errkind.OutcomeUnknown, errkind.TargetNotStarted} {
		Convey("The core decides what follows a peer's attempt that ended with "+string(kind), t, func() {
			core, s, _ := start(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerAttempts, strconv.Itoa(1))
				apierror.Write(w, apierror.BodyOf(kind, "", "", 0))
			})
			_, body, err := serveRequest(s, newArrival("{}"), "{}")
			So(err, ShouldBeNil)
			So(body, ShouldContainSubstring, string(errkind.NoTarget))
			end := firstPosted(core, pickHandOverEnded)
			So(end.Lost, ShouldEqual, kind != errkind.TargetNotStarted)
			So(end.Refused, ShouldEqual, kind == errkind.TargetNotStarted)
			So(end.Attempts, ShouldEqual, 1)
			So(end.Kind, ShouldEqual, kind)
		})
	}
}
