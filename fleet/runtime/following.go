package runtime

import "sync"

// Following is how closely an instance follows the platform's changes. It is safe
// for concurrent use.
type Following struct {
	// mu guards the fields below.
	mu      sync.Mutex
	loosely bool
	// changed is closed and replaced when loosely changes.
	changed chan struct{}
}

// NewFollowing returns a Following that is close.
func NewFollowing() *Following { return &Following{changed: make(chan struct{})} }

// Closely reports whether changes are followed closely, and returns a channel that
// is closed once that changes.
func (f *Following) Closely() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.loosely, f.changed
}

// Set sets how closely changes are followed.
func (f *Following) Set(closely bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loosely == closely {
		f.loosely = !closely
		close(f.changed)
		f.changed = make(chan struct{})
	}
}
