package node

import "plantainfield.example/core/event"

// openCall is a platform call that has no result yet.
type openCall struct {
	onResult func(event.PlatformResult)
	op       event.PlatformOp
	// era is the newest era of the store that was known when the call started.
	era uint64
}

// callPlatform starts a platform call; onResult is called with its result.
func (n *Node) callPlatform(op event.PlatformOp, o event.Object, onResult func(event.PlatformResult)) {
	n.lastCall++
	n.openCalls[n.lastCall] = openCall{onResult, op, n.eras.Era()}
	n.emit(event.Action{PlatformCall: &event.PlatformCall{Call: n.lastCall, Op: op, Object: o}})
}

func (n *Node) platformResult(r event.PlatformResult) {
	call, open := n.openCalls[r.Call]
	if !open {
		return // a duplicate result
	}
	delete(n.openCalls, r.Call)
	n.bills.platform.observe(r.Status, n.now)
	n.eraSeen(r.Era)
	call.onResult(n.ofNewestEra(call, r))
}

// ofNewestEra returns a result as far as it holds in the newest era. An answer of
// an earlier era counts for nothing, and neither does a write that was prepared in
// one: its condition may be met by another version with the same number.
func (n *Node) ofNewestEra(call openCall, r event.PlatformResult) event.PlatformResult {
	reads := call.op == event.OpGet || call.op == event.OpList
	outdated := r.Era > 0 && (r.Era < n.eras.Era() || !reads && call.era > 0 && call.era < r.Era)
	if !outdated {
		return r
	}
	n.logChange("platform answer of an earlier era ignored", "operation", string(call.op), "status", string(r.Status), "called_in", call.era, "answered_in", r.Era, "era", n.eras.Era())
	status := event.PlatformUnknown
	if reads {
		status = event.PlatformUnavailable
	}
	return event.PlatformResult{Call: r.Call, Status: status, Era: r.Era}
}
