package node

import (
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/placement"
)

const (
	// loadPeriod is the time between two load messages, which tell peers what
	// this instance has sent to targets. It is a few times the time that a target
	// takes to prefill a typical prompt.
	loadPeriod = 200 * time.Millisecond
	// maxLoadPeers bounds the receivers of one load message. In a larger fleet
	// each message goes to randomly chosen peers, and the sums are scaled up.
	maxLoadPeers = 12
	// loadTimeout is the age at which a peer's load message is no longer used.
	loadTimeout = 1500 * time.Millisecond
)

// peerLoads is the work of one peer at each target.
type peerLoads struct {
	// at is when the last load message arrived; 0 before the first.
	at      time.Duration
	targets map[string]placement.Work
}

// sharesLoads reports whether instances send each other load messages.
func (n *Node) sharesLoads() bool {
	return n.configs.index != nil && n.configs.index.Document.Policies.Routing.Policy == config.RoutingLeastWork
}

// tickLoads sends peers this instance's work at targets.
func (n *Node) tickLoads() {
	if n.now < n.members.nextLoads || !n.sharesLoads() {
		return
	}
	n.members.nextLoads = n.now + loadPeriod
	m := &event.Loads{}
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.inFlight > 0 {
			m.Targets = append(m.Targets, event.TargetLoad{Target: name, PrefillTokens: t.prefillTokens, Running: t.inFlight})
		}
	}
	if len(m.Targets) == 0 && n.members.lastLoadsEmpty {
		return
	}
	n.members.lastLoadsEmpty = len(m.Targets) == 0
	for _, name := range n.randomPeers(maxLoadPeers) {
		if p := n.members.peers[name]; n.live(p) && p.DatagramAddress != "" {
			n.emit(event.Action{SendPeer: &event.SendPeer{To: name, Address: p.DatagramAddress, Message: event.PeerMessage{Loads: m}, Datagram: true}})
		}
	}
}

// loadsReceived stores a peer's work at targets.
func (n *Node) loadsReceived(p *peer, m *event.Loads) {
	p.loads = peerLoads{at: n.now, targets: make(map[string]placement.Work, len(m.Targets))}
	for _, t := range m.Targets {
		p.loads.targets[t.Target] = placement.Work{PrefillTokens: t.PrefillTokens, Running: t.Running}
	}
}

// peerWork returns the sum of the live peers' work by target. If there are more
// live peers than a load message reaches, it extrapolates from those with a
// recent message.
func (n *Node) peerWork() map[string]placement.Work {
	sum := map[string]placement.Work{}
	reporting, live := 0, 0
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !n.live(p) {
			continue
		}
		live++
		if p.loads.at == 0 || n.now-p.loads.at >= loadTimeout {
			continue
		}
		reporting++
		for target, w := range p.loads.targets {
			sum[target] = sum[target].Add(w)
		}
	}
	if reporting > 0 && live > maxLoadPeers {
		for target, w := range sum {
			sum[target] = placement.Work{PrefillTokens: w.PrefillTokens * int64(live) / int64(reporting), Running: w.Running * live / reporting}
		}
	}
	return sum
}

// leastWork chooses the target with the least work ahead of the request.
func (n *Node) leastWork(r *request, open []*target) *target {
	others := n.peerWork()
	request := placement.Request{Parts: r.Parts}
	request.LongPrompts = n.getsLongPrompts(r.Serves, request)
	candidates := make([]placement.Candidate, 0, len(open))
	for _, t := range open {
		own := placement.Work{PrefillTokens: t.prefillTokens, Running: t.inFlight}
		candidates = append(candidates, placement.Candidate{
			Name: t.Name, Work: own.Add(others[t.Name]), CachedTokens: t.cachedTokens(r), SameDataCentre: t.DataCentre == n.settings.DataCentre,
		})
	}
	return open[placement.Choose(candidates, request, n.rng)]
}

// longPromptWindow is how long a service counts as getting long prompts after
// the last one: several times the time between two of them at one instance.
const longPromptWindow = 30 * time.Second

// getsLongPrompts reports whether a service gets long prompts, this request
// included.
func (n *Node) getsLongPrompts(service string, r placement.Request) bool {
	if r.Long() {
		n.members.longPromptAt[service] = n.now
	}
	at, seen := n.members.longPromptAt[service]
	return seen && n.now-at < longPromptWindow
}

// cachedTokens returns the number of leading prompt tokens that the target is
// known to have in its prompt cache.
func (t *target) cachedTokens(r *request) int64 {
	var sum int64
	for _, p := range r.Parts[:min(t.prefixes.Match(r.PrefixHashes), len(r.Parts))] {
		sum += p.Tokens
	}
	return sum
}

// beginPrefill adds the prompt tokens of a request that the target does not have
// in its cache to those that it has yet to prefill.
func (t *target) beginPrefill(r *request) {
	r.prefillTokens = r.promptTokens() - t.cachedTokens(r)
	t.prefillTokens += r.prefillTokens
}

func (t *target) endPrefill(r *request) {
	// Called once the target has prefilled the prompt of the request or never
	// will.
	t.prefillTokens -= r.prefillTokens
	r.prefillTokens = 0
}

func (r *request) promptTokens() int64 {
	var sum int64
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}
