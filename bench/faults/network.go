package faults

import (
	"sync"

	"plantainfield.example/bench/relay"
	"plantainfield.example/fleet/settings"
)

// link holds the relays from one instance to the peer listener and the caller
// listener of another.
type link struct {
	fromCentre, toCentre string
	peers, callers       *relay.Relay
}

// member is one instance in the network.
type member struct {
	name, dataCentre string
	// peers and callers are the IP:port of its listeners.
	peers, callers string
	// platform is the relay from this instance to the platform.
	platform *relay.Relay
	links    []*link
}

// network runs relays for each direction between two instances and one between
// each instance and the platform. In the platform's answers to an instance, the
// addresses of its peers are replaced by the addresses of the relays.
type network struct {
	// platform is the IP:port of the platform.
	platform string
	mu       sync.Mutex
	// members is guarded by mu.
	members []*member
}

func newNetwork(platform string) *network { return &network{platform: platform} }

// add connects a new instance to all others and sets the platform address in its
// settings to its relay.
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

// connect starts the relays from one instance to another.
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

// replacements returns the addresses of an instance's peers and the addresses of
// the relays that replace them in the platform's answers.
func (n *network) replacements(m *member) []relay.Replacement {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []relay.Replacement
	for _, l := range m.links {
		out = append(out, relay.Replacement{Old: l.peers.Upstream(), New: l.peers.Address()}, relay.Replacement{Old: l.callers.Upstream(), New: l.callers.Address()})
	}
	return out
}

// setCentres sets the mode of all relays between two data centres.
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

// setPlatform sets the mode of the relay from an instance to the platform.
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
