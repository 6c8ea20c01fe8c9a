package node

import (
	"slices"
	"time"

	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
)

const (
	heartbeatPeriod = 500 * time.Millisecond
	// randomPeerCount is the number of other peers, drawn anew for each
	// heartbeat, that get it too.
	randomPeerCount = 1
	// minRecentPeers is the number of peers that an instance must have heard from
	// in the last second. Below it, the instance seeks more peers.
	minRecentPeers = 2
	// seekPeriods is the number of heartbeat periods in which a seeking instance
	// contacts every peer once.
	seekPeriods = 3
	// burstPeerCount is the number of random peers that get a heartbeat at once
	// after a change.
	burstPeerCount = 4
	// minBurstPeriod is the minimum time between two such bursts.
	minBurstPeriod = 50 * time.Millisecond
	// silenceTimeout is the time without a sign of life after which a monitor
	// reports a peer as silent.
	silenceTimeout = 5 * heartbeatPeriod
)

// refutePeriod is how long an instance that was reported as silent states in
// each heartbeat that it is alive.
const refutePeriod = 10 * time.Second

// recordFact stores a fact that was confirmed at a time. It returns nil if a
// confirmation at that time or later is already known, or if this one is too old.
func (n *Node) recordFact(k gossip.Key, at time.Duration) *gossip.Fact {
	f, isNew := n.members.facts.Record(n.now, k, at)
	n.members.burstDue = n.members.burstDue || isNew
	return f
}

// factReceived records and applies a fact from a peer.
func (n *Node) factReceived(e event.Fact) {
	at := n.now - time.Duration(e.AgeMillis)*time.Millisecond
	k := gossip.Key{Kind: e.Kind, Name: e.Name, Incarnation: e.Incarnation}
	if e.Kind == event.FactSilent && e.Name == n.settings.Name {
		n.members.refuteUntil = n.now + refutePeriod
		n.recordFact(gossip.Key{Kind: event.FactAlive, Name: e.Name, Incarnation: n.settings.Incarnation}, n.now)
		return
	}
	if f := n.recordFact(k, at); f != nil {
		f.Limited, f.Limit = e.Limited, e.Limit
		n.applyFact(k, f)
	}
}

func (n *Node) applyFact(k gossip.Key, f *gossip.Fact) {
	if t := n.members.targets[k.Name]; t != nil && t.incarnation() == k.Incarnation {
		switch k.Kind {
		case event.FactLeaving:
			t.Mark(f.Confirmed)
		case event.FactLimit:
			n.setLimit(t, f.Limited, f.Limit, f.Confirmed)
		}
	}
	if k.Kind == event.FactStopping {
		n.peerDeparted(k.Name, k.Incarnation)
	}
	p := n.members.peers[k.Name]
	if p == nil {
		return
	}
	switch k.Kind {
	case event.FactStopping:
		if p.incarnation == "" {
			n.setIncarnation(p, k.Incarnation)
		}
	case event.FactSilent:
		p.silentAt = max(p.silentAt, f.Confirmed)
	case event.FactAlive:
		p.lastHeard = max(p.lastHeard, f.Confirmed)
	}
}

// ring returns the ring of all instances.
func (m *memberState) ring(self string) gossip.Ring {
	if m.cachedRing == nil {
		m.cachedRing = gossip.NewRing(append(slices.Clone(m.peerNames()), self)...)
	}
	return m.cachedRing
}

// unfitAsMonitor reports whether the peer of a name is silent or has departed, so that
// others must monitor in its place.
func (n *Node) unfitAsMonitor(name string) bool {
	p := n.members.peers[name]
	return p != nil && (n.reportedSilent(p) || n.departed(p))
}

func (n *Node) tickMembers() {
	due := n.now >= n.members.nextHeartbeat
	if due {
		if n.members.nextHeartbeat == 0 {
			n.members.firstHeartbeat = n.now
		}
		n.members.nextHeartbeat = n.now + heartbeatPeriod
		n.refreshFacts()
		n.sendHeartbeat(append(n.members.ring(n.settings.Name).MonitorsOf(n.settings.Name, n.unfitAsMonitor), n.extraPeers()...))
	}
	if n.members.burstDue && n.now >= n.members.nextBurst {
		n.sendBurst()
	}
}

// seeking reports whether this instance hears from so few peers that it may be
// cut off from most of them.
func (n *Node) seeking() bool {
	if n.now-n.members.firstHeartbeat < 2*heartbeatPeriod {
		return false // too early to have heard from peers
	}
	recent := 0
	for _, p := range n.members.peers {
		if p.heardDirectly && n.now-p.heardDirectlyAt < 2*heartbeatPeriod {
			recent++
		}
	}
	return recent < min(minRecentPeers, len(n.members.peers))
}

// extraPeers selects the peers besides the monitors that get a heartbeat. An
// instance that seeks peers contacts all of them within seekPeriods periods.
func (n *Node) extraPeers() []string {
	if !n.seeking() {
		return n.randomPeers(randomPeerCount)
	}
	names := n.members.peerNames()
	n.members.seekOffset++
	var out []string
	for i, name := range names {
		if (i+n.members.seekOffset)%seekPeriods == 0 {
			out = append(out, name)
		}
	}
	return out
}

// sendBurst sends a heartbeat to a few random peers at once. Each peer to which
// its facts are new does the same.
func (n *Node) sendBurst() {
	n.members.burstDue = false
	n.members.nextBurst = n.now + minBurstPeriod
	n.sendHeartbeat(n.randomPeers(burstPeerCount))
}

// refreshFacts renews the facts that this instance observes directly, and
// reinstates targets that are no longer leaving.
func (n *Node) refreshFacts() {
	if n.stopping {
		n.recordFact(gossip.Key{Kind: event.FactStopping, Name: n.settings.Name, Incarnation: n.settings.Incarnation}, n.now)
	}
	if n.now < n.members.refuteUntil {
		n.recordFact(gossip.Key{Kind: event.FactAlive, Name: n.settings.Name, Incarnation: n.settings.Incarnation}, n.now)
	}
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		if t.Observed() {
			n.announceLeaving(t)
		}
		t.Reinstate(n.now)
	}
	for _, name := range n.members.ring(n.settings.Name).MonitoredBy(n.settings.Name, n.unfitAsMonitor) {
		p := n.members.peers[name]
		if n.now-max(p.knownSince, p.lastHeard, n.resumedAt) >= silenceTimeout {
			p.silentAt = n.now
			n.recordFact(gossip.Key{Kind: event.FactSilent, Name: name}, n.now)
		}
	}
}

func (n *Node) randomPeers(count int) []string {
	names := slices.Clone(n.members.peerNames())
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

// sendHeartbeat sends a heartbeat to some peers.
func (n *Node) sendHeartbeat(to []string) {
	hb := &event.Heartbeat{
		Generation: n.configs.generation(), Stopping: n.stopping, WantsReply: n.seeking(), Unready: !n.ready(),
		PeerAddress: n.members.self.PeerAddress, Facts: n.members.facts.Next(n.now), Suspects: n.quarantineDigest(),
	}
	slices.Sort(to)
	for _, name := range slices.Compact(to) {
		n.send(name, event.PeerMessage{Heartbeat: hb})
	}
}

func (n *Node) heartbeatReceived(p *peer, hb *event.Heartbeat) {
	p.generation = hb.Generation
	if hb.PeerAddress != "" && !p.listed {
		p.PeerAddress = hb.PeerAddress
	}
	if hb.Stopping {
		n.peerDeparted(p.Name, p.incarnation)
		n.recordFact(gossip.Key{Kind: event.FactStopping, Name: p.Name, Incarnation: p.incarnation}, n.now)
	}
	for _, f := range hb.Facts {
		n.factReceived(f)
	}
	if hb.Unready && n.now >= p.nextStartupState {
		p.nextStartupState = n.now + heartbeatPeriod
		n.sendStartupState(p)
	}
	n.quarantineDigestReceived(p, hb.Suspects)
	if hb.WantsReply || hb.Generation < n.configs.generation() {
		n.answerHeartbeat(p)
	}
	n.peerGenerationSeen(p.Name, hb.Generation)
}

// answerHeartbeat sends a heartbeat in return to a peer that seeks peers or
// whose configuration is older.
func (n *Node) answerHeartbeat(p *peer) {
	if n.now < p.nextReply {
		return
	}
	p.nextReply = n.now + heartbeatPeriod
	n.sendHeartbeat([]string{p.Name})
}
