package load

import (
	"sync"
	"time"

	"plantainfield.example/core/errkind"
)

// Send is one transmission of a request and the answer that its caller received.
type Send struct {
	Address    string
	Start, End time.Time
	Result     Result
}

// statesNotRun reports whether the answer states that the request did not run.
func (s *Send) statesNotRun() bool {
	return s.Result.Error != nil && s.Result.Error.Ran == errkind.RanNo
}

// Record is one request of a caller with all its sends in order.
type Record struct {
	Customer, Budget, Key string
	// Nonce identifies the request in its body or path, in the run logs and in
	// the answer.
	Nonce string
	// Service is true for a call of a plain service.
	Service    bool
	Idempotent bool
	// WorstCase is the upper bound on the consumption of one run, in tokens.
	WorstCase int64
	// OutputTokens is the length of a complete answer of a model, in tokens.
	OutputTokens int64
	Sends        []Send
}

// FirstComplete returns the first send with a complete answer, or nil.
func (r *Record) FirstComplete() *Send {
	for i := range r.Sends {
		if r.Sends[i].Result.Complete {
			return &r.Sends[i]
		}
	}
	return nil
}

// RequestLog collects records in memory. It is safe for concurrent use.
type RequestLog struct {
	mu      sync.Mutex
	records []Record
}

// Add appends a finished record.
func (l *RequestLog) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns a copy of the records added so far.
func (l *RequestLog) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Len returns the number of records added so far.
func (l *RequestLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
