// Package engine is a stand-in for a model engine. It simulates the timing of
// continuous batching, has a prefix cache of bounded size, serves streams that
// can be resumed and cancelled, and reports load and cache events with a delay.
package engine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	wire "plantainfield.example/fleet/engine"
	"plantainfield.example/standins/runlog"
)

// Options configures an Engine.
type Options struct {
	// Name is the target's name in the run log.
	Name string
	// MaxBatch is the maximum number of streams that run at the same time.
	MaxBatch int
	// PrefillPerSecond is the prefill rate, in uncached prompt tokens per second.
	PrefillPerSecond int
	// Step is the time per output token while one stream is running.
	// StepPerStream is added to it for each other running stream.
	Step          time.Duration
	StepPerStream time.Duration
	// OutputTokens is the length of a response in tokens, unless the request's
	// max_tokens is smaller.
	OutputTokens int64
	// CachedBlocks is the capacity of the prefix cache, in prefix hashes. Each
	// covers a block of up to wire.PrefixBlockBytes bytes.
	CachedBlocks int
	// ReportLag is the interval between updates of the load report and the delay
	// until a cache event is visible.
	ReportLag time.Duration
	// CacheEventLoss drops every n-th cache event; 0 drops none.
	CacheEventLoss int
	// CheckFencing makes the engine refuse orders with an old fencing token.
	CheckFencing bool
	// CrashOn makes the process exit when a prompt contains this text. An empty
	// value disables it.
	CrashOn string
	Log     *runlog.Log
}

// Engine is the stand-in engine.
type Engine struct {
	options Options
	mu      sync.Mutex
	// running and waiting count streams. They and the fields below are guarded
	// by mu.
	running, waiting int
	slotFreed        *sync.Cond
	streams          map[string]*stream
	cache            *lru.LRU[uint64, struct{}]
	events           cacheEvents
	leaving          bool
	loadReport       wire.Load
	orders           orderState
	// kv holds imported KV data by prefix hash in hexadecimal.
	kv map[string][]byte
}

// New returns an engine without streams.
func New(o Options) (*Engine, error) {
	e := &Engine{options: o, streams: map[string]*stream{}, kv: map[string][]byte{}}
	e.slotFreed = sync.NewCond(&e.mu)
	cache, err := lru.NewLRU[uint64, struct{}](o.CachedBlocks, func(h uint64, _ struct{}) { e.events.add(e.options, cacheEvent{Evicted: h}) })
	e.cache = cache
	return e, err
}

// chatRequest holds the fields of a chat completion request that the engine
// reads.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Priority  int               `json:"priority"`
}

// bytesPerToken is the simulated tokenizer's number of bytes per token.
const bytesPerToken = 4

func (r *chatRequest) promptTokens() int64 {
	n := int64(0)
	for _, m := range r.Messages {
		n += int64(len(m))/bytesPerToken + 1
	}
	return n
}

// nonce returns the caller's nonce from the first message that has one.
func (r *chatRequest) nonce() string {
	for _, m := range r.Messages {
		if n := runlog.NonceOf(string(m)); n != "" {
			return n
		}
	}
	return ""
}

// TokenText returns the text of the n-th token, counted from 0, of the response
// to a request with the given nonce.
func TokenText(nonce string, n int64) string { return fmt.Sprintf("%sw%d ", nonce, n) }

// stream is one running or finished response. It continues without a connected
// caller until it is cancelled or complete.
type stream struct {
	// attempt is the ID of the attempt that started the stream.
	attempt string
	// bodyHash is the hash of the request body.
	bodyHash [sha256.Size]byte
	// follower is the ID of the last attempt that attached to the stream. Only
	// this attempt may cancel the stream.
	follower     string
	id           string
	mu           sync.Mutex
	changed      chan struct{}
	tokens       []string
	promptTokens int64
	done         bool
	cancelled    bool
	model        string
	nonce        string
}

func (s *stream) usage() wire.Usage {
	n := int64(len(s.tokens))
	return wire.Usage{PromptTokens: s.promptTokens, CompletionTokens: n, TotalTokens: s.promptTokens + n}
}

// notifyChanged wakes the requests that read the stream. The caller holds s.mu.
func (s *stream) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFollower makes attempt the only one that may cancel the stream.
func (s *stream) setFollower(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = attempt
}

// startOrFollow attaches an attempt to the stream with the given ID if the
// stream is running or finished, has the same request body and was not cancelled.
// Otherwise it starts a new stream.
func (e *Engine) startOrFollow(attempt, id string, raw []byte, r *chatRequest) *stream {
	bodyHash := sha256.Sum256(raw)
	if s := e.streamByID(id); id != "" && s != nil && s.bodyHash == bodyHash && !s.isCancelled() {
		s.setFollower(attempt)
		e.options.Log.Add(runlog.Entry{Event: "followed", Target: e.options.Name, Attempt: s.attempt, Stream: id, Nonce: s.nonce})
		return s
	}
	return e.start(attempt, id, bodyHash, r)
}

// isCancelled reports whether the stream was cancelled.
func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// start starts a stream for an attempt, or ends the process if a message contains
// Options.CrashOn.
func (e *Engine) start(attempt, id string, bodyHash [sha256.Size]byte, r *chatRequest) *stream {
	nonce := r.nonce()
	for _, m := range r.Messages {
		if e.options.CrashOn != "" && strings.Contains(string(m), e.options.CrashOn) {
			e.options.Log.Add(runlog.Entry{Event: "crashed", Target: e.options.Name, Attempt: attempt, Stream: id, Nonce: nonce, Tokens: r.promptTokens()})
			os.Exit(1)
		}
	}
	s := &stream{
		attempt: attempt, follower: attempt, bodyHash: bodyHash, id: id, changed: make(chan struct{}),
		promptTokens: r.promptTokens(), model: r.Model, nonce: nonce,
	}
	e.mu.Lock()
	e.streams[id] = s
	e.waiting++
	e.mu.Unlock()
	e.options.Log.Add(runlog.Entry{Event: "started", Target: e.options.Name, Attempt: attempt, Stream: id, Nonce: nonce, Tokens: s.promptTokens})
	go e.generate(s, r)
	return s
}

// generate runs a stream: it waits for a slot in the batch, simulates the
// prefill and emits one token per step.
func (e *Engine) generate(s *stream, r *chatRequest) {
	uncached := e.admit(r)
	defer e.finish(s)
	e.sleep(time.Duration(uncached) * time.Second / time.Duration(e.options.PrefillPerSecond))
	outputTokens := min(r.MaxTokens, e.options.OutputTokens)
	for i := range outputTokens {
		e.sleep(e.stepTime())
		s.mu.Lock()
		if s.cancelled {
			s.mu.Unlock()
			return
		}
		s.tokens = append(s.tokens, TokenText(s.nonce, i))
		s.notifyChanged()
		s.mu.Unlock()
	}
}

func (e *Engine) sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// admit waits for a slot in the batch, adds the prompt's prefixes to the cache
// and returns the number of prompt tokens that were not cached.
func (e *Engine) admit(r *chatRequest) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running >= e.options.MaxBatch {
		e.slotFreed.Wait()
	}
	e.waiting--
	e.running++
	cached := int64(0)
	for _, h := range wire.PrefixHashes(r.Messages) {
		if _, ok := e.cache.Get(h); ok {
			cached += wire.PrefixBlockBytes / bytesPerToken
			continue
		}
		e.cache.Add(h, struct{}{})
		e.events.add(e.options, cacheEvent{Cached: h})
	}
	return max(0, r.promptTokens()-cached)
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.Step + time.Duration(e.running-1)*e.options.StepPerStream
}

// finish frees a stream's slot in the batch and logs its end. The tokens are
// kept for finishedRetention, so that the stream can be resumed.
func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	e.running--
	e.slotFreed.Signal()
	e.mu.Unlock()
	s.mu.Lock()
	s.done = true
	s.notifyChanged()
	event := "finished"
	if s.cancelled {
		event = "cancelled"
	}
	total := s.usage().TotalTokens
	s.mu.Unlock()
	e.options.Log.Add(runlog.Entry{Event: event, Target: e.options.Name, Attempt: s.attempt, Stream: s.id, Nonce: s.nonce, Tokens: total})
	time.AfterFunc(finishedRetention, func() { e.removeStream(s) })
}

// finishedRetention is how long a finished stream is kept and can be resumed.
const finishedRetention = 30 * time.Second

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

func (e *Engine) streamByID(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// RefreshLoadReport updates the load report that clients read, once per
// Options.ReportLag. It never returns.
func (e *Engine) RefreshLoadReport() {
	for {
		e.mu.Lock()
		e.loadReport = wire.Load{Running: e.running, Waiting: e.waiting, Leaving: e.leaving}
		e.mu.Unlock()
		time.Sleep(max(e.options.ReportLag, time.Millisecond))
	}
}
