// Package platform is a stand-in for the platform's object API, which follows the
// REST conventions of Kubernetes custom resources. It keeps objects in memory and
// can inject faults.
package platform

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	wire "plantainfield.example/fleet/platform"
)

// maxHistory is the number of changes that are kept for watches. A watch that
// starts from an older revision fails.
const maxHistory = 10_000

// change is one revision of one object.
type change struct {
	revision uint64
	plural   string
	event    wire.WatchEvent
	at       time.Time
	// before is the object before the change, or nil if there was none.
	before *wire.Resource
}

// store holds objects by collection (a resource plural) and name, and the history
// of their changes.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]wire.Resource
	revision uint64
	history  []change
	// era rises each time the store goes back to a copy.
	era uint64
	// nextChange is closed and replaced on each change.
	nextChange chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]wire.Resource{}, nextChange: make(chan struct{}), era: 1}
}

// writeResult is the outcome of a write.
type writeResult int

const (
	written writeResult = iota
	conflict
	notFound
)

func (s *store) create(plural string, r wire.Resource) (wire.Resource, writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[plural][r.Metadata.Name]; ok {
		return wire.Resource{}, conflict
	}
	return s.put(plural, r, "ADDED"), written
}

// update replaces an object if its version matches r's resourceVersion. An empty
// resourceVersion matches any version.
func (s *store) update(plural string, r wire.Resource) (wire.Resource, writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[plural][r.Metadata.Name]
	if !ok {
		return wire.Resource{}, notFound
	}
	if v := r.Metadata.ResourceVersion; v != "" && v != old.Metadata.ResourceVersion {
		return wire.Resource{}, conflict
	}
	return s.put(plural, r, "MODIFIED"), written
}

func (s *store) remove(plural, name string) writeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[plural][name]
	if !ok {
		return notFound
	}
	delete(s.objects[plural], name)
	s.record(plural, wire.WatchEvent{Type: "DELETED", Object: old}, &old)
	return written
}

// put stores an object under a new revision. The caller holds mu.
func (s *store) put(plural string, r wire.Resource, eventType string) wire.Resource {
	if s.objects[plural] == nil {
		s.objects[plural] = map[string]wire.Resource{}
	}
	var before *wire.Resource
	if old, ok := s.objects[plural][r.Metadata.Name]; ok {
		before = &old
	}
	r.Metadata.ResourceVersion = strconv.FormatUint(s.revision+1, 10)
	s.objects[plural][r.Metadata.Name] = r
	s.record(plural, wire.WatchEvent{Type: eventType, Object: r}, before)
	return r
}

// record appends a change to the history and wakes the watches. The caller holds
// mu.
func (s *store) record(plural string, e wire.WatchEvent, before *wire.Resource) {
	s.revision++
	s.history = append(s.history, change{s.revision, plural, e, time.Now(), before})
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

func (s *store) get(plural, name string) (wire.Resource, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.objects[plural][name]
	return r, ok
}

func (s *store) list(plural string) wire.ResourceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := wire.ResourceList{APIVersion: wire.APIVersion, Kind: "List", Items: []wire.Resource{}}
	for _, r := range s.objects[plural] {
		l.Items = append(l.Items, r)
	}
	slices.SortFunc(l.Items, func(a, b wire.Resource) int {
		if a.Metadata.Name < b.Metadata.Name {
			return -1
		}
		return 1
	})
	l.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	return l
}

// since returns a collection's changes after a revision, the current revision,
// and a channel that is closed at the next change. ok is false if the history no
// longer reaches back to the revision.
func (s *store) since(plural string, after uint64) (events []wire.WatchEvent, reached uint64, more <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision || len(s.history) > 0 && s.history[0].revision > after+1 {
		return nil, 0, nil, false
	}
	for _, c := range s.history {
		if c.revision > after && c.plural == plural {
			events = append(events, c.event)
		}
	}
	return events, s.revision, s.nextChange, true
}

// runAfter runs f after delay, or immediately if delay is not positive.
func runAfter(delay time.Duration, f func()) {
	if delay <= 0 {
		f()
		return
	}
	time.AfterFunc(delay, f)
}

func decodeResource(raw []byte) (wire.Resource, error) {
	var r wire.Resource
	err := json.Unmarshal(raw, &r)
	return r, err
}
