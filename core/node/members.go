package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/event"
)

const (
	// newPeerGrace is how long a listed peer counts as live before its first
	// heartbeat.
	newPeerGrace = 5 * time.Second
	// unlistedTimeout is the silence after which a peer that no list names is
	// forgotten.
	unlistedTimeout = 30 * time.Second
	// isolationTimeout is the silence of all peers after which none of them
	// counts as live.
	isolationTimeout = 3 * time.Second
)

// peer is another instance of the system.
type peer struct {
	event.Instance
	// listed is false for a peer that is known by its heartbeats alone.
	listed bool
	since  time.Duration
	// lastHeard is the last sign of life, first-hand or passed on.
	lastHeard time.Duration
	// heardDirectly and heardDirectlyAt tell of its own messages.
	heardDirectly   bool
	heardDirectlyAt time.Duration
	nextAnswer      time.Duration
	// nextGreeting is when it may be told again what it needs to get ready.
	nextGreeting time.Duration
	incarnation  string
	generation   uint64
	stopping     bool
	// stoppingAt and silentAt are the last times at which that was confirmed.
	stoppingAt time.Duration
	silentAt   time.Duration
	loads      peerLoads
}

// memberState is the fleet as this instance sees it.
type memberState struct {
	targets map[string]*target
	peers   map[string]*peer
	self    event.Instance
	facts   map[factKey]*fact
	// news is set if peers should hear of something before the next period.
	news      bool
	nextNews  time.Duration
	nextBeat  time.Duration
	firstBeat time.Duration
	// contradictUntil is set while this instance contradicts peers that call it
	// silent.
	contradictUntil time.Duration
	lastHeard       time.Duration
	// nextLoads is when peers are told of targets' loads next; loadsEmpty is set
	// if the last message said that there is none.
	nextLoads  time.Duration
	loadsEmpty bool
	// longPromptAt is when each service last got a long prompt here.
	longPromptAt map[string]time.Duration
	// named is the number of addresses in the last answer to a caller.
	named int
	// regainedAt is when the platform last came back into reach.
	regainedAt time.Duration
	seekFrom   int
	// ringNames and sortedPeers cache ring and peerNames; nil if peers changed.
	ringNames   []string
	sortedPeers []string
}

func newMemberState() memberState {
	return memberState{targets: map[string]*target{}, peers: map[string]*peer{}, facts: map[factKey]*fact{}, longPromptAt: map[string]time.Duration{}}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (m *memberState) targetNames() []string { return sortedKeys(m.targets) }

// peerNames returns the peers' names in order. The caller must not change the
// slice.
func (m *memberState) peerNames() []string {
	if m.sortedPeers == nil {
		m.sortedPeers = sortedKeys(m.peers)
	}
	return m.sortedPeers
}

// peersChanged drops what is derived from the set of peers.
func (m *memberState) peersChanged() { m.ringNames, m.sortedPeers = nil, nil }

// instancesListed takes the instance list. An entry that is gone from it is
// dropped; attempts in flight there go on.
func (n *Node) instancesListed(e event.InstancesListed) {
	if e.Reconnected {
		n.members.regainedAt = n.now
	}
	listed := map[string]bool{}
	for _, in := range e.Instances {
		listed[in.Name] = true
		switch {
		case in.Name == n.settings.Name:
			n.members.self = in
		case in.Role == event.RoleRouter:
			n.peerListed(in)
		default:
			n.targetListed(in)
		}
	}
	for _, name := range n.members.targetNames() {
		if !listed[name] {
			n.targetVanished(n.members.targets[name])
		}
	}
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		if !listed[name] && (p.listed || n.now-p.lastHeard >= unlistedTimeout) {
			delete(n.members.peers, name)
			n.members.peersChanged()
		}
	}
}

func (n *Node) peerListed(in event.Instance) {
	p := n.members.peers[in.Name]
	if p == nil {
		p = n.addPeer(in.Name)
	}
	p.Instance, p.listed = in, true
}

func (n *Node) addPeer(name string) *peer {
	p := &peer{Instance: event.Instance{Name: name, Role: event.RoleRouter}, since: n.now}
	n.members.peers[name] = p
	n.members.peersChanged()
	return p
}

// live tells whether the peer may be named to callers.
func (n *Node) live(p *peer) bool {
	switch {
	case !p.listed || p.State == event.StateLeaving:
		return false
	case p.stopping && n.now-p.stoppingAt < factTimeout:
		return false
	}
	return n.reachable(p)
}

// reachable tells whether nothing speaks against the peer being up: nobody
// found it silent since its last sign of life, and this instance hears peers.
func (n *Node) reachable(p *peer) bool {
	if p.silentAt > p.lastHeard && n.now-p.silentAt < factTimeout {
		return false
	}
	return n.now-max(p.since+newPeerGrace-isolationTimeout, n.members.lastHeard, n.resumedAt) < isolationTimeout
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
	p.incarnation = e.Incarnation
	n.members.lastHeard = n.now
	switch m := e.Message; {
	case m.Heartbeat != nil:
		n.heartbeat(p, m.Heartbeat)
	case m.ConfigRequest != nil:
		n.configRequested(e.From, m.ConfigRequest)
	case m.ConfigReply != nil:
		n.configReplied(m.ConfigReply)
	case m.BillHoldRequest != nil:
		n.billHoldReceived(p, m.BillHoldRequest)
	case m.BillHoldAck != nil:
		n.billHeldReceived(p, m.BillHoldAck)
	case m.QuarantineRecords != nil:
		n.suspectsReceived(m.QuarantineRecords)
	case m.BillHeads != nil:
		n.billHeadsReceived(m.BillHeads)
	case m.BillWritten != nil:
		n.billsWritten(m.BillWritten.Requests, p.Name)
	case m.TransferRequest != nil:
		n.transferRequested(p, m.TransferRequest)
	case m.Transfer != nil:
		n.transferReceived(p, m.Transfer)
	case m.Loads != nil:
		n.loadsTold(p, m.Loads)
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
// or not, so that shares of a bound hold for all of them together.
func (n *Node) fleetSize() int64 {
	count := int64(1)
	for _, p := range n.members.peers {
		if p.listed {
			count++
		}
	}
	return count
}

// mayServe tells whether callers may find the peer up though this instance hears
// of none: what cuts it off from all peers need not cut callers off from them.
func (n *Node) mayServe(p *peer) bool {
	if !p.listed || p.State == event.StateLeaving || p.stopping {
		return false
	}
	return n.now-max(n.members.lastHeard, n.resumedAt) >= isolationTimeout
}

// addressesAsked orders the live instances for a customer by rendezvous hash,
// so that a customer's callers stay on few instances.
func (n *Node) addressesAsked(q event.AddressesRequested) {
	var live []event.Instance
	if n.ready() && !n.stopping && n.members.self.Address != "" {
		live = append(live, n.members.self)
	}
	for _, name := range n.members.peerNames() {
		if p := n.members.peers[name]; n.live(p) || n.mayServe(p) {
			live = append(live, p.Instance)
		}
	}
	rank := func(in event.Instance) uint64 { return xxhash.Sum64String(q.Customer + "\x00" + in.Name) }
	slices.SortFunc(live, func(a, b event.Instance) int { return cmp.Compare(rank(b), rank(a)) })
	answer := &event.AnswerAddresses{Query: q.Query, TTL: defaultAddressTTL}
	if ix := n.configs.index; ix != nil {
		p := ix.Document.Policies.Addresses
		answer.TTL = time.Duration(p.TTLSeconds) * time.Second
		if p.PerCustomer > 0 && int(p.PerCustomer) < len(live) {
			live = live[:p.PerCustomer]
		}
	}
	for _, in := range live {
		answer.Addresses = append(answer.Addresses, in.Address)
	}
	n.noteAddresses(answer.Addresses)
	n.emit(event.Action{AnswerAddresses: answer})
}

// noteAddresses logs a change of the number of instances that callers are told.
func (n *Node) noteAddresses(addresses []string) {
	if len(addresses) != n.members.named {
		n.members.named = len(addresses)
		n.logChange("addresses changed", "named", len(addresses), "listed", n.fleetSize(), "since_peer_heard", n.now-n.members.lastHeard)
	}
}

const defaultAddressTTL = 2 * time.Second
