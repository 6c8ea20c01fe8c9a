package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	replica string
	service string
	attempt string
	// uri and host are those of the request as the replica got it.
	uri, host string
	ran       bool
}

// arrivals records what the replicas get.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(e arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, e)
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// replica is a stand-in of a replica of a plain service. It runs as many requests at
// once as it has slots, keeps a few more in its queue and rejects the others.
type replica struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	seen              *arrivals
	listener          net.Listener
	server            *http.Server
	places            chan struct{}
	running           chan struct{}
	// fatal is the body of a request that crashes the replica, or empty, and crashed is
	// called when that has happened.
	fatal   string
	crashed func(r *replica, attempt string)
	// leaving is set once the replica leaves.
	mu      sync.Mutex
	leaving bool
	// born is the start of the replica in Unix milliseconds.
	born int64
}

func newReplica(id, service, zone string, slots, queue int, work time.Duration, seen *arrivals) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, seen: seen, listener: l, born: time.Now().UnixMilli(),
		places: make(chan struct{}, slots+queue), running: make(chan struct{}, slots),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// register writes the replica's entry.
func (r *replica) register(s *store, state string) (time.Time, error) {
	return s.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "concurrency_slots": r.slots,
		"replica_state": state, "cold_remaining_ms": 0, "sequence_number": 1, "born": r.born,
	})
}

// crash ends the replica's process. It is back, at the same address, after some time.
func (r *replica) crash(s *store, down time.Duration) {
	address := r.listener.Addr().String()
	_ = r.server.Close()
	time.Sleep(down)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return
	}
	r.listener = l
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	r.born += down.Milliseconds() + 1
	_, _ = r.register(s, "ready")
}

// leave makes the replica say in its answers that it leaves.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// end ends the replica: requests in progress are cut off.
func (r *replica) end() { _ = r.server.Close() }

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	r.mu.Unlock()
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e := arrival{at: time.Now(), replica: r.id, service: r.service, attempt: attempt, uri: q.RequestURI, host: q.Host}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	default:
		r.seen.add(e)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(q.Body)
	e.ran = true
	r.seen.add(e)
	if r.fatal != "" && string(body) == r.fatal {
		r.crashed(r, attempt)
		panic(http.ErrAbortHandler)
	}
	select {
	case r.running <- struct{}{}:
		defer func() { <-r.running }()
	case <-q.Context().Done():
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	w.Header().Set("X-Replica-Signature", "sig."+r.id)
	_, _ = fmt.Fprintf(w, "answer to %s\n", attempt)
}
