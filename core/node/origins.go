package node

import (
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/streamorigin"
)

// originFleet implements streamorigin.Fleet.
type originFleet struct{ *Node }

func (n originFleet) LiveInstances() []string {
	names := []string{n.settings.Name}
	for _, name := range n.members.peerNames() {
		if n.live(n.members.peers[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (n originFleet) Alone() bool { return n.fleetSize() == 1 }

func (n originFleet) Partitioned() bool {
	return n.members.absences.IsLost() && 2*n.liveInstances() <= n.fleetSize()
}

func (n originFleet) TargetVersions(serves string) []string {
	var versions []string
	for _, t := range n.members.targetsOf(serves) {
		versions = append(versions, t.Version)
	}
	return versions
}

func (n originFleet) SendOrigin(peer string, m streamorigin.Message) {
	n.send(peer, event.PeerMessage{Origin: &m})
}

// goesOnAt reports whether a target may send the request's events.
func (r *request) goesOnAt(t *target) bool {
	return r.origin == nil || *r.origin == streamorigin.Origin{Serves: r.Serves, Version: t.Version}
}

// streamBegun records the origin of a stream with its first event.
func (n *Node) streamBegun(r *request) {
	if r.Resumable && r.origin == nil {
		r.origin = &streamorigin.Origin{Serves: r.Serves, Version: r.target.Version}
		n.origins.Began(n.now, r.Key, *r.origin)
	}
}

// findOrigin continues a request that resumes a stream once its origin is known.
func (n *Node) findOrigin(r *request) {
	r.phase = phaseWaitingForOrigin
	if a, known := n.origins.Find(n.now, r.Request, r.Serves, r.Resumes); known {
		n.originsAnswered([]streamorigin.Answer{a})
	}
}

// originsAnswered continues or refuses the requests that waited for an origin.
func (n *Node) originsAnswered(answers []streamorigin.Answer) {
	for _, a := range answers {
		r := n.requests.byHandle[a.Request]
		switch {
		case r == nil || r.phase != phaseWaitingForOrigin:
		case a.Known:
			r.origin = &a.Origin
			n.reserveOrWait(r)
		default:
			n.logChange("stream origin unknown", "request", r.Key, "resumes", r.Resumes, "replies", a.Replies)
			n.finishRefused(r, errkind.StreamOriginUnknown)
		}
	}
}

// targetGone records that a target's software served until now.
func (n *Node) targetGone(t *target) {
	for _, serves := range t.Serves {
		n.origins.TargetGone(n.now, streamorigin.Origin{Serves: serves, Version: t.Version})
	}
}
