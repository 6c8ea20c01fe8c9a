package node

import (
	"encoding/json"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/outdated"
	"plantainfield.example/core/routing"
)

const (
	// configName is the name of the only configuration object.
	configName = "current"
	// configPollPeriod bounds the staleness of the configuration if a watch is
	// lost.
	configPollPeriod = 2 * time.Second
	// peerFetchDelay is how long the platform may take to deliver a generation
	// that peers have before one of them is asked for it.
	peerFetchDelay = time.Second
	// hostedPeerFetchDelay is the same where the platform delivers every
	// configuration by a watch, at once or, to some instances, much later.
	hostedPeerFetchDelay = 200 * time.Millisecond
)

// configState is the configuration in force at this instance. Its generation
// never decreases.
type configState struct {
	index  *config.Index
	stored config.Stored
	// raw is the JSON of stored. It may be nil until it is needed.
	raw []byte
	// newer tracks the generations that peers have in force.
	newer outdated.Tracker

	nextPoll time.Duration
	polling  bool
	// polledOnce is set once a read has ended, and pollFailed if the last read
	// failed.
	polledOnce bool
	pollFailed bool
	applies    []*apply
}

func (c *configState) generation() uint64 { return c.stored.Generation }

// encoded returns the JSON of the configuration in force.
func (c *configState) encoded() []byte {
	if c.raw == nil {
		raw, err := json.Marshal(&c.stored)
		if err != nil {
			return nil // can't happen: every field can be encoded as JSON
		}
		c.raw = raw
	}
	return c.raw
}

func configObject() event.Object {
	return event.Object{Kind: event.KindConfiguration, Name: configName}
}

func (n *Node) tickConfig() {
	n.tickApplies()
	n.fetchFromPeer()
	n.announceStanding()
	if subject, behind, due := n.configs.newer.Notice(n.now); due {
		n.logChange(subject, "generation", n.configs.generation(), "highest_known", n.configs.newer.Highest(), "behind", behind, "overdue", n.configs.newer.Overdue(), "since_peer_heard", n.now-n.members.lastHeard)
	}
	if n.settings.Disabled.ConfigurationStore || n.configs.polling || n.now < n.configs.nextPoll {
		return
	}
	n.configs.polling = true
	n.callPlatform(event.OpGet, configObject(), n.configPolled)
}

func (n *Node) configPolled(r event.PlatformResult) {
	c := &n.configs
	c.polling, c.polledOnce = false, true
	c.pollFailed = r.Status != event.PlatformOK && r.Status != event.PlatformNotFound
	c.nextPoll = n.now + backoff.Jittered(configPollPeriod, n.rng)
	switch r.Status {
	case event.PlatformOK:
		n.adopt(r.Object.Value)
		n.restoreConfig(r.Object)
	case event.PlatformNotFound:
		n.restoreConfig(configObject())
	}
}

// restoreConfig writes the configuration in force back if the platform has lost
// it. The write is conditional, so that it can't replace a later configuration.
func (n *Node) restoreConfig(found event.Object) {
	var s config.Stored
	if found.Value != nil && json.Unmarshal(found.Value, &s) != nil {
		return
	}
	if s.Generation >= n.configs.generation() {
		return
	}
	found.Value = n.configs.encoded()
	n.callPlatform(writeOp(found.Version), found, func(event.PlatformResult) {})
}

func writeOp(version string) event.PlatformOp {
	if version == "" {
		return event.OpCreate
	}
	return event.OpUpdate
}

// configSeen handles a configuration from a watch or a list. Either may be
// stale, so that an instance without a configuration reads the object itself
// first.
func (n *Node) configSeen(o event.Object) {
	if o.Name != configName {
		return
	}
	if n.configs.generation() == 0 {
		n.configs.nextPoll = n.now
		return
	}
	n.adopt(o.Value)
}

// adopt puts a stored configuration, given as JSON, in force if it is newer.
func (n *Node) adopt(raw []byte) {
	s := &config.Stored{}
	if err := json.Unmarshal(raw, s); err != nil {
		n.logChange("configuration unreadable", "bytes", len(raw), "error", err)
		return
	}
	if s.Generation <= n.configs.generation() {
		return
	}
	n.putInForce(s, raw)
}

// configRead handles a configuration that the platform stores. Its policies are
// replaced by those of the settings.
func (n *Node) configRead(s *config.Stored) {
	if s.Generation <= n.configs.generation() {
		return
	}
	s.Document.Policies = n.settings.Policies
	n.putInForce(s, nil)
}

// putInForce replaces the configuration in force. raw is its JSON, or nil if
// that is not known.
func (n *Node) putInForce(s *config.Stored, raw []byte) {
	n.configs.stored, n.configs.raw = *s, raw
	n.configs.index = config.NewIndex(s)
	n.configs.newer.PutInForce(s.Generation)
	n.selector = routing.New(s.Document.Policies.Routing)
	n.emit(event.Action{AdoptConfig: &event.AdoptConfig{Generation: s.Generation, Stored: s}})
	n.announceStanding()
	for i := range n.ledgers.shards {
		n.book.MarkDirty(i) // totals and policies may have changed
	}
	n.answerAccepted()
	n.members.burstDue = true
}

// peerGenerationSeen records a peer's generation. If it is newer than the one
// in force, the platform is asked for it first, and then the peer.
func (n *Node) peerGenerationSeen(from string, generation uint64) {
	if n.configs.newer.Heard(n.now, from, generation) {
		n.configs.nextPoll = min(n.configs.nextPoll, n.now+backoff.Jittered(peerFetchDelay/2, n.rng))
	}
	n.announceStanding()
	n.fetchFromPeer()
}

// announceStanding tells the driver of newer configurations, if that has changed.
func (n *Node) announceStanding() {
	live := func(peer string) bool { p := n.members.peers[peer]; return p != nil && n.live(p) }
	if s, changed := n.configs.newer.Standing(n.now, n.settings.ConfigBound, live); changed {
		n.emit(event.Action{ConfigStanding: &s})
	}
}

// fetchFromPeer asks a peer for its newer configuration if the platform has had
// time to deliver it.
func (n *Node) fetchFromPeer() {
	c := &n.configs
	delay := peerFetchDelay
	if n.settings.Disabled.ConfigurationStore {
		delay = hostedPeerFetchDelay
	} else if c.pollFailed {
		delay = 0
	} else if !c.polledOnce {
		return
	}
	if peer, due := c.newer.FetchDue(n.now, delay); due {
		n.send(peer, event.PeerMessage{ConfigRequest: &event.ConfigRequest{NewerThan: c.generation()}})
	}
}

func (n *Node) configRequested(from string, q *event.ConfigRequest) {
	if g := n.configs.generation(); g > q.NewerThan {
		n.send(from, event.PeerMessage{ConfigReply: &event.ConfigReply{Generation: g, Stored: n.configs.encoded()}})
	}
}

func (n *Node) configReplied(from string, m *event.ConfigReply) {
	before := n.configs.generation()
	since, _ := n.configs.newer.Behind()
	n.adopt(m.Stored)
	if n.configs.generation() > before {
		n.logChange("configuration from peer", "peer", from, "generation", n.configs.generation(), "before", before, "behind", n.now-since)
	}
}
