package node

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/event"
	"plantainfield.example/core/serving"
)

const (
	// demandWindow is the time over which an instance counts its requests for one
	// value of their rate.
	demandWindow = time.Second
	// demandTimeout is the age at which a peer's rate of requests is no longer
	// used. In a large fleet each load message reaches a part of the peers.
	demandTimeout = 5 * time.Second
	// demandHalfLife is the time in which the rate of requests that the fleet is
	// prepared for falls by half, so that a short lull changes little.
	demandHalfLife = 20 * time.Second
	// servingPeriod is how long the choice of the instances that serve callers is
	// kept, except for an answer to a caller.
	servingPeriod = 250 * time.Millisecond
)

// arrivals measures the rate of requests at this instance.
type arrivals struct {
	perSecond float64
	// count is the number of requests since the window began.
	count int
	since time.Duration
}

func (a *arrivals) add() { a.count++ }

// at returns the rate in the last full window.
func (a *arrivals) at(now time.Duration) float64 {
	if elapsed := now - a.since; elapsed >= demandWindow {
		a.perSecond = float64(a.count) / elapsed.Seconds()
		a.count, a.since = 0, now
	}
	return a.perSecond
}

// demandState is the rate of callers' requests in the fleet, per second.
type demandState struct {
	own arrivals
	// held is the rate that the fleet is prepared for, as of heldAt. It rises
	// with the measured rate and falls slowly.
	held   float64
	heldAt time.Duration
}

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
	d := &n.members.demand
	measured := d.own.at(n.now)
	for _, p := range n.members.peers {
		if p.loads.at > 0 && n.now-p.loads.at < demandTimeout {
			measured += p.loads.requests
		}
	}
	if n.now-n.members.lastHeard < isolationTimeout {
		d.held *= math.Exp2(-float64(n.now-d.heldAt) / float64(demandHalfLife))
	}
	d.heldAt = n.now
	d.held = max(d.held, measured)
	return d.held
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
// this one knows.
func (n *Node) availableInstances() []event.Instance {
	var available []event.Instance
	if n.ready() && !n.stopping && n.members.self.Address != "" {
		available = append(available, n.members.self)
	}
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; n.live(p) || n.mayServe(p) {
			available = append(available, p.Instance)
		}
	}
	return available
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
