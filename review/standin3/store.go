package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stored is one object of the store.
type stored struct {
	kind, name        string
	revision, created int64
	spec, status      json.RawMessage
	finalizers        json.RawMessage
}

// change is one entry of the store's history.
type change struct {
	object  stored
	deleted bool
}

// store is a stand-in for the platform's object store: linearizable, with one revision
// counter, conditional writes and long-polling watches.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]stored
	history  []change
	changed  chan struct{}
	address  string
	server   *http.Server
	// away is set while the store resets all connections. era rises each time that it
	// comes back from a copy, and watches from before floor are answered with 410.
	away  bool
	era   int64
	floor int64
}

const firstRevision = 100

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: firstRevision, objects: map[string]map[string]stored{}, changed: make(chan struct{}), address: l.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (o stored) encode() map[string]any {
	finalizers := o.finalizers
	if finalizers == nil {
		finalizers = json.RawMessage("[]")
	}
	status := o.status
	if status == nil {
		status = json.RawMessage("null")
	}
	return map[string]any{
		"metadata": map[string]any{
			"name": o.name, "revision": o.revision, "created_revision": o.created, "finalizers": finalizers, "deletion_pending": false,
		},
		"specification": o.spec, "status": status,
	}
}

// put writes an object, as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specifications are this program's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.kind, o.name, o.spec = kind, name, raw
	s.write(o)
	return s.revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.drop(o)
	}
}

// write stores an object under a new revision. The caller holds mu.
func (s *store) write(o stored) stored {
	s.revision++
	if o.created == 0 {
		o.created = s.revision
	}
	o.revision = s.revision
	if s.objects[o.kind] == nil {
		s.objects[o.kind] = map[string]stored{}
	}
	s.objects[o.kind][o.name] = o
	s.record(change{object: o})
	return o
}

// drop deletes an object. The caller holds mu.
func (s *store) drop(o stored) {
	s.revision++
	delete(s.objects[o.kind], o.name)
	o.revision = s.revision
	s.record(change{object: o, deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, onlyStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && !single && r.URL.Query().Has("watch_stream"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !single:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o.encode())
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, kind, name, onlyStatus)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries := []any{}
	names := []string{}
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		entries = append(entries, s.objects[kind][name].encode())
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"entries": entries, "more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch_stream"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.floor || from > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.object.kind == kind && c.object.revision > from {
				events = append(events, map[string]any{"deleted": c.deleted, "stored_object": c.object.encode()})
			}
		}
		at, changed, away := s.revision, s.changed, s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// written is the body of a write.
type written struct {
	Metadata struct {
		Name       string          `json:"name"`
		Revision   int64           `json:"revision"`
		Finalizers json.RawMessage `json:"finalizers"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"specification"`
	Status json.RawMessage `json:"status"`
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, onlyStatus bool) {
	var in written
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	switch {
	case create && exists, !create && exists && in.Metadata.Revision > 0 && in.Metadata.Revision != o.revision:
		reply(w, http.StatusConflict, o.encode())
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !create && !onlyStatus && string(o.spec) == string(in.Spec) && in.Metadata.Finalizers == nil {
		reply(w, http.StatusOK, o.encode())
		return
	}
	o.kind, o.name = kind, name
	if onlyStatus {
		o.status = in.Status
	} else {
		o.spec = in.Spec
		if in.Metadata.Finalizers != nil {
			o.finalizers = in.Metadata.Finalizers
		}
	}
	reply(w, http.StatusOK, s.write(o).encode())
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision > 0 && revision != o.revision:
		reply(w, http.StatusConflict, o.encode())
	default:
		s.drop(o)
		reply(w, http.StatusOK, o.encode())
	}
}

// storeCopy is a copy of the store's objects.
type storeCopy struct {
	revision int64
	objects  map[string]map[string]stored
}

// copyNow copies the store.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{s.revision, map[string]map[string]stored{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// goAway makes the store reset all connections.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed) // wakes the watches
	s.changed = make(chan struct{})
}

// comeBack makes the store answer again, with the objects of a copy in a new era. What
// the operator and the replicas wrote since is written again.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.objects
	s.objects, s.revision, s.history = c.objects, c.revision, nil
	s.floor = c.revision
	s.era++
	s.away = false
	for _, kind := range []string{"config", "servers"} {
		for _, o := range latest[kind] {
			s.write(o)
		}
	}
}
