package node

import (
	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
	"plantainfield.example/core/partquarantine"
)

// statusRequested reads the ledger and reports the fleet as this instance knows it.
func (n *Node) statusRequested(q event.StatusRequested) {
	o := event.Object{Kind: event.KindLedger}
	n.callPlatform(event.OpList, o, func(r event.PlatformResult) {
		budgets := map[string]*ledger.Budget{}
		for _, s := range n.ledgers.shards {
			addBudgets(budgets, s.shard)
		}
		for _, obj := range r.Objects {
			if shard, err := ledger.Decode(obj.Value); err == nil {
				addBudgets(budgets, shard)
			}
		}
		n.emit(event.Action{AnswerStatus: &event.AnswerStatus{Query: q.Query, Status: n.status(budgets)}})
	})
}

func addBudgets(to map[string]*ledger.Budget, s *ledger.Shard) {
	for name, b := range s.Budgets {
		if name != ledgerera.StateBudget {
			to[name] = b
		}
	}
}

func (n *Node) status(budgets map[string]*ledger.Budget) event.Status {
	// Returns the status of the fleet as this instance knows it, with the given
	// ledger entries of the budgets.
	st := event.Status{Instance: n.settings.Name, Generation: n.configs.generation(), Stopping: n.stopping, Unreached: n.reach.Services()}
	st.Instances = append(st.Instances, event.InstanceStatus{
		Name: n.settings.Name, DataCentre: n.settings.DataCentre, Generation: st.Generation, State: stateName(n.stopping, true),
	})
	for _, name := range n.members.peerNames() {
		p := n.members.peers[name]
		st.Instances = append(st.Instances, event.InstanceStatus{
			Name: name, DataCentre: p.DataCentre, Generation: p.generation, State: stateName(n.departed(p), n.live(p)),
		})
	}
	for _, name := range n.members.targetNames() {
		t := n.members.targets[name]
		st.Targets = append(st.Targets, event.TargetStatus{Name: name, Serves: t.Serves, State: n.targetState(t), InFlight: t.inFlight})
	}
	if n.configs.index != nil {
		for i := range n.configs.index.Document.Budgets {
			c := &n.configs.index.Document.Budgets[i]
			st.Budgets = append(st.Budgets, budgetStatus(c, budgets[c.Name]))
		}
	}
	return st
}

func (n *Node) targetState(t *target) string {
	switch {
	case !t.Leaving && n.now < t.waitUntil:
		return "waiting"
	case !t.Leaving && n.now >= t.avoidUntil && t.limit.known:
		return "limited"
	}
	return stateName(t.Leaving, n.now >= t.avoidUntil)
}

func stateName(leaving, reachable bool) string {
	switch {
	case leaving:
		return "leaving"
	case reachable:
		return "live"
	default:
		return "unreachable"
	}
}

func budgetStatus(c *config.Budget, b *ledger.Budget) event.BudgetStatus {
	s := event.BudgetStatus{Name: c.Name, Customer: c.Customer, Prepaid: c.PrepaidTokens, Available: c.PrepaidTokens}
	if b != nil {
		s.Prepaid = max(c.PrepaidTokens, b.Prepaid)
		s.Settled, s.Outstanding = b.SettledTotal(), b.Outstanding()
		s.Available = s.Prepaid - s.Settled - s.Outstanding
	}
	return s
}

// Dump is a snapshot of a node's state for operators. It contains no keys and
// no prompts.
type Dump struct {
	Settings Settings `json:"settings"`
	// Ready reports whether the instance serves callers.
	Ready        bool          `json:"ready"`
	Status       event.Status  `json:"status"`
	Accounts     []budget.View `json:"accounts"`
	Requests     []RequestView `json:"requests"`
	PendingBills int           `json:"pendingBills"`
	PendingBegun int           `json:"pendingBegunRecords"`
	OpenCalls    int           `json:"openPlatformCalls"`
	// SuspectParts are the prompt parts that were present at crashes of targets;
	// BlockedParts names those that are refused.
	SuspectParts []partquarantine.Record `json:"suspectParts,omitempty"`
	BlockedParts string                  `json:"blockedParts,omitempty"`
}

// RequestView is one open request in a dump.
type RequestView struct {
	Request  uint64 `json:"request"`
	Key      string `json:"key"`
	Customer string `json:"customer"`
	Budget   string `json:"budget"`
	Phase    string `json:"phase"`
	Attempts int    `json:"attempts"`
	Attempt  string `json:"attempt,omitempty"`
	Target   string `json:"target"`
	Reserved int64  `json:"reservedTokens"`
}

// phaseNames holds the names of the phases in a dump, in the order of their
// constants.
var phaseNames = [...]string{
	"waiting_for_grant", "waiting_for_begun_record", "queued", "running", "billing", "handed_over", "waiting_for_origin", "waiting_for_claim",
}

// Dump returns the node's state.
func (n *Node) Dump() Dump {
	budgets := map[string]*ledger.Budget{}
	for _, s := range n.ledgers.shards {
		addBudgets(budgets, s.shard)
	}
	d := Dump{
		Settings: n.settings, Ready: n.ready(), Status: n.status(budgets), Accounts: n.book.Views(),
		PendingBills: len(n.bills.held.order), PendingBegun: n.begun.pending(), OpenCalls: len(n.openCalls),
		SuspectParts: n.quarantine.parts.Records(n.now), BlockedParts: n.quarantine.parts.BlockedNames(),
	}
	for _, r := range n.requests.order {
		d.Requests = append(d.Requests, RequestView{r.Request, r.Key, r.Customer, r.Budget, phaseNames[r.phase], r.attempts.Dispatched, r.attempt, r.targetName, r.reserved})
	}
	return d
}
