package node

import (
	"time"

	"plantainfield.example/core/event"
)

// statedLimit is the limit that a target names for the requests of all instances
// together.
type statedLimit struct {
	// known is set while the target names a limit, which is perSecond.
	known     bool
	perSecond float64
	// confirmed is when the target last stated it, or that there is none.
	confirmed time.Duration
}

// targetNoticed handles what a target says of itself.
func (n *Node) targetNoticed(e event.TargetNotice) {
	t := n.members.targets[e.Target]
	if t == nil || t.Address != e.Address {
		return
	}
	n.setLimit(t, e.Limited, e.Limit, n.now)
}

// setLimit records the limit that a target named at a time.
func (n *Node) setLimit(t *target, known bool, perSecond float64, at time.Duration) {
	l := &t.limit
	if known != l.known || perSecond != l.perSecond {
		n.logChange("target limit", "target", t.Name, "limited", known, "per_second", perSecond, "before", l.perSecond)
	}
	l.known, l.perSecond, l.confirmed = known, perSecond, at
}
