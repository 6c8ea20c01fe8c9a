package node

import (
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
)

const (
	// loadPeriod is the time between two messages to peers of what this instance
	// has sent to targets: a few times the time to read a usual prompt.
	loadPeriod = 200 * time.Millisecond
	// loadPeers bounds the peers that hear of it at a time; in a larger fleet
	// each message goes to some by chance and the sums are scaled up.
	loadPeers = 12
	// loadTimeout is the age at which a peer's message counts no more.
	loadTimeout = 1500 * time.Millisecond
)

// peerLoads is what one peer has sent to each target.
type peerLoads struct {
	at      time.Duration
	targets map[string]placement.Work
}

// sharesLoads tells whether instances tell each other of their targets' loads.
func (n *Node) sharesLoads() bool {
	return n.configs.index != nil && n.configs.index.Document.Policies.Routing.Policy == config.RouteLeastWork
}

// tickLoads tells peers of this instance's work at targets.
func (n *Node) tickLoads() {
	if n.now < n.members.nextLoads || !n.sharesLoads() {
		return
	}
	n.members.nextLoads = n.now + loadPeriod
	m := &event.Loads{}
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.inFlight > 0 {
			m.Targets = append(m.Targets, event.TargetLoad{Target: name, Unread: t.unread, Running: t.inFlight})
		}
	}
	if len(m.Targets) == 0 && n.members.loadsEmpty {
		return
	}
	n.members.loadsEmpty = len(m.Targets) == 0
	for _, name := range n.randomPeers(loadPeers) {
		if p := n.members.peers[name]; n.live(p) && p.DatagramAddress != "" {
			n.emit(event.Action{SendPeer: &event.SendPeer{To: name, Address: p.DatagramAddress, Message: event.PeerMessage{Loads: m}, Datagram: true}})
		}
	}
}

// loadsTold takes a peer's work at targets.
func (n *Node) loadsTold(p *peer, m *event.Loads) {
	p.loads = peerLoads{at: n.now, targets: make(map[string]placement.Work, len(m.Targets))}
	for _, t := range m.Targets {
		p.loads.targets[t.Target] = placement.Work{Unread: t.Unread, Running: t.Running}
	}
}

// othersWork sums the peers' work by target.
func (n *Node) othersWork() map[string]placement.Work {
	sum := map[string]placement.Work{}
	heard, live := 0, 0
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !n.live(p) {
			continue
		}
		live++
		if p.loads.at == 0 || n.now-p.loads.at >= loadTimeout {
			continue
		}
		heard++
		for target, w := range p.loads.targets {
			sum[target] = sum[target].Add(w)
		}
	}
	if heard > 0 && live > loadPeers {
		for target, w := range sum {
			sum[target] = placement.Work{Unread: w.Unread * int64(live) / int64(heard), Running: w.Running * live / heard}
		}
	}
	return sum
}

// leastWork chooses the target with the least work before the request.
func (n *Node) leastWork(r *request, open []*target) *target {
	others := n.othersWork()
	request := placement.Request{Parts: r.Parts}
	request.LongPrompts = n.longPrompts(r.Serves, request)
	candidates := make([]placement.Candidate, 0, len(open))
	for _, t := range open {
		own := placement.Work{Unread: t.unread, Running: t.inFlight}
		candidates = append(candidates, placement.Candidate{
			Name: t.Name, Work: own.Add(others[t.Name]), CachedTokens: t.kept(r), SameDataCentre: t.DataCentre == n.settings.DataCentre,
		})
	}
	return open[placement.Choose(candidates, request, n.rng)]
}

// longMemory is how long a service counts as getting long prompts after the
// last one: several times the time between two at one instance.
const longMemory = 30 * time.Second

// longPrompts tells whether a service gets long prompts, with this request.
func (n *Node) longPrompts(service string, r placement.Request) bool {
	if r.Long() {
		n.members.longPromptAt[service] = n.now
	}
	at, seen := n.members.longPromptAt[service]
	return seen && n.now-at < longMemory
}

// kept is the number of a prompt's first tokens that the target is known to keep.
func (t *target) kept(r *request) int64 {
	var sum int64
	for _, p := range r.Parts[:min(t.prefixes.Match(r.PrefixHashes), len(r.Parts))] {
		sum += p.Tokens
	}
	return sum
}

// beginRead takes that a request's prompt was sent to a target, endRead that
// the target has read it or never will.
func (t *target) beginRead(r *request) {
	r.unread = r.promptTokens() - t.kept(r)
	t.unread += r.unread
}

func (t *target) endRead(r *request) {
	t.unread -= r.unread
	r.unread = 0
}

func (r *request) promptTokens() int64 {
	var sum int64
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}
