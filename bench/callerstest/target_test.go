package callerstest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/engine"
)

const usageText = `"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}`

// frame returns one server-sent event as an engine writes it.
func frame(attempt string, number int, rest string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,%s}\n\n", number, attempt, rest)
}

func tokenFrame(attempt string, number int, text string) string {
	return frame(attempt, number, fmt.Sprintf(`"choices":[{"index":0,"delta":{"content":%q}}]`, text))
}

func usageAndEnd(attempt string, number int) string {
	return frame(attempt, number, `"choices":[],`+usageText) + "data: [DONE]\n\n"
}

// scripted answers chat requests with the text that script returns for the attempt
// id.
func scripted(script func(attempt string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, script(r.Header.Get("X-Request-Id")))
	})
}

// cutAfter answers like scripted and then aborts the connection.
func cutAfter(script func(attempt string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scripted(script).ServeHTTP(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// incompleteAnswers are handlers that send an invalid or incomplete answer.
var incompleteAnswers = map[string]http.Handler{
	"no frames":   scripted(func(string) string { return "" }),
	"a web page":  scripted(func(string) string { return "<html>\n\n</html>\n" }),
	"broken JSON": scripted(func(a string) string { return "data: {\"id\":\"" + a + "\",\n\ndata: {{{\n\n" }),
	"no usage":    scripted(func(a string) string { return tokenFrame(a, 0, "one") + "data: [DONE]\n\n" }),
	"a gap":       scripted(func(a string) string { return tokenFrame(a, 0, "one") + tokenFrame(a, 2, "three") + usageAndEnd(a, 3) }),
	"only frames of another attempt": scripted(func(string) string {
		return tokenFrame("another", 0, "one") + usageAndEnd("another", 1)
	}),
	"an endless line": scripted(func(string) string { return "data: " + strings.Repeat("x", 2<<20) }),
	"a cut":           cutAfter(func(a string) string { return tokenFrame(a, 0, "one") }),
}

func TestTargetSendsIncompleteAnswer(t *testing.T) {
	for name, handler := range incompleteAnswers {
		Convey("After "+name+", a caller gets an error and no completion", t, func() {
			r := newFixture(t, options{})
			r.setChatHandler(handler)
			a := r.send(http.MethodPost, chatPath, chatBody(false, 5))
			So(a.err, ShouldBeNil)
			So(a.status, ShouldBeGreaterThanOrEqualTo, http.StatusInternalServerError)
			So(a.errorDetail().Ran, ShouldEqual, errkind.RanUnknown)
			r.waitIdle()
		})
		Convey("After "+name+", a streamed answer ends with an error and without the end marker", t, func() {
			r := newFixture(t, options{})
			r.setChatHandler(handler)
			a := r.send(http.MethodPost, chatPath, chatBody(true, 5))
			So(a.err, ShouldBeNil)
			So(a.body, ShouldNotContainSubstring, "[DONE]")
			So(a.body, ShouldContainSubstring, `"error":{`)
			So(a.body, ShouldContainSubstring, `"ran":"unknown"`)
			So(a.body, ShouldNotContainSubstring, "three")
			r.waitIdle()
		})
	}
}

func TestForeignAndDuplicateFramesAreDropped(t *testing.T) {
	Convey("Frames of other attempts and duplicate frames are dropped", t, func() {
		r := newFixture(t, options{})
		r.setChatHandler(scripted(func(a string) string {
			return tokenFrame("another", 0, "FOREIGN") + tokenFrame(a, 0, "one ") + tokenFrame(a, 0, "TWICE") + tokenFrame("another", 1, "FOREIGN") +
				tokenFrame(a, 1, "two") + frame("another", 2, `"choices":[],`+usageText) + usageAndEnd(a, 2)
		}))
		a := r.send(http.MethodPost, chatPath, chatBody(false, 5))
		So(a.body, ShouldContainSubstring, `"content":"one two"`)
		So(a.status, ShouldEqual, http.StatusOK)
	})
}

func TestTargetFinalErrors(t *testing.T) {
	const text = `{"error":{"message":"context too long","type":"invalid_request_error","code":"context_length_exceeded"}}`
	Convey("The error is forwarded unchanged, not billed and not retried", t, func() {
		r := newFixture(t, options{})
		calls := 0
		r.setChatHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, text)
		}))
		for i, stream := range []bool{true, false} {
			a := r.send(http.MethodPost, chatPath, chatBody(stream, 5))
			So(a.status, ShouldEqual, http.StatusBadRequest)
			So(a.body, ShouldEqual, text)
			So(a.header.Get("Content-Type"), ShouldEqual, "application/json")
			So(calls, ShouldEqual, i+1)
		}
		r.waitIdle()
		So(r.audit().Budgets[0].Billed, ShouldEqual, 0)
	})
	Convey("A service's answer that is too large is an error and is not truncated", t, func() {
		r := newFixture(t, options{})
		r.service.set(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 17<<20))
		}))
		a := r.send(http.MethodGet, "/v1/services/records/all", nil)
		So(a.status, ShouldEqual, http.StatusBadGateway)
		So(a.errorDetail().Ran, ShouldEqual, errkind.RanUnknown)
		r.waitIdle()
	})
}

func TestTargetRefusesBecauseItIsLeaving(t *testing.T) {
	Convey("The target is marked as leaving at once, and the error states that the request did not run", t, func() {
		r := newFixture(t, options{})
		r.setChatHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderNotStarted, engine.NotStartedLeaving)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		a := r.send(http.MethodPost, chatPath, chatBody(false, 5))
		So(a.errorDetail().Ran, ShouldEqual, errkind.RanNo)
		So(r.dump().Status.Targets[0].State, ShouldEqual, "leaving")
	})
}
