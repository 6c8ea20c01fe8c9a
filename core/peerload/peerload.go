// Package peerload holds what instances tell each other of their load: the
// messages of one instance, and the sum of what its peers said.
package peerload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
)

const (
	// Period is the time between two load messages, which tell peers what an
	// instance has sent to targets. It is a few times the time that a target takes
	// to prefill a typical prompt.
	Period = 200 * time.Millisecond
	// MaxPeers bounds the receivers of one load message. In a larger fleet
	// most of them are peers with work of their own, which choose targets too,
	// and OtherPeers are any of the rest.
	MaxPeers   = 12
	OtherPeers = 3
	// maxTargets is the number of targets in one message, so that it fits into a
	// datagram.
	maxTargets = 24
	// maxParts is the largest accepted number of parts of a load message.
	maxParts = 1000
	// messageTimeout is the age at which a peer's load message is no longer used.
	messageTimeout = 1500 * time.Millisecond
	// DemandTimeout is the age at which a peer's rate of requests is no longer
	// used. In a large fleet each load message reaches a part of the peers.
	DemandTimeout = 5 * time.Second
)

// Messages splits the load of an instance into messages.
func Messages(load event.Loads) []*event.Loads {
	if len(load.Targets) <= maxTargets {
		return []*event.Loads{&load}
	}
	var messages []*event.Loads
	for part := range slices.Chunk(load.Targets, maxTargets) {
		m := load
		m.Targets, m.Part = part, len(messages)
		messages = append(messages, &m)
	}
	for _, m := range messages {
		m.Parts = len(messages)
	}
	return messages
}

// Peer is the load of one peer.
type Peer struct {
	// At is when the last load message arrived; 0 before the first.
	At time.Duration
	// Requests is the rate of callers' requests at the peer, per second.
	Requests float64
	// unreached are the services of which the peer reaches no target.
	unreached []string
	// outdated is set if the peer's configuration is overdue.
	outdated bool
	// parts is the work by target, in the parts in which it was sent.
	parts []map[string]placement.Work
}

// Record stores a message of the peer.
func (p *Peer) Record(now time.Duration, m *event.Loads) error {
	work := make(map[string]placement.Work, len(m.Targets))
	for _, t := range m.Targets {
		work[t.Target] = placement.Work{PrefillTokens: t.PrefillTokens, Running: t.Running}
	}
	parts := max(1, m.Parts)
	if m.Part < 0 || m.Part >= parts || parts > maxParts {
		return fmt.Errorf("part %d of %d", m.Part, m.Parts)
	}
	if len(p.parts) != parts {
		p.parts = make([]map[string]placement.Work, parts)
	}
	p.At, p.Requests, p.unreached, p.outdated = now, m.Requests, m.Unreached, m.Outdated
	p.parts[m.Part] = work
	return nil
}

// Reaches reports whether the peer has not said lately that it reaches no target of
// a service.
func (p *Peer) Reaches(now time.Duration, serves string) bool {
	return !slices.Contains(p.Unreached(now), serves)
}

// Unreached returns the services of which the peer said lately that it reaches no
// target. The caller must not modify it.
func (p *Peer) Unreached(now time.Duration) []string {
	if now-p.At >= messageTimeout {
		return nil
	}
	return p.unreached
}

// Outdated reports whether the peer's configuration is overdue, so that it refuses
// callers.
func (p *Peer) Outdated(now time.Duration) bool { return p.outdated && now-p.At < messageTimeout }

// Working reports whether the peer recently had work at targets.
func (p *Peer) Working(now time.Duration) bool {
	return p.Recent(now) && slices.ContainsFunc(p.parts, func(part map[string]placement.Work) bool { return len(part) > 0 })
}

// Recent reports whether the peer's rate of requests is known.
func (p *Peer) Recent(now time.Duration) bool { return p.At > 0 && now-p.At < DemandTimeout }

// CompareWorking orders a peer that recently had work before one that had none.
func CompareWorking(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Receivers returns the peers that get the next load message, of peers in random
// order.
func Receivers(names []string, working func(name string) bool, rng *rand.Rand) []string {
	if len(names) <= MaxPeers {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int { return CompareWorking(working(a), working(b)) })
	first := 0
	for first < MaxPeers-OtherPeers && working(names[first]) {
		first++
	}
	rest := names[first:]
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return names[:MaxPeers]
}

// Sum adds up the work of live peers by target. If there are more of them than a
// load message reaches, it extrapolates from those with a recent message to all
// that recently had work.
func Sum(now time.Duration, live []*Peer, sum map[string]placement.Work) {
	reporting, working := 0, 0
	for _, p := range live {
		if !p.Working(now) {
			continue
		}
		working++
		if now-p.At >= messageTimeout {
			continue
		}
		reporting++
		for _, part := range p.parts {
			for target, w := range part {
				sum[target] = sum[target].Add(w)
			}
		}
	}
	if reporting > 0 && len(live) > MaxPeers {
		for target, w := range sum {
			sum[target] = placement.Work{PrefillTokens: w.PrefillTokens * int64(working) / int64(reporting), Running: w.Running * working / reporting}
		}
	}
}
