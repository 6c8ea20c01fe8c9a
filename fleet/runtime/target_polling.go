package runtime

import (
	"context"
	"sync"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/fleet/engine"
)

const (
	loadPollPeriod  = 500 * time.Millisecond
	loadPollTimeout = 400 * time.Millisecond
)

// PollTargets fetches the targets' load reports until ctx ends.
func (l *Loop) PollTargets(ctx context.Context, client *engine.Client) {
	for ctx.Err() == nil {
		for _, t := range l.targets() {
			go l.pollTarget(ctx, client, t)
		}
		select {
		case <-ctx.Done():
		case <-l.listChanged: // poll a new target immediately
		case <-time.After(loadPollPeriod):
		}
	}
}

// pollTarget fetches a target's load report and cache events. The cache events
// are omitted if they cannot be fetched.
func (l *Loop) pollTarget(ctx context.Context, client *engine.Client, t event.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	load, err := client.Load(ctx, t.Address)
	report := &event.TargetReported{
		Target: t.Name, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving, Unreachable: err != nil,
	}
	if err == nil {
		l.addCacheEvents(ctx, client, t.Address, report)
	}
	l.Post(event.Event{TargetReported: report})
}

// addCacheEvents adds the cache events since the previous report.
func (l *Loop) addCacheEvents(ctx context.Context, client *engine.Client, address string, report *event.TargetReported) {
	after := l.cacheCursors.get(address)
	events, err := client.CacheEvents(ctx, address, after)
	if err != nil {
		return
	}
	for _, e := range events {
		report.CacheEventGap = report.CacheEventGap || e.Number != after+1
		after = e.Number
		if e.Cached != 0 {
			report.CachedPrefixes = append(report.CachedPrefixes, e.Cached)
		}
		if e.Evicted != 0 {
			report.EvictedPrefixes = append(report.EvictedPrefixes, e.Evicted)
		}
	}
	l.cacheCursors.set(address, after)
}

// cacheEventCursors holds the number of the last seen cache event by target
// address. It is safe for concurrent use.
type cacheEventCursors struct{ byAddress sync.Map }

func (c *cacheEventCursors) get(address string) uint64 {
	n, _ := c.byAddress.Load(address)
	last, _ := n.(uint64)
	return last
}

func (c *cacheEventCursors) set(address string, number uint64) { c.byAddress.Store(address, number) }

// targets returns the engines in the latest instance list.
func (l *Loop) targets() []event.Instance {
	var engines []event.Instance
	if list := l.instances.Load(); list != nil {
		for _, in := range *list {
			if in.Role == event.RoleEngine {
				engines = append(engines, in)
			}
		}
	}
	return engines
}
