package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ran is one request that a replica began to work on, as the replica got it.
type ran struct {
	replica, attempt, method, uri, body string
	header                              http.Header
}

// replica is a stand-in for a replica of a service. It registers itself in the store.
type replica struct {
	id, service, address string
	store                *store
	rec                  *record
	born                 int64
	server               *http.Server
	// respond, if it is not nil, answers a request that the replica runs.
	respond func(w http.ResponseWriter, r *http.Request, body []byte)
	stopped chan struct{}

	// mu guards all and the fields that a crash changes: born, server and down.
	mu   sync.Mutex
	all  []ran
	down bool
}

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

func newReplica(s *store, rec *record, id, service string, respond func(http.ResponseWriter, *http.Request, []byte)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return newReplicaOn(l, s, rec, id, service, respond)
}

// newReplicaOn is newReplica with the listener of the replica.
func newReplicaOn(l net.Listener, s *store, rec *record, id, service string, respond func(http.ResponseWriter, *http.Request, []byte)) (*replica, error) {
	p := &replica{
		id: id, service: service, address: l.Addr().String(), store: s, rec: rec, born: time.Now().UnixMilli(), respond: respond, stopped: make(chan struct{}),
	}
	p.serveOn(l)
	go p.register()
	return p, nil
}

func (p *replica) serveOn(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// crash ends the replica's process: its connections are closed and new ones are refused.
// It starts again later, under its id and address, and reports whether it could.
func (p *replica) crash(later time.Duration) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.down = true
	server := p.server
	p.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(later, func() {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			p.rec.log("replica %s not started again: %v", p.id, err)
			return
		}
		p.mu.Lock()
		p.down, p.born = false, time.Now().UnixMilli()
		p.mu.Unlock()
		p.serveOn(l)
		p.rec.log("replica %s is back", p.id)
	})
}

func (p *replica) register() {
	for n := 1; ; n++ {
		p.mu.Lock()
		born, down := p.born, p.down
		p.mu.Unlock()
		if !down {
			p.store.put("servers", p.id, map[string]any{
				"service": p.service, "address": p.address, "zone": "zone-a", "version": "v1", "concurrency_slots": 48, "replica_state": "ready",
				"cold_remaining_ms": 0, "sequence_number": n, "born": born,
			})
		}
		select {
		case <-p.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Replica-Id", p.id)
	if r.RequestURI == "/health" {
		return
	}
	if r.RequestURI == "/report" {
		reply(w, http.StatusOK, map[string]any{"inference_stage": "prefill_and_decode", "busy": false, "sequence_number": 1, "queued_requests": 0, "active_requests": 0, "kv_cache_used": 0, "kv_cache_total": 463195, "transfer_handles": 0})
		return
	}
	if want := r.Header.Get("X-Expect-Replica"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.all = append(p.all, ran{p.id, attempt, r.Method, r.RequestURI, string(body), r.Header.Clone()})
	p.mu.Unlock()
	p.rec.log("replica %s runs attempt %s: %s %s, %d bytes of body, tenant %q", p.id, attempt, r.Method, r.RequestURI, len(body), r.Header.Get("X-Tenant"))
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Replica-Signature", signature(p.id, attempt))
	if p.respond != nil {
		p.respond(w, r, body)
		return
	}
	answer := answerOf(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func signature(id, attempt string) string { return fmt.Sprintf("%s.%s", id, attempt) }

// answerOf is the body of the answer to an attempt.
func answerOf(attempt string) string { return "done " + attempt + "\n" }

// runs returns what the replica has run.
func (p *replica) runs() []ran {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ran(nil), p.all...)
}

func (p *replica) stop() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}
