package logring

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestRingNeverBlocks(t *testing.T) {
	Convey("Lines beyond the ring's room are dropped and counted while the writer is stuck", t, func() {
		w := &stuck{release: make(chan struct{})}
		r := New(w)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 3 * ringBytes / len(line) {
			n, err := r.Write(line)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		So(r.Dropped(), ShouldBeGreaterThan, 0)
		So(r.Sync(), ShouldEqual, ErrStuck)
		close(w.release)
		So(r.Sync(), ShouldBeNil)
		Convey("and the rest is written whole, with the number of dropped lines", func() {
			So(r.Sync(), ShouldBeNil)
			for text := range strings.Lines(w.got.String()) {
				So(strings.HasPrefix(text, "x") && len(text) == len(line) || strings.Contains(text, "log lines dropped"), ShouldBeTrue)
			}
		})
	})
	Convey("Lines are written in order", t, func() {
		var out bytes.Buffer
		r := New(&out)
		for _, s := range []string{"a\n", "b\n", "c\n"} {
			_, _ = r.Write([]byte(s))
		}
		So(r.Sync(), ShouldBeNil)
		So(out.String(), ShouldEqual, "a\nb\nc\n")
	})
}
