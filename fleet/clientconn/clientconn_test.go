package clientconn

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"plantainfield.example/fleet/blocks"
)

const (
	waitLimit    = 20 * time.Second
	requestBytes = 2 << 20
	maxBodyBytes = 1 << 20
)

// server answers each request with the length of its body, or with 503 if there is no
// memory for it.
type server struct {
	*httptest.Server
	limiter *Limiter
	// hold, if set, is received from before a response is sent.
	hold chan struct{}
}

func newServer(t *testing.T, limits Limits) *server {
	s := &server{limiter: New("test", limits, zap.NewNop())}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.Listener = s.limiter.Listener(s.Listener)
	s.Config.ConnContext, s.Config.ConnState = ConnContext, s.limiter.ConnState
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	conn, err := OfRequest(r)
	if err != nil {
		panic(err)
	}
	defer conn.Release()
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, 1)
	if errors.Is(err, ErrNoMemory) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.hold != nil {
		<-s.hold
	}
	_, _ = fmt.Fprint(w, blocks.Length(body)) // the client may have left
}

func (s *server) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	return conn
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

func TestBodiesAreReadCompletely(t *testing.T) {
	Convey("Bodies of any length arrive whole, with a length and in chunks", t, func() {
		s := newServer(t, Limits{Connections: 10, RequestBytes: requestBytes})
		for _, length := range []int{0, 1, blocks.FirstBytes - 1, blocks.FirstBytes, blocks.FirstBytes + 1, 200_000, maxBodyBytes} {
			for _, known := range []bool{true, false} {
				body := io.Reader(strings.NewReader(strings.Repeat("x", length)))
				if !known {
					body = io.MultiReader(body) // hides the length
				}
				resp, err := http.Post(s.URL, "text/plain", body)
				So(err, ShouldBeNil)
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				So(err, ShouldBeNil)
				So(string(got), ShouldEqual, fmt.Sprint(length))
			}
		}
		eventually(t, "nothing is held", func() bool { return s.limiter.Usage().RequestBytes == 0 })
	})
}

func TestBodyThatStandsStillGivesWayToOthers(t *testing.T) {
	Convey("Given bodies that hold all memory and stand still", t, func() {
		s := newServer(t, Limits{Connections: 100, RequestBytes: requestBytes})
		var stalled []net.Conn
		for range 2 {
			conn := s.dial(t)
			_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("x", maxBodyBytes*7/10))
			So(err, ShouldBeNil)
			stalled = append(stalled, conn)
		}
		eventually(t, "both are held", func() bool { return s.limiter.Usage().RequestBytes > requestBytes*65/100 })
		time.Sleep(2 * time.Second) // the bodies' cost grows with the time that they stand still
		Convey("a body that arrives is read, and one of them is refused", func() {
			resp, err := http.Post(s.URL, "text/plain", strings.NewReader(strings.Repeat("x", maxBodyBytes)))
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			refused := make(chan string, len(stalled))
			for _, conn := range stalled {
				go func() {
					status := make([]byte, len("HTTP/1.1 503"))
					_, _ = io.ReadFull(conn, status) // the other one is only closed at the end
					refused <- string(status)
				}()
			}
			So(<-refused, ShouldEqual, "HTTP/1.1 503")
		})
	})
}

func TestMemoryOfRequestsIsGivenBackHoweverTheyEnd(t *testing.T) {
	Convey("Whatever clients do, the limit holds, and nothing is held once they have left", t, func() {
		s := newServer(t, Limits{Connections: 20, RequestBytes: requestBytes, WriteTimeout: 100 * time.Millisecond})
		random := rand.New(rand.NewPCG(1, 2))
		var clients sync.WaitGroup
		for range 300 {
			stated, chunked, wait := random.IntN(3*maxBodyBytes/2), random.IntN(2) == 0, time.Duration(random.IntN(50))*time.Millisecond
			sent := min(stated, random.IntN(2*maxBodyBytes))
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			clients.Go(func() {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(time.Second)) // fails only if it is closed
				framing, chunk := fmt.Sprintf("Content-Length: %d", stated), ""
				if chunked {
					framing, chunk = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", stated)
				}
				_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s%s", framing, chunk, strings.Repeat("x", sent)) // the server may close the connection
				time.Sleep(wait)
			})
			usage := s.limiter.Usage()
			So(usage.RequestBytes, ShouldBeLessThanOrEqualTo, requestBytes)
			So(usage.Connections, ShouldBeLessThanOrEqualTo, usage.ConnectionLimit)
		}
		clients.Wait()
		eventually(t, "nothing is held", func() bool {
			usage := s.limiter.Usage()
			return usage.RequestBytes == 0 && usage.Connections == 0
		})
		So(s.limiter.memory.Grow(0, requestBytes), ShouldBeTrue)
	})
}

func TestIdleConnectionsDontFillTheMemory(t *testing.T) {
	Convey("Connections beyond the limit are closed, the one that has been idle longest first, and never one that is in use", t, func() {
		const limit = 4
		l := New("test", Limits{Connections: limit}, zap.NewNop())
		var near []*Conn
		var far []net.Conn
		open := func() {
			c, other := net.Pipe()
			near, far = append(near, l.add(c)), append(far, other)
			So(near[len(near)-1], ShouldNotBeNil)
			l.ConnState(near[len(near)-1], http.StateActive)
		}
		for range limit {
			open()
		}
		So(l.add(near[0].Conn), ShouldBeNil) // all are in use
		for _, c := range near {
			l.ConnState(c, http.StateIdle)
		}
		const used = 2
		l.ConnState(near[used], http.StateActive)
		for range limit - 1 {
			open()
			l.ConnState(near[len(near)-1], http.StateIdle)
		}
		for i := range near {
			isOpen := i == used || i >= limit
			go func() { _, _ = near[i].Read(make([]byte, 1)) }() // ends with the other end
			_, err := far[i].Write([]byte("x"))
			So(err == nil, ShouldEqual, isOpen)
		}
		So(l.Usage().Connections, ShouldEqual, limit)
		So(near[used].Close(), ShouldBeNil)
		l.ConnState(near[used], http.StateClosed)
		So(l.Usage().Connections, ShouldEqual, limit-1)
	})
}

func TestConnectionsThatReadAreKeptWithoutConnState(t *testing.T) {
	Convey("On a listener whose server does not tell of its connections, those on which nothing arrives are closed first", t, func() {
		l := New("test", Limits{Connections: 2, TracksReads: true}, zap.NewNop())
		reading, other := net.Pipe()
		c := l.add(reading)
		silent, silentFar := net.Pipe()
		So(l.add(silent), ShouldNotBeNil)
		go func() { _, _ = other.Write([]byte("x")) }() // read below
		_, err := c.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		third, _ := net.Pipe()
		So(l.add(third), ShouldNotBeNil)
		_ = silentFar.SetReadDeadline(time.Now().Add(waitLimit)) // fails if the other end is closed, which the next line shows
		_, err = silentFar.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}
