// Package load is a client of the system for load and failure tests. It
// discovers instances through /v1/addresses as callers do, records the answers
// that it receives, and checks them against the targets' run logs.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
)

// Client sends requests on behalf of one customer.
type Client struct {
	// Key is the API key.
	Key string
	// Seeds are the IP:port of instances to ask for the address list.
	Seeds []string
	http  *http.Client

	mu sync.Mutex
	// addresses and expires are guarded by mu.
	addresses []string
	expires   time.Time
}

const clientTimeout = 60 * time.Second

// NewClient returns a client that asks the instances at seeds for the address list.
func NewClient(key string, seeds []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 0}
	return &Client{Key: key, Seeds: seeds, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Result is the answer to one request as its caller received it.
type Result struct {
	Status int
	// Complete is true if the answer arrived in full.
	Complete bool
	// Streamed is true for a stream of server-sent events. Text is then the
	// concatenated text of the tokens; otherwise it is the response body.
	Streamed bool
	// Error is set if the instance answered with an error.
	Error *apierror.Detail
	// TransportErr is set if the request could not be sent or the connection
	// failed before the end of the answer.
	TransportErr error
	Text         string
	Usage        engine.Usage
	// FirstToken and Total are the times from the start of the send to the first
	// token frame and to the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	// Frames is the number of token frames of a streamed answer.
	Frames int
}

// Addresses returns the addresses of the instances in order of preference. It
// returns the cached list until its TTL has passed.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses, nil
	}
	var errs []error
	for _, seed := range append(append([]string(nil), c.addresses...), c.Seeds...) {
		list, ttl, err := c.fetchAddresses(ctx, seed)
		if err == nil {
			c.addresses, c.expires = list, time.Now().Add(ttl)
			return list, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// InvalidateAddresses makes the next call of Addresses ask the instances again. It
// is for use after a connection has failed.
func (c *Client) InvalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) fetchAddresses(ctx context.Context, seed string) ([]string, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/v1/addresses", nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses  []string `json:"addresses"`
		TTLSeconds int64    `json:"ttl_seconds"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("addresses: %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	return answer.Addresses, time.Duration(answer.TTLSeconds) * time.Second, nil
}

// Chat is one chat completion request.
type Chat struct {
	Model     string
	Prompt    string
	MaxTokens int64
	Stream    bool
	// IdempotencyKey may be empty.
	IdempotencyKey string
	NonIdempotent  bool
	Budget         string
}

type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int64            `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Chat sends a chat completion request to an instance.
func (c *Client) Chat(ctx context.Context, address string, q Chat) Result {
	raw, err := json.Marshal(chatBody{q.Model, []engine.Message{{Role: "user", Content: q.Prompt}}, q.MaxTokens, q.Stream})
	if err != nil {
		return Result{TransportErr: err}
	}
	req, err := engine.NewRequest(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", raw)
	if err != nil {
		return Result{TransportErr: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if q.NonIdempotent {
		req.Header.Set("X-Non-Idempotent", "true")
	}
	if q.Budget != "" {
		req.Header.Set("X-Budget", q.Budget)
	}
	return c.send(req, q.IdempotencyKey)
}

// Call sends a request for a plain service to an instance. path begins with the
// name of the service.
func (c *Client) Call(ctx context.Context, address, method, path, key string, body []byte) Result {
	req, err := engine.NewRequest(ctx, method, "http://"+address+"/v1/services/"+path, body)
	if err != nil {
		return Result{TransportErr: err}
	}
	return c.send(req, key)
}

func (c *Client) send(req *http.Request, key string) Result {
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{TransportErr: err, Total: time.Since(start)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.Streamed = true
		readStream(resp.Body, start, &r)
	} else {
		readBody(resp, &r)
	}
	r.Total = time.Since(start)
	return r
}

func readBody(resp *http.Response, r *Result) {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.TransportErr = err
		return
	}
	r.Text = string(raw)
	if resp.StatusCode >= http.StatusBadRequest {
		var b apierror.Body
		if json.Unmarshal(raw, &b) == nil && b.Error.Code != "" {
			r.Error = &b.Error
			return
		}
	}
	r.Complete = true
	var completion struct {
		Usage engine.Usage `json:"usage"`
	}
	_ = json.Unmarshal(raw, &completion)
	r.Usage = completion.Usage
}

// readStream reads a streamed answer. The answer is complete only if the usage
// frame and the [DONE] marker were received.
func readStream(body io.Reader, start time.Time, r *Result) {
	frames := engine.NewFrameReader(bufio.NewReader(body))
	var text strings.Builder
	usageSeen := false
	for {
		f, err := frames.Next()
		if err != nil {
			r.TransportErr = err
			break
		}
		if f.Done() {
			r.Complete = usageSeen
			break
		}
		var failed apierror.Body
		if bytes.HasPrefix(f.Data, []byte(`{"error"`)) && json.Unmarshal(f.Data, &failed) == nil {
			r.Error = &failed.Error
			break
		}
		if u := engine.UsageOf(f.Data); u != nil {
			r.Usage, usageSeen = *u, true
			continue
		}
		if r.Frames++; r.Frames == 1 {
			r.FirstToken = time.Since(start)
		}
		var c engine.Chunk
		if json.Unmarshal(f.Data, &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	r.Text = text.String()
}
