package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = drillDuringRestart }

const (
	// copyAge is how old the copy may be that the store comes back from, awayTime how long
	// it is away, and restartDelay the platform's delay before it starts a process again.
	copyAge      = 5 * time.Second
	awayTime     = time.Second
	restartDelay = 300 * time.Millisecond
	// recoveryTime is the bound recovery_time_s of the settings.
	recoveryTime = 12 * time.Second
	// measured is for how long requests are counted after it.
	measured = 25 * time.Second
	// Size of a request, in tokens.
	promptTokens, outputTokens = 2000, 60
	stepSize                   = 6
	drillInstances             = 3
	drillClients               = 6
	// eventPause is the time between two events of a stream.
	eventPause = 5 * time.Millisecond
)

// span counts the requests that were sent in a time.
type span struct{ sent, served int }

// traffic counts the clients' requests before the fault and after the recovery time.
type traffic struct {
	mu            sync.Mutex
	before, after span
	faultAt       time.Time
	recoveredAt   time.Time
	tokens        int64
}

func (t *traffic) count(at time.Time, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if served {
		t.tokens += promptTokens + outputTokens
	}
	s := &t.before
	switch {
	case t.faultAt.IsZero():
	case !t.recoveredAt.IsZero() && at.After(t.recoveredAt):
		s = &t.after
	default:
		return
	}
	s.sent++
	if served {
		s.served++
	}
}

// stream answers with the events of a whole stream.
func stream(w http.ResponseWriter, _ *http.Request, _ []byte) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= outputTokens/stepSize; i++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// ask sends one request for a stream on a new connection and returns its status.
func ask(rec *record, address, attempt string) int {
	c, err := dialClient(address)
	if err != nil {
		rec.log("client: %s not sent: %v", attempt, err)
		return 0
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\nX-Api-Key: %s\r\nX-Model: m\r\n"+
		"X-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %x:%d\r\nContent-Length: 0\r\n\r\n", host, attempt, apiKey, promptTokens, outputTokens, rand.Uint32(), promptTokens)
	if err != nil {
		rec.log("client: %s not sent: %v", attempt, err)
		return 0
	}
	code, header, body, err := c.answer(http.MethodPost, 12*time.Second)
	if code == http.StatusOK && err == nil {
		rec.log("client: %s answered by %s: status 200, %d bytes", attempt, address, len(body))
		return code
	}
	rec.log("client: %s answered by %s: status %d, Retry-After %q, body %q, %v", attempt, address, code, header.Get("Retry-After"), body, err)
	if err != nil {
		return 0
	}
	return code
}

// drillDuringRestart restarts one of three instances as planned. Between its end and its
// start the store is away for a moment and comes back from a copy.
func drillDuringRestart(e *env) (bool, error) {
	cfg := baseConfig()
	e.store.put("config", "main", cfg)
	for i := range 3 {
		p, err := newReplica(e.store, e.rec, fmt.Sprint("i-chat-", i+1), chat, stream)
		if err != nil {
			return false, err
		}
		e.onEnd(p.stop)
	}
	var instances []*instance
	for i := range drillInstances {
		in, err := e.instance(fmt.Sprint("edge-", i+1))
		if err != nil {
			return false, err
		}
		instances = append(instances, in)
	}
	time.Sleep(2 * heartbeat)
	t := &traffic{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range drillClients {
		clients.Go(func() {
			for k := 1; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+rand.IntN(400)) * time.Millisecond):
				}
				at := time.Now()
				code := ask(e.rec, instances[rand.IntN(len(instances))].frontend, fmt.Sprintf("c%d-%d", n+1, k))
				t.count(at, code == http.StatusOK)
			}
		})
	}
	time.Sleep(10 * time.Second)
	if err := e.restartWithDrill(t, instances[1]); err != nil {
		return false, err
	}
	t.mu.Lock()
	t.recoveredAt = time.Now().Add(recoveryTime)
	t.mu.Unlock()
	e.rec.log("all machines are back")
	time.Sleep(recoveryTime + measured)
	close(stop)
	clients.Wait()
	e.rec.log("the tenant has prepaid %d tokens; at most %d were used", cfg.Tenants[0].Quota, t.tokens)
	e.rec.log("before: %d of %d requests served; later than %v after the machines were back: %d of %d", t.before.served, t.before.sent, recoveryTime, t.after.served, t.after.sent)
	if t.before.sent == 0 || t.after.sent == 0 || 4*t.before.served < t.before.sent {
		return false, fmt.Errorf("too little was served before: %+v, after: %+v", t.before, t.after)
	}
	return 4*t.after.served < t.after.sent, nil
}

// restartWithDrill stops an instance, lets the store have its drill, and starts the
// instance again.
func (e *env) restartWithDrill(t *traffic, in *instance) error {
	copied, copiedAt := e.store.copyNow(), time.Now()
	time.Sleep(restartDelay)
	e.rec.log("SIGTERM to %s", in.name)
	t.mu.Lock()
	t.faultAt = time.Now()
	t.mu.Unlock()
	if err := in.signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-in.exited
	e.rec.log("%s has ended", in.name)
	if e.trouble {
		e.store.goAway()
		e.rec.log("store: away")
	}
	time.Sleep(awayTime)
	if e.trouble {
		age := time.Since(copiedAt)
		if age > copyAge {
			return fmt.Errorf("the copy is %v old", age)
		}
		e.store.comeBack(copied)
		e.rec.log("store: back from a copy that is %v old, in a new era", age.Round(time.Millisecond))
	}
	time.Sleep(restartDelay)
	err := in.start()
	e.rec.log("%s has started again: %v", in.name, err)
	return err
}
