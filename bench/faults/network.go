package faults

import (
	"sync"

	"plantainfield.example/bench/relay"
	"plantainfield.example/fleet/settings"
)

// link is the way from one instance to another: its peer listener and its
// caller listener.
type link struct {
	fromCentre, toCentre string
	peers, callers       *relay.Relay
}

// member is one instance in the network.
type member struct {
	name, dataCentre string
	peers, callers   string
	// platform is the instance's own way to the platform.
	platform *relay.Relay
	links    []*link
}

// network puts a relay on each way between two instances and between an
// instance and the platform. The platform's answers to an instance name the
// relays' addresses in place of its peers' own.
type network struct {
	platform string
	mu       sync.Mutex
	// members is guarded by mu.
	members []*member
}

func newNetwork(platform string) *network { return &network{platform: platform} }

// add adds an instance and points its settings to its way to the platform.
func (n *network) add(s *settings.Settings) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &member{name: s.Name, dataCentre: s.DataCentre, peers: s.Peers.Address, callers: s.Callers.Address}
	var err error
	m.platform, err = relay.New(n.platform, func() []relay.Replacement { return n.replacements(m) })
	if err != nil {
		return err
	}
	s.Platform.Address = m.platform.Address()
	for _, other := range n.members {
		if err := connect(m, other); err != nil {
			return err
		}
		if err := connect(other, m); err != nil {
			return err
		}
	}
	n.members = append(n.members, m)
	return nil
}

// connect makes the way from one instance to another.
func connect(from, to *member) error {
	l := &link{fromCentre: from.dataCentre, toCentre: to.dataCentre}
	var err error
	if l.peers, err = relay.New(to.peers, nil); err != nil {
		return err
	}
	if l.callers, err = relay.New(to.callers, nil); err != nil {
		return err
	}
	from.links = append(from.links, l)
	return nil
}

// replacements lists the addresses that an instance must not see.
func (n *network) replacements(m *member) []relay.Replacement {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []relay.Replacement
	for _, l := range m.links {
		out = append(out, relay.Replacement{Old: l.peers.Upstream(), New: l.peers.Address()}, relay.Replacement{Old: l.callers.Upstream(), New: l.callers.Address()})
	}
	return out
}

// setCentres changes all ways between two data centres.
func (n *network) setCentres(a, b string, mode relay.Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		for _, l := range m.links {
			if (l.fromCentre == a && l.toCentre == b) || (l.fromCentre == b && l.toCentre == a) {
				l.peers.SetMode(mode)
				l.callers.SetMode(mode)
			}
		}
	}
}

// setPlatform changes an instance's way to the platform.
func (n *network) setPlatform(name string, mode relay.Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.name == name {
			m.platform.SetMode(mode)
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		_ = m.platform.Close()
		for _, l := range m.links {
			_ = l.peers.Close()
			_ = l.callers.Close()
		}
	}
}
