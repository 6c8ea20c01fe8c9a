package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Sizes and times of the stand-in replicas.
const (
	tokensPerEvent = 6
	stepTime       = 4 * time.Millisecond
	workTime       = 30 * time.Millisecond
)

// replica is a stand-in of a model replica or of an application server.
type replica struct {
	id, service, address, zone string
	engine                     bool
	born                       int64
	record                     *record
}

func startReplica(rec *record, id, service, zone string, engine bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, service: service, address: l.Addr().String(), zone: zone, engine: engine, born: time.Now().UnixMilli(), record: rec}
	go func() { _ = http.Serve(l, p) }()
	return p, nil
}

// entry is what the replica writes to the store.
func (p *replica) entry() map[string]any {
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "concurrency_slots": 48,
		"replica_state": "ready", "cold_remaining_ms": 0, "sequence_number": 1, "born": p.born,
	}
	if p.engine {
		e["inference_stage"] = "prefill_and_decode"
		e["loaded_models"] = []any{map[string]any{"name": "m", "version": 1}}
	}
	return e
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" { // a health check or a report
		w.Header().Set("X-Replica-Id", p.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != p.id {
		w.Header().Set("X-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.record.ran(id, p.id)
	w.Header().Set("X-Replica-Signature", "sig."+p.id+"."+id)
	if !p.engine {
		time.Sleep(workTime)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	p.stream(w, r, id)
}

// stream generates all output tokens that the request allows.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	prompt, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	promptTokens, _ := strconv.ParseInt(prompt, 10, 64)
	outputTokens, _ := strconv.ParseInt(output, 10, 64)
	p.record.read(id, promptTokens)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	controller := http.NewResponseController(w)
	for k := int64(1); (k-1)*tokensPerEvent < outputTokens; k++ {
		time.Sleep(stepTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", k, id, k); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
		p.record.made(id, min(tokensPerEvent, outputTokens-(k-1)*tokensPerEvent))
	}
}
