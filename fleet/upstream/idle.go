package upstream

import (
	"context"
	"time"
)

// idleCheckPeriod is the time between two checks of the idle connections.
const idleCheckPeriod = 2 * time.Second

// Run closes idle connections that can't be used again, until ctx ends: those that
// have been idle for too long, that their target has closed, or on which it goes on
// sending. What arrives on them would be kept in the receive buffers.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.closeUnusable(now)
		}
	}
}

// closeUnusable closes the idle connections that can't be used again.
func (c *Client) closeUnusable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		kept := idle[:0]
		for _, pc := range idle {
			if now.Before(pc.reuseUntil) && isIdle(pc.Conn) {
				kept = append(kept, pc)
			} else {
				_ = pc.Close()
				c.idleCount--
			}
		}
		clear(idle[len(kept):])
		c.setIdle(address, kept)
	}
}
