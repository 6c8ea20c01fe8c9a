package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/event"
)

const (
	heartbeatPeriod = 500 * time.Millisecond
	// monitorCount is the number of peers that monitor an instance. It sends
	// every heartbeat to each of them.
	monitorCount = 2
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
	// maxFacts is the maximum number of facts in one heartbeat.
	maxFacts = 6
	// factTimeout is the age at which a fact is dropped unless it is confirmed
	// again.
	factTimeout = 5 * time.Second
	// silenceTimeout is the time without a sign of life after which a monitor
	// reports a peer as silent.
	silenceTimeout = 5 * heartbeatPeriod
)

// refutePeriod is how long an instance that was reported as silent states in
// each heartbeat that it is alive.
const refutePeriod = 10 * time.Second

// factKey identifies a fact. The field incarnation holds the incarnation of the
// instance or of the target; it is empty for event.FactSilent.
type factKey struct {
	kind        event.FactKind
	name        string
	incarnation string
}

// fact is a membership change that is spread by gossip.
type fact struct {
	// confirmed is when the change was last observed directly, here or by a peer.
	confirmed time.Duration
	// sent counts the heartbeats that carried the fact.
	sent int
	// limited and limit are the statement of event.FactLimit.
	limited bool
	limit   float64
}

// recordFact stores a fact that was confirmed at a time. It returns false if a
// confirmation at that time or later is already known, or if this one is too
// old.
func (n *Node) recordFact(k factKey, at time.Duration) bool {
	if n.now-at >= factTimeout {
		return false
	}
	f := n.members.facts[k]
	if f == nil {
		f = &fact{confirmed: at}
		n.members.facts[k] = f
		n.members.burstDue = true
		return true
	}
	if at <= f.confirmed {
		return false
	}
	f.confirmed = at
	return true
}

// factReceived records and applies a fact from a peer.
func (n *Node) factReceived(e event.Fact) {
	at := n.now - time.Duration(e.AgeMillis)*time.Millisecond
	k := factKey{e.Kind, e.Name, e.Incarnation}
	if e.Kind == event.FactSilent && e.Name == n.settings.Name {
		n.members.refuteUntil = n.now + refutePeriod
		n.recordFact(factKey{event.FactAlive, e.Name, n.settings.Incarnation}, n.now)
		return
	}
	if !n.recordFact(k, at) {
		return
	}
	n.members.facts[k].limited, n.members.facts[k].limit = e.Limited, e.Limit
	n.applyFact(k, at)
}

func (n *Node) applyFact(k factKey, at time.Duration) {
	if k.kind == event.FactLeaving {
		if t := n.members.targets[k.name]; t != nil && t.incarnation() == k.incarnation {
			t.markLeaving(at)
		}
		return
	}
	if k.kind == event.FactLimit {
		if t := n.members.targets[k.name]; t != nil && t.incarnation() == k.incarnation {
			f := n.members.facts[k]
			n.setLimit(t, f.limited, f.limit, at)
		}
		return
	}
	p := n.members.peers[k.name]
	if p == nil {
		return
	}
	switch k.kind {
	case event.FactStopping:
		p.stoppingAt, p.stopping = max(p.stoppingAt, at), true
	case event.FactSilent:
		p.silentAt = max(p.silentAt, at)
	case event.FactAlive:
		p.lastHeard = max(p.lastHeard, at)
	}
}

// nextFacts selects the facts for the next heartbeat, those sent the fewest
// times first.
func (n *Node) nextFacts() []event.Fact {
	var keys []factKey
	for k, f := range n.members.facts {
		if n.now-f.confirmed >= factTimeout {
			delete(n.members.facts, k)
			continue
		}
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b factKey) int {
		fa, fb := n.members.facts[a], n.members.facts[b]
		return cmp.Or(cmp.Compare(fa.sent, fb.sent), cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	var out []event.Fact
	for _, k := range keys[:min(len(keys), maxFacts)] {
		f := n.members.facts[k]
		f.sent++
		out = append(out, event.Fact{Kind: k.kind, Name: k.name, Incarnation: k.incarnation, AgeMillis: (n.now - f.confirmed).Milliseconds(), Limited: f.limited, Limit: f.limit})
	}
	return out
}

// ring returns all instances, ordered by the hash of their names. An instance's
// monitors are the next ones in this ring.
func (m *memberState) ring(self string) []string {
	if m.ringNames == nil {
		m.ringNames = append(slices.Clone(m.peerNames()), self)
		slices.SortFunc(m.ringNames, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
	}
	return m.ringNames
}

// monitorsOf returns the names of the instances that monitor an instance.
func (n *Node) monitorsOf(name string) []string {
	ring := n.members.ring(n.settings.Name)
	at := slices.Index(ring, name)
	var out []string
	for i := 1; i <= min(monitorCount, len(ring)-1); i++ {
		out = append(out, ring[(at+i)%len(ring)])
	}
	return out
}

// monitored returns the names of the instances that this one monitors.
func (n *Node) monitored() []string {
	ring := n.members.ring(n.settings.Name)
	at := slices.Index(ring, n.settings.Name)
	var out []string
	for i := 1; i <= min(monitorCount, len(ring)-1); i++ {
		out = append(out, ring[(at-i+len(ring))%len(ring)])
	}
	return out
}

func (n *Node) tickMembers() {
	due := n.now >= n.members.nextHeartbeat
	if due {
		if n.members.nextHeartbeat == 0 {
			n.members.firstHeartbeat = n.now
		}
		n.members.nextHeartbeat = n.now + heartbeatPeriod
		n.refreshFacts()
		n.sendHeartbeat(append(n.monitorsOf(n.settings.Name), n.extraPeers()...))
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
		n.recordFact(factKey{event.FactStopping, n.settings.Name, n.settings.Incarnation}, n.now)
	}
	if n.now < n.members.refuteUntil {
		n.recordFact(factKey{event.FactAlive, n.settings.Name, n.settings.Incarnation}, n.now)
	}
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		if t.observedLeaving() {
			n.announceLeaving(t)
		}
		t.reinstate(n.now)
	}
	for _, name := range n.monitored() {
		p := n.members.peers[name]
		if n.now-max(p.knownSince, p.lastHeard, n.resumedAt) >= silenceTimeout {
			p.silentAt = n.now
			n.recordFact(factKey{event.FactSilent, name, ""}, n.now)
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
		PeerAddress: n.members.self.PeerAddress, Facts: n.nextFacts(), Suspects: n.quarantineDigest(),
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
	p.stopping = hb.Stopping
	if hb.Stopping {
		p.stoppingAt = n.now
		n.recordFact(factKey{event.FactStopping, p.Name, p.incarnation}, n.now)
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
