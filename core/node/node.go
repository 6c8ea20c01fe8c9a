// Package node joins the decision packages of one instance behind Step.
//
// A Node is a deterministic state machine: the same settings and the same
// sequence of inputs give the same actions. It is not safe for concurrent use.
package node

import (
	"math/rand/v2"
	"time"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/retry"
	"plantainfield.example/core/routing"
)

// Settings is what a node knows from its start.
type Settings struct {
	// Name is the instance's name in the instance list.
	Name string `json:"name"`
	// Incarnation is unique to this life of the instance.
	Incarnation string `json:"incarnation"`
	// DataCentre is where the instance stands.
	DataCentre string `json:"dataCentre"`
	// LedgerShards is the number of ledger objects; it is the same on all
	// instances and never changes for a deployment.
	LedgerShards int `json:"ledgerShards"`
	// Self is this instance's own entry of the instance list, if it is known
	// before the list is read.
	Self event.Instance `json:"self"`
	// Disabled names the duties that the platform makes needless.
	Disabled Features `json:"without"`
	// Policies holds where the platform holds the configuration, which has none.
	Policies config.Policies `json:"policies"`
}

// Features names duties that a platform can make needless.
type Features struct {
	// Bills: the platform bills from logs, so that no answer waits for a line.
	Bills bool `json:"bills,omitempty"`
	// BegunRecords: a caller's request reaches one instance under its key, so
	// that at most once follows from sending it once.
	BegunRecords bool `json:"begunRecords,omitempty"`
	// ConfigurationStore: the operator writes the configuration to the platform.
	ConfigurationStore bool `json:"configurationStore,omitempty"`
	// TargetReports: the instance list tells the targets' state in time.
	TargetReports bool `json:"targetReports,omitempty"`
	// QuarantineClaims: peers alone tell of bodies that crash targets.
	QuarantineClaims bool `json:"quarantineClaims,omitempty"`
}

// Node is the decision core of one instance.
type Node struct {
	settings Settings
	holder   ledger.Holder
	now      time.Duration
	// resumedAt is when this process last ran again after a pause: silence of
	// others counts from then on, since nothing was read before.
	resumedAt time.Duration
	rng       *rand.Rand
	actions   []event.Action

	// calls holds what to do with the result of each open platform call.
	calls    map[uint64]func(event.PlatformResult)
	lastCall uint64

	configs configState
	members memberState
	ledgers ledgerState
	// transfers holds the open questions to peers.
	transfers transferState
	bills     billState
	begun     begunState

	quarantine quarantineState

	book     *budget.Book
	selector routing.Selector
	retries  *retry.Budget

	requests requestTable
	waiting  dispatchState
	// serviceFailures is the usual share of failures by service.
	serviceFailures map[string]float64

	stopping bool
	// refuseFrom is when new requests are refused, if the instance is stopping.
	refuseFrom time.Duration
	stopped    bool
}

// New returns a node that knows no configuration and no other instance.
func New(s Settings) *Node {
	n := &Node{
		settings: s,
		holder:   ledger.Holder(s.Name + "/" + s.Incarnation),
		calls:    map[uint64]func(event.PlatformResult){},
		book:     budget.NewBook(s.LedgerShards),
		selector: routing.New(config.Defaults().Policies.Routing),
		retries:  retry.NewBudget(),
		requests: newRequestTable(),

		serviceFailures: map[string]float64{},
	}
	n.waiting = dispatchState{lines: map[string]*line{}}
	n.members = newMemberState()
	n.quarantine = newQuarantineState()
	n.ledgers = newLedgerState(s.LedgerShards)
	n.transfers = newTransferState()
	n.members.self = s.Self
	n.quarantine.loaded = s.Disabled.QuarantineClaims
	for i := range bill.Shards {
		n.bills.logs = append(n.bills.logs, &billLog{log: bill.NewLog(i)})
	}
	return n
}

// pauseGap is the time between two inputs from which on this process counts as
// having been paused: ticks come every event.MaxTickPeriod at least.
const pauseGap = 20 * event.MaxTickPeriod

// Step takes one input and returns the actions that it leads to.
func (n *Node) Step(in event.Input) []event.Action {
	if in.Now-n.now >= pauseGap {
		n.resumedAt = in.Now
	}
	n.now = max(n.now, in.Now)
	n.rng = rand.New(rand.NewPCG(in.Seed, uint64(in.Now)))
	n.actions = nil
	n.handle(in.Event)
	return n.actions
}

func (n *Node) handle(e event.Event) {
	switch {
	case e.Tick != nil:
		n.tick()
	case e.RequestArrived != nil:
		n.arrive(*e.RequestArrived)
	case e.CallerGone != nil:
		n.callerGone(e.CallerGone.Request)
	case e.FirstToken != nil:
		n.firstToken(e.FirstToken.Attempt)
	case e.AttemptEnded != nil:
		n.attemptEnded(*e.AttemptEnded)
	case e.PlatformResult != nil:
		n.platformResult(*e.PlatformResult)
	case e.ObjectSeen != nil:
		n.objectSeen(e.ObjectSeen.Object)
	case e.ConfigRead != nil:
		n.configRead(e.ConfigRead.Stored)
	case e.InstancesListed != nil:
		n.instancesListed(*e.InstancesListed)
	case e.TargetReported != nil:
		n.targetReported(*e.TargetReported)
	case e.PeerReceived != nil:
		n.peerReceived(*e.PeerReceived)
	case e.HandOverEnded != nil:
		n.handOverEnded(*e.HandOverEnded)
	case e.ApplyRequested != nil:
		n.applyRequested(*e.ApplyRequested)
	case e.AddressesRequested != nil:
		n.addressesAsked(*e.AddressesRequested)
	case e.StatusRequested != nil:
		n.statusAsked(*e.StatusRequested)
	case e.ShutdownRequired != nil:
		n.stopping = true
		n.refuseFrom = n.now + e.ShutdownRequired.Linger
		n.reconfirmBackups()
		n.confirmFacts()
		n.members.news = true
	}
}

// tick runs what is due.
func (n *Node) tick() {
	n.tickConfig()
	n.tickMembers()
	n.tickRelisted()
	n.tickLoads()
	n.tickRequests()
	n.tickBegun()
	n.tickBills()
	n.tickQuarantine()
	n.tickLedgers()
	n.tickTransfers()
	n.tickShutdown()
}

func (n *Node) emit(a event.Action) { n.actions = append(n.actions, a) }

// logChange tells the log of a change of belief; fields are names and values in turn.
func (n *Node) logChange(subject string, fields ...any) {
	note := &event.LogEntry{Subject: subject}
	for i := 0; i+1 < len(fields); i += 2 {
		note.Fields = append(note.Fields, event.Field{Name: fields[i].(string), Value: fields[i+1]})
	}
	n.emit(event.Action{LogEntry: note})
}

// callPlatform makes a platform callPlatform; then runs with its result.
func (n *Node) callPlatform(op event.PlatformOp, o event.Object, then func(event.PlatformResult)) {
	n.lastCall++
	n.calls[n.lastCall] = then
	n.emit(event.Action{PlatformCall: &event.PlatformCall{Call: n.lastCall, Op: op, Object: o}})
}

func (n *Node) platformResult(r event.PlatformResult) {
	then := n.calls[r.Call]
	if then == nil {
		return // a duplicated answer
	}
	delete(n.calls, r.Call)
	n.bills.platform.observe(r.Status, n.now)
	then(r)
}

// objectSeen takes an object that a watch delivered.
func (n *Node) objectSeen(o event.Object) {
	if o.Kind == event.KindConfiguration {
		n.configSeen(o)
	}
}

// tickShutdown ends a graceful stop once nothing is left to do.
func (n *Node) tickShutdown() {
	if !n.stopping || n.stopped || n.now < n.refuseFrom || n.requests.open() > 0 {
		return
	}
	if n.pendingBills() > 0 || n.begun.pending() > 0 {
		return
	}
	if n.returnGrants() {
		n.stopped = true
		n.emit(event.Action{ShutdownDone: &event.ShutdownDone{}})
	}
}

// Backoff of platform calls that failed.
const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// backoff is the jittered exponential delay after a number of failures.
func (n *Node) backoff(failures int) time.Duration {
	d := min(backoffBase<<min(failures, 10), backoffMax)
	return d/2 + time.Duration(n.rng.Int64N(int64(d/2)+1))
}
