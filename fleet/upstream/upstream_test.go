package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

const attemptHeader = "X-Id"

// newScriptedTarget starts a target whose bytes a test writes. It calls serve
// for each connection with the number of the connection, starting at 1.
func newScriptedTarget(t *testing.T, serve func(n int64, c net.Conn, requests *bufio.Reader)) (address string, connections *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := connections.Add(1)
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), connections
}

// request returns a request with the given attempt ID.
func request(method, id string) *http.Request {
	return &http.Request{
		Method: method, Host: "h.example", Header: http.Header{attemptHeader: {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: "target", Opaque: "/p?q=%2F"},
	}
}

// post sends a POST request and returns the complete response body.
func post(c *Client, address, id string, body []byte) (string, error) {
	resp, err := c.Do(context.Background(), address, request(http.MethodPost, id), [][]byte{body})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func responseWithID(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + attemptHeader + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return string([]byte{byte('0' + n/10%10), byte('0' + n%10)})
}

// readRequest reads a request and returns its attempt ID and the length of its
// body.
func readRequest(r *bufio.Reader) (id string, length int, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", 0, err
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get(attemptHeader), len(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	Convey("Consecutive requests share a connection", t, func() {
		address, connections := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, responseWithID(id, "ok "+id))
			}
		})
		client := NewClient(attemptHeader, nil)
		for _, id := range []string{"a", "b", "c"} {
			got, err := post(client, address, id, []byte("body"))
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "ok "+id)
		}
		So(connections.Load(), ShouldEqual, 1)
	})
}

func TestMismatchedResponsesAreSkipped(t *testing.T) {
	Convey("A response with another attempt ID is skipped", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			id, _, _ := readRequest(r)
			_, _ = io.WriteString(c, responseWithID("late", "wrong")+responseWithID(id, "right"))
			_, _, _ = readRequest(r)
		})
		got, err := post(NewClient(attemptHeader, nil), address, "a", nil)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "right")
	})
	Convey("Unsolicited bytes close their connection", t, func() {
		extra := make(chan struct{})
		address, connections := newScriptedTarget(t, func(n int64, c net.Conn, r *bufio.Reader) {
			id, _, _ := readRequest(r)
			_, _ = io.WriteString(c, responseWithID(id, "ok"))
			if n == 1 {
				_, _ = io.WriteString(c, responseWithID(id, "again"))
				close(extra)
			}
			_, _, _ = readRequest(r)
		})
		client := NewClient(attemptHeader, nil)
		_, err := post(client, address, "a", nil)
		So(err, ShouldBeNil)
		<-extra
		got, err := post(client, address, "b", nil)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok")
		So(connections.Load(), ShouldEqual, 2)
	})
}

func TestEarlierRefusalOnceMoreIsNotTheAnswerToALaterRequest(t *testing.T) {
	refusal := func(id string) string {
		head := "HTTP/1.1 503 Service Unavailable\r\n"
		if id != "" {
			head += attemptHeader + ": " + id + "\r\n"
		}
		return head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	// The target refuses the first request of a connection, and writes a refusal again
	// when the second one has arrived, which it runs.
	start := func(t *testing.T, again func(firstID string) string) (string, *atomic.Int64) {
		return newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			first, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal(first))
			if id, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, again(first)+responseWithID(id, "ran"))
				_, _, _ = readRequest(r)
			}
		})
	}
	ask := func(c *Client, address, id string) (int, error) {
		resp, err := c.Do(context.Background(), address, request(http.MethodPost, id), nil)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, nil
	}
	Convey("A refusal with the ID of the earlier request is skipped", t, func() {
		address, _ := start(t, refusal)
		client := NewClient(attemptHeader, nil)
		status, err := ask(client, address, "a")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		status, err = ask(client, address, "b")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
	Convey("A refusal without an ID on a kept connection proves nothing: the outcome is unknown", t, func() {
		address, _ := start(t, func(string) string { return refusal("") })
		client := NewClient(attemptHeader, nil)
		_, err := ask(client, address, "a")
		So(err, ShouldBeNil)
		_, err = ask(client, address, "b")
		So(errors.Is(err, ErrResponseMismatch), ShouldBeTrue)
		So(errors.Is(err, ErrUnsent), ShouldBeFalse)
	})
	Convey("A request that was refused goes to its target again on another connection, where no refusal of it can be under way", t, func() {
		address, connections := start(t, refusal)
		client := NewClient(attemptHeader, nil)
		for range 2 {
			status, err := ask(client, address, "a")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
		}
		So(connections.Load(), ShouldEqual, 2)
	})
	Convey("A response without an ID on a new connection is the request's own", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, refusal(""))
		})
		status, err := ask(NewClient(attemptHeader, nil), address, "a")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

func TestRequestsAreNotRetried(t *testing.T) {
	Convey("A request on a connection that breaks is not retried", t, func() {
		var seen atomic.Int64
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			if id, _, err := readRequest(r); err == nil {
				seen.Add(1)
				if id == "a" {
					_, _ = io.WriteString(c, responseWithID(id, "ok"))
					if _, _, err := readRequest(r); err == nil {
						seen.Add(1)
					}
				}
			}
		})
		client := NewClient(attemptHeader, nil)
		_, err := post(client, address, "a", nil)
		So(err, ShouldBeNil)
		_, err = post(client, address, "b", nil)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrUnsent), ShouldBeFalse)
		So(seen.Load(), ShouldEqual, 2)
	})
	Convey("A request to an unreachable target is reported as unsent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		_ = l.Close()
		_, err = post(NewClient(attemptHeader, nil), address, "a", nil)
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
}

func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	Convey("A target may respond before it has read a long body", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseWithID(req.Header.Get(attemptHeader), "early"))
			_, _ = io.Copy(io.Discard, req.Body)
		})
		got, err := post(NewClient(attemptHeader, nil), address, "a", []byte(strings.Repeat("b", 4<<20)))
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "early")
	})
	Convey("A long body arrives completely", t, func() {
		length := make(chan int, 1)
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			id, n, _ := readRequest(r)
			length <- n
			_, _ = io.WriteString(c, responseWithID(id, "ok"))
		})
		_, err := post(NewClient(attemptHeader, nil), address, "a", []byte(strings.Repeat("b", 1<<20)))
		So(err, ShouldBeNil)
		So(<-length, ShouldEqual, 1<<20)
	})
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, bytes := range map[string]string{
		"a response that ends early":    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
		"bytes that are not a response": "this is not HTTP\r\n\r\n",
		"no response":                   "",
	} {
		Convey("Given "+name, t, func() {
			address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, bytes)
			})
			_, err := post(NewClient(attemptHeader, nil), address, "a", nil)
			So(err, ShouldNotBeNil)
		})
	}
}

func TestCancellationClosesConnection(t *testing.T) {
	Convey("The end of a request's context closes its connection", t, func() {
		closed := make(chan struct{})
		reading := make(chan struct{})
		address, _ := newScriptedTarget(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			close(reading)
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-reading
			cancel()
		}()
		_, err := NewClient(attemptHeader, nil).Do(ctx, address, request(http.MethodPost, "a"), nil)
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		<-closed
	})
}

func TestEndlessHeadsAreBounded(t *testing.T) {
	heads := map[string]string{
		"one header without end":           "HTTP/1.1 200 OK\r\nX-Endless: ",
		"headers without end":              "HTTP/1.1 200 OK\r\n",
		"no status line":                   "",
		"informational responses for good": "",
	}
	repeated := map[string]string{
		"one header without end": "aaaaaaaa", "headers without end": "X-More: 1\r\n", "no status line": "abcdefgh",
		"informational responses for good": "HTTP/1.1 103 Early Hints\r\n\r\n",
	}
	for name, head := range heads {
		Convey("A target that sends "+name, t, func() {
			sent := make(chan int, 1)
			address, connections := newScriptedTarget(t, func(_ int64, c net.Conn, requests *bufio.Reader) {
				if _, _, err := readRequest(requests); err != nil {
					return
				}
				total, _ := io.WriteString(c, head)
				block := strings.Repeat(repeated[name], 512)
				for {
					n, err := io.WriteString(c, block)
					if total += n; err != nil {
						sent <- total
						return
					}
				}
			})
			_, err := post(NewClient(attemptHeader, nil), address, "a", nil)
			Convey("gets its connection closed after a bounded number of bytes", func() {
				So(errors.Is(err, ErrHeadTooLong), ShouldBeTrue)
				So(errors.Is(err, ErrUnsent), ShouldBeFalse)
				So(<-sent, ShouldBeLessThan, 32<<20) // what socket buffers take
				So(connections.Load(), ShouldEqual, 1)
			})
		})
	}
}

func TestRefusesTellsTargetsThatEndedFromOthers(t *testing.T) {
	// Guards against targets that end and are taken for ones that broke off a response, and the other way round.
	waitForClose := func(_ int64, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() }
	Convey("An address at which nothing listens refuses", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		_ = l.Close()
		client := NewClient(attemptHeader, nil)
		So(client.Refuses(context.Background(), l.Addr().String()), ShouldBeTrue)
		So(client.idle, ShouldBeEmpty)
	})
	Convey("A target that listens does not, and the next request uses the connection", t, func() {
		address, connections := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, responseWithID(id, "ok "+id))
			}
		})
		client := NewClient(attemptHeader, nil)
		So(client.Refuses(context.Background(), address), ShouldBeFalse)
		got, err := post(client, address, "a", nil)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok a")
		So(connections.Load(), ShouldEqual, 1)
	})
	Convey("A target that closes new connections, as one with too many does, does not refuse either, and none is kept", t, func() {
		address, connections := newScriptedTarget(t, func(_ int64, c net.Conn, _ *bufio.Reader) {
			_ = c.(*net.TCPConn).SetLinger(0) // resets the connection
		})
		client := NewClient(attemptHeader, nil)
		client.settleTime = waitLimit
		So(client.Refuses(context.Background(), address), ShouldBeFalse)
		So(connections.Load(), ShouldEqual, 2)
		So(client.idle, ShouldBeEmpty)
	})
	Convey("A target that accepts a connection just before it ends refuses", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			c, err := l.Accept()
			_ = l.Close()
			if err == nil {
				_ = c.Close()
			}
		}()
		client := NewClient(attemptHeader, nil)
		client.settleTime = waitLimit
		So(client.Refuses(context.Background(), l.Addr().String()), ShouldBeTrue)
		So(client.idle, ShouldBeEmpty)
	})
	Convey("A connection on which data arrives without a request is not kept", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			_, _ = io.WriteString(c, responseWithID("none", "unsolicited"))
			_, _ = r.ReadByte()
		})
		client := NewClient(attemptHeader, nil)
		client.settleTime = waitLimit
		So(client.Refuses(context.Background(), address), ShouldBeFalse)
		So(client.idle, ShouldBeEmpty)
	})
	Convey("A target that is silent does not refuse, and is not waited for longer than the limit", t, func() {
		address := newSilentAddress(t)
		client := NewClient(attemptHeader, nil)
		began := time.Now()
		So(client.Refuses(context.Background(), address), ShouldBeFalse)
		So(time.Since(began), ShouldBeBetween, probeTimeout, waitLimit)
		So(client.idle, ShouldBeEmpty)
	})
	Convey("The pool holds no more connections of probes than of requests", t, func() {
		address, _ := newScriptedTarget(t, waitForClose)
		client := NewClient(attemptHeader, nil)
		var probes sync.WaitGroup
		for range 2 * maxIdlePerTarget {
			probes.Go(func() { client.Refuses(context.Background(), address) })
		}
		probes.Wait()
		So(client.idle[address], ShouldHaveLength, maxIdlePerTarget)
	})
}

// waitLimit is well above what a test may wait for.
const waitLimit = 10 * time.Second

// newSilentAddress returns an address at which connections are neither accepted
// nor refused.
func newSilentAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*unix.SockaddrInet4).Port)).String()
	for { // fill the queue of connections that were not accepted
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

func TestConnectionsOutlastASilentTarget(t *testing.T) {
	// With TCP_USER_TIMEOUT set, Linux closes a connection at the first keep-alive probe after that time without a byte.
	const (
		allowedSilence = time.Second + 500*time.Millisecond
		eventPause     = 300 * time.Millisecond
		callerPatience = 2 * time.Second
	)
	Convey("A connection outlasts the silence that targets may fall into after a pause, and ends before callers give up", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, _ *bufio.Reader) { _, _ = io.Copy(io.Discard, c) })
		conn, err := (&net.Dialer{KeepAlive: -1, Control: SetSocketOptions}).Dial("tcp", address)
		So(err, ShouldBeNil)
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		option := func(name int) (value int) {
			So(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }), ShouldBeNil)
			So(err, ShouldBeNil)
			return value
		}
		userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
		So(userTimeout, ShouldBeGreaterThanOrEqualTo, allowedSilence+eventPause)
		So(userTimeout, ShouldBeLessThanOrEqualTo, callerPatience)
		idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
		closed := idle
		for closed < userTimeout {
			closed += interval
		}
		So(closed, ShouldBeBetweenOrEqual, allowedSilence+eventPause, callerPatience)
	})
}

func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	// Guards against a reset that the writing of the body takes note of, so that the response seems to end in order.
	Convey("A response without framing whose connection is reset during the upload is broken off, from targets and from peers", t, func() {
		address, _ := newScriptedTarget(t, func(_ int64, c net.Conn, requests *bufio.Reader) {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", attemptHeader, r.Header.Get(attemptHeader)) // the client may have left
			_ = c.(*net.TCPConn).SetLinger(0)                                                                          // fails only on a closed connection
			_ = c.Close()
		})
		for _, client := range []*Client{NewClient(attemptHeader, nil), NewPeerClient(attemptHeader)} {
			for i := range 50 {
				resp, err := client.Do(t.Context(), address, request(http.MethodPost, fmt.Sprint("a", i)), [][]byte{make([]byte, 3<<20)})
				if err != nil {
					continue // reset before the head was read
				}
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				So(err, ShouldNotBeNil)
			}
		}
	})
}
