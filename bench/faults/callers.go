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
	// callerTimeout is how long a caller waits for a whole answer.
	callerTimeout = 4 * time.Second
	// abandonTimeout ends in mid-stream.
	abandonTimeout = 250 * time.Millisecond
	// maxSends bounds the sends of one request.
	maxSends    = 5
	resendDelay = 150 * time.Millisecond
	thinkTime   = 10 * time.Millisecond
	// assumedStreamingAfter is the age from which a streamed answer counts as under way;
	// a whole one takes longer.
	assumedStreamingAfter = 100 * time.Millisecond
	// assumedCalledAfter is the same for a call of a plain service.
	assumedCalledAfter = 10 * time.Millisecond
)

// inFlightSend is a send whose answer is not complete.
type inFlightSend struct {
	address  string
	start    time.Time
	streamed bool
	service  bool
	// idempotent is false for a request that may run at most once.
	idempotent bool
}

// callerPool is a bounded number of callerPool that send mixed requests and send
// broken or refused ones again, under the same key, to another instance.
type callerPool struct {
	requestLog *load.RequestLog
	seed       uint64
	cancel     context.CancelFunc
	workers    sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	addresses []string
	inFlight  map[*inFlightSend]struct{}
	serial    int
	// abandonSome callers leave the first send of each third model request in
	// mid-stream, and send it again elsewhere.
	abandonSome bool
}

func newCallerPool(requestLog *load.RequestLog, seed uint64, addresses []string) *callerPool {
	return &callerPool{requestLog: requestLog, seed: seed, addresses: addresses, inFlight: map[*inFlightSend]struct{}{}, cancel: func() {}}
}

// start begins count callers that each send one request after the other,
// chosen by next.
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

// stop ends the callers once their requests are answered.
func (c *callerPool) stop() {
	c.cancel()
	c.workers.Wait()
}

// updateAddresses changes the instances that callers know.
func (c *callerPool) updateAddresses(change func([]string) []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = change(slices.Clone(c.addresses))
}

// hasStreamsAndNonIdempotent tells whether an instance has two streams and a request that may run at
// most once under way.
func (c *callerPool) hasStreamsAndNonIdempotent(address string) bool {
	nonIdempotent := 0
	c.forEachInFlight(func(o *inFlightSend) {
		if o.answering(address) && !o.idempotent {
			nonIdempotent++
		}
	})
	return nonIdempotent >= 1 && c.streamsAt(address) >= 2
}

// streamsAt counts the streamed answers under way at an instance.
func (c *callerPool) streamsAt(address string) int {
	n := 0
	c.forEachInFlight(func(o *inFlightSend) {
		if o.answering(address) && o.streamed {
			n++
		}
	})
	return n
}

// answering tells whether a model's answer has probably begun at an instance.
func (o *inFlightSend) answering(address string) bool {
	return o.address == address && !o.service && time.Since(o.start) > assumedStreamingAfter
}

// forEachInFlight visits the sends whose answer is not complete.
func (c *callerPool) forEachInFlight(visit func(*inFlightSend)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for o := range c.inFlight {
		visit(o)
	}
}

// serviceCallsInFlight tells whether calls of both kinds to a plain service are probably
// under way there.
func (c *callerPool) serviceCallsInFlight() bool {
	idempotent, nonIdempotent := 0, 0
	c.forEachInFlight(func(o *inFlightSend) {
		switch {
		case !o.service || time.Since(o.start) < assumedCalledAfter:
		case o.idempotent:
			idempotent++
		default:
			nonIdempotent++
		}
	})
	return idempotent > 0 && nonIdempotent > 0
}

// inFlightAt counts all sends without a complete answer at an instance.
func (c *callerPool) inFlightAt(address string) int {
	n := 0
	c.forEachInFlight(func(o *inFlightSend) {
		if o.address == address {
			n++
		}
	})
	return n
}

// request is what a caller wants.
type request struct {
	customer   customer
	service    bool
	stream     bool
	idempotent bool
	// text is put into the prompt.
	text string
}

// mixedRequest chooses among all kinds of requests and three customers.
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

// newRecord returns a new newRecord, without sends.
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

// sendUntilAnswered sends a request until it is answered or given up, and records it.
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

// chooseAddress picks an instance other than the last one.
func (c *callerPool) chooseAddress(rng *rand.Rand, last string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.addresses
	if len(choice) > 1 {
		choice = slices.DeleteFunc(slices.Clone(choice), func(a string) bool { return a == last })
	}
	return choice[rng.IntN(len(choice))]
}

// shouldResend tells whether a caller sends a request again after an answer.
func shouldResend(_ load.Record, res load.Result) bool {
	switch {
	case res.Complete:
		return false
	case res.Error == nil:
		return true // the connection broke
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
	return runlog.MarkNonce(r.Nonce) + " " + q.text
}

// worstCase is the bound that an instance reserves, in tokens.
func worstCase(prompt string) int64 {
	raw, _ := json.Marshal(engine.Message{Role: "user", Content: prompt})
	const tokensPerMessage = 16
	return int64(len(raw)) + tokensPerMessage + maxTokens
}

// answerTimeout is how long a caller waits for an answer.
func (c *callerPool) answerTimeout(r load.Record) time.Duration {
	const abandonOneIn = 3
	if c.abandonSome && !r.Service && len(r.Sends) == 0 && xxhash.Sum64String(r.Key)%abandonOneIn == 0 {
		return abandonTimeout
	}
	return callerTimeout
}

// send sends a request once.
func (c *callerPool) send(address string, r load.Record, q request) load.Send {
	o := &inFlightSend{address: address, start: time.Now(), streamed: q.stream, service: q.service, idempotent: q.idempotent}
	c.mu.Lock()
	c.inFlight[o] = struct{}{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.answerTimeout(r))
	defer cancel()
	client := clients[q.customer.name]
	s := load.Send{Address: address, Start: o.start}
	switch {
	case !q.service:
		s.Result = client.Chat(ctx, address, load.Chat{
			Model: modelName, Prompt: prompt(r, q), MaxTokens: maxTokens, Stream: q.stream, IdempotencyKey: r.Key, NonIdempotent: !q.idempotent,
		})
	case q.idempotent:
		s.Result = client.Call(ctx, address, "GET", serviceName+"/jobs/"+runlog.MarkNonce(r.Nonce), r.Key, nil)
	default:
		s.Result = client.Call(ctx, address, "POST", serviceName+"/bookings", r.Key, []byte(runlog.MarkNonce(r.Nonce)))
	}
	s.End = time.Now()
	c.mu.Lock()
	delete(c.inFlight, o)
	c.mu.Unlock()
	return s
}

// clients holds one client for each customer.
var clients = func() map[string]*load.Client {
	m := map[string]*load.Client{}
	for _, c := range []customer{wide, other, tight, probe} {
		m[c.name] = load.NewClient(c.key(), nil)
	}
	return m
}()
