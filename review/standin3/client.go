package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a client's connection to an instance.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// answer reads one response.
func (c *clientConn) answer(method string, wait time.Duration) (code int, header http.Header, body string, err error) {
	if err = c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, nil, "", err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header, string(raw), err
}
