package callerstest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/settings"
	"plantainfield.example/standins/engine"
)

func TestGoodRequests(t *testing.T) {
	Convey("Answers are complete and billed once, and leave no state behind", t, func() {
		r := newFixture(t, options{})
		streamed := r.send(http.MethodPost, chatPath, chatBody(true, 5))
		So(streamed.status, ShouldEqual, http.StatusOK)
		So(streamed.body, ShouldEndWith, "data: [DONE]\n\n")
		So(streamed.body, ShouldContainSubstring, `"content":"w4 "`)
		notStreamed := r.send(http.MethodPost, chatPath, chatBody(false, 5))
		So(notStreamed.status, ShouldEqual, http.StatusOK)
		So(notStreamed.body, ShouldContainSubstring, expectedText(5))
		So(r.send(http.MethodGet, "/v1/services/records/cards/7?x=1", nil).status, ShouldEqual, http.StatusOK)
		booked := r.send(http.MethodPost, "/v1/services/records/bookings", strings.NewReader("{}"), "Idempotency-Key", "b1")
		So(booked.status, ShouldEqual, http.StatusCreated)
		r.waitIdle()
		again := r.send(http.MethodPost, "/v1/services/records/bookings", strings.NewReader("{}"), "Idempotency-Key", "b1")
		So(again.header.Get("Idempotent-Replayed"), ShouldEqual, "true")
		So(again.body, ShouldEqual, booked.body)
		r.waitIdle()
		So(r.audit().Bills, ShouldEqual, 4)
		So(r.audit().Violations, ShouldBeEmpty)
	})
	Convey("The streamed answer of a non-idempotent request is replayed in full", t, func() {
		r := newFixture(t, options{})
		headers := []string{"Idempotency-Key", "once", "X-Non-Idempotent", "true"}
		first := r.send(http.MethodPost, chatPath, chatBody(true, 5), headers...)
		So(first.body, ShouldEndWith, "data: [DONE]\n\n")
		r.waitIdle()
		again := r.send(http.MethodPost, chatPath, chatBody(true, 5), headers...)
		So(again.status, ShouldEqual, http.StatusOK)
		So(again.body, ShouldEqual, first.body)
		So(r.runEntries("started"), ShouldHaveLength, 1)
	})
}

func TestBadRequests(t *testing.T) {
	Convey("Each invalid request gets one JSON error and does not run", t, func() {
		r := newFixture(t, options{})
		check := func(a answer, kind errkind.Kind) {
			So(a.err, ShouldBeNil)
			So(a.errorDetail().Code, ShouldEqual, kind)
			So(a.status, ShouldEqual, errkind.Lookup(kind).Status)
			So(a.header.Get("Content-Type"), ShouldEqual, "application/json")
			So(a.errorDetail().Ran, ShouldEqual, errkind.RanNo)
			So(a.errorDetail().Message, ShouldNotBeEmpty)
		}
		post := func(body string, headers ...string) answer {
			return r.send(http.MethodPost, chatPath, strings.NewReader(body), headers...)
		}
		check(post(`{"model":"assistant",`), errkind.InvalidRequest)
		check(post(``), errkind.InvalidRequest)
		check(post(`[]`), errkind.InvalidRequest)
		check(post(`{"model":"assistant","messages":[]}`), errkind.InvalidRequest)
		check(post(`{"model":"assistant","messages":[{}],"max_tokens":-1}`), errkind.InvalidRequest)
		check(post(`{"model":"nobody","messages":[{}]}`), errkind.UnknownModel)
		for _, unbounded := range []string{`"n":2`, `"best_of":3`, `"use_beam_search":true`, `"chat_template":"{{x}}"`} {
			check(post(`{"model":"assistant","messages":[{"role":"user","content":"x"}],`+unbounded+`}`), errkind.InvalidRequest)
		}
		check(post(`{"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"u"}}]}]}`), errkind.InvalidRequest)
		check(post(strings.Repeat(" ", 10<<20)), errkind.BodyTooLarge)
		check(r.send(http.MethodPost, chatPath, chatBody(true, 5), "Authorization", "Bearer nobody"), errkind.Unauthenticated)
		check(r.send(http.MethodPost, chatPath, chatBody(true, 5), "Authorization", "Basic xyz"), errkind.Unauthenticated)
		check(r.send(http.MethodPost, chatPath, chatBody(true, 5), "X-Budget", "nobody"), errkind.UnknownBudget)
		check(r.send(http.MethodPost, chatPath, chatBody(true, 5), "Idempotency-Key", strings.Repeat("k", 300)), errkind.InvalidRequest)
		check(r.send(http.MethodPost, chatPath, chatBody(true, 5), "X-Deadline-Millis", "soon"), errkind.InvalidRequest)
		check(r.send(http.MethodPost, "/v1/services/records/x", nil, "X-Deadline-Millis", "0"), errkind.InvalidRequest)
		check(r.send(http.MethodGet, chatPath, nil), errkind.MethodNotAllowed)
		check(r.send(http.MethodPost, "/v2/chat", nil), errkind.UnknownPath)
		check(r.send(http.MethodPost, "/v1/services/nobody/x", nil), errkind.UnknownService)
		r.waitIdle()
		So(r.audit().Bills, ShouldEqual, 0)
		So(r.runEntries("started"), ShouldBeEmpty)
	})
	Convey("Headers that are too large are refused with 431", t, func() {
		r := newFixture(t, options{})
		a := r.send(http.MethodPost, chatPath, chatBody(true, 5), "X-Padding", strings.Repeat("p", 100<<10))
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// rawResponse reads one HTTP response from a TCP connection.
func rawResponse(c net.Conn) (answer, *bufio.Reader) {
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}, in
	}
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), err}, in
}

func TestSlowOversizedAndAbortedRequests(t *testing.T) {
	head := func(length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", chatPath, callerKey, length)
	}
	Convey("A body that does not arrive in time gets 408, and the connection is closed", t, func() {
		r := newFixture(t, options{limits: func(l *settings.Limits) { l.ReadTimeoutMillis = 200 }})
		c := r.dial()
		_, err := io.WriteString(c, head(1000)+`{"model":`)
		So(err, ShouldBeNil)
		a, in := rawResponse(c)
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, http.StatusRequestTimeout)
		So(a.errorDetail().Code, ShouldEqual, errkind.SlowSender)
		_, err = in.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
	Convey("A connection whose headers do not arrive in time is closed", t, func() {
		r := newFixture(t, options{limits: func(l *settings.Limits) { l.ReadTimeoutMillis = 200 }})
		c := r.dial()
		_, err := io.WriteString(c, "POST /v1")
		So(err, ShouldBeNil)
		_, err = io.ReadAll(c)
		So(err, ShouldBeNil)
	})
	Convey("A caller that reads only after it has sent 10 MB still gets the 413", t, func() {
		r := newFixture(t, options{})
		c := r.dial()
		_, err := io.WriteString(c, head(10<<20))
		So(err, ShouldBeNil)
		_, err = c.Write(bytes.Repeat([]byte(" "), 10<<20))
		So(err, ShouldBeNil)
		a, _ := rawResponse(c)
		So(a.err, ShouldBeNil)
		So(a.errorDetail().Code, ShouldEqual, errkind.BodyTooLarge)
	})
	Convey("A caller that disconnects in mid-body leaves no state behind", t, func() {
		r := newFixture(t, options{})
		c := r.dial()
		_, err := io.WriteString(c, head(1000)+`{"model":`)
		So(err, ShouldBeNil)
		_ = c.Close()
		r.waitIdle()
		So(r.runEntries("started"), ShouldBeEmpty)
	})
}

// slowEngine generates a long answer, one token every 2 ms.
var slowEngine = engine.Options{OutputTokens: 100_000, Step: 2 * time.Millisecond}

func TestTooManyStreams(t *testing.T) {
	Convey("Requests beyond the limit get 429 at once", t, func() {
		r := newFixture(t, options{engine: slowEngine, limits: func(l *settings.Limits) { l.MaxStreams = 1 }})
		resp, err := http.DefaultClient.Do(r.request(http.MethodPost, chatPath, chatBody(true, 100_000)))
		So(err, ShouldBeNil)
		a := r.send(http.MethodPost, chatPath, chatBody(true, 5))
		So(a.status, ShouldEqual, http.StatusTooManyRequests)
		So(a.errorDetail().Code, ShouldEqual, errkind.TooManyStreams)
		So(a.header.Get("Retry-After"), ShouldEqual, "1")
		_ = resp.Body.Close()
		r.waitIdle()
	})
}

func TestCallerDisconnects(t *testing.T) {
	Convey("In mid-stream: the engine's stream is cancelled, and the consumed tokens are billed", t, func() {
		r := newFixture(t, options{engine: slowEngine})
		resp, err := http.DefaultClient.Do(r.request(http.MethodPost, chatPath, chatBody(true, 100_000)))
		So(err, ShouldBeNil)
		_, err = io.ReadFull(resp.Body, make([]byte, 2000))
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		r.eventually("the engine cancelled the stream", func() bool { return len(r.runEntries("cancelled")) == 1 })
		r.waitIdle()
		report := r.audit()
		So(report.Bills, ShouldEqual, 1)
		So(report.Violations, ShouldBeEmpty)
		r.eventually("the consumed tokens are billed", func() bool {
			return r.audit().Budgets[0].Billed >= r.runEntries("cancelled")[0].Tokens-1
		})
	})
	Convey("Before the first token: the stream is cancelled", t, func() {
		slow := slowEngine
		slow.Step = time.Second
		r := newFixture(t, options{engine: slow})
		c := r.dial()
		req := r.request(http.MethodPost, chatPath, chatBody(true, 100_000))
		So(req.Write(c), ShouldBeNil)
		r.eventually("the engine runs", func() bool { return len(r.runEntries("started")) == 1 })
		_ = c.Close()
		r.eventually("the engine cancelled the stream", func() bool { return len(r.runEntries("cancelled")) == 1 })
		r.waitIdle()
	})
	Convey("During a non-idempotent request: it runs to its end, and its answer is replayed", t, func() {
		r := newFixture(t, options{engine: engine.Options{OutputTokens: 50, Step: 5 * time.Millisecond}})
		c := r.dial()
		headers := []string{"Idempotency-Key", "once", "X-Non-Idempotent", "true"}
		req := r.request(http.MethodPost, chatPath, chatBody(true, 50), headers...)
		So(req.Write(c), ShouldBeNil)
		_, err := io.ReadFull(c, make([]byte, 500))
		So(err, ShouldBeNil)
		_ = c.Close()
		r.eventually("the engine finished", func() bool { return len(r.runEntries("finished")) == 1 })
		r.waitIdle()
		So(r.runEntries("cancelled"), ShouldBeEmpty)
		again := r.send(http.MethodPost, chatPath, chatBody(true, 50), headers...)
		So(again.body, ShouldEndWith, "data: [DONE]\n\n")
		So(again.body, ShouldContainSubstring, `"content":"w49 "`)
		So(r.runEntries("started"), ShouldHaveLength, 1)
	})
	Convey("While the request waits for a target: it is removed from the queue", t, func() {
		r := newFixture(t, options{engine: slowEngine})
		r.setChatHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Started", "true")
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}))
		c := r.dial()
		So(r.request(http.MethodPost, chatPath, chatBody(true, 5)).Write(c), ShouldBeNil)
		_ = c.Close()
		r.waitIdle()
		So(r.audit().Bills, ShouldEqual, 0)
	})
}

func TestCallerThatStopsReading(t *testing.T) {
	Convey("Its stream is cancelled and billed, and no state is left behind", t, func() {
		fast := engine.Options{OutputTokens: 200_000}
		r := newFixture(t, options{engine: fast, limits: func(l *settings.Limits) { l.WriteTimeoutMillis = 300 }})
		c := r.dial()
		So(c.(*net.TCPConn).SetReadBuffer(4096), ShouldBeNil)
		So(r.request(http.MethodPost, chatPath, chatBody(true, 200_000)).Write(c), ShouldBeNil)
		r.eventually("the engine runs", func() bool { return len(r.runEntries("started")) == 1 })
		r.waitIdle()
		So(r.audit().Bills, ShouldEqual, 1)
		So(r.send(http.MethodPost, chatPath, chatBody(false, 5)).status, ShouldEqual, http.StatusOK)
	})
	Convey("A slow caller that keeps reading gets its complete answer", t, func() {
		const tokens = 100_000 // some 15 MB: more than the sockets' buffers hold
		r := newFixture(t, options{engine: engine.Options{OutputTokens: tokens}, limits: func(l *settings.Limits) { l.WriteTimeoutMillis = 300 }})
		c := r.dial()
		So(r.request(http.MethodPost, chatPath, chatBody(true, tokens)).Write(c), ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		var got bytes.Buffer
		for err == nil {
			_, err = io.CopyN(&got, resp.Body, 256<<10)
			time.Sleep(15 * time.Millisecond) // simulates a slow reader
		}
		So(err, ShouldEqual, io.EOF)
		So(strings.HasSuffix(got.String(), "data: [DONE]\n\n"), ShouldBeTrue)
	})
}

func TestGracefulStop(t *testing.T) {
	Convey("A running stream completes, and new requests are refused as \"stopping\"", t, func() {
		r := newFixture(t, options{engine: engine.Options{OutputTokens: 200, Step: 5 * time.Millisecond}})
		resp, err := http.DefaultClient.Do(r.request(http.MethodPost, chatPath, chatBody(true, 200)))
		So(err, ShouldBeNil)
		stopped := make(chan error, 1)
		go func() { stopped <- r.app.Stop(t.Context()) }()
		r.eventually("the stop began", func() bool { return r.dump().Status.Stopping })
		a := r.send(http.MethodPost, chatPath, chatBody(true, 5))
		So(a.errorDetail().Code, ShouldEqual, errkind.Stopping)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
		raw, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(raw), ShouldEndWith, "data: [DONE]\n\n")
		So(<-stopped, ShouldBeNil)
		So(r.audit().Budgets[0].Outstanding, ShouldEqual, 0)
	})
}
