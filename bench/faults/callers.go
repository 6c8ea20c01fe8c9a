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
	// hastyTimeout ends in mid-stream.
	hastyTimeout = 250 * time.Millisecond
	// maxSends bounds the sends of one request.
	maxSends    = 5
	resendDelay = 150 * time.Millisecond
	thinkTime   = 10 * time.Millisecond
	// midStream is the age from which a streamed answer counts as under way;
	// a whole one takes longer.
	midStream = 100 * time.Millisecond
	// midCall is the same for a call of a plain service.
	midCall = 10 * time.Millisecond
)

// openSend is a send whose answer is not complete.
type openSend struct {
	address  string
	start    time.Time
	streamed bool
	service  bool
	// repeatable is false for a request that may run at most once.
	repeatable bool
}

// callers is a bounded number of callers that send mixed requests and send
// broken or refused ones again, under the same key, to another instance.
type callers struct {
	journal *load.Journal
	seed    uint64
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	addresses []string
	open      map[*openSend]struct{}
	serial    int
	// hasty callers leave the first send of each third model request in
	// mid-stream, and send it again elsewhere.
	hasty bool
}

func newCallers(journal *load.Journal, seed uint64, addresses []string) *callers {
	return &callers{journal: journal, seed: seed, addresses: addresses, open: map[*openSend]struct{}{}, cancel: func() {}}
}

// start begins count callers that each send one request after the other,
// chosen by next.
func (c *callers) start(count int, next func(*rand.Rand) request) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for i := range count {
		c.workers.Go(func() {
			rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
			for ctx.Err() == nil {
				c.do(rng, next(rng))
				time.Sleep(thinkTime)
			}
		})
	}
}

// stop ends the callers once their requests are answered.
func (c *callers) stop() {
	c.cancel()
	c.workers.Wait()
}

// use changes the instances that callers know.
func (c *callers) use(change func([]string) []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = change(slices.Clone(c.addresses))
}

// busy tells whether an instance has two streams and a request that may run at
// most once under way.
func (c *callers) busy(address string) bool {
	once := 0
	c.each(func(o *openSend) {
		if o.underWay(address) && !o.repeatable {
			once++
		}
	})
	return once >= 1 && c.streams(address) >= 2
}

// streams counts the streamed answers under way at an instance.
func (c *callers) streams(address string) int {
	n := 0
	c.each(func(o *openSend) {
		if o.underWay(address) && o.streamed {
			n++
		}
	})
	return n
}

// underWay tells whether a model's answer has probably begun at an instance.
func (o *openSend) underWay(address string) bool {
	return o.address == address && !o.service && time.Since(o.start) > midStream
}

// each visits the sends whose answer is not complete.
func (c *callers) each(visit func(*openSend)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for o := range c.open {
		visit(o)
	}
}

// callsOpen tells whether calls of both kinds to a plain service are probably
// under way there.
func (c *callers) callsOpen() bool {
	repeatable, once := 0, 0
	c.each(func(o *openSend) {
		switch {
		case !o.service || time.Since(o.start) < midCall:
		case o.repeatable:
			repeatable++
		default:
			once++
		}
	})
	return repeatable > 0 && once > 0
}

// openAt counts all sends without a complete answer at an instance.
func (c *callers) openAt(address string) int {
	n := 0
	c.each(func(o *openSend) {
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

// mixed chooses among all kinds of requests and three customers.
func mixed(rng *rand.Rand) request {
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

// record returns a new record, without sends.
func (c *callers) record(q request) load.Record {
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

// do sends a request until it is answered or given up, and records it.
func (c *callers) do(rng *rand.Rand, q request) load.Record {
	r := c.record(q)
	last := ""
	for range maxSends {
		last = c.choose(rng, last)
		s := c.send(last, r, q)
		r.Sends = append(r.Sends, s)
		if !sendAgain(r, s.Result) {
			break
		}
		time.Sleep(resendDelay)
	}
	c.journal.Add(r)
	return r
}

// choose picks an instance other than the last one.
func (c *callers) choose(rng *rand.Rand, last string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.addresses
	if len(choice) > 1 {
		choice = slices.DeleteFunc(slices.Clone(choice), func(a string) bool { return a == last })
	}
	return choice[rng.IntN(len(choice))]
}

// sendAgain tells whether a caller sends a request again after an answer.
func sendAgain(_ load.Record, res load.Result) bool {
	switch {
	case res.Whole:
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
	return runlog.FormatNonce(r.Nonce) + " " + q.text
}

// worstCase is the bound that an instance reserves, in tokens.
func worstCase(prompt string) int64 {
	raw, _ := json.Marshal(engine.Message{Role: "user", Content: prompt})
	const tokensPerMessage = 16
	return int64(len(raw)) + tokensPerMessage + maxTokens
}

// patience is how long a caller waits for an answer.
func (c *callers) patience(r load.Record) time.Duration {
	const hastyShare = 3
	if c.hasty && !r.Service && len(r.Sends) == 0 && xxhash.Sum64String(r.Key)%hastyShare == 0 {
		return hastyTimeout
	}
	return callerTimeout
}

// send sends a request once.
func (c *callers) send(address string, r load.Record, q request) load.Send {
	o := &openSend{address: address, start: time.Now(), streamed: q.stream, service: q.service, repeatable: q.idempotent}
	c.mu.Lock()
	c.open[o] = struct{}{}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.patience(r))
	defer cancel()
	client := clients[q.customer.name]
	s := load.Send{Address: address, Start: o.start}
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
	delete(c.open, o)
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
