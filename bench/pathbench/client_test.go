package pathbench

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends streamed chat requests and reads their frames without decoding
// them, to cost little.
type client struct {
	http *http.Client
	// addresses are used in turn.
	addresses []string
	// frames counts the frames of all answers.
	frames atomic.Int64
}

func newClient(addresses ...string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	return &client{http: &http.Client{Transport: transport}, addresses: addresses}
}

// sample is what one request measured.
type sample struct {
	first, total time.Duration
}

var (
	frameEnd      = []byte("\n\n")
	endMarker     = []byte("data: [DONE]\n\n")
	errIncomplete = errors.New("the answer is not whole")
)

// send sends the n-th request.
func (c *client) send(n int, maxTokens int) (sample, error) {
	var s sample
	body := fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"request %d"}],"max_tokens":%d,"stream":true}`, n, maxTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addresses[n%len(c.addresses)]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Id", fmt.Sprintf("direct-%d", n))
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	err = c.read(&s, resp.Body, start)
	s.total = time.Since(start)
	return s, err
}

// read reads an answer to its end. A frame end that two reads share is counted
// by the end of the first and the start of the second.
func (c *client) read(s *sample, body io.Reader, start time.Time) error {
	buf := make([]byte, 16<<10)
	var tail []byte
	for {
		n, err := body.Read(buf)
		part := buf[:n]
		frames := bytes.Count(part, frameEnd)
		if n > 0 && part[0] == '\n' && bytes.HasSuffix(tail, frameEnd[:1]) && !bytes.HasSuffix(tail, frameEnd) {
			frames++
		}
		c.frames.Add(int64(frames))
		if s.first == 0 && frames > 0 {
			s.first = time.Since(start)
		}
		tail = append(tail, part...)
		tail = append(tail[:0], tail[max(0, len(tail)-len(endMarker)):]...)
		if errors.Is(err, io.EOF) && bytes.Equal(tail, endMarker) {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errIncomplete
		}
		if err != nil {
			return err
		}
	}
}
