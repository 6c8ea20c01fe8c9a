// Package engine is the HTTP client for model engines and plain services.
//
// Engines implement the OpenAI chat completions protocol. Each attempt carries
// its ID in X-Request-Id, which the engine returns as the ID of every chunk.
// X-Stream-Id carries the ID of the request's stream, by which a running stream
// can be found and cancelled. An SSE event ID, if present, is the sequence
// number of the chunk.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"plantainfield.example/fleet/httpstatus"
)

const (
	// HeaderAttempt carries the attempt ID to a target.
	HeaderAttempt = "X-Request-Id"
	// HeaderStream carries the stream ID of the request to an engine.
	HeaderStream = "X-Stream-Id"
	// HeaderNotStarted is set on an error response of a target that did not
	// start the request.
	HeaderNotStarted = "X-Not-Started"
	// NotStartedLeaving is the value of HeaderNotStarted if the target is
	// shutting down.
	NotStartedLeaving = "leaving"

	dialTimeout      = 2 * time.Second
	maxFrameBytes    = 1 << 20
	frameBufferBytes = 16 << 10
)

// Usage is the token usage of one response.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client with one connection pool for all targets.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         dialTarget,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{
		Transport: transport,
		// A redirect from a target is relayed to the caller unchanged.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request to a target. A response without a valid status is an error.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	send := c.http.Do
	if req.ContentLength > 0 {
		send = c.doUpload
	}
	resp, err := send(req)
	if err != nil {
		return nil, err
	}
	if err := httpstatus.Check(resp.StatusCode); err != nil {
		return nil, errors.Join(err, resp.Body.Close())
	}
	return resp, nil
}

// Frame is one SSE event of an engine's response.
type Frame struct {
	// Sequence is the SSE event ID as a number; HasSequence is false if the
	// event has none.
	Sequence    uint64
	HasSequence bool
	// Data is the payload. It is valid until the next read.
	Data []byte
}

// Done reports whether the frame is the end marker.
func (f Frame) Done() bool { return string(f.Data) == "[DONE]" }

// FrameReader reads SSE events from a response body.
type FrameReader struct {
	r    *bufio.Reader
	data []byte
}

// NewFrameReader returns a FrameReader that reads from r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, frameBufferBytes)}
}

// ErrFrameTooLarge reports an event that exceeds the size limit.
var ErrFrameTooLarge = errors.New("event is too large")

var (
	fieldData = []byte("data:")
	fieldID   = []byte("id:")
)

// Next returns the next event. io.EOF means that the response ended between two
// events.
func (f *FrameReader) Next() (Frame, error) {
	var frame Frame
	f.data = f.data[:0]
	for {
		line, err := f.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return frame, ErrFrameTooLarge
		}
		if err != nil {
			return frame, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			if len(f.data) > 0 {
				frame.Data = f.data
				return frame, nil
			}
		case bytes.HasPrefix(line, fieldData):
			f.data = append(f.data, bytes.TrimSpace(line[len(fieldData):])...)
		case bytes.HasPrefix(line, fieldID):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(fieldID):])), 10, 64)
			frame.Sequence, frame.HasSequence = n, err == nil
		}
		if len(f.data) > maxFrameBytes {
			return frame, ErrFrameTooLarge
		}
	}
}

// Chunk holds the fields of a chat completion chunk that the router reads.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Created int64    `json:"created"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

// Choice is one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Message is a chat message or a delta of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

var (
	idPrefix    = []byte(`{"id":"`)
	usageMarker = []byte(`"usage":{`)
)

// HasAttempt reports whether a chunk starts with the given attempt ID. It does
// not allocate.
func HasAttempt(data []byte, attempt string) bool {
	rest, ok := bytes.CutPrefix(data, idPrefix)
	return ok && len(rest) > len(attempt) && string(rest[:len(attempt)]) == attempt && rest[len(attempt)] == '"'
}

// AttemptOf returns the attempt ID of a chunk.
func AttemptOf(data []byte) string {
	if rest, ok := bytes.CutPrefix(data, idPrefix); ok {
		if end := bytes.IndexByte(rest, '"'); end >= 0 {
			return string(rest[:end])
		}
	}
	var c struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(data, &c)
	return c.ID
}

// UsageOf returns the usage in a chunk, or nil if it has none.
func UsageOf(data []byte) *Usage {
	if !bytes.Contains(data, usageMarker) {
		return nil
	}
	var c Chunk
	if json.Unmarshal(data, &c) != nil {
		return nil
	}
	return c.Usage
}

// ErrNoStream reports that the engine does not have the stream.
var ErrNoStream = errors.New("the engine does not have the stream")

// Resume reads a stream of an engine, starting at frame number from, under the
// given attempt ID. The caller must close the response body.
func (c *Client) Resume(ctx context.Context, address, stream, attempt string, from uint64) (*http.Response, error) {
	url := "http://" + address + "/v1/streams/" + stream + "?from=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderAttempt, attempt)
	resp, err := c.http.Do(req)
	if err != nil || resp.StatusCode == http.StatusOK {
		return resp, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, ErrNoStream
	}
	return nil, errors.New("resume: " + resp.Status)
}

// Cancel stops a stream at an engine and returns the tokens it consumed.
func (c *Client) Cancel(ctx context.Context, address, stream, attempt string) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+stream, nil)
	if err != nil {
		return Usage{}, err
	}
	req.Header.Set(HeaderAttempt, attempt)
	resp, err := c.http.Do(req)
	if err != nil {
		return Usage{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Usage{}, errors.New("cancel: " + resp.Status)
	}
	var u struct {
		Usage Usage `json:"usage"`
	}
	err = json.NewDecoder(resp.Body).Decode(&u)
	return u.Usage, err
}

// Load is an engine's load report.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// CacheEvent reports that a prefix block was cached or evicted. Numbers are
// consecutive; a gap means that events were lost.
type CacheEvent struct {
	Number  uint64 `json:"number"`
	Cached  uint64 `json:"cached,omitempty"`
	Evicted uint64 `json:"evicted,omitempty"`
}

// CacheEvents fetches an engine's cache events with numbers above after.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, "http://"+address+"/v1/cache-events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// Load fetches an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.get(ctx, "http://"+address+"/v1/load", &l)
	return l, err
}

// get fetches url and decodes the JSON response into v.
func (c *Client) get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(req.URL.Path + ": " + resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// NotStarted reports whether an error proves that no byte of the request
// reached the target.
func NotStarted(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
