package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/event"
	"plantainfield.example/core/reach"
	"plantainfield.example/core/serving"
)

// servingPeriod is how long the choice of the instances that serve callers is
// kept, except for an answer to a caller.
const servingPeriod = 250 * time.Millisecond

// servingState is the last choice of the instances that serve callers.
type servingState struct {
	at    time.Duration
	known bool
	count int64
	self  bool
	// names are the names of the chosen instances.
	names []string
}

// demand returns the rate of callers' requests that the fleet is prepared for,
// per second. While no peer is heard, it doesn't fall.
func (n *Node) demand() float64 {
	measured := n.members.arrivals.At(n.now)
	for _, p := range n.members.peers {
		if p.loads.Recent(n.now) {
			measured += p.loads.Requests
		}
	}
	return n.members.demand.Update(n.now, measured, n.now-n.members.lastHeard < isolationTimeout)
}

// chooseServing returns the instances that callers are directed to.
func (n *Node) chooseServing() []event.Instance {
	chosen := n.availableInstances()
	if !n.namesAll() {
		chosen = n.fitToDemand(chosen)
	}
	names := make([]string, 0, len(chosen))
	for _, in := range chosen {
		names = append(names, in.Name)
	}
	n.members.serving = servingState{at: n.now, known: true, count: int64(len(chosen)), self: slices.Contains(names, n.settings.Name), names: names}
	return chosen
}

// fitToDemand returns the instances that the fleet's demand needs.
func (n *Node) fitToDemand(available []event.Instance) []event.Instance {
	perProcessor := n.configs.index.Document.Policies.Addresses.RequestsPerProcessor
	byName := make(map[string]event.Instance, len(available))
	candidates := make([]serving.Candidate, 0, len(available))
	for _, in := range available {
		byName[in.Name] = in
		capacity := float64(in.ProcessorMillis*perProcessor) / 1000
		candidates = append(candidates, serving.Candidate{Name: in.Name, Capacity: capacity, Rank: xxhash.Sum64String(in.Name)})
	}
	var chosen []event.Instance
	for _, c := range serving.Choose(candidates, n.demand()) {
		chosen = append(chosen, byName[c.Name])
	}
	return chosen
}

// availableInstances returns the instances that can serve callers, as far as
// this one knows. Those that reach no target at all, or whose configuration is
// overdue, are left out unless there are no others.
func (n *Node) availableInstances() []event.Instance {
	var reaching, others []event.Instance
	services := n.members.servicesWithTargets()
	if n.ready() && !n.stopping && n.members.self.Address != "" {
		if n.configs.newer.Overdue() || reach.None(services, n.reach.Services()) {
			others = append(others, n.members.self)
		} else {
			reaching = append(reaching, n.members.self)
		}
	}
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		switch {
		case !n.live(p) && !n.mayServe(p):
		case p.loads.Outdated(n.now) || reach.None(services, p.loads.Unreached(n.now)):
			others = append(others, p.Instance)
		default:
			reaching = append(reaching, p.Instance)
		}
	}
	if len(reaching) == 0 {
		return others
	}
	return reaching
}

// currentServing returns the last choice of the instances that serve callers,
// chosen anew if it is older than servingPeriod.
func (n *Node) currentServing() servingState {
	if s := &n.members.serving; !s.known || n.now-s.at >= servingPeriod {
		n.chooseServing()
	}
	return n.members.serving
}

// namesAll reports whether callers are directed to all instances whatever the
// demand.
func (n *Node) namesAll() bool {
	return n.configs.index == nil || n.configs.index.Document.Policies.Addresses.RequestsPerProcessor == 0
}

// servingInstances returns the number of instances that serve callers, at least
// one.
func (n *Node) servingInstances() int64 {
	if n.namesAll() {
		return n.liveInstances()
	}
	return max(1, n.currentServing().count)
}

// servesCallers reports whether callers are directed to this instance. An
// instance that does not know its peers yet can't tell.
func (n *Node) servesCallers() bool {
	return n.namesAll() || n.members.selfListed && n.currentServing().self
}
