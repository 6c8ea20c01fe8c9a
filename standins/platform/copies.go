package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	wire "plantainfield.example/fleet/platform"
)

// goBack makes the store what it was at a time, as far as its history reaches, and
// starts a new era. Revisions are given out again. The objects of the collections
// kept are then written again as they were.
func (s *store) goBack(to time.Time, kept []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[string]map[string]wire.Resource{}
	for _, plural := range kept {
		current[plural] = maps.Clone(s.objects[plural])
	}
	s.undoSince(to)
	s.era++
	for _, plural := range kept {
		s.rewrite(plural, current[plural])
	}
	close(s.nextChange)
	s.nextChange = make(chan struct{})
}

// undoSince undoes the changes after a time. The caller holds mu.
func (s *store) undoSince(t time.Time) {
	for len(s.history) > 0 {
		last := s.history[len(s.history)-1]
		if !last.at.After(t) {
			return
		}
		name := last.event.Object.Metadata.Name
		if last.before == nil {
			delete(s.objects[last.plural], name)
		} else {
			s.objects[last.plural][name] = *last.before
		}
		s.revision = last.revision - 1
		s.history = s.history[:len(s.history)-1]
	}
}

// rewrite makes a collection hold some objects, as new revisions where they differ.
// The caller holds mu.
func (s *store) rewrite(plural string, objects map[string]wire.Resource) {
	for _, name := range slices.Sorted(maps.Keys(s.objects[plural])) {
		if _, ok := objects[name]; !ok {
			old := s.objects[plural][name]
			delete(s.objects[plural], name)
			s.record(plural, wire.WatchEvent{Type: "DELETED", Object: old}, &old)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if old, ok := s.objects[plural][name]; !ok || string(old.Spec) != string(objects[name].Spec) {
			s.put(plural, objects[name], "MODIFIED")
		}
	}
}

// GoBack makes the server's objects what they were at a time, except those of some
// collections, which are written again. It ends all open watches.
func (s *Server) GoBack(to time.Time, kept ...string) {
	s.store.goBack(to, kept)
	s.SetFaults(*s.faults.Load())
}

// Era returns the number of times that the objects went back to a copy, plus 1.
func (o ObjectStore) Era() uint64 {
	o.server.store.mu.Lock()
	defer o.server.store.mu.Unlock()
	return o.server.store.era
}

// goBackRequest is the body of a request to /control/back.
type goBackRequest struct {
	// AgeMillis is the age of the copy, in milliseconds.
	AgeMillis int `json:"ageMillis"`
	// Keep names the collections whose objects are written again.
	Keep []string `json:"keep"`
}

func (s *Server) handleGoBack(w http.ResponseWriter, r *http.Request) {
	var b goBackRequest
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.AgeMillis < 0 {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	s.GoBack(time.Now().Add(-time.Duration(b.AgeMillis)*time.Millisecond), b.Keep...)
}
