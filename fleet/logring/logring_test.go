package logring

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestRingNeverBlocks(t *testing.T) {
	Convey("Lines that do not fit into the ring are dropped and counted while the writer is blocked", t, func() {
		w := &blockedWriter{release: make(chan struct{})}
		r := New(w)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 3 * ringBytes / len(line) {
			n, err := r.Write(line)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		So(r.Dropped(), ShouldBeGreaterThan, 0)
		So(r.Sync(), ShouldEqual, ErrWriterBlocked)
		close(w.release)
		So(r.Sync(), ShouldBeNil)
		Convey("and the rest is written completely, with the number of dropped lines", func() {
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

func TestSyncDoesNotWaitForTheDelayOfEachBatch(t *testing.T) {
	Convey("Sync writes a backlog of many batches although more lines are ready each time", t, func() {
		const rings = 200
		for range rings {
			w := &blockedWriter{release: make(chan struct{})}
			r := New(w)
			line := []byte(strings.Repeat("x", 999) + "\n")
			for range 10 * batchBytes / len(line) {
				_, _ = r.Write(line)
			}
			close(w.release)
			So(r.Sync(), ShouldBeNil)
		}
	})
}

func TestSyncLeavesNoLineOfAFullRing(t *testing.T) {
	// Guards against a process that ends without its last lines although it has synced
	// them, because reserved lines took the room of others in what Sync writes.
	Convey("Sync writes all lines of a full ring, with reserved ones", t, func() {
		w := &blockedWriter{release: make(chan struct{})}
		r := New(w)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for r.Dropped() == 0 {
			_, _ = r.Write(line)
		}
		for range reservedLines / 2 {
			_, _ = r.Reserved().Write(line)
		}
		close(w.release)
		So(r.Sync(), ShouldBeNil)
		So(len(r.lines), ShouldEqual, 0)
	})
}

func TestInstanceLinesAreKeptWhileRequestLinesAreDropped(t *testing.T) {
	Convey("Lines on the instance and warnings are written, and come first, while others are dropped", t, func() {
		w := &blockedWriter{release: make(chan struct{})}
		ring := New(w)
		encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg", NameKey: "logger"})
		log := zap.New(NewCore(encoder, ring, zapcore.InfoLevel)).With(zap.String("a", "b"))
		for ring.Dropped() == 0 {
			log.Info(strings.Repeat("x", 999))
		}
		log.Named(InstanceLogger).Info("instance load")
		log.Warn("attention")
		close(w.release)
		So(log.Sync(), ShouldBeNil)
		text := w.got.String()
		So(text, ShouldContainSubstring, `"instance load"`)
		So(text, ShouldContainSubstring, `"attention"`)
		So(text, ShouldContainSubstring, "log lines dropped")
		So(strings.Index(text, "instance load"), ShouldBeLessThan, ringBytes/2)
	})
}
