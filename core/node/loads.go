package node

import (
	"cmp"
	"slices"
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
	// most of them are peers with work of their own, which choose targets too,
	// and otherLoadPeers are any.
	maxLoadPeers   = 12
	otherLoadPeers = 3
	// maxLoadTargets is the number of targets in one part of a load message, so
	// that it fits into a datagram.
	maxLoadTargets = 24
	// loadTimeout is the age at which a peer's load message is no longer used.
	loadTimeout = 1500 * time.Millisecond
)

// peerLoads is the work of one peer at each target.
type peerLoads struct {
	// at is when the last load message arrived; 0 before the first.
	at time.Duration
	// parts is the work by target, in the parts in which it was sent.
	parts []map[string]placement.Work
	// requests is the rate of callers' requests at the peer, per second.
	requests float64
}

// idle reports whether the peer said that it has no work.
func (l *peerLoads) idle() bool {
	return !slices.ContainsFunc(l.parts, func(part map[string]placement.Work) bool { return len(part) > 0 })
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
	var targets []event.TargetLoad
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.inFlight > 0 {
			targets = append(targets, event.TargetLoad{Target: name, PrefillTokens: t.prefillTokens, Running: t.inFlight})
		}
	}
	if len(targets) == 0 && n.members.lastLoadsEmpty {
		return
	}
	n.members.lastLoadsEmpty = len(targets) == 0
	messages := n.loadMessages(targets)
	for _, name := range n.loadReceivers() {
		p := n.members.peers[name]
		if !n.live(p) || p.DatagramAddress == "" {
			continue
		}
		for _, m := range messages {
			n.emit(event.Action{SendPeer: &event.SendPeer{To: name, Address: p.DatagramAddress, Message: event.PeerMessage{Loads: m}, Datagram: true}})
		}
	}
}

// loadMessages splits this instance's work at targets into messages.
func (n *Node) loadMessages(targets []event.TargetLoad) []*event.Loads {
	requests := n.members.arrivals.At(n.now)
	if len(targets) <= maxLoadTargets {
		return []*event.Loads{{Targets: targets, Requests: requests}}
	}
	var messages []*event.Loads
	for part := range slices.Chunk(targets, maxLoadTargets) {
		messages = append(messages, &event.Loads{Targets: part, Part: len(messages), Requests: requests})
	}
	for _, m := range messages {
		m.Parts = len(messages)
	}
	return messages
}

// loadReceivers returns the names of the peers that get the next load message.
func (n *Node) loadReceivers() []string {
	names := n.randomPeers(len(n.members.peers))
	if len(names) <= maxLoadPeers {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(n.workingRank(a), n.workingRank(b))
	})
	working := 0
	for working < maxLoadPeers-otherLoadPeers && n.workingRank(names[working]) == 0 {
		working++
	}
	rest := names[working:]
	n.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return names[:maxLoadPeers]
}

// workingRank is 0 for a peer that recently had work, and 1 for others.
func (n *Node) workingRank(name string) int {
	if l := &n.members.peers[name].loads; l.at > 0 && n.now-l.at < demandTimeout && !l.idle() {
		return 0
	}
	return 1
}

// loadsReceived stores a peer's work at targets.
func (n *Node) loadsReceived(p *peer, m *event.Loads) {
	work := make(map[string]placement.Work, len(m.Targets))
	for _, t := range m.Targets {
		work[t.Target] = placement.Work{PrefillTokens: t.PrefillTokens, Running: t.Running}
	}
	parts := max(1, m.Parts)
	if m.Part < 0 || m.Part >= parts || parts > maxLoadParts {
		n.logChange("load message refused", "peer", p.Name, "part", m.Part, "parts", m.Parts)
		return
	}
	if len(p.loads.parts) != parts {
		p.loads.parts = make([]map[string]placement.Work, parts)
	}
	p.loads.at, p.loads.requests = n.now, m.Requests
	p.loads.parts[m.Part] = work
	n.members.work.valid = false
}

// maxLoadParts is the largest accepted number of parts of a load message.
const maxLoadParts = 1000

// maxWorkAge is how long a sum of the peers' work is used while no load message
// arrives: liveness of peers and the age of messages change slowly.
const maxWorkAge = 25 * time.Millisecond

// workSum is the sum of the peers' work by target, as of a time.
type workSum struct {
	at       time.Duration
	valid    bool
	byTarget map[string]placement.Work
}

// peerWork returns the sum of the live peers' work by target. The caller must not
// modify or keep it.
func (n *Node) peerWork() map[string]placement.Work {
	if w := &n.members.work; !w.valid || n.now-w.at >= maxWorkAge {
		if w.byTarget == nil {
			w.byTarget = map[string]placement.Work{}
		}
		clear(w.byTarget)
		n.sumPeerWork(w.byTarget)
		w.valid, w.at = true, n.now
	}
	return n.members.work.byTarget
}

// sumPeerWork adds up the live peers' work by target. If there are more live
// peers than a load message reaches, it extrapolates from those with a recent
// message to all that recently had work.
func (n *Node) sumPeerWork(sum map[string]placement.Work) {
	reporting, working, live := 0, 0, 0
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !n.live(p) {
			continue
		}
		live++
		if n.workingRank(name) > 0 {
			continue
		}
		working++
		if n.now-p.loads.at >= loadTimeout {
			continue
		}
		reporting++
		for _, part := range p.loads.parts {
			for target, w := range part {
				sum[target] = sum[target].Add(w)
			}
		}
	}
	if reporting > 0 && live > maxLoadPeers {
		for target, w := range sum {
			sum[target] = placement.Work{PrefillTokens: w.PrefillTokens * int64(working) / int64(reporting), Running: w.Running * working / reporting}
		}
	}
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
