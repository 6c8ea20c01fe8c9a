package node

import (
	"time"

	"plantainfield.example/core/event"
)

const (
	// followCheckPeriod is the time between two decisions of how closely to follow
	// the platform.
	followCheckPeriod = 250 * time.Millisecond
	// quietAfter is the time without requests after which an instance that callers
	// are not directed to counts as idle.
	quietAfter = 5 * time.Second
	// maxPeerSilence is the time without a message from any peer after which an
	// instance follows the platform itself. Heartbeats arrive several times in it.
	maxPeerSilence = 2 * heartbeatPeriod
)

// followState is how closely this instance follows the platform's changes.
type followState struct {
	loosely   bool
	nextCheck time.Duration
	// lastRequest is when a request of a caller last arrived.
	lastRequest time.Duration
}

// tickFollowing decides how closely this instance follows the platform. An idle
// instance of a large fleet learns of configurations and leaving targets from
// peers, so that the calls for each change don't grow with the fleet.
func (n *Node) tickFollowing() {
	f := &n.members.follow
	if n.now < f.nextCheck {
		return
	}
	f.nextCheck = n.now + followCheckPeriod
	if loosely := n.mayFollowLoosely(); loosely != f.loosely {
		f.loosely = loosely
		n.logChange("following platform", "closely", !loosely, "generation", n.configs.generation(), "highest_known", n.configs.newer.Highest(), "since_peer_heard", n.now-n.members.lastHeard)
		n.emit(event.Action{FollowPlatform: &event.FollowPlatform{Closely: !loosely}})
	}
}

// mayFollowLoosely reports whether this instance is idle and hears from peers.
func (n *Node) mayFollowLoosely() bool {
	f := &n.members.follow
	switch {
	case n.namesAll() || n.stopping || !n.ready() || !n.members.selfListed:
		return false
	case n.servesCallers() || f.lastRequest > 0 && n.now-f.lastRequest < quietAfter:
		return false
	}
	return n.now-max(n.members.lastHeard, n.resumedAt) < maxPeerSilence && n.configs.newer.Highest() == n.configs.generation()
}
