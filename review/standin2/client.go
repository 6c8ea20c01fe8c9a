package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// sent is a client's request and what became of it.
type sent struct {
	attempt   string
	instance  string
	service   string
	path      string
	at, ended time.Time
	status    int
	signed    bool
	complete  bool
	retryMS   int64
	body      string
}

// client sends requests to instances, as the platform's clients do.
type client struct {
	http *http.Client
	host string
	key  string
	// sent is called with each request that has ended.
	sent func(sent)
}

func (w *world) newClient(host, key string) *client {
	record := func(s sent) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.requests = append(w.requests, s)
	}
	return &client{host: host, key: key, sent: record, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and waits for its answer, for a deadline at most.
func (c *client) send(in *instance, service, method, path, attempt string, deadline time.Duration, header map[string]string) sent {
	body := ""
	if method == http.MethodPost {
		body = "request " + attempt
	}
	return c.sendBody(in, service, method, path, attempt, body, deadline, header)
}

// sendBody is send with a body.
func (c *client) sendBody(in *instance, service, method, path, attempt, text string, deadline time.Duration, header map[string]string) (s sent) {
	s = sent{attempt: attempt, instance: in.name, service: service, path: path, at: time.Now()}
	defer func() { c.sent(s) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if text != "" {
		body = strings.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.frontend+path, body)
	if err != nil {
		s.body = err.Error()
		return s
	}
	req.Host = c.host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", itoa(deadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("X-Api-Key", c.key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		s.ended, s.body = time.Now(), err.Error()
		return s
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	s.ended, s.status, s.complete, s.body = time.Now(), resp.StatusCode, err == nil, string(raw)
	s.signed = resp.Header.Get("X-Replica-Signature") != ""
	s.retryMS = retryAfter(resp.Header)
	return s
}

// sendRaw sends a request whose target is not changed on the way, on a connection of its
// own.
func (c *client) sendRaw(in *instance, target, attempt string) (s sent) {
	s = sent{attempt: attempt, instance: in.name, service: "servis-kayit", path: target, at: time.Now()}
	defer func() { c.sent(s) }()
	conn, err := net.Dial("tcp", in.frontend)
	if err != nil {
		s.body = err.Error()
		return s
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := "request " + attempt
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		target, c.host, attempt, c.key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.ended, s.body = time.Now(), err.Error()
		return s
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	s.ended, s.status, s.complete, s.body = time.Now(), resp.StatusCode, err == nil, string(raw)
	s.signed = resp.Header.Get("X-Replica-Signature") != ""
	return s
}
