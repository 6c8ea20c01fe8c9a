package node

import (
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/peerload"
	"plantainfield.example/core/placement"
)

// sharesLoads reports whether instances send each other load messages.
func (n *Node) sharesLoads() bool {
	return n.configs.index != nil && n.configs.index.Document.Policies.Routing.Policy == config.RoutingLeastWork
}

// tickLoads sends peers this instance's work at targets.
func (n *Node) tickLoads() {
	if n.now < n.members.nextLoads || !n.sharesLoads() {
		return
	}
	n.members.nextLoads = n.now + peerload.Period
	var targets []event.TargetLoad
	for _, name := range n.members.targetNames() {
		if t := n.members.targets[name]; t.inFlight > 0 {
			targets = append(targets, event.TargetLoad{Target: name, PrefillTokens: t.prefillTokens, Running: t.inFlight})
		}
	}
	load := event.Loads{Targets: targets, Requests: n.members.arrivals.At(n.now), Unreached: n.reach.Services(), Outdated: n.configs.newer.Overdue()}
	empty := len(load.Targets) == 0 && len(load.Unreached) == 0 && !load.Outdated
	if empty && n.members.lastLoadsEmpty {
		return
	}
	n.members.lastLoadsEmpty = empty
	messages := peerload.Messages(load)
	for _, name := range peerload.Receivers(n.randomPeers(len(n.members.peers)), n.working, n.rng) {
		p := n.members.peers[name]
		if !n.live(p) || p.DatagramAddress == "" {
			continue
		}
		for _, m := range messages {
			n.emit(event.Action{SendPeer: &event.SendPeer{To: name, Address: p.DatagramAddress, Message: event.PeerMessage{Loads: m}, Datagram: true}})
		}
	}
}

// working reports whether a peer recently had work at targets.
func (n *Node) working(name string) bool { return n.members.peers[name].loads.Working(n.now) }

// loadsReceived stores a peer's work at targets.
func (n *Node) loadsReceived(p *peer, m *event.Loads) {
	if err := p.loads.Record(n.now, m); err != nil {
		n.logChange("load message refused", "peer", p.Name, "error", err.Error())
		return
	}
	n.members.work.valid = false
}

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
		var live []*peerload.Peer
		for _, name := range n.members.peerNames() {
			if p := n.members.peers[name]; n.live(p) {
				live = append(live, &p.loads)
			}
		}
		peerload.Sum(n.now, live, w.byTarget)
		w.valid, w.at = true, n.now
	}
	return n.members.work.byTarget
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
