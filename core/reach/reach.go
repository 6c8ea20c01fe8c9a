// Package reach tells a partition of this instance from the targets of a service
// apart from failures of single targets, and decides what happens to its requests
// in the meantime.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minLost is the number of different targets that must be lost in a row, with
	// no sign of life of any, before a service counts as unreached; fewer if it has
	// fewer targets.
	minLost = 3
	// minSilence is how long there must have been no sign of life. It exceeds the
	// pauses between the answers to an instance that has work, so that targets that
	// crash together are not taken for a partition.
	minSilence = 250 * time.Millisecond
	// suspectProbePeriod is the time between two probes of the other targets of a
	// service that has lost one, and probePeriod that between two probes for the
	// end of a partition.
	suspectProbePeriod = 100 * time.Millisecond
	probePeriod        = 250 * time.Millisecond
	// lossTimeout is how long a loss counts.
	lossTimeout = 5 * time.Second
)

// service is what is known of the targets of one service. lost is not empty only
// if no target has shown a sign of life since.
type service struct {
	// lost holds when each target was lost.
	lost map[string]time.Duration
	// need is the number of lost targets from which on the service counts as
	// unreached.
	need        int
	lastContact time.Duration
	unreached   bool
	// reported is the value of unreached at the last Update.
	reported  bool
	nextProbe time.Duration
}

// Tracker follows which services this instance reaches. It is not safe for
// concurrent use.
type Tracker struct{ services map[string]*service }

// NewTracker returns a Tracker that has seen nothing.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// Contact records a sign of life of a target of a service.
func (t *Tracker) Contact(now time.Duration, serves string) {
	s := t.services[serves]
	if s == nil {
		s = &service{lost: map[string]time.Duration{}}
		t.services[serves] = s
	}
	s.lastContact, s.unreached = now, false
	clear(s.lost)
}

// Loss records that a target of a service, which has a number of targets, did not
// answer an attempt or a probe.
func (t *Tracker) Loss(now time.Duration, serves, target string, targets int) {
	s := t.services[serves]
	if s == nil {
		s = &service{lost: map[string]time.Duration{}}
		t.services[serves] = s
	}
	s.lost[target], s.need = now, min(minLost, targets)
	s.update(now)
}

func (s *service) update(now time.Duration) {
	if !s.unreached {
		for target, at := range s.lost {
			if now-at >= lossTimeout {
				delete(s.lost, target)
			}
		}
	}
	s.unreached = s.unreached || len(s.lost) > 0 && len(s.lost) >= s.need && now-s.lastContact >= minSilence
}

// Unreached reports whether this instance reaches no target of a service, as far
// as it knows.
func (t *Tracker) Unreached(serves string) bool {
	s := t.services[serves]
	return s != nil && s.unreached
}

// Services returns the names of the unreached services, in order.
func (t *Tracker) Services() []string {
	var names []string
	for name, s := range t.services {
		if s.unreached {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// None reports whether all of some services are unreached.
func None(services, unreached []string) bool {
	if len(services) == 0 {
		return false
	}
	for _, s := range services {
		if !slices.Contains(unreached, s) {
			return false
		}
	}
	return true
}

// Update returns the services whose state has changed since the last call, in
// order.
func (t *Tracker) Update(now time.Duration) []string {
	var changed []string
	for name, s := range t.services {
		s.update(now)
		if s.reported != s.unreached {
			s.reported = s.unreached
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// ProbesDue returns the services of which a target should be probed now, in order.
func (t *Tracker) ProbesDue(now time.Duration) []string {
	var due []string
	for name, s := range t.services {
		if len(s.lost) == 0 || now < s.nextProbe {
			continue
		}
		s.nextProbe = now + suspectProbePeriod
		if s.unreached {
			s.nextProbe = now + probePeriod
		}
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// ChooseProbe returns the index of the target of a service to probe: one that was
// not lost, if there is one. names must not be empty.
func (t *Tracker) ChooseProbe(serves string, names []string, rng *rand.Rand) int {
	s := t.services[serves]
	start := rng.IntN(len(names))
	for i := range names {
		at := (start + i) % len(names)
		if _, lost := s.lost[names[at]]; !lost {
			return at
		}
	}
	return start
}

// Peer is a peer to which a request may be handed over.
type Peer struct {
	Name string
	// Requests is the rate of callers' requests at the peer, per second.
	Requests float64
}

// ChoosePeer returns the name of the less busy of two random peers, or "" if there
// are none. It spreads the callers of many partitioned instances over few others.
func ChoosePeer(peers []Peer, rng *rand.Rand) string {
	if len(peers) == 0 {
		return ""
	}
	a, b := peers[rng.IntN(len(peers))], peers[rng.IntN(len(peers))]
	if b.Requests < a.Requests {
		a = b
	}
	return a.Name
}

// MaxHandOvers is the number of peers that a request is handed over to at most.
const MaxHandOvers = 3
