package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startEchoServer starts a server that sends back the bytes that it receives and
// returns its IP:port.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func TestRelay(t *testing.T) {
	Convey("Given a relay in front of an echo server", t, func() {
		r, err := New(startEchoServer(t), func() []Replacement { return []Replacement{{"10.0.0.1:70", "10.0.0.2:80"}} })
		So(err, ShouldBeNil)
		defer r.Close()
		c, lines := dial(t, r.Address())
		exchange := func(s string) string {
			_, _ = c.Write([]byte(s + "\n"))
			line, _ := lines.ReadString('\n')
			return strings.TrimSpace(line)
		}
		So(exchange("hello"), ShouldEqual, "hello")

		Convey("it rewrites the bytes that the upstream sends", func() {
			So(exchange("at 10.0.0.1:70."), ShouldEqual, "at 10.0.0.2:80.")
		})
		Convey("in mode Cut it closes existing and new connections until its mode is Open again", func() {
			r.SetMode(Cut)
			_, err := lines.ReadByte()
			So(err, ShouldNotBeNil)
			_, fresh := dial(t, r.Address())
			_, err = fresh.ReadByte()
			So(err, ShouldNotBeNil)
			r.SetMode(Open)
			c, lines = dial(t, r.Address())
			So(exchange("again"), ShouldEqual, "again")
		})
		Convey("in mode Frozen a connection stays open without forwarding and resumes in mode Open", func() {
			r.SetMode(Frozen)
			_, _ = c.Write([]byte("late\n"))
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := lines.ReadString('\n')
			So(err, ShouldNotBeNil)
			So(err.(net.Error).Timeout(), ShouldBeTrue)
			_ = c.SetReadDeadline(time.Time{})
			r.SetMode(Open)
			line, err := lines.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "late\n")
		})
	})
}

func TestRewriteAcrossChunks(t *testing.T) {
	Convey("An address that is split across chunks is replaced", t, func() {
		w := Rewriter(func() []Replacement { return []Replacement{{"127.0.0.1:40000", "127.0.0.1:50000"}} })
		var out strings.Builder
		var held []byte
		in := iotest.OneByteReader(strings.NewReader("a 127.0.0.1:40000 b 127.0.0.1:40001 c"))
		b := make([]byte, 8)
		for {
			n, err := in.Read(b)
			var send []byte
			send, held = w.apply(append(held, b[:n]...))
			out.Write(send)
			if err != nil {
				break
			}
		}
		So(out.String()+string(held), ShouldEqual, "a 127.0.0.1:50000 b 127.0.0.1:40001 c")
	})
}
