// Package brittle bounds what instances send to targets that fall over if they have
// to turn too many requests away.
//
// While the targets of a service are brittle, no more requests are sent to one than
// it can run at once, so that it never has to decide which of them may wait. Its
// slots are divided among the instances by rendezvous hash, without any agreement
// between them: the shares of all add up to its slots while the instances know the
// same fleet. Requests beyond that wait at their instance, by priority and deadline,
// or are refused there.
package brittle

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// statementTimeout is how long a statement counts. Brittle targets say so in all
// their answers.
const statementTimeout = 5 * time.Second

const (
	// busyTime is how long a target that was full is avoided: a few times the
	// duration of one short request.
	busyTime = 200 * time.Millisecond
	// brittleBusyTime is the same for a brittle target: these count what they turn
	// away in a second.
	brittleBusyTime = time.Second
)

// Services holds until when the targets of a service count as brittle.
type Services map[string]time.Duration

// Noticed records a target's statement that the targets of its service are brittle,
// and reports whether that was not known.
func (s Services) Noticed(now time.Duration, serves string) bool {
	isNew := !s.Active(now, serves)
	s[serves] = now + statementTimeout
	return isNew
}

// Active reports whether the targets of a service are brittle.
func (s Services) Active(now time.Duration, serves string) bool {
	until, known := s[serves]
	return known && now < until
}

// BusyTime returns how long a target that turned a request away is avoided.
func (s Services) BusyTime(now time.Duration, serves string) time.Duration {
	if s.Active(now, serves) {
		return brittleBusyTime
	}
	return busyTime
}

// Share caches this instance's share of the slots of one target.
type Share struct {
	slots int
	// at identifies the choice of instances for which it was computed.
	at time.Duration
}

// Slots returns the share of an instance, given the instances that send requests as
// of a time.
func (s *Share) Slots(slots int, target, instance string, instances []string, at time.Duration) int {
	if s.at == 0 || s.at != at {
		s.slots, s.at = SlotsOf(slots, target, instance, instances), at
	}
	return s.slots
}

// SlotsOf returns an instance's share of the slots of a target. An instance that is
// not among those that send requests counts as one of them.
func SlotsOf(slots int, target, instance string, instances []string) int {
	count := len(instances)
	if !slices.Contains(instances, instance) {
		count++
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(target + "\x00" + name) }
	own, ahead := rank(instance), 0
	for _, name := range instances {
		if rank(name) > own {
			ahead++
		}
	}
	share := slots / count
	if ahead < slots%count {
		share++
	}
	return share
}
