package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["14"] = deadlyWithoutCaller }

const (
	// crashAfter is the time from when a replica begins to run the deadly request to its
	// crash, and replicaBack the time until it is back.
	crashAfter  = 600 * time.Millisecond
	replicaBack = 2 * time.Second
	// leaveAfter is when a client that gives up leaves: half of the route's objective.
	leaveAfter = 200 * time.Millisecond
	// deadlyPause is the time between two sends of the deadly request, and deadlyTime how
	// long it comes.
	deadlyPause = 800 * time.Millisecond
	deadlyTime  = 20 * time.Second
	// deadlyReplicas is the number of replicas.
	deadlyReplicas = 5
	// otherClients send sound requests and stay.
	otherClients = 4
	// stabilityWindow is the bound stability_window_ms of the settings.
	stabilityWindow = 3 * time.Second
	// allowedSends is how often the deadly request may be sent later than that.
	allowedSends = 3
	deadlyBody   = `{"diagnose":"unit 4711"}`
)

// worksOn names the replicas that work on when the connection of a request closes. Most
// replicas drop the request.
var worksOn = map[string]bool{"i-chat-2": true, "i-chat-5": true}

// crashes records when replicas were sent the deadly request and when they crashed.
type crashes struct {
	mu            sync.Mutex
	sent, crashed []time.Time
}

// sendsAfterThird returns how often the deadly request was sent later than the stability
// window after it had crashed the third replica.
func (c *crashes) sendsAfterThird() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) < 3 {
		return 0
	}
	count := 0
	for _, at := range c.sent {
		if at.After(c.crashed[2].Add(stabilityWindow)) {
			count++
		}
	}
	return count
}

// deadlyWithoutCaller sends a request again and again that ends each replica which begins
// to run it. Its clients give up before that.
func deadlyWithoutCaller(e *env) (bool, error) {
	cfg := baseConfig()
	e.store.put("config", "main", cfg)
	c := &crashes{}
	for i := range deadlyReplicas {
		var p *replica
		respond := func(w http.ResponseWriter, r *http.Request, body []byte) {
			if string(body) != deadlyBody {
				stream(w, r, body)
				return
			}
			c.mu.Lock()
			c.sent = append(c.sent, time.Now())
			c.mu.Unlock()
			var dropped <-chan struct{}
			if !worksOn[p.id] {
				dropped = r.Context().Done()
			}
			select {
			case <-dropped:
				e.rec.log("replica %s drops the deadly request, as its connection is closed", p.id)
				return
			case <-time.After(crashAfter):
			}
			c.mu.Lock()
			c.crashed = append(c.crashed, time.Now())
			count := len(c.crashed)
			c.mu.Unlock()
			e.rec.log("replica %s crashes by the deadly request: crash %d", p.id, count)
			p.crash(replicaBack)
		}
		p, err := newReplica(e.store, e.rec, fmt.Sprint("i-chat-", i+1), chat, respond)
		if err != nil {
			return false, err
		}
		e.onEnd(p.stop)
	}
	var instances []*instance
	for i := range 2 {
		in, err := e.instance(fmt.Sprint("edge-", i+1))
		if err != nil {
			return false, err
		}
		instances = append(instances, in)
	}
	time.Sleep(2 * heartbeat)
	until := time.Now().Add(deadlyTime)
	var clients sync.WaitGroup
	for n := range otherClients {
		clients.Go(func() {
			for k := 1; time.Now().Before(until); k++ {
				ask(e.rec, instances[rand.IntN(len(instances))].frontend, fmt.Sprintf("c%d-%d", n+1, k))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for k := 1; time.Now().Before(until); k++ {
		e.askDeadly(instances[k%len(instances)].frontend, fmt.Sprintf("deadly-%d", k))
		time.Sleep(deadlyPause)
	}
	clients.Wait()
	late := c.sendsAfterThird()
	e.rec.log("%d sends of the deadly request, %d crashes; %d sends later than %v after the third crash", len(c.sent), len(c.crashed), late, stabilityWindow)
	return late > allowedSends, nil
}

// askDeadly sends the deadly request. With the disruption, its client leaves early.
func (e *env) askDeadly(address, attempt string) {
	conn, err := dialClient(address)
	if err != nil {
		e.rec.log("client: %s not sent: %v", attempt, err)
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /chat/diagnosis HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\nX-Api-Key: %s\r\nX-Model: m\r\n"+
		"X-Token-Usage: 600,60\r\nX-Prompt-Prefix: 5c1e07a2:400,%x:200\r\nContent-Length: %d\r\n\r\n%s", host, attempt, apiKey, rand.Uint32(), len(deadlyBody), deadlyBody)
	if err != nil {
		e.rec.log("client: %s not sent: %v", attempt, err)
		return
	}
	wait := 12 * time.Second
	if e.trouble {
		wait = leaveAfter
	}
	code, _, body, err := conn.answer(http.MethodPost, wait)
	e.rec.log("client: %s to %s: status %d, %q, %v", attempt, address, code, strings.TrimSpace(body), err)
}
