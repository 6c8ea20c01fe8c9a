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

// client sends streamed chat requests. It counts the frames of the answers without
// decoding them, to use little processor time.
type client struct {
	http *http.Client
	// addresses are the IP:port of the servers, used in turn.
	addresses []string
	// frames is the number of frames received in all answers.
	frames atomic.Int64
}

func newClient(addresses ...string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	return &client{http: &http.Client{Transport: transport}, addresses: addresses}
}

// sample holds the times from the start of one request to its first frame and to
// the end of its answer.
type sample struct {
	first, total time.Duration
}

var (
	frameEnd      = []byte("\n\n")
	endMarker     = []byte("data: [DONE]\n\n")
	errIncomplete = errors.New("the answer ended without its end marker")
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

// read reads an answer to its end and counts its frames, including those whose
// two-byte end is split between two reads.
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
