// Package engine is a stand-in for a model engine: continuous batching by a
// simple time model, a prefix cache in limited memory, streams that can be
// resumed and cancelled, and late reports of load and cache.
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

// Options configure a server.
type Options struct {
	// Name is the target's name in the log.
	Name string
	// MaxBatch bounds the streams that run at the same time.
	MaxBatch int
	// PrefillPerSecond is the rate of uncached prompt tokens.
	PrefillPerSecond int
	// Step is the time of one output token for a lone stream; StepPerStream
	// is added for each other running stream.
	Step          time.Duration
	StepPerStream time.Duration
	// OutputTokens is the length of an answer, if the request allows it.
	OutputTokens int64
	// CachedBlocks bounds the prefix cache, in blocks of wire.PrefixBlockBytes bytes.
	CachedBlocks int
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// CacheEventLoss drops each n-th cache event; 0 drops none.
	CacheEventLoss int
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// CrashOn ends the process when a prompt contains it.
	CrashOn string
	Log     *runlog.Log
}

// Engine runs streams.
type Engine struct {
	options Options
	mu      sync.Mutex
	// running and waiting count streams; all are guarded by mu.
	running, waiting int
	slots            *sync.Cond
	streams          map[string]*stream
	cache            *lru.LRU[uint64, struct{}]
	events           cacheEvents
	leaving          bool
	reported         wire.Load
	orders           orderState
	kv               map[string][]byte
}

// New returns an engine without streams.
func New(o Options) (*Engine, error) {
	e := &Engine{options: o, streams: map[string]*stream{}, kv: map[string][]byte{}}
	e.slots = sync.NewCond(&e.mu)
	cache, err := lru.NewLRU[uint64, struct{}](o.CachedBlocks, func(h uint64, _ struct{}) { e.events.add(e.options, cacheEvent{Evicted: h}) })
	e.cache = cache
	return e, err
}

// chatRequest is the part of a request that the engine reads.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Priority  int               `json:"priority"`
}

const bytesPerToken = 4

func (r *chatRequest) promptTokens() int64 {
	n := int64(0)
	for _, m := range r.Messages {
		n += int64(len(m))/bytesPerToken + 1
	}
	return n
}

// nonce is the mark of the caller in the first message that has one.
func (r *chatRequest) nonce() string {
	for _, m := range r.Messages {
		if n := runlog.NonceOf(string(m)); n != "" {
			return n
		}
	}
	return ""
}

// TokenText is the text of an answer's n-th token, for a request with a nonce.
func TokenText(nonce string, n int64) string { return fmt.Sprintf("%sw%d ", nonce, n) }

// stream is one running or finished answer; it runs on without its caller
// until it is cancelled.
type stream struct {
	// attempt started the stream.
	attempt string
	// body is the hash of the request.
	body [sha256.Size]byte
	// follower is the latest attempt that follows the stream; only it may
	// cancel it.
	follower  string
	id        string
	mu        sync.Mutex
	changed   chan struct{}
	tokens    []string
	prompt    int64
	done      bool
	cancelled bool
	model     string
	nonce     string
}

func (s *stream) usage() wire.Usage {
	n := int64(len(s.tokens))
	return wire.Usage{PromptTokens: s.prompt, CompletionTokens: n, TotalTokens: s.prompt + n}
}

// wake tells followers that the stream changed. The caller holds s.mu.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeOver lets an attempt follow and cancel the stream.
func (s *stream) takeOver(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = attempt
}

// startOrFollow lets an attempt follow a stream that runs or has finished with
// the same body, and else begins one.
func (e *Engine) startOrFollow(attempt, id string, raw []byte, r *chatRequest) *stream {
	body := sha256.Sum256(raw)
	if s := e.find(id); id != "" && s != nil && s.body == body && !s.wasCancelled() {
		s.takeOver(attempt)
		e.options.Log.Add(runlog.Entry{Event: "followed", Target: e.options.Name, Attempt: s.attempt, Stream: id, Nonce: s.nonce})
		return s
	}
	return e.start(attempt, id, body, r)
}

// wasCancelled tells whether the stream was cancelled.
func (s *stream) wasCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// start begins a stream for an attempt.
func (e *Engine) start(attempt, id string, body [sha256.Size]byte, r *chatRequest) *stream {
	nonce := r.nonce()
	for _, m := range r.Messages {
		if e.options.CrashOn != "" && strings.Contains(string(m), e.options.CrashOn) {
			e.options.Log.Add(runlog.Entry{Event: "crashed", Target: e.options.Name, Attempt: attempt, Stream: id, Nonce: nonce, Tokens: r.promptTokens()})
			os.Exit(1)
		}
	}
	s := &stream{
		attempt: attempt, follower: attempt, body: body, id: id, changed: make(chan struct{}),
		prompt: r.promptTokens(), model: r.Model, nonce: nonce,
	}
	e.mu.Lock()
	e.streams[id] = s
	e.waiting++
	e.mu.Unlock()
	e.options.Log.Add(runlog.Entry{Event: "started", Target: e.options.Name, Attempt: attempt, Stream: id, Nonce: nonce, Tokens: s.prompt})
	go e.generate(s, r)
	return s
}

// generate runs a stream: it waits for a place in the batch, reads the prompt
// and makes one token after the other.
func (e *Engine) generate(s *stream, r *chatRequest) {
	uncached := e.admit(r)
	defer e.leave(s)
	e.pause(time.Duration(uncached) * time.Second / time.Duration(e.options.PrefillPerSecond))
	length := min(r.MaxTokens, e.options.OutputTokens)
	for i := range length {
		e.pause(e.stepTime())
		s.mu.Lock()
		if s.cancelled {
			s.mu.Unlock()
			return
		}
		s.tokens = append(s.tokens, TokenText(s.nonce, i))
		s.wake()
		s.mu.Unlock()
	}
}

func (e *Engine) pause(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// admit waits for a place in the batch and returns the prompt tokens that are
// not cached.
func (e *Engine) admit(r *chatRequest) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running >= e.options.MaxBatch {
		e.slots.Wait()
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

// leave ends a stream's run. Its tokens are kept for a resume.
func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	e.running--
	e.slots.Signal()
	e.mu.Unlock()
	s.mu.Lock()
	s.done = true
	s.wake()
	name := "finished"
	if s.cancelled {
		name = "cancelled"
	}
	total := s.usage().TotalTokens
	s.mu.Unlock()
	e.options.Log.Add(runlog.Entry{Event: name, Target: e.options.Name, Attempt: s.attempt, Stream: s.id, Nonce: s.nonce, Tokens: total})
	time.AfterFunc(keepFinished, func() { e.forget(s) })
}

// keepFinished is how long a finished stream can be resumed.
const keepFinished = 30 * time.Second

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// RefreshLoadReport refreshes the load report that callers see, until the process ends.
func (e *Engine) RefreshLoadReport() {
	for {
		e.mu.Lock()
		e.reported = wire.Load{Running: e.running, Waiting: e.waiting, Leaving: e.leaving}
		e.mu.Unlock()
		time.Sleep(max(e.options.ReportLag, time.Millisecond))
	}
}
