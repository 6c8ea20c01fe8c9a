package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const echo = "X-Id"

// scripted is a target whose bytes a test writes: it calls serve for each
// connection with the number of the connection, from 1.
func scripted(t *testing.T, serve func(n int64, c net.Conn, requests *bufio.Reader)) (address string, connections *atomic.Int64) {
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

// request returns a request with an id.
func request(method, id string) *http.Request {
	return &http.Request{
		Method: method, Host: "h.example", Header: http.Header{echo: {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: "target", Opaque: "/p?q=%2F"},
	}
}

// text sends a request and returns its whole answer.
func text(c *Client, address, id string, body []byte) (string, error) {
	resp, err := c.Do(context.Background(), address, request(http.MethodPost, id), body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + echo + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return string([]byte{byte('0' + n/10%10), byte('0' + n%10)})
}

// readOne reads a request and returns its id and the length of its body.
func readOne(r *bufio.Reader) (id string, length int, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", 0, err
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get(echo), len(body), err
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	Convey("Requests one after the other share a connection", t, func() {
		address, connections := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for {
				id, _, err := readOne(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answerOf(id, "ok "+id))
			}
		})
		client := NewClient(echo)
		for _, id := range []string{"a", "b", "c"} {
			got, err := text(client, address, id, []byte("body"))
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "ok "+id)
		}
		So(connections.Load(), ShouldEqual, 1)
	})
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	Convey("An answer with another id is not taken for the request's", t, func() {
		address, _ := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			id, _, _ := readOne(r)
			_, _ = io.WriteString(c, answerOf("late", "wrong")+answerOf(id, "right"))
			_, _, _ = readOne(r)
		})
		got, err := text(NewClient(echo), address, "a", nil)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "right")
	})
	Convey("Bytes that come without a request end their connection", t, func() {
		extra := make(chan struct{})
		address, connections := scripted(t, func(n int64, c net.Conn, r *bufio.Reader) {
			id, _, _ := readOne(r)
			_, _ = io.WriteString(c, answerOf(id, "ok"))
			if n == 1 {
				_, _ = io.WriteString(c, answerOf(id, "again"))
				close(extra)
			}
			_, _, _ = readOne(r)
		})
		client := NewClient(echo)
		_, err := text(client, address, "a", nil)
		So(err, ShouldBeNil)
		<-extra
		got, err := text(client, address, "b", nil)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok")
		So(connections.Load(), ShouldEqual, 2)
	})
}

func TestNothingIsSentTwice(t *testing.T) {
	Convey("A request on a connection that breaks is not sent again", t, func() {
		var seen atomic.Int64
		address, _ := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			if id, _, err := readOne(r); err == nil {
				seen.Add(1)
				if id == "a" {
					_, _ = io.WriteString(c, answerOf(id, "ok"))
					if _, _, err := readOne(r); err == nil {
						seen.Add(1)
					}
				}
			}
		})
		client := NewClient(echo)
		_, err := text(client, address, "a", nil)
		So(err, ShouldBeNil)
		_, err = text(client, address, "b", nil)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrUnsent), ShouldBeFalse)
		So(seen.Load(), ShouldEqual, 2)
	})
	Convey("A target that can't be reached has got nothing", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		_ = l.Close()
		_, err = text(NewClient(echo), address, "a", nil)
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
}

func TestAnAnswerBeforeTheWholeBody(t *testing.T) {
	Convey("A target may answer before it has read a long body", t, func() {
		address, _ := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answerOf(req.Header.Get(echo), "early"))
			_, _ = io.Copy(io.Discard, req.Body)
		})
		got, err := text(NewClient(echo), address, "a", []byte(strings.Repeat("b", 4<<20)))
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "early")
	})
	Convey("A long body arrives whole", t, func() {
		length := make(chan int, 1)
		address, _ := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			id, n, _ := readOne(r)
			length <- n
			_, _ = io.WriteString(c, answerOf(id, "ok"))
		})
		_, err := text(NewClient(echo), address, "a", []byte(strings.Repeat("b", 1<<20)))
		So(err, ShouldBeNil)
		So(<-length, ShouldEqual, 1<<20)
	})
}

func TestBrokenAnswersAreTold(t *testing.T) {
	for name, bytes := range map[string]string{
		"an answer that ends early": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
		"bytes that are no answer":  "this is not HTTP\r\n\r\n",
		"no answer":                 "",
	} {
		Convey("Given "+name, t, func() {
			address, _ := scripted(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				_, _, _ = readOne(r)
				_, _ = io.WriteString(c, bytes)
			})
			_, err := text(NewClient(echo), address, "a", nil)
			So(err, ShouldNotBeNil)
		})
	}
}

func TestCancelling(t *testing.T) {
	Convey("The end of a request's context closes its connection", t, func() {
		closed := make(chan struct{})
		reading := make(chan struct{})
		address, _ := scripted(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
			_, _, _ = readOne(r)
			close(reading)
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-reading
			cancel()
		}()
		_, err := NewClient(echo).Do(ctx, address, request(http.MethodPost, "a"), nil)
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		<-closed
	})
}
