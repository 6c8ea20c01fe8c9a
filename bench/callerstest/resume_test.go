package callerstest

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/standins/engine"
)

// truncatingWriter aborts the connection of a response after a number of bytes.
type truncatingWriter struct {
	http.ResponseWriter
	left int
}

func (c *truncatingWriter) Write(b []byte) (int, error) {
	if len(b) < c.left {
		c.left -= len(b)
		return c.ResponseWriter.Write(b)
	}
	_, _ = c.ResponseWriter.Write(b[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (c *truncatingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// cutStreams aborts the connections of the first cuts stream responses after a
// number of bytes each. The streams keep running at the engine.
func cutStreams(next http.Handler, cuts int64, after int) http.Handler {
	var left atomic.Int64
	left.Store(cuts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isStream := r.URL.Path == chatPath || (r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/streams/"))
		if isStream && left.Add(-1) >= 0 {
			w = &truncatingWriter{w, after}
		}
		next.ServeHTTP(w, r)
	})
}

// streamedText returns the concatenated tokens of a streamed answer.
func streamedText(body string) string {
	var b bytes.Buffer
	for _, part := range strings.Split(body, `"content":"`)[1:] {
		text, _, _ := strings.Cut(part, `"`)
		b.WriteString(text)
	}
	return b.String()
}

var steadyEngine = engine.Options{OutputTokens: 60, Step: 2 * time.Millisecond}

func TestResumeOfCutStreams(t *testing.T) {
	for _, after := range []int{1, 100, 1700, 2950} {
		Convey("A stream whose connection is cut is resumed, and the caller does not notice", t, func() {
			r := newFixture(t, options{engine: steadyEngine})
			r.engine.set(cutStreams(r.engineHandler, 2, after))
			a := r.send(http.MethodPost, chatPath, chatBody(true, 60))
			So(a.err, ShouldBeNil)
			So(a.body, ShouldEndWith, "data: [DONE]\n\n")
			So(streamedText(a.body), ShouldEqual, expectedText(60))
			So(r.runEntries("started"), ShouldHaveLength, 1)
			r.engine.set(cutStreams(r.engineHandler, 2, after))
			a = r.send(http.MethodPost, chatPath, chatBody(false, 60))
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.body, ShouldContainSubstring, expectedText(60))
			So(r.runEntries("started"), ShouldHaveLength, 2)
			r.waitIdle()
			So(r.audit().Bills, ShouldEqual, 2)
			So(r.audit().Violations, ShouldBeEmpty)
		})
	}
	Convey("A stream whose connection is cut repeatedly ends with an error", t, func() {
		r := newFixture(t, options{engine: steadyEngine})
		r.engine.set(cutStreams(r.engineHandler, 1000, 200))
		a := r.send(http.MethodPost, chatPath, chatBody(true, 60))
		So(a.err, ShouldBeNil)
		So(a.body, ShouldNotContainSubstring, "[DONE]")
		So(a.body, ShouldContainSubstring, string(errkind.StreamCut))
		r.waitIdle()
	})
	Convey("A stream is cancelled if its caller disconnects while it is being resumed", t, func() {
		r := newFixture(t, options{engine: slowEngine})
		r.engine.set(cutStreams(r.engineHandler, 2, 300))
		resp, err := http.DefaultClient.Do(r.request(http.MethodPost, chatPath, chatBody(true, 100_000)))
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		r.eventually("the engine cancelled the stream", func() bool { return len(r.runEntries("cancelled")) == 1 })
		r.waitIdle()
		So(r.audit().Violations, ShouldBeEmpty)
	})
}

func TestSecondAttemptFollowsTheRunningStream(t *testing.T) {
	Convey("An engine runs a stream once for two attempts with the same stream id and body", t, func() {
		r := newFixture(t, options{engine: steadyEngine})
		send := func(attempt string) (string, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+r.engineAddress+chatPath, chatBody(true, 60))
			if err != nil {
				return "", err
			}
			req.Header.Set("X-Request-Id", attempt)
			req.Header.Set("X-Stream-Id", "stream-1")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			return string(raw), err
		}
		first := make(chan string, 1)
		go func() {
			body, _ := send("a1")
			first <- body
		}()
		r.eventually("the stream runs", func() bool { return len(r.runEntries("started")) == 1 })
		second, err := send("a2")
		So(err, ShouldBeNil)
		So(streamedText(second), ShouldEqual, expectedText(60))
		So(second, ShouldContainSubstring, `{"id":"a2"`)
		So(streamedText(<-first), ShouldEqual, expectedText(60))
		So(r.runEntries("started"), ShouldHaveLength, 1)
		So(r.runEntries("followed"), ShouldHaveLength, 1)
	})
}
