package platform

import (
	"net/http"
	"time"

	wire "plantainfield.example/fleet/platform"
)

// ObjectStore gives direct access to a server's objects, for a second API in another
// format. Its calls are counted and fail like those of the REST API.
type ObjectStore struct{ server *Server }

// ObjectStore returns the access to the server's objects.
func (s *Server) ObjectStore() ObjectStore { return ObjectStore{s} }

// WithFaults lets the server's faults befall a handler's calls.
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

// List returns a collection.
func (o ObjectStore) List(collection string) wire.ResourceList {
	o.server.reads.Add(1)
	return o.server.store.list(collection)
}

// Get returns an object.
func (o ObjectStore) Get(collection, name string) (wire.Resource, bool) {
	o.server.reads.Add(1)
	return o.server.store.get(collection, name)
}

// Write creates an object or replaces it, and returns the status of the call.
// Where a write's answer is to be dropped, it does not return.
func (o ObjectStore) Write(collection string, r wire.Resource, create bool) (wire.Resource, int) {
	o.server.writes.Add(1)
	apply := o.server.store.update
	if create {
		apply = o.server.store.create
	}
	stored, result := apply(collection, r)
	if result != notFound && o.server.drops.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case written:
		return stored, http.StatusOK
	case conflict:
		standing, _ := o.server.store.get(collection, r.Metadata.Name)
		return standing, http.StatusConflict
	}
	return stored, http.StatusNotFound
}

// Delete deletes an object and tells whether there was one.
func (o ObjectStore) Delete(collection, name string) bool {
	o.server.writes.Add(1)
	return o.server.store.remove(collection, name) == written
}

// ChangesSince returns a collection's changes after a revision, the revision reached,
// and what to wait on for more. ok is false if the history is too short.
func (o ObjectStore) ChangesSince(collection string, after uint64) (events []wire.WatchEvent, reached uint64, more <-chan struct{}, ok bool) {
	return o.server.store.since(collection, after)
}

// FaultsChanged is closed when the server's faults change.
func (o ObjectStore) FaultsChanged() <-chan struct{} { return *o.server.outage.Load() }
