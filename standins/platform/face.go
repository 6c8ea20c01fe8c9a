package platform

import (
	"net/http"
	"time"

	wire "plantainfield.example/fleet/platform"
)

// Face gives access to a server's objects for a second face of it, in another
// format. Calls count and fail like those of the first.
type Face struct{ server *Server }

// Face returns the access to the server's objects.
func (s *Server) Face() Face { return Face{s} }

// Faulty lets the server's faults befall a handler's calls.
func (f Face) Faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := f.server.faults.Load()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// List returns a collection.
func (f Face) List(collection string) wire.ResourceList {
	f.server.reads.Add(1)
	return f.server.store.list(collection)
}

// Get returns an object.
func (f Face) Get(collection, name string) (wire.Resource, bool) {
	f.server.reads.Add(1)
	return f.server.store.get(collection, name)
}

// Write creates an object or replaces it, and returns the status of the call.
// Where a write's answer is to be dropped, it does not return.
func (f Face) Write(collection string, r wire.Resource, create bool) (wire.Resource, int) {
	f.server.writes.Add(1)
	apply := f.server.store.update
	if create {
		apply = f.server.store.create
	}
	stored, result := apply(collection, r)
	if result != notFound && f.server.drops.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	switch result {
	case written:
		return stored, http.StatusOK
	case conflict:
		standing, _ := f.server.store.get(collection, r.Metadata.Name)
		return standing, http.StatusConflict
	}
	return stored, http.StatusNotFound
}

// Remove deletes an object and tells whether there was one.
func (f Face) Remove(collection, name string) bool {
	f.server.writes.Add(1)
	return f.server.store.remove(collection, name) == written
}

// Since returns a collection's changes after a revision, the revision reached,
// and what to wait on for more. ok is false if the history is too short.
func (f Face) Since(collection string, after uint64) (events []wire.WatchEvent, reached uint64, more <-chan struct{}, ok bool) {
	return f.server.store.since(collection, after)
}

// Outage is closed when the server's faults change.
func (f Face) Outage() <-chan struct{} { return *f.server.outage.Load() }
