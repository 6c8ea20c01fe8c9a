package gateway

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestIncompleteEventsAreHeldBack(t *testing.T) {
	Convey("A stream is forwarded up to the end of its last complete event", t, func() {
		var e eventBuffer
		So(string(e.add([]byte("id: 1\ndata: a\n"))), ShouldBeEmpty)
		So(e.startedCount(), ShouldEqual, 1)
		So(string(e.add([]byte("\nid: 2\nda"))), ShouldEqual, "id: 1\ndata: a\n\n")
		So(e.lastID, ShouldEqual, "1")
		So(e.count, ShouldEqual, 1)
		So(string(e.add([]byte("ta: b\r\n\r\n"))), ShouldEqual, "id: 2\ndata: b\r\n\r\n")
		So(e.lastID, ShouldEqual, "2")
		So(e.startedCount(), ShouldEqual, 2)
	})
}

// TestEventsSplitAtRandomPositions checks that no event is lost, duplicated or
// forwarded in part when its stream arrives in pieces.
func TestEventsSplitAtRandomPositions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stream strings.Builder
		count := rapid.IntRange(0, 20).Draw(rt, "events")
		for i := range count {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i+1, rapid.StringMatching(`[a-z]{0,9}`).Draw(rt, "data"))
		}
		var e eventBuffer
		var out strings.Builder
		rest := stream.String()
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			out.Write(e.add([]byte(rest[:n])))
			rest = rest[n:]
			if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") {
				rt.Fatalf("part of an event was forwarded: %q", s)
			}
		}
		if out.String() != stream.String() || e.count != count {
			rt.Fatalf("want %d events, got %d: %q", count, e.count, out.String())
		}
	})
}
