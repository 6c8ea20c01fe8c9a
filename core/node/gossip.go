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
	// monitorCount is the number of peers that watch an instance: it sends
	// each of them every heartbeat.
	monitorCount = 2
	// randomCount is the number of further peers, chosen anew, that get a
	// heartbeat.
	randomCount = 1
	// seekingPeers is the number of peers heard of in a second below which an
	// instance seeks others.
	seekingPeers = 2
	// seekingPeriods is the number of periods in which it asks all of them.
	seekingPeriods = 3
	// newsCount is the number of random peers that hear of news at once.
	newsCount = 4
	// newsPeriod is the least time between two such bursts.
	newsPeriod = 50 * time.Millisecond
	// maxFacts bounds the facts in one heartbeat.
	maxFacts = 6
	// factTimeout is the age at which a fact is dropped unless confirmed.
	factTimeout = 5 * time.Second
	// silenceTimeout is the silence after which a monitor calls a peer silent.
	silenceTimeout = 5 * heartbeatPeriod
)

// contradictTime is how long an instance that was called silent says in each
// heartbeat that it is alive.
const contradictTime = 10 * time.Second

// factKey identifies a fact.
type factKey struct {
	kind event.FactKind
	name string
	life string
}

// fact is a change of membership that is passed on.
type fact struct {
	// confirmed is when it was last known first-hand.
	confirmed time.Duration
	// sent counts the heartbeats that carried it.
	sent int
}

// learn takes a fact that held at a time. It returns false if the fact was
// known to be as recent already, or is too old.
func (n *Node) learn(k factKey, at time.Duration) bool {
	if n.now-at >= factTimeout {
		return false
	}
	f := n.members.facts[k]
	if f == nil {
		f = &fact{confirmed: at}
		n.members.facts[k] = f
		n.members.news = true
		return true
	}
	if at <= f.confirmed {
		return false
	}
	f.confirmed = at
	return true
}

// heardFact applies a fact that a peer passed on.
func (n *Node) heardFact(e event.Fact) {
	at := n.now - time.Duration(e.AgeMillis)*time.Millisecond
	k := factKey{e.Kind, e.Name, e.Incarnation}
	if e.Kind == event.FactSilent && e.Name == n.settings.Name {
		n.members.contradictUntil = n.now + contradictTime
		n.learn(factKey{event.FactAlive, e.Name, n.settings.Incarnation}, n.now)
		return
	}
	if !n.learn(k, at) {
		return
	}
	n.applyFact(k, at)
}

func (n *Node) applyFact(k factKey, at time.Duration) {
	if k.kind == event.FactLeaving {
		if t := n.members.targets[k.name]; t != nil && t.Address == k.life {
			t.leave(at)
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

// facts selects what the next heartbeat carries: what was sent least so far.
func (n *Node) facts() []event.Fact {
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
		return cmp.Or(cmp.Compare(fa.sent, fb.sent), cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name), cmp.Compare(a.life, b.life))
	})
	var out []event.Fact
	for _, k := range keys[:min(len(keys), maxFacts)] {
		f := n.members.facts[k]
		f.sent++
		out = append(out, event.Fact{Kind: k.kind, Name: k.name, Incarnation: k.life, AgeMillis: (n.now - f.confirmed).Milliseconds()})
	}
	return out
}

// ring orders instances by the hash of their names. An instance's monitors are
// the next ones in it.
func (m *memberState) ring(self string) []string {
	if m.ringNames == nil {
		m.ringNames = append(slices.Clone(m.peerNames()), self)
		slices.SortFunc(m.ringNames, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
	}
	return m.ringNames
}

// monitorsOf returns the names of the instances that watch an instance.
func (n *Node) monitorsOf(name string) []string {
	ring := n.members.ring(n.settings.Name)
	at := slices.Index(ring, name)
	var out []string
	for i := 1; i <= min(monitorCount, len(ring)-1); i++ {
		out = append(out, ring[(at+i)%len(ring)])
	}
	return out
}

// watched returns the names of the instances that this one watches.
func (n *Node) watched() []string {
	ring := n.members.ring(n.settings.Name)
	at := slices.Index(ring, n.settings.Name)
	var out []string
	for i := 1; i <= min(monitorCount, len(ring)-1); i++ {
		out = append(out, ring[(at-i+len(ring))%len(ring)])
	}
	return out
}

func (n *Node) tickMembers() {
	due := n.now >= n.members.nextBeat
	if due {
		if n.members.nextBeat == 0 {
			n.members.firstBeat = n.now
		}
		n.members.nextBeat = n.now + heartbeatPeriod
		n.confirmFacts()
		n.beat(append(n.monitorsOf(n.settings.Name), n.furtherPeers()...))
	}
	if n.members.news && n.now >= n.members.nextNews {
		n.spreadNews()
	}
}

// seeking tells whether so few peers are heard of that this instance may be
// cut off from most.
func (n *Node) seeking() bool {
	if n.now-n.members.firstBeat < 2*heartbeatPeriod {
		return false // peers had no time yet to be heard of
	}
	recent := 0
	for _, p := range n.members.peers {
		if p.heardDirectly && n.now-p.heardDirectlyAt < 2*heartbeatPeriod {
			recent++
		}
	}
	return recent < min(seekingPeers, len(n.members.peers))
}

// furtherPeers selects the peers beside the monitors that get a heartbeat. An
// instance that seeks peers goes through all of them in a few periods.
func (n *Node) furtherPeers() []string {
	if !n.seeking() {
		return n.randomPeers(randomCount)
	}
	names := n.members.peerNames()
	n.members.seekFrom++
	var out []string
	for i, name := range names {
		if (i+n.members.seekFrom)%seekingPeriods == 0 {
			out = append(out, name)
		}
	}
	return out
}

// spreadNews tells a few random peers at once; each that hears it first does
// the same.
func (n *Node) spreadNews() {
	n.members.news = false
	n.members.nextNews = n.now + newsPeriod
	n.beat(n.randomPeers(newsCount))
}

// confirmFacts renews the facts that this instance knows first-hand.
func (n *Node) confirmFacts() {
	if n.stopping {
		n.learn(factKey{event.FactStopping, n.settings.Name, n.settings.Incarnation}, n.now)
	}
	if n.now < n.members.contradictUntil {
		n.learn(factKey{event.FactAlive, n.settings.Name, n.settings.Incarnation}, n.now)
	}
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		if t.firstHand() {
			n.targetLeaving(t)
		}
		t.comeBack(n.now)
	}
	for _, name := range n.watched() {
		p := n.members.peers[name]
		if n.now-max(p.since, p.lastHeard, n.resumedAt) >= silenceTimeout {
			p.silentAt = n.now
			n.learn(factKey{event.FactSilent, name, ""}, n.now)
		}
	}
}

func (n *Node) randomPeers(count int) []string {
	names := slices.Clone(n.members.peerNames())
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

// beat sends a heartbeat to some peers.
func (n *Node) beat(to []string) {
	hb := &event.Heartbeat{
		Generation: n.configs.generation(), Stopping: n.stopping, WantsReply: n.seeking(), Unready: !n.ready(),
		PeerAddress: n.members.self.PeerAddress, Facts: n.facts(),
	}
	slices.Sort(to)
	for _, name := range slices.Compact(to) {
		n.send(name, event.PeerMessage{Heartbeat: hb})
	}
}

func (n *Node) heartbeat(p *peer, hb *event.Heartbeat) {
	p.generation = hb.Generation
	if hb.PeerAddress != "" && !p.listed {
		p.PeerAddress = hb.PeerAddress
	}
	p.stopping = hb.Stopping
	if hb.Stopping {
		p.stoppingAt = n.now
		n.learn(factKey{event.FactStopping, p.Name, p.incarnation}, n.now)
	}
	for _, f := range hb.Facts {
		n.heardFact(f)
	}
	if hb.Unready && n.now >= p.nextGreeting {
		p.nextGreeting = n.now + heartbeatPeriod
		n.sendStartupState(p)
	}
	if hb.WantsReply || hb.Generation < n.configs.generation() {
		n.answerHeartbeat(p)
	}
	n.peerGeneration(p.Name, hb.Generation)
}

// answerHeartbeat sends a peer that seeks others, or that is behind, what is
// known here.
func (n *Node) answerHeartbeat(p *peer) {
	if n.now < p.nextAnswer {
		return
	}
	p.nextAnswer = n.now + heartbeatPeriod
	n.beat([]string{p.Name})
}
