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

// RefusalCounter counts refusals by kind.
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

func (l *Loop) adopt(a *event.AdoptConfig) {
	l.index.Store(config.NewIndex(a.Stored))
}

// minPlatformRate is the least rate of an instance's platform calls, in calls a
// second, however large the fleet.
const minPlatformRate = 1

// Platform makes the core's calls of the platform.
type Platform interface {
	Do(ctx context.Context, call event.PlatformCall) event.PlatformResult
}

// ServePlatform makes the node's platform calls until ctx ends. The rate is
// this instance's share of the fleet's, by the instance list.
func (l *Loop) ServePlatform(ctx context.Context, client Platform, fleetCallsPerSecond int) {
	limiter := rate.NewLimiter(rate.Limit(fleetCallsPerSecond), fleetCallsPerSecond)
	var duties sync.WaitGroup
	for range platformDuties {
		duties.Go(func() { l.platformDuty(ctx, client, limiter) })
	}
	duties.Go(func() { l.followFleetSize(ctx, limiter, fleetCallsPerSecond) })
	duties.Wait()
}

// followFleetSize adapts the rate to the number of listed instances. The burst
// is one second's calls.
func (l *Loop) followFleetSize(ctx context.Context, limiter *rate.Limiter, fleetCallsPerSecond int) {
	for ctx.Err() == nil {
		share := max(minPlatformRate, fleetCallsPerSecond/max(1, l.listed(event.RoleRouter)))
		limiter.SetLimit(rate.Limit(share))
		limiter.SetBurst(share)
		sleep(ctx, listPeriod)
	}
}

// listed counts the instances of a role in the last instance list.
func (l *Loop) listed(role event.InstanceRole) int {
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

func (l *Loop) platformDuty(ctx context.Context, client Platform, limiter *rate.Limiter) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.platform:
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
	// listPeriod bounds the age of the instance list if watches are late.
	listPeriod = 2 * time.Second
)

// WatchConfiguration delivers each new configuration until ctx ends.
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

// WatchInstances delivers the instance list after each change of it until ctx
// ends.
func (l *Loop) WatchInstances(ctx context.Context, client *platform.Client) {
	for ctx.Err() == nil {
		l.listInstances(ctx, client)
		sleep(ctx, listPeriod)
	}
}

// listInstances lists the instances and follows changes until the watch ends.
func (l *Loop) listInstances(ctx context.Context, client *platform.Client) {
	objects, version, err := client.List(ctx, event.KindInstance)
	if err != nil {
		return
	}
	known := map[string]event.Instance{}
	for _, o := range objects {
		noteInstance(known, "ADDED", o)
	}
	l.postInstances(known)
	_ = client.Watch(ctx, event.KindInstance, version, func(eventType string, o event.Object) {
		noteInstance(known, eventType, o)
		l.postInstances(known)
	})
}

func noteInstance(known map[string]event.Instance, eventType string, o event.Object) {
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
	default: // a change is waiting already
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
