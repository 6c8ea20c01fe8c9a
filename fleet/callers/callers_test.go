package callers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/fleet/settings"
)

// fakeCore is a Core that records posted events and replies to each with the
// actions that react returns.
type fakeCore struct {
	actions chan event.Action
	events  chan event.Event
	ended   chan struct{}
	// react returns the actions to send in reply to an event.
	react func(event.Event) []event.Action
}

func newFakeCore(react func(event.Event) []event.Action) *fakeCore {
	return &fakeCore{make(chan event.Action, 16), make(chan event.Event, 64), make(chan struct{}), react}
}

func (c *fakeCore) Index() *config.Index                { return nil }
func (c *fakeCore) Standing() event.ConfigStanding      { return event.ConfigStanding{} }
func (c *fakeCore) Open() (uint64, <-chan event.Action) { return 1, c.actions }
func (c *fakeCore) Close(uint64)                        {}
func (c *fakeCore) Ended() <-chan struct{}              { return c.ended }

func (c *fakeCore) Post(e event.Event) {
	c.events <- e
	for _, a := range c.react(e) {
		c.actions <- a
	}
}

// firstPosted returns the first posted event for which pick returns a value, or
// nil.
func firstPosted[T any](c *fakeCore, pick func(event.Event) *T) *T {
	for {
		select {
		case e := <-c.events:
			if v := pick(e); v != nil {
				return v
			}
		default:
			return nil
		}
	}
}

func newServer(core Core) *Server {
	s := settings.Defaults()
	s.PeerKey = "a-peer-key-of-the-tests"
	return New(core, engine.NewClient(), &s, zap.NewNop())
}

// newArrival returns a model request of one customer.
func newArrival(body string) event.RequestArrived {
	return event.RequestArrived{Customer: "c", Key: "k", BodyHash: bodyHash([]byte(body)), Kind: event.KindModel, Idempotent: true}
}

// serveRequest runs one request through an exchange and returns what its caller
// received.
func serveRequest(s *Server, a event.RequestArrived, body string) (*http.Response, string, error) {
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		x := s.newExchange(w, r, raw, raw)
		x.arrival = a
		x.streamed = true
		x.run()
	}))
	defer front.Close()
	resp, err := http.Post(front.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// newPeer starts a server that accepts only requests that were handed over to
// it with a valid MAC.
func newPeer(s *Server, answer http.HandlerFunc) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		a := event.RequestArrived{Customer: "c", Key: r.Header.Get(headerKey), BodyHash: bodyHash(raw)}
		if err := s.checkHandedOver(r, &a); err != nil || !a.HandedOver {
			apierror.Write(w, apierror.BodyOf(errkind.PeerUnauthenticated, "", "", 0))
			return
		}
		answer(w, r)
	}))
}

// handOverTo reacts to an arrival with a hand-over to the address, and to the
// peer's refusal with an error.
func handOverTo(address string) func(event.Event) []event.Action {
	return func(e event.Event) []event.Action {
		switch {
		case e.RequestArrived != nil:
			return []event.Action{{HandOver: &event.HandOver{Request: 1, Address: address}}}
		case e.HandOverEnded != nil && e.HandOverEnded.Refused:
			return []event.Action{{Refuse: &event.Refuse{Request: 1, Kind: errkind.BudgetExhausted, Ran: errkind.RanNo}}}
		}
		return nil
	}
}

func pickHandOverEnded(e event.Event) *event.HandOverEnded { return e.HandOverEnded }

func TestHandOver(t *testing.T) {
	start := func(answer http.HandlerFunc) (*fakeCore, *Server, func()) {
		core := newFakeCore(nil)
		s := newServer(core)
		p := newPeer(s, answer)
		core.react = handOverTo(strings.TrimPrefix(p.URL, "http://"))
		return core, s, p.Close
	}
	Convey("The peer's response is relayed completely", t, func() {
		core, s, stop := start(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", streamType)
			_, _ = io.WriteString(w, "data: one\n\ndata: [DONE]\n\n")
		})
		defer stop()
		resp, body, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(resp.Header.Get("Content-Type"), ShouldEqual, streamType)
		So(body, ShouldEqual, "data: one\n\ndata: [DONE]\n\n")
		So(firstPosted(core, pickHandOverEnded).Refused, ShouldBeFalse)
	})
	Convey("A peer's \"not run\" error is reported to the core", t, func() {
		core, s, stop := start(func(w http.ResponseWriter, _ *http.Request) {
			apierror.Write(w, apierror.BodyOf(errkind.BudgetUnavailable, "", "", 0))
		})
		defer stop()
		resp, _, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, errkind.Lookup(errkind.BudgetExhausted).Status)
		end := firstPosted(core, pickHandOverEnded)
		So(end.Refused, ShouldBeTrue)
		So(end.Kind, ShouldEqual, errkind.BudgetUnavailable)
	})
	Convey("A peer's \"may have run\" error is relayed to the caller", t, func() {
		core, s, stop := start(func(w http.ResponseWriter, _ *http.Request) {
			apierror.Write(w, apierror.BodyOf(errkind.OutcomeUnknown, "", "", 0))
		})
		defer stop()
		resp, body, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusConflict)
		So(body, ShouldContainSubstring, string(errkind.OutcomeUnknown))
		So(firstPosted(core, pickHandOverEnded).Refused, ShouldBeFalse)
	})
	Convey("A peer that can't be reached has not run the request", t, func() {
		core, s, stop := start(nil)
		stop()
		resp, _, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, errkind.Lookup(errkind.BudgetExhausted).Status)
		So(firstPosted(core, pickHandOverEnded).Refused, ShouldBeTrue)
	})
	Convey("A peer that closes the connection before it responds may have run the request", t, func() {
		core, s, stop := start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		defer stop()
		nonIdempotent := newArrival("{}")
		nonIdempotent.Idempotent = false
		_, body, err := serveRequest(s, nonIdempotent, "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, string(errkind.OutcomeUnknown))
		So(firstPosted(core, pickHandOverEnded).Refused, ShouldBeFalse)
	})
	Convey("A request without a body is sent to a peer once, even over a reused connection", t, func() {
		var calls atomic.Int64
		_, s, stop := start(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "one")
		})
		defer stop()
		_, body, err := serveRequest(s, newArrival(""), "")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "one")
		_, body, err = serveRequest(s, newArrival(""), "")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, `"ran":"unknown"`)
		So(calls.Load(), ShouldEqual, 2)
	})
	Convey("If a peer's response is cut off, so is the response to the caller", t, func() {
		_, s, stop := start(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: one\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		defer stop()
		_, _, err := serveRequest(s, newArrival("{}"), "{}")
		So(err, ShouldNotBeNil)
	})
}

func TestHandedOverRequiresMAC(t *testing.T) {
	Convey("Only a MAC under the peer key marks a request as handed over", t, func() {
		s := newServer(newFakeCore(nil))
		check := func(mac string) (bool, error) {
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header.Set(headerHandedOver, mac)
			a := newArrival("{}")
			err := s.checkHandedOver(r, &a)
			return a.HandedOver, err
		}
		a := newArrival("{}")
		handedOver, err := check(handOverMAC(s.peerKey, a.Customer, a.Key, a.BodyHash))
		So(handedOver, ShouldBeTrue)
		So(err, ShouldBeNil)
		for _, mac := range []string{
			"true", handOverMAC("another key", a.Customer, a.Key, a.BodyHash),
			handOverMAC(s.peerKey, a.Customer, a.Key, "another body"), handOverMAC(s.peerKey, "other", a.Key, a.BodyHash),
		} {
			handedOver, err = check(mac)
			So(handedOver, ShouldBeFalse)
			So(apierror.KindOf(err), ShouldEqual, errkind.PeerUnauthenticated)
		}
	})
}

func pickAttemptEnded(e event.Event) *event.AttemptEnded { return e.AttemptEnded }

func TestAttemptEdgeCases(t *testing.T) {
	dispatch := event.Action{Dispatch: &event.Dispatch{Request: 1, Attempt: "a1", Stream: "s1"}}
	refuse := event.Action{Refuse: &event.Refuse{Request: 1, Kind: errkind.CallerGone}}
	run := func(first ...event.Action) (*fakeCore, string, error) {
		core := newFakeCore(func(e event.Event) []event.Action {
			switch {
			case e.RequestArrived != nil:
				return first
			case e.AttemptEnded != nil:
				return []event.Action{refuse}
			}
			return nil
		})
		_, body, err := serveRequest(newServer(core), newArrival("{}"), "{}")
		return core, body, err
	}
	newHangingTarget := func() *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				_, _ = io.WriteString(w, `{"usage":{"total_tokens":7}}`)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
	}
	Convey("A cancellation that arrives with its dispatch is not lost", t, func() {
		target := newHangingTarget()
		defer target.Close()
		dispatch.Dispatch.Address = strings.TrimPrefix(target.URL, "http://")
		core, _, err := run(dispatch, event.Action{CancelAttempt: &event.CancelAttempt{Request: 1, Attempt: "a1"}})
		So(err, ShouldBeNil)
		end := firstPosted(core, pickAttemptEnded)
		So(end.Outcome, ShouldEqual, event.AttemptCancelled)
		So(end.Usage, ShouldEqual, 7)
	})
	Convey("A cancellation of another attempt doesn't end the attempt, and an early refusal waits for its end", t, func() {
		var core *fakeCore
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for len(core.actions) > 0 {
				time.Sleep(time.Millisecond)
			}
			http.NotFound(w, r)
		}))
		defer target.Close()
		dispatch.Dispatch.Address = strings.TrimPrefix(target.URL, "http://")
		core = newFakeCore(func(e event.Event) []event.Action {
			if e.RequestArrived == nil {
				return nil
			}
			return []event.Action{dispatch, {CancelAttempt: &event.CancelAttempt{Request: 1, Attempt: "a0"}}, refuse}
		})
		_, body, err := serveRequest(newServer(core), newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, string(errkind.CallerGone))
		So(firstPosted(core, pickAttemptEnded).Outcome, ShouldEqual, event.AttemptFailed)
	})
	Convey("A panic in an attempt is reported as a failed attempt", t, func() {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: {\"id\":\"a1\"}\n\n")
		}))
		defer target.Close()
		dispatch.Dispatch.Address = strings.TrimPrefix(target.URL, "http://")
		core := newFakeCore(func(e event.Event) []event.Action {
			switch {
			case e.RequestArrived != nil:
				return []event.Action{dispatch}
			case e.FirstToken != nil:
				panic("injected panic")
			case e.AttemptEnded != nil:
				return []event.Action{refuse}
			}
			return nil
		})
		_, body, err := serveRequest(newServer(core), newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, string(errkind.CallerGone))
		So(firstPosted(core, pickAttemptEnded).Outcome, ShouldEqual, event.AttemptFailed)
	})
	Convey("A request is refused at once if the loop has ended", t, func() {
		core := newFakeCore(func(event.Event) []event.Action { return nil })
		close(core.ended)
		_, body, err := serveRequest(newServer(core), newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, string(errkind.Stopping))
		So(body, ShouldContainSubstring, `"ran":"no"`)
	})
	Convey("A request whose attempt ends after the loop is refused as possibly run", t, func() {
		target := httptest.NewServer(http.NotFoundHandler())
		defer target.Close()
		dispatch.Dispatch.Address = strings.TrimPrefix(target.URL, "http://")
		core := newFakeCore(nil)
		core.react = func(e event.Event) []event.Action {
			if e.AttemptEnded != nil {
				close(core.ended)
				return nil
			}
			return []event.Action{dispatch}
		}
		_, body, err := serveRequest(newServer(core), newArrival("{}"), "{}")
		So(err, ShouldBeNil)
		So(body, ShouldContainSubstring, `"ran":"unknown"`)
	})
}
