package runtime

import (
	"sync"
	"time"

	"plantainfield.example/core/event"
)

// Poster posts the events of one request to a Loop, in order and without blocking the
// request: events that don't fit into the loop's queue wait in the Poster. It is safe
// for concurrent use.
type Poster struct {
	loop *Loop
	mu   sync.Mutex
	// waiting are the events that were not posted yet, in order. While there are any,
	// a goroutine posts them. It is guarded by mu.
	waiting []postedEvent
}

// NewPoster returns a Poster of events to a loop.
func (l *Loop) NewPoster() *Poster { return &Poster{loop: l} }

// Post queues an event.
func (p *Poster) Post(e event.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	posted := postedEvent{e, time.Now()}
	if len(p.waiting) == 0 && p.loop.tryPost(posted) {
		return
	}
	p.waiting = append(p.waiting, posted)
	if len(p.waiting) == 1 {
		go p.drain()
	}
}

// drain posts the events that wait.
func (p *Poster) drain() {
	for {
		p.mu.Lock()
		next := p.waiting[0]
		p.mu.Unlock()
		p.loop.post(next)
		p.mu.Lock()
		p.waiting = p.waiting[1:]
		empty := len(p.waiting) == 0
		p.mu.Unlock()
		if empty {
			return
		}
	}
}
