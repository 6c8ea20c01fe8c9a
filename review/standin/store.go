package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is `max_value_bytes` of the settings.
const maxValueBytes = 1_048_576

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	CreatedRevision int64    `json:"created_revision"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"specification"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"stored_object"`
}

// storeState is what the store holds. A copy of it is a backup.
type storeState struct {
	revision int64
	objects  map[string]map[string]object
	history  []change
}

func (s *storeState) clone() storeState {
	c := storeState{revision: s.revision, objects: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	mu      sync.Mutex
	state   storeState
	// changed is closed and replaced after each change of the state.
	changed chan struct{}
	// era is the value of the header Store-Era.
	era int
	// down is set while the store is away: connections are reset.
	down bool
	// maxWait, if set, is the time after which a watch that waits is cut off.
	maxWait time.Duration
	cuts    int
	// maxValue is the largest object that is accepted, in bytes; tooLarge counts those
	// that were refused.
	maxValue, tooLarge int
	// noHistoryBefore is the first revision from which a watch may continue.
	noHistoryBefore int64
}

func newStore() (*store, error) {
	s := &store{era: 1, maxValue: maxValueBytes, changed: make(chan struct{}), state: storeState{revision: 100, objects: map[string]map[string]object{}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object without a condition, as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: raw})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) write(kind string, o object) object {
	old, exists := s.state.objects[kind][o.Metadata.Name]
	if exists && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	o.Metadata.CreatedRevision = s.state.revision
	if exists {
		o.Metadata.CreatedRevision, o.Status = old.Metadata.CreatedRevision, old.Status
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]object{}
	}
	s.state.objects[kind][o.Metadata.Name] = o
	s.record(change{kind: kind, revision: s.state.revision, Object: o})
	return o
}

func (s *store) delete(kind, name string) bool {
	o, exists := s.state.objects[kind][name]
	if !exists {
		return false
	}
	delete(s.state.objects[kind], name)
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	s.record(change{kind: kind, revision: s.state.revision, Deleted: true, Object: o})
	return true
}

func (s *store) record(c change) {
	s.state.history = append(s.state.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store unreachable, or reachable again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of what the store holds.
func (s *store) backup() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// restore makes the store hold a copy, in a new era. What the operator and the
// replicas wrote since is written again.
func (s *store) restore(from storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.state
	s.state = from.clone()
	s.era++
	for _, kind := range []string{"config", "servers"} {
		for name, o := range lost.objects[kind] {
			s.write(kind, object{Metadata: metadata{Name: name}, Spec: o.Spec})
		}
		for name := range s.state.objects[kind] {
			if _, kept := lost.objects[kind][name]; !kept {
				s.delete(kind, name)
			}
		}
	}
}

// get returns an object's specification.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.objects[kind][name].Spec
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet && !single && r.URL.Query().Get("watch_stream") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkDown()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	switch {
	case r.Method == http.MethodGet && !single:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.state.objects[kind][name]; ok {
			respond(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		if !s.delete(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.change(w, r, kind, name)
	}
}

// change serves POST and PUT.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		o.Metadata.Name = name
	}
	current, exists := s.state.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists:
		respond(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case len(o.Spec) > s.maxValue:
		s.tooLarge++
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		respond(w, http.StatusConflict, current)
	default:
		respond(w, http.StatusOK, s.write(kind, o))
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	names := slices.Sorted(maps.Keys(s.state.objects[kind]))
	page := struct {
		Entries []object `json:"entries"`
		More    bool     `json:"more"`
		At      int64    `json:"at"`
	}{Entries: []object{}, At: s.state.revision}
	for _, name := range names {
		if name <= after && after != "" {
			continue
		}
		if len(page.Entries) == pageSize {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.state.objects[kind][name])
	}
	respond(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch_stream"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("max_wait_ms"))
	wait := time.Duration(millis) * time.Millisecond
	s.mu.Lock()
	cut := s.maxWait > 0 && wait > s.maxWait
	if cut {
		wait = s.maxWait
	}
	era := s.era
	s.mu.Unlock()
	timeout := time.After(wait)
	for expired := false; ; {
		s.mu.Lock()
		if s.down || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		if from > s.state.revision || from < s.noHistoryBefore {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := struct {
			Events []change `json:"events"`
			At     int64    `json:"at"`
		}{Events: []change{}, At: s.state.revision}
		for _, c := range s.state.history {
			if c.kind == kind && c.revision > from {
				out.Events = append(out.Events, c)
			}
		}
		changed := s.changed
		if expired && cut && len(out.Events) == 0 {
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.mu.Unlock()
		if len(out.Events) > 0 || expired {
			respond(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// checkDown breaks off the call while the store is away.
func (s *store) checkDown() {
	if s.down {
		panic(http.ErrAbortHandler)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the instance may have gone
}
