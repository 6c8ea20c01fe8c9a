// Package runlog reads and writes run logs, in which each stand-in records the
// attempts that it ran, one JSON object per line. The audit takes a run log as
// the only proof of what a target ran.
package runlog

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Entry is one line of a run log.
type Entry struct {
	Time time.Time `json:"time"`
	// Event is "started", "finished", "cancelled", "refused", "crashed", or
	// "followed" if a later request attached to the attempt's stream.
	Event string `json:"event"`
	// Target is the stand-in's name.
	Target  string `json:"target"`
	Attempt string `json:"attempt"`
	Stream  string `json:"stream,omitempty"`
	// Key is the idempotency key of a request to a plain service.
	Key string `json:"key,omitempty"`
	// Call is the method and path of a request to a plain service.
	Call string `json:"call,omitempty"`
	// Nonce is the caller's nonce from the request's body or path; see NonceOf.
	Nonce string `json:"nonce,omitempty"`
	// Tokens is the number of tokens that the attempt has consumed so far.
	Tokens int64 `json:"tokens"`
}

// Log appends entries to a run log. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens a run log for appending. If path is empty, entries are discarded.
func Open(path string) (*Log, error) {
	if path == "" {
		return &Log{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &Log{file: f}, err
}

// Add sets the entry's time and writes it to the file before it returns, so that
// the entry survives a kill of the process.
func (l *Log) Add(e Entry) {
	if l.file == nil {
		return
	}
	e.Time = time.Now()
	raw, err := json.Marshal(e)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(raw, '\n'))
}

// Read returns the entries of the run log at path.
func Read(path string) ([]Entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var entries []Entry
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e Entry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, lines.Err()
}
