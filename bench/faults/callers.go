package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/bench/load"
	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/standins/runlog"
)

const (
	// callerTimeout is how long a caller waits for a complete answer.
	callerTimeout = 4 * time.Second
	// abandonTimeout is how long a caller waits for an answer that it abandons;
	// it expires while the answer is being streamed.
	abandonTimeout = 250 * time.Millisecond
	// maxSends is the maximum number of sends of one request.
	maxSends    = 5
	resendDelay = 150 * time.Millisecond
	thinkTime   = 10 * time.Millisecond
	// assumedStreamingAfter is the age at which the answer to a model request is
	// assumed to have begun; a complete answer takes longer.
	assumedStreamingAfter = 100 * time.Millisecond
	// assumedCalledAfter is the age at which a plain service is assumed to be
	// running a call; a complete call takes longer.
	assumedCalledAfter = 10 * time.Millisecond
)

// inFlightSend is a send whose answer has not ended.
type inFlightSend struct {
	address  string
	start    time.Time
	streamed bool
	service  bool
	// idempotent is false for a request that may run at most once.
	idempotent bool
}

// callerPool is a fixed number of callers that send requests. They send a request
// that failed or was refused again to another instance, with the same idempotency
// key.
type callerPool struct {
	requestLog *load.RequestLog
	seed       uint64
	cancel     context.CancelFunc
	workers    sync.WaitGroup

	mu sync.Mutex
	// addresses, inFlight and serial are guarded by mu.
	addresses []string
	inFlight  map[*inFlightSend]struct{}
	serial    int
	// abandonSome makes callers abandon the first send of one in three model
	// requests while its answer is streamed, and send it to another instance. It
	// must be set before start is called.
	abandonSome bool
}

func newCallerPool(requestLog *load.RequestLog, seed uint64, addresses []string) *callerPool {
	return &callerPool{requestLog: requestLog, seed: seed, addresses: addresses, inFlight: map[*inFlightSend]struct{}{}, cancel: func() {}}
}

// start starts count callers. Each sends the requests that next returns, one after
// the other.
func (c *callerPool) start(count int, next func(*rand.Rand) request) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i := range count {
		c.workers.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			for ctx.Err() == nil {
				c.sendUntilAnswered(rng, next(rng))
				time.Sleep(thinkTime)
			}
		})
	}
}

// stop stops the callers and waits until they have finished their requests.
func (c *callerPool) stop() {
	c.cancel()
	c.workers.Wait()
}

// updateAddresses changes the list of instances to which callers send.
func (c *callerPool) updateAddresses(change func([]string) []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = change(slices.Clone(c.addresses))
}

// hasStreamsAndNonIdempotent reports whether an instance is assumed to be
// answering at least two streamed requests and one non-idempotent model request.
func (c *callerPool) hasStreamsAndNonIdempotent(address string) bool {
	nonIdempotent := 0
	c.forEachInFlight(func(s *inFlightSend) {
		if s.answering(address) && !s.idempotent {
			nonIdempotent++
		}
	})
	return nonIdempotent >= 1 && c.streamsAt(address) >= 2
}

// streamsAt returns the number of streamed answers that an instance is assumed to
// be sending.
func (c *callerPool) streamsAt(address string) int {
	n := 0
	c.forEachInFlight(func(s *inFlightSend) {
		if s.answering(address) && s.streamed {
			n++
		}
	})
	return n
}

// answering reports whether the send is a model request at this instance whose
// answer is assumed to have begun.
func (s *inFlightSend) answering(address string) bool {
	return s.address == address && !s.service && time.Since(s.start) > assumedStreamingAfter
}

// forEachInFlight calls visit for each send whose answer has not ended.
func (c *callerPool) forEachInFlight(visit func(*inFlightSend)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.inFlight {
		visit(s)
	}
}

// serviceCallsInFlight reports whether the plain service is assumed to be running
// an idempotent and a non-idempotent call.
func (c *callerPool) serviceCallsInFlight() bool {
	idempotent, nonIdempotent := 0, 0
	c.forEachInFlight(func(s *inFlightSend) {
		switch {
		case !s.service || time.Since(s.start) < assumedCalledAfter:
		case s.idempotent:
			idempotent++
		default:
			nonIdempotent++
		}
	})
	return idempotent > 0 && nonIdempotent > 0
}

// inFlightAt returns the number of sends to an instance whose answer has not
// ended.
func (c *callerPool) inFlightAt(address string) int {
	n := 0
	c.forEachInFlight(func(s *inFlightSend) {
		if s.address == address {
			n++
		}
	})
	return n
}

// request describes a request that a caller sends.
type request struct {
	customer   customer
	service    bool
	stream     bool
	idempotent bool
	// text is the prompt without the nonce.
	text string
}

// mixedRequest returns a random request of one of three customers. Half of the
// requests are streamed chat completions; the others are chat completions that are
// not streamed and service calls, some of each non-idempotent.
func mixedRequest(rng *rand.Rand) request {
	r := request{customer: []customer{wide, other, tight}[rng.IntN(3)], idempotent: true, text: "no hot water"}
	switch p := rng.IntN(100); {
	case p < 50:
		r.stream = true
	case p < 65:
	case p < 75:
		r.idempotent = false
	case p < 85:
		r.service = true
	default:
		r.service, r.idempotent = true, false
	}
	return r
}

// newRecord returns a record with a new key and nonce and without sends.
func (c *callerPool) newRecord(q request) load.Record {
	c.mu.Lock()
	c.serial++
	name := fmt.Sprintf("%s-%d", q.customer.name, c.serial)
	c.mu.Unlock()
	r := load.Record{
		Customer: q.customer.name, Budget: q.customer.name, Key: "key-" + name, Nonce: "n" + name,
		Service: q.service, Idempotent: q.idempotent, OutputTokens: outputTokens, WorstCase: servicePrice,
	}
	if !q.service {
		r.WorstCase = worstCase(prompt(r, q))
	}
	return r
}

// sendUntilAnswered sends a request until it gets a final answer, at most maxSends
// times, and records it.
func (c *callerPool) sendUntilAnswered(rng *rand.Rand, q request) load.Record {
	r := c.newRecord(q)
	last := ""
	for range maxSends {
		last = c.chooseAddress(rng, last)
		s := c.send(last, r, q)
		r.Sends = append(r.Sends, s)
		if !shouldResend(r, s.Result) {
			break
		}
		time.Sleep(resendDelay)
	}
	c.requestLog.Add(r)
	return r
}

// chooseAddress returns the address of a random instance, other than last if there
// are several.
func (c *callerPool) chooseAddress(rng *rand.Rand, last string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.addresses
	if len(choice) > 1 {
		choice = slices.DeleteFunc(slices.Clone(choice), func(a string) bool { return a == last })
	}
	return choice[rng.IntN(len(choice))]
}

// shouldResend reports whether a caller sends a request again after this result.
func shouldResend(_ load.Record, res load.Result) bool {
	switch {
	case res.Complete:
		return false
	case res.Error == nil:
		return true // the connection failed
	}
	switch res.Error.Code {
	case errkind.TargetFailed, errkind.StreamCut, errkind.InProgress:
		return true
	case errkind.BudgetExhausted:
		return false
	}
	return res.Error.RetryAfterSeconds > 0
}

func prompt(r load.Record, q request) string {
	return runlog.FormatNonce(r.Nonce) + " " + q.text
}

// worstCase returns the number of tokens that an instance reserves for a request
// with this prompt.
func worstCase(prompt string) int64 {
	raw, _ := json.Marshal(engine.Message{Role: "user", Content: prompt})
	const tokensPerMessage = 16
	return int64(len(raw)) + tokensPerMessage + maxTokens
}

// answerTimeout returns how long a caller waits for the answer to the next send of
// a request.
func (c *callerPool) answerTimeout(r load.Record) time.Duration {
	const abandonOneIn = 3
	if c.abandonSome && !r.Service && len(r.Sends) == 0 && xxhash.Sum64String(r.Key)%abandonOneIn == 0 {
		return abandonTimeout
	}
	return callerTimeout
}

// send sends a request once and waits for its answer.
func (c *callerPool) send(address string, r load.Record, q request) load.Send {
	pending := &inFlightSend{address: address, start: time.Now(), streamed: q.stream, service: q.service, idempotent: q.idempotent}
	c.mu.Lock()
	c.inFlight[pending] = struct{}{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.answerTimeout(r))
	defer cancel()
	client := clients[q.customer.name]
	s := load.Send{Address: address, Start: pending.start}
	switch {
	case !q.service:
		s.Result = client.Chat(ctx, address, load.Chat{
			Model: modelName, Prompt: prompt(r, q), MaxTokens: maxTokens, Stream: q.stream, IdempotencyKey: r.Key, NonIdempotent: !q.idempotent,
		})
	case q.idempotent:
		s.Result = client.Call(ctx, address, "GET", serviceName+"/jobs/"+runlog.FormatNonce(r.Nonce), r.Key, nil)
	default:
		s.Result = client.Call(ctx, address, "POST", serviceName+"/bookings", r.Key, []byte(runlog.FormatNonce(r.Nonce)))
	}
	s.End = time.Now()
	c.mu.Lock()
	delete(c.inFlight, pending)
	c.mu.Unlock()
	return s
}

// clients maps the name of each customer to its client.
var clients = func() map[string]*load.Client {
	m := map[string]*load.Client{}
	for _, c := range []customer{wide, other, tight, probe} {
		m[c.name] = load.NewClient(c.key(), nil)
	}
	return m
}()
