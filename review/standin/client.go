package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const host = "ficu95.example"

// route is a route of the configuration as clients use it.
type route struct {
	path              string
	method            string
	prompt, maxOutput int64
	deadline          time.Duration
	// body, if set, is the same for all requests. leavesAfter, if set, is when the
	// client leaves without an answer.
	body        string
	leavesAfter time.Duration
}

// clients are clients that look up where to connect, each request on a new
// connection.
type clients struct {
	record *record
	fleet  *fleet
	http   *http.Client
	mu     sync.Mutex
	// addresses is the last answer to a look-up, good until then.
	addresses []string
	until     time.Time
	lastID    uint64
	open      sync.WaitGroup
}

func newClients(r *record, f *fleet) *clients {
	dialer := net.Dialer{Timeout: time.Second}
	return &clients{
		record: r, fleet: f,
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
	}
}

// resolve asks a node where to connect.
func (c *clients) resolve() {
	for range 3 {
		i := c.fleet.instances[rand.N(len(c.fleet.instances))]
		query := url.Values{"name": {host}, "region": {"marmara"}, "zone": {i.zone}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.directory()+"/resolution?"+query.Encode(), nil)
		resp, err := c.http.Do(req)
		if err != nil {
			cancel()
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(min(5, answer.TTL)*float64(time.Second)))
			return
		}
	}
}

// address returns an instance to connect to.
func (c *clients) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.N(len(c.addresses))]
}

// failed excludes an address until the next look-up.
func (c *clients) failed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []string
	for _, a := range c.addresses {
		if a != address {
			rest = append(rest, a)
		}
	}
	c.addresses = rest
	if len(rest) == 0 {
		c.until = time.Time{}
	}
}

// send sends one request of a tenant and waits for its answer.
func (c *clients) send(tenant, key string, rt route) *request {
	return c.sendTo(c.address(), tenant, key, rt)
}

// sendTo sends a request on a new connection to an address.
func (c *clients) sendTo(address, tenant, key string, rt route) *request {
	c.mu.Lock()
	c.lastID++
	q := &request{id: fmt.Sprintf("%08x%08x", c.record.began.Unix()&0xffffffff, c.lastID), tenant: tenant, prompt: rt.prompt, maxOutput: rt.maxOutput, instance: address}
	c.mu.Unlock()
	if address == "" {
		return nil
	}
	patience, body := rt.deadline, rt.body
	if rt.leavesAfter > 0 {
		patience = rt.leavesAfter
	}
	if body == "" {
		body = "body of " + q.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, rt.method, "http://"+address+rt.path, strings.NewReader(body))
	req.Host = host
	req.GetBody = nil
	req.Header.Set("X-Attempt-Id", q.id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(rt.deadline.Milliseconds(), 10))
	if rt.maxOutput > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", rt.prompt, rt.maxOutput))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%s:%d", rt.prompt/2, q.id, rt.prompt-rt.prompt/2))
	}
	c.record.send(q)
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			c.record.answered(q, 0, false, "(no answer in time)")
		} else {
			c.failed(address)
			c.record.answered(q, 0, false, "(no answer: "+plain(err)+")")
		}
		return q
	}
	defer resp.Body.Close()
	complete := c.read(q, resp)
	detail := ""
	if after := resp.Header.Get("Retry-After"); after != "" {
		detail = "(Retry-After " + after + ")"
	}
	c.record.answered(q, resp.StatusCode, complete, detail)
	return q
}

// plain returns the innermost text of an error, without addresses.
func plain(err error) string {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}

// read reads an answer and counts the tokens of its events.
func (c *clients) read(q *request, resp *http.Response) bool {
	if resp.StatusCode != http.StatusOK || q.maxOutput == 0 {
		_, err := io.Copy(io.Discard, resp.Body)
		return err == nil
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") && strings.HasSuffix(line, "\n") {
			c.record.deliver(q, tokensPerEvent)
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// load sends requests at a rate until stop is closed. Answers are not waited for.
func (c *clients) load(perSecond float64, stop <-chan struct{}, one func()) {
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				c.open.Add(1)
				go func() {
					defer c.open.Done()
					one()
				}()
			}
		}
	}()
}
