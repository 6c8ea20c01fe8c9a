package runtime

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/fleet/platform"
)

// RefusalCounter counts refused requests by error kind.
type RefusalCounter struct {
	mu     sync.Mutex
	counts map[errkind.Kind]uint64
}

// Add counts one refusal.
func (c *RefusalCounter) Add(k errkind.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[errkind.Kind]uint64{}
	}
	c.counts[k]++
}

// Snapshot returns a copy of the counts.
func (c *RefusalCounter) Snapshot() map[errkind.Kind]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (l *Loop) adoptConfig(a *event.AdoptConfig) {
	l.index.Store(config.NewIndex(a.Stored))
}

// minPlatformCallsPerSecond is the minimum rate of an instance's platform
// calls, regardless of the size of the fleet.
const minPlatformCallsPerSecond = 1

// PlatformClient executes the core's platform calls.
type PlatformClient interface {
	Do(ctx context.Context, call event.PlatformCall) event.PlatformResult
}

// ServePlatform executes the core's platform calls until ctx ends. The rate is
// limited to this instance's share of fleetCallsPerSecond, according to the
// instance list.
func (l *Loop) ServePlatform(ctx context.Context, client PlatformClient, fleetCallsPerSecond int) {
	limiter := rate.NewLimiter(rate.Limit(fleetCallsPerSecond), fleetCallsPerSecond)
	var workers sync.WaitGroup
	for range platformWorkers {
		workers.Go(func() { l.platformWorker(ctx, client, limiter) })
	}
	workers.Go(func() { l.adjustRate(ctx, limiter, fleetCallsPerSecond) })
	workers.Wait()
}

// adjustRate updates the rate limit to the number of listed instances until ctx
// ends. The burst is the number of calls in one second.
func (l *Loop) adjustRate(ctx context.Context, limiter *rate.Limiter, fleetCallsPerSecond int) {
	for ctx.Err() == nil {
		share := max(minPlatformCallsPerSecond, fleetCallsPerSecond/max(1, l.countListed(event.RoleRouter)))
		limiter.SetLimit(rate.Limit(share))
		limiter.SetBurst(share)
		sleep(ctx, listPeriod)
	}
}

// countListed returns the number of instances of a role in the latest instance
// list.
func (l *Loop) countListed(role event.InstanceRole) int {
	count := 0
	if list := l.instances.Load(); list != nil {
		for _, in := range *list {
			if in.Role == role {
				count++
			}
		}
	}
	return count
}

func (l *Loop) platformWorker(ctx context.Context, client PlatformClient, limiter *rate.Limiter) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.platformCalls:
			if limiter.Wait(ctx) != nil {
				return
			}
			result := client.Do(ctx, call)
			l.Post(event.Event{PlatformResult: &result})
		}
	}
}

const (
	watchRetryDelay = 300 * time.Millisecond
	// listPeriod is the delay before the instances are listed again after a
	// watch has ended, and the period at which the rate limit is adjusted.
	listPeriod = 2 * time.Second
)

// WatchConfiguration posts each new configuration until ctx ends.
func (l *Loop) WatchConfiguration(ctx context.Context, client *platform.Client) {
	for ctx.Err() == nil {
		objects, version, err := client.List(ctx, event.KindConfiguration)
		if err == nil {
			for _, o := range objects {
				l.Post(event.Event{ObjectSeen: &event.ObjectSeen{Object: o}})
			}
			_ = client.Watch(ctx, event.KindConfiguration, version, func(_ string, o event.Object) {
				l.Post(event.Event{ObjectSeen: &event.ObjectSeen{Object: o}})
			})
		}
		sleep(ctx, watchRetryDelay)
	}
}

// WatchInstances posts the instance list after each change until ctx ends.
func (l *Loop) WatchInstances(ctx context.Context, client *platform.Client) {
	for ctx.Err() == nil {
		l.listInstances(ctx, client)
		sleep(ctx, listPeriod)
	}
}

// listInstances lists the instances, then follows their changes until the watch
// ends.
func (l *Loop) listInstances(ctx context.Context, client *platform.Client) {
	objects, version, err := client.List(ctx, event.KindInstance)
	if err != nil {
		return
	}
	known := map[string]event.Instance{}
	for _, o := range objects {
		applyInstanceEvent(known, "ADDED", o)
	}
	l.postInstances(known)
	_ = client.Watch(ctx, event.KindInstance, version, func(eventType string, o event.Object) {
		applyInstanceEvent(known, eventType, o)
		l.postInstances(known)
	})
}

func applyInstanceEvent(known map[string]event.Instance, eventType string, o event.Object) {
	if eventType == "DELETED" {
		delete(known, o.Name)
		return
	}
	var in event.Instance
	if json.Unmarshal(o.Value, &in) == nil {
		in.Name = o.Name
		known[o.Name] = in
	}
}

func (l *Loop) postInstances(known map[string]event.Instance) {
	list := make([]event.Instance, 0, len(known))
	for _, in := range known {
		list = append(list, in)
	}
	l.instances.Store(&list)
	l.Post(event.Event{InstancesListed: &event.InstancesListed{Instances: list}})
	select {
	case l.listChanged <- struct{}{}:
	default: // a change notification is already pending
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
