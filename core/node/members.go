package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/absence"
	"plantainfield.example/core/departure"
	"plantainfield.example/core/event"
	"plantainfield.example/core/gossip"
	"plantainfield.example/core/peerload"
	"plantainfield.example/core/serving"
)

const (
	// newPeerGrace is how long a listed peer counts as live before its first
	// heartbeat.
	newPeerGrace = 5 * time.Second
	// unlistedTimeout is the time without a sign of life after which a peer that
	// is in no instance list is removed.
	unlistedTimeout = 30 * time.Second
	// isolationTimeout is the time without a message from any peer after which no
	// peer counts as live.
	isolationTimeout = 3 * time.Second
)

// peer is another instance of the system.
type peer struct {
	event.Instance
	// listed is false for a peer that is known only from its messages.
	listed     bool
	knownSince time.Duration
	// lastHeard is when there was last a sign of life, from the peer itself or
	// through another peer.
	lastHeard time.Duration
	// heardDirectly is set once the peer itself has sent a message, and
	// heardDirectlyAt is when it last did.
	heardDirectly   bool
	heardDirectlyAt time.Duration
	// nextReply is when the peer may next be sent a heartbeat in return.
	nextReply time.Duration
	// nextStartupState is when the peer may next be sent the state that it needs
	// to get ready.
	nextStartupState time.Duration
	// nextQuarantineSync is when the peer may next be sent quarantine records
	// because it knows of other crashes.
	nextQuarantineSync time.Duration
	// incarnation is the last one that the peer itself or a change of its entry in
	// the instance list has told; empty if unknown. In a large fleet most peers are
	// heard directly only now and then.
	incarnation string
	generation  uint64
	// silentAt is when it was last confirmed that the peer is silent.
	silentAt time.Duration
	loads    peerload.Peer
}

// memberState is the fleet as this instance knows it.
type memberState struct {
	targets map[string]*target
	peers   map[string]*peer
	self    event.Instance
	// selfListed is set once an instance list has contained this instance. Before,
	// the list may lack peers as well.
	selfListed bool
	facts      gossip.Facts
	departures departure.Registry
	// burstDue is set if peers should learn of a change before the next
	// heartbeat.
	burstDue       bool
	nextBurst      time.Duration
	nextHeartbeat  time.Duration
	firstHeartbeat time.Duration
	// refuteUntil is the time until which this instance refutes reports that it
	// is silent.
	refuteUntil time.Duration
	// lastHeard is when a message from any peer last arrived.
	lastHeard time.Duration
	// nextLimitCheck is the time of the next check for limits of targets that no
	// longer count.
	nextLimitCheck time.Duration
	// nextLoads is when the next load message is due; lastLoadsEmpty is set if
	// the last one contained no work.
	nextLoads      time.Duration
	lastLoadsEmpty bool
	// work is the work of the peers at each target.
	work workSum
	// arrivals counts the callers' requests here. demand is their rate in the fleet,
	// serving the instances that serve them as last chosen.
	arrivals serving.Arrivals
	demand   serving.Demand
	serving  servingState
	follow   followState
	// longPromptAt is when each service last got a long prompt here.
	longPromptAt map[string]time.Duration
	// lastAddressCount is the number of addresses in the last answer to a caller.
	lastAddressCount int
	// absences decides which targets stay in use that the list lacks.
	absences absence.Tracker
	// seekOffset selects the peers that an instance that seeks peers contacts
	// next.
	seekOffset int
	// cachedRing and sortedPeers cache the results of ring and peerNames. They are
	// nil after a change of the peers.
	cachedRing  gossip.Ring
	sortedPeers []string
	// listedPeers is the number of peers that are listed.
	listedPeers int64
	// sortedTargets and targetsByService cache the results of targetNames and
	// targetsOf. They are nil after a change of the targets.
	sortedTargets    []string
	targetsByService map[string][]*target
}

func newMemberState() memberState {
	return memberState{targets: map[string]*target{}, peers: map[string]*peer{}, facts: gossip.Facts{}, longPromptAt: map[string]time.Duration{}}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// targetNames returns the targets' names in order. The caller must not modify the
// slice.
func (m *memberState) targetNames() []string {
	if m.sortedTargets == nil {
		m.sortedTargets = sortedKeys(m.targets)
	}
	return m.sortedTargets
}

// targetsOf returns the targets that serve a model or service, in order of their
// names. The caller must not modify the slice.
func (m *memberState) targetsOf(service string) []*target {
	if m.targetsByService == nil {
		m.targetsByService = map[string][]*target{}
		for _, name := range m.targetNames() {
			t := m.targets[name]
			for _, served := range t.Serves {
				m.targetsByService[served] = append(m.targetsByService[served], t)
			}
		}
	}
	return m.targetsByService[service]
}

// servicesWithTargets returns the models and services that targets serve, in any
// order.
func (m *memberState) servicesWithTargets() []string {
	m.targetsOf("") // fills the index
	services := make([]string, 0, len(m.targetsByService))
	for service := range m.targetsByService {
		services = append(services, service)
	}
	return services
}

// peerNames returns the peers' names in order. The caller must not modify the
// slice.
func (m *memberState) peerNames() []string {
	if m.sortedPeers == nil {
		m.sortedPeers = sortedKeys(m.peers)
	}
	return m.sortedPeers
}

// invalidatePeerCaches clears what is derived from the set of peers.
func (m *memberState) invalidatePeerCaches() { m.cachedRing, m.sortedPeers = nil, nil }

// invalidateTargetCaches clears what is derived from the set of targets.
func (m *memberState) invalidateTargetCaches() { m.sortedTargets, m.targetsByService = nil, nil }

// countListed updates listedPeers.
func (m *memberState) countListed() {
	m.listedPeers = 0
	for _, p := range m.peers {
		if p.listed {
			m.listedPeers++
		}
	}
}

// instancesListed handles a new instance list. Targets that are not in it are
// handled as unlisted, and peers that are no longer in it are removed. Attempts
// in flight continue.
func (n *Node) instancesListed(e event.InstancesListed) {
	defer n.members.countListed()
	n.members.absences.Begin(e)
	n.origins.Watch(n.now)
	n.members.invalidateTargetCaches()
	listed := make(map[string]bool, len(e.Instances))
	for _, in := range e.Instances {
		listed[in.Name] = true
		switch {
		case in.Name == n.settings.Name:
			n.members.self, n.members.selfListed = in, true
		case in.Role == event.RoleRouter:
			n.peerListed(in)
		default:
			n.targetListed(in, e.TargetsCurrent)
		}
	}
	for _, name := range n.members.targetNames() {
		if !listed[name] {
			n.targetUnlisted(n.members.targets[name])
		}
	}
	n.logAbsences(e.Relist)
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !listed[name] && (p.listed || n.now-p.lastHeard >= unlistedTimeout) {
			delete(n.members.peers, name)
			n.members.invalidatePeerCaches()
		}
	}
}

func (n *Node) peerListed(in event.Instance) {
	p := n.members.peers[in.Name]
	if p == nil {
		p = n.addPeer(in.Name)
	}
	if in.Incarnation != "" && (p.incarnation == "" || p.Instance.Incarnation != "" && p.Instance.Incarnation != in.Incarnation) {
		n.setIncarnation(p, in.Incarnation)
	}
	p.Instance, p.listed = in, true
}

func (n *Node) addPeer(name string) *peer {
	p := &peer{Instance: event.Instance{Name: name, Role: event.RoleRouter}, knownSince: n.now}
	n.members.peers[name] = p
	n.members.invalidatePeerCaches()
	return p
}

// live reports whether the peer's address may be given to callers.
func (n *Node) live(p *peer) bool {
	if !p.listed || p.State == event.StateLeaving || n.departed(p) {
		return false
	}
	return n.reachable(p)
}

// departed reports whether the peer has said that it stops, and has not started again
// since.
func (n *Node) departed(p *peer) bool { return n.members.departures.Departed(p.Name, p.incarnation) }

// peerDeparted records that an incarnation of an instance stops.
func (n *Node) peerDeparted(name, incarnation string) {
	if n.members.departures.Record(name, incarnation) {
		n.logChange("instance departed", "instance", name, "incarnation", incarnation)
	}
}

// reachable reports whether there is no evidence that the peer is down: no
// instance has reported it as silent since its last sign of life, and this
// instance hears from peers.
func (n *Node) reachable(p *peer) bool {
	if n.reportedSilent(p) {
		return false
	}
	return n.now-max(p.knownSince+newPeerGrace-isolationTimeout, n.members.lastHeard, n.resumedAt) < isolationTimeout
}

func (n *Node) reportedSilent(p *peer) bool {
	return p.silentAt > p.lastHeard && n.now-p.silentAt < gossip.FactTimeout
}

// setIncarnation records a peer's incarnation. What an earlier one failed to do
// says nothing of a later one.
func (n *Node) setIncarnation(p *peer, incarnation string) {
	if p.incarnation != incarnation {
		delete(n.ledgers.avoidedWriters, p.Name)
	}
	p.incarnation = incarnation
}

func (n *Node) send(to string, m event.PeerMessage) {
	p := n.members.peers[to]
	if p == nil || p.PeerAddress == "" {
		return
	}
	n.emit(event.Action{SendPeer: &event.SendPeer{To: to, Address: p.PeerAddress, Message: m}})
}

func (n *Node) peerReceived(e event.PeerReceived) {
	if e.From == n.settings.Name {
		return
	}
	p := n.members.peers[e.From]
	if p == nil {
		p = n.addPeer(e.From)
	}
	p.heardDirectly, p.heardDirectlyAt, p.lastHeard = true, n.now, n.now
	n.setIncarnation(p, e.Incarnation)
	n.members.lastHeard = n.now
	switch m := e.Message; {
	case m.Heartbeat != nil:
		n.heartbeatReceived(p, m.Heartbeat)
	case m.ConfigRequest != nil:
		n.configRequested(e.From, m.ConfigRequest)
	case m.ConfigReply != nil:
		n.configReplied(e.From, m.ConfigReply)
	case m.BillHoldRequest != nil:
		n.billHoldRequested(p, m.BillHoldRequest)
	case m.BillHoldAck != nil:
		n.billHoldAckReceived(p, m.BillHoldAck)
	case m.QuarantineRecords != nil:
		n.quarantineRecordsReceived(p.Name, m.QuarantineRecords)
	case m.BillHeads != nil:
		n.billHeadsReceived(m.BillHeads)
	case m.BillWritten != nil:
		n.billsWritten(m.BillWritten.Requests, p.Name)
	case m.TransferRequest != nil:
		n.transferRequested(p, m.TransferRequest)
	case m.Transfer != nil:
		n.transferReceived(p, m.Transfer)
	case m.Loads != nil:
		n.loadsReceived(p, m.Loads)
	case m.LedgerRequest != nil:
		n.ledgerRequested(p, m.LedgerRequest)
	case m.LedgerReply != nil:
		n.ledgerReplied(p, m.LedgerReply)
	case m.Exposure != nil:
		n.exposureReceived(p, m.Exposure)
	case m.Origin != nil:
		n.originsAnswered(n.origins.Receive(n.now, p.Name, *m.Origin))
	}
}

// liveInstances counts the live instances of the system, this one included.
func (n *Node) liveInstances() int64 {
	count := int64(1)
	for _, p := range n.members.peers {
		if n.live(p) {
			count++
		}
	}
	return count
}

// fleetSize counts the listed instances of the system, this one included, live
// or not, so that the shares of a limit hold for all of them together.
func (n *Node) fleetSize() int64 { return 1 + n.members.listedPeers }

// mayServe reports whether callers may be able to reach the peer although this
// instance hears from no peer: what cuts this instance off from all peers need
// not cut callers off from them.
func (n *Node) mayServe(p *peer) bool {
	if !p.listed || p.State == event.StateLeaving || n.departed(p) {
		return false
	}
	return n.now-max(n.members.lastHeard, n.resumedAt) >= isolationTimeout
}

// addressesRequested answers with the addresses of the instances that serve
// callers, ordered by the rendezvous hash of the customer and the instance so
// that a customer's callers stay on few instances.
func (n *Node) addressesRequested(q event.AddressesRequested) {
	named := n.chooseServing()
	rank := func(in event.Instance) uint64 { return xxhash.Sum64String(q.Customer + "\x00" + in.Name) }
	slices.SortFunc(named, func(a, b event.Instance) int { return cmp.Compare(rank(b), rank(a)) })
	answer := &event.AnswerAddresses{Query: q.Query, TTL: defaultAddressTTL}
	if ix := n.configs.index; ix != nil {
		p := ix.Document.Policies.Addresses
		answer.TTL = time.Duration(p.TTLSeconds) * time.Second
		if p.PerCustomer > 0 && int(p.PerCustomer) < len(named) {
			named = named[:p.PerCustomer]
		}
	}
	for _, in := range named {
		answer.Addresses = append(answer.Addresses, in.Address)
	}
	n.logAddressCount(answer.Addresses)
	n.emit(event.Action{AnswerAddresses: answer})
}

// logAddressCount logs a change in the number of addresses that callers get.
func (n *Node) logAddressCount(addresses []string) {
	if len(addresses) != n.members.lastAddressCount {
		n.members.lastAddressCount = len(addresses)
		n.logChange("addresses changed", "named", len(addresses), "listed", n.fleetSize(), "requests_per_second", int64(n.members.demand.PerSecond), "since_peer_heard", n.now-n.members.lastHeard)
	}
}

const defaultAddressTTL = 2 * time.Second
