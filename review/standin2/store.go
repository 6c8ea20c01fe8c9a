package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the store as the platform's pages describe it.
type object struct {
	Metadata struct {
		Name            string   `json:"name"`
		Revision        int64    `json:"revision"`
		CreatedRevision int64    `json:"created_revision"`
		Finalizers      []string `json:"finalizers"`
		DeletionPending bool     `json:"deletion_pending"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type change struct {
	StoredObject object `json:"stored_object"`
	Deleted      bool   `json:"deleted"`
	kind         string
	revision     int64
}

// call is a call that the store has begun to answer.
type call struct {
	at      time.Time
	method  string
	path    string
	remote  string
	waitMS  int64
	isWatch bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	calls    []call
	conns    map[*connState]bool
}

// connState is the state of one connection to the store.
type connState struct{ silent atomic.Bool }

type connKey struct{}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), conns: map[*connState]bool{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		state := &connState{}
		s.mu.Lock()
		s.conns[state] = true
		s.mu.Unlock()
		return context.WithValue(ctx, connKey{}, state)
	}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// silenceConnections makes the connections that are open now go silent for good. New
// ones work.
func (s *store) silenceConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for state := range s.conns {
		state.silent.Store(true)
	}
	return len(s.conns)
}

// callsSince returns the calls that arrived on working connections since a time.
func (s *store) callsSince(since time.Time) []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []call
	for _, c := range s.calls {
		if c.at.After(since) {
			out = append(out, c)
		}
	}
	return out
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	state := r.Context().Value(connKey{}).(*connState)
	if state.silent.Load() {
		<-r.Context().Done()
		return
	}
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	c := call{at: time.Now(), method: r.Method, path: r.URL.Path, remote: r.RemoteAddr, isWatch: r.URL.Query().Has("watch_stream")}
	c.waitMS, _ = strconv.ParseInt(r.URL.Query().Get("max_wait_ms"), 10, 64)
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	var code int
	var body any
	switch {
	case r.Method == http.MethodGet && single:
		code, body = s.get(kind, name)
	case r.Method == http.MethodGet && c.isWatch:
		from, _ := strconv.ParseInt(r.URL.Query().Get("watch_stream"), 10, 64)
		code, body = s.watch(r.Context(), kind, from, time.Duration(c.waitMS)*time.Millisecond)
	case r.Method == http.MethodGet:
		code, body = http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodDelete:
		code, body = s.remove(kind, name)
	default:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			code = http.StatusBadRequest
			break
		}
		code, body = s.write(kind, strings.TrimSuffix(name, "/status"), o, r.Method == http.MethodPost, strings.HasSuffix(name, "/status"))
	}
	if state.silent.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, o
}

func (s *store) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			entries = append(entries, o)
		}
	}
	slices.SortFunc(entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"entries": entries, "more": false, "at": s.revision}
}

func (s *store) watch(ctx context.Context, kind string, from int64, wait time.Duration) (int, any) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		result := map[string]any{"events": events, "at": at}
		if len(events) > 0 {
			return http.StatusOK, result
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, result
		case <-ctx.Done():
			return http.StatusOK, result
		}
	}
}

// record appends a change. The caller holds mu.
func (s *store) record(kind string, o object, deleted bool) {
	s.history = append(s.history, change{StoredObject: o, Deleted: deleted, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind, name string, o object, create, status bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if create {
		name = o.Metadata.Name
	}
	current, known := s.objects[kind][name]
	switch {
	case create && known:
		return http.StatusConflict, current
	case !create && !known:
		return http.StatusNotFound, nil
	case o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	next := current
	next.Metadata.Name = name
	if status {
		next.Status = o.Status
	} else {
		next.Specification, next.Metadata.Finalizers = o.Specification, o.Metadata.Finalizers
	}
	if known && string(next.Specification) == string(current.Specification) && string(next.Status) == string(current.Status) {
		return http.StatusOK, current
	}
	s.revision++
	next.Metadata.Revision = s.revision
	if create {
		next.Metadata.CreatedRevision = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = next
	s.record(kind, next, false)
	return http.StatusOK, next
}

func (s *store) remove(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return http.StatusNotFound, nil
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(kind, o, true)
	return http.StatusOK, o
}

// put creates or replaces an object, as an operator or a replica does, and returns when
// the store has acknowledged it.
func (s *store) put(kind, name string, spec any) (time.Time, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return time.Time{}, err
	}
	var o object
	o.Metadata.Name, o.Specification = name, raw
	if code, _ := s.write(kind, name, o, false, false); code == http.StatusNotFound {
		s.write(kind, name, o, true, false)
	}
	return time.Now(), nil
}
