package gateway

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestEventsAreHeldBackUntilWhole(t *testing.T) {
	Convey("A stream is passed on up to the end of its last whole event", t, func() {
		var e events
		So(string(e.add([]byte("id: 1\ndata: a\n"))), ShouldBeEmpty)
		So(e.begun(), ShouldEqual, 1)
		So(string(e.add([]byte("\nid: 2\nda"))), ShouldEqual, "id: 1\ndata: a\n\n")
		So(e.last, ShouldEqual, "1")
		So(e.count, ShouldEqual, 1)
		So(string(e.add([]byte("ta: b\r\n\r\n"))), ShouldEqual, "id: 2\ndata: b\r\n\r\n")
		So(e.last, ShouldEqual, "2")
		So(e.begun(), ShouldEqual, 2)
	})
}

// TestEventsInAnyPieces cuts a stream at random places: nothing is lost,
// doubled or passed on in part.
func TestEventsInAnyPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stream strings.Builder
		count := rapid.IntRange(0, 20).Draw(rt, "events")
		for i := range count {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, rapid.StringMatching(`[a-z]{0,9}`).Draw(rt, "data"))
		}
		var e events
		var out strings.Builder
		rest := stream.String()
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			out.Write(e.add([]byte(rest[:n])))
			rest = rest[n:]
			if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") {
				rt.Fatalf("a part of an event was passed on: %q", s)
			}
		}
		if out.String() != stream.String() || e.count != count {
			rt.Fatalf("%d events, got %d: %q", count, e.count, out.String())
		}
	})
}
