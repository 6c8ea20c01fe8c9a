package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	wire "plantainfield.example/fleet/engine"
	"plantainfield.example/standins/runlog"
)

const maxBodyBytes = 64 << 20

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{stream}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", e.cacheEventsAfter).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/{prefix}", e.exportKV).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{prefix}", e.importKV).Methods(http.MethodPut)
	r.HandleFunc("/control/leave", e.setLeaving).Methods(http.MethodPost)
	return r
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, &req)
	}
	if err != nil {
		w.Header().Set(wire.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		e.options.Log.Add(runlog.Entry{Event: "refused", Target: e.options.Name, Attempt: r.Header.Get(wire.HeaderAttempt)})
		w.Header().Set(wire.HeaderNotStarted, wire.NotStartedLeaving)
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	attempt := r.Header.Get(wire.HeaderAttempt)
	s := e.startOrFollow(attempt, r.Header.Get(wire.HeaderStream), raw, &req)
	follow(w, r, s, attempt, 0)
}

// resume sends a running or finished stream from a frame number on. Its chunks
// carry the ID of the new attempt.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.streamByID(mux.Vars(r)["stream"])
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	s.setFollower(r.Header.Get(wire.HeaderAttempt))
	follow(w, r, s, r.Header.Get(wire.HeaderAttempt), from)
}

// follow sends a stream's chunks, starting at number next, until the stream is
// done or the client disconnects. A disconnect does not stop the stream.
func follow(w http.ResponseWriter, r *http.Request, s *stream, attempt string, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	var b bytes.Buffer
	for {
		s.mu.Lock()
		newTokens := s.tokens[min(next, len(s.tokens)):]
		total, done, cancelled, usage, changed := len(s.tokens), s.done, s.cancelled, s.usage(), s.changed
		s.mu.Unlock()
		b.Reset()
		for _, t := range newTokens {
			writeChunk(&b, s.model, attempt, next, t)
			next++
		}
		if done && !cancelled {
			if next <= total {
				writeFinish(&b, s.model, attempt, total)
			}
			writeUsage(&b, s.model, attempt, total+1, usage)
		}
		_, _ = w.Write(b.Bytes())
		_ = controller.Flush()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeChunk(b *bytes.Buffer, model, attempt string, number int, token string) {
	fmt.Fprintf(b, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n",
		number, attempt, model, token)
}

func writeFinish(b *bytes.Buffer, model, attempt string, number int) {
	fmt.Fprintf(b, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
		number, attempt, model)
}

func writeUsage(b *bytes.Buffer, model, attempt string, number int, u wire.Usage) {
	fmt.Fprintf(b, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		number, attempt, model, u.PromptTokens, u.CompletionTokens, u.TotalTokens)
}

type cancelResponse struct {
	Usage wire.Usage `json:"usage"`
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.streamByID(mux.Vars(r)["stream"])
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	if s.follower != r.Header.Get(wire.HeaderAttempt) {
		s.mu.Unlock()
		http.Error(w, "another attempt follows the stream", http.StatusNotFound)
		return
	}
	if !s.done {
		s.cancelled = true
	}
	u := s.usage()
	s.mu.Unlock()
	writeJSON(w, cancelResponse{u})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.loadReport
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) cacheEventsAfter(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.events.after(after, e.options.ReportLag)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	accepted := e.orders.apply(o, e.options.CheckFencing)
	state := e.orders
	e.mu.Unlock()
	if !accepted {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, state)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	prefix := mux.Vars(r)["prefix"]
	h, err := strconv.ParseUint(prefix, 16, 64)
	e.mu.Lock()
	cached := err == nil && e.cache.Contains(h)
	imported := e.kv[prefix]
	e.mu.Unlock()
	if !cached {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	if imported == nil {
		imported = []byte(prefix)
	}
	_, _ = w.Write(imported)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	prefix := mux.Vars(r)["prefix"]
	h, err := strconv.ParseUint(prefix, 16, 64)
	raw, readErr := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || readErr != nil {
		http.Error(w, "malformed import", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Add(h, struct{}{})
	e.kv[prefix] = raw
}

func (e *Engine) setLeaving(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The engine now refuses new requests and reports Leaving in its load.
	e.leaving = true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
