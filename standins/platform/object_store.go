package platform

import (
	"net/http"
	"time"

	wire "plantainfield.example/fleet/platform"
)

// ObjectStore gives direct access to a server's objects, so that a test can serve
// them through a second API in another format. List, Get, Write and Delete are
// counted in Stats. Of the faults, DropAnswers applies to Write; Down and
// DelayMillis apply to handlers that WithFaults wraps. Rate limits and
// InstanceLag do not apply.
type ObjectStore struct{ server *Server }

// ObjectStore returns direct access to the server's objects.
func (s *Server) ObjectStore() ObjectStore { return ObjectStore{s} }

// WithFaults returns a handler that applies the server's Down and DelayMillis
// faults to requests before it calls next.
func (o ObjectStore) WithFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := o.server.faults.Load()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// List returns all objects of a collection.
func (o ObjectStore) List(collection string) wire.ResourceList {
	o.server.reads.Add(1)
	return o.server.store.list(collection)
}

// Get returns an object and reports whether it exists.
func (o ObjectStore) Get(collection, name string) (wire.Resource, bool) {
	o.server.reads.Add(1)
	return o.server.store.get(collection, name)
}

// Write creates or replaces an object and returns the HTTP status. On a conflict
// it returns the stored object. If DropAnswers applies, it panics with
// http.ErrAbortHandler after the write, which aborts the response.
func (o ObjectStore) Write(collection string, r wire.Resource, create bool) (wire.Resource, int) {
	o.server.writes.Add(1)
	apply := o.server.store.update
	if create {
		apply = o.server.store.create
	}
	stored, result := apply(collection, r)
	if result != notFound && o.server.answersToDrop.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case written:
		return stored, http.StatusOK
	case conflict:
		current, _ := o.server.store.get(collection, r.Metadata.Name)
		return current, http.StatusConflict
	}
	return stored, http.StatusNotFound
}

// Delete deletes an object and reports whether it existed.
func (o ObjectStore) Delete(collection, name string) bool {
	o.server.writes.Add(1)
	return o.server.store.remove(collection, name) == written
}

// ChangesSince returns a collection's changes after a revision, the current
// revision, and a channel that is closed at the next change. ok is false if the
// history no longer reaches back to the revision.
func (o ObjectStore) ChangesSince(collection string, after uint64) (events []wire.WatchEvent, reached uint64, more <-chan struct{}, ok bool) {
	return o.server.store.since(collection, after)
}

// FaultsChanged returns a channel that is closed when SetFaults is called.
func (o ObjectStore) FaultsChanged() <-chan struct{} { return *o.server.faultsChanged.Load() }
