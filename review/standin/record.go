package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// request is what became of one client attempt.
type request struct {
	id, tenant             string
	sent, ended            time.Time
	prompt, maxOutput      int64
	instance               string
	status                 int
	complete               bool
	delivered              int64
	runs                   []run
	tokensRead, tokensMade int64
}

// run is the start of a request's work at a replica.
type run struct {
	replica string
	at      time.Time
}

// consumed is what the tenant got: the input once, and the delivered output.
func (q *request) consumed() int64 {
	if len(q.runs) == 0 {
		return 0
	}
	return q.prompt + q.delivered
}

// atMost bounds what the request consumed, whatever was lost on the way.
func (q *request) atMost() int64 {
	switch {
	case q.ended.IsZero():
		return q.prompt + q.maxOutput
	case len(q.runs) == 0:
		return 0
	}
	return q.prompt + min(q.maxOutput, max(q.tokensMade, q.delivered))
}

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	requests map[string]*request
	order    []*request
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, requests: map[string]*request{}}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = time.Now()
	r.requests[q.id] = q
	r.order = append(r.order, q)
	r.line("%s sent to %s for %s: %d tokens in, at most %d out", q.id, q.instance, q.tenant, q.prompt, q.maxOutput)
}

func (r *record) answered(q *request, status int, complete bool, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.ended, q.status, q.complete = time.Now(), status, complete
	r.line("%s answered %d, complete %v, %d tokens delivered %s", q.id, status, complete, q.delivered, detail)
}

func (r *record) ran(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s runs at %s", id, replica)
	if q := r.requests[id]; q != nil {
		q.runs = append(q.runs, run{replica, time.Now()})
	}
}

func (r *record) read(id string, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.tokensRead += tokens
	}
}

func (r *record) made(id string, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.tokensMade += tokens
	}
}

func (r *record) deliver(q *request, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.delivered = min(q.maxOutput, q.delivered+tokens)
}
