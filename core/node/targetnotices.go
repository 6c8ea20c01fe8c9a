package node

import (
	"strconv"

	"plantainfield.example/core/event"
)

// incarnation identifies one start of the target, as far as the instance list
// tells it.
func (t *target) incarnation() string {
	if t.StartMillis == 0 {
		return t.Address
	}
	return t.Address + "/" + strconv.FormatInt(t.StartMillis, 10)
}

// targetNoticed handles what a target says of itself in a response.
func (n *Node) targetNoticed(e event.TargetNotice) {
	t := n.members.targets[e.Target]
	if t == nil || t.Address != e.Address {
		n.logChange("target notice ignored", "target", e.Target, "address", e.Address)
		return
	}
	if e.Leaving {
		n.leavingNoticed(t)
	}
	n.limitNoticed(t, e)
}

// leavingNoticed handles a target's own statement that it is leaving. It holds
// until the target starts again, whatever the instance list says.
func (n *Node) leavingNoticed(t *target) {
	if !t.saysLeaving {
		n.logChange("target leaving", "target", t.Name, "listed_as_leaving", t.delisted, "in_flight", t.inFlight)
	}
	t.saysLeaving = true
	n.announceLeaving(t)
}
