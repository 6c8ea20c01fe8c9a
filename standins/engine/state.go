package engine

import "time"

// cacheEvent reports that a prefix was cached or evicted, by its hash.
type cacheEvent struct {
	Number  uint64    `json:"number"`
	Cached  uint64    `json:"cached,omitempty"`
	Evicted uint64    `json:"evicted,omitempty"`
	at      time.Time `json:"-"`
}

const maxCacheEvents = 4096

// cacheEvents holds the last maxCacheEvents events. It is guarded by Engine.mu.
type cacheEvents struct {
	last   uint64
	events []cacheEvent
}

// add assigns the next number to an event and stores it, or drops it as
// Options.CacheEventLoss says. A dropped event leaves a gap in the numbers.
func (c *cacheEvents) add(o Options, e cacheEvent) {
	c.last++
	if o.CacheEventLoss > 0 && c.last%uint64(o.CacheEventLoss) == 0 {
		return
	}
	e.Number, e.at = c.last, time.Now()
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events with a number above number that are at least lag old.
func (c *cacheEvents) after(number uint64, lag time.Duration) []cacheEvent {
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Number > number && time.Since(e.at) >= lag {
			out = append(out, e)
		}
	}
	return out
}

// Order instructs an engine to change the model or version that it serves.
type Order struct {
	// Fence is the fencing token of the role that issues the order.
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// orderState is the result of the orders accepted so far.
type orderState struct {
	// Fence is the highest fencing token of an accepted order.
	Fence uint64 `json:"fence"`
	Last  Order  `json:"last"`
	Count int    `json:"count"`
}

// apply records an order and reports whether it was accepted. With checkFencing,
// an order whose fencing token is lower than an earlier one is refused.
func (s *orderState) apply(o Order, checkFencing bool) bool {
	if checkFencing && o.Fence < s.Fence {
		return false
	}
	s.Fence = max(s.Fence, o.Fence)
	s.Last = o
	s.Count++
	return true
}
