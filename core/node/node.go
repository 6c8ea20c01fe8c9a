// Package node combines the decision packages of one instance behind the Step
// method.
//
// A Node is a deterministic state machine: the same settings and the same
// sequence of inputs give the same actions. It is not safe for concurrent use.
package node

import (
	"math/rand/v2"
	"time"

	"plantainfield.example/core/backoff"
	"plantainfield.example/core/bill"
	"plantainfield.example/core/brittle"
	"plantainfield.example/core/budget"
	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/ledgerera"
	"plantainfield.example/core/reach"
	"plantainfield.example/core/retry"
	"plantainfield.example/core/routing"
	"plantainfield.example/core/streamorigin"
	"plantainfield.example/core/targethealth"
)

// Settings holds the start-up parameters of a node.
type Settings struct {
	// Name is the instance's name in the instance list.
	Name string `json:"name"`
	// Incarnation is unique to each process of the instance.
	Incarnation string `json:"incarnation"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre string `json:"dataCentre"`
	// LedgerShards is the number of ledger objects; it is the same on all
	// instances and never changes for a deployment.
	LedgerShards int `json:"ledgerShards"`
	// MaxObjectBytes is the largest size of an object that the platform stores, or 0
	// if it is not known.
	MaxObjectBytes int `json:"maxObjectBytes,omitempty"`
	// Self is this instance's own entry in the instance list, if it is known
	// before the list is read.
	Self event.Instance `json:"self"`
	// Disabled names the features that the platform makes unnecessary.
	Disabled Features `json:"without"`
	// Policies applies where the platform stores the configuration, since that
	// configuration contains no policies.
	Policies config.Policies `json:"policies"`
	// ConfigBound is the time after its acceptance within which a configuration must be
	// in force at each instance; 0 for outdated.DefaultBound.
	ConfigBound time.Duration `json:"configBound,omitempty"`
	// SoleProcess is set if the platform runs at most one process of an instance at a
	// time, so that a later incarnation proves that the earlier one has ended.
	SoleProcess bool `json:"soleProcess,omitempty"`
}

// Features names features that a platform can make unnecessary.
type Features struct {
	// Bills is the writing of bill lines. It is unnecessary if the platform bills
	// from logs; answers then do not wait for a bill line.
	Bills bool `json:"bills,omitempty"`
	// BegunRecords is the recording of non-idempotent requests before they run.
	// It is unnecessary if a caller's request reaches only one instance under its
	// key: sending it once is then enough to run it at most once.
	BegunRecords bool `json:"begunRecords,omitempty"`
	// ConfigurationStore is the storing of the configuration by the instances. It
	// is unnecessary if the operator writes the configuration to the platform.
	ConfigurationStore bool `json:"configurationStore,omitempty"`
	// TargetReports is the requirement of a recent report from a target before it
	// gets work. It is unnecessary if the instance list shows the targets' state
	// in time.
	TargetReports bool `json:"targetReports,omitempty"`
	// QuarantineClaims is the use of claims in the platform for bodies that crash
	// targets. Without it, instances learn of crashes from peers, and the platform
	// keeps their records for the case that all instances are lost.
	QuarantineClaims bool `json:"quarantineClaims,omitempty"`
}

// Node is the decision core of one instance.
type Node struct {
	settings Settings
	holder   ledger.Holder
	now      time.Duration
	// uptime is now by a clock that goes on while the machine is suspended.
	uptime time.Duration
	// resumedAt is when this process last resumed after a pause. The silence of
	// others is measured from then on at the earliest, since nothing was read
	// during the pause.
	resumedAt time.Duration
	rng       *rand.Rand
	actions   []event.Action

	// openCalls holds the callback for each platform call that has no result yet.
	openCalls map[uint64]openCall
	lastCall  uint64

	configs configState
	members memberState
	ledgers ledgerState
	// eras restores ledger shards after the store came back from a copy.
	eras     *ledgerera.Keeper
	exposure exposureState
	// transfers holds the token requests to peers that are in progress.
	transfers transferState
	bills     billState
	begun     begunState

	quarantine quarantineState
	origins    *streamorigin.Keeper
	reach      *reach.Tracker

	book        *budget.Book
	selector    routing.Selector
	retryBudget *retry.Budget

	requests requestTable
	waiting  dispatchState
	health   targethealth.Services
	brittle  brittle.Services

	stopping bool
	// refuseFrom is the time from which a stopping instance refuses new requests.
	refuseFrom time.Duration
	// endAt is when a stopping instance ends what is in progress, or 0.
	endAt   time.Duration
	stopped bool
}

// New returns a node that knows no configuration and no other instance.
func New(s Settings) *Node {
	n := &Node{
		settings:    s,
		holder:      ledger.Holder(s.Name + "/" + s.Incarnation),
		openCalls:   map[uint64]openCall{},
		eras:        ledgerera.NewKeeper(s.LedgerShards),
		book:        budget.NewBook(s.LedgerShards),
		selector:    routing.New(config.Defaults().Policies.Routing),
		retryBudget: retry.NewBudget(),
		requests:    newRequestTable(),
		health:      targethealth.Services{},
		brittle:     brittle.Services{},
	}
	n.waiting = dispatchState{queues: map[string]*targetQueue{}}
	n.members, n.reach = newMemberState(), reach.NewTracker()
	n.quarantine = newQuarantineState()
	n.origins = streamorigin.NewKeeper(s.Name, originFleet{n})
	n.ledgers = newLedgerState(s.LedgerShards)
	n.transfers = newTransferState()
	n.members.self = s.Self
	n.limitExposure()
	n.quarantine.loaded = s.Disabled.QuarantineClaims
	for i := range bill.Shards {
		n.bills.logs = append(n.bills.logs, &billLog{log: bill.NewLog(i)})
	}
	return n
}

// pauseThreshold is the gap between two inputs from which on the process is
// considered to have been paused. Ticks arrive at least every
// event.MaxTickPeriod.
const pauseThreshold = 20 * event.MaxTickPeriod

// Step processes one input and returns the resulting actions.
func (n *Node) Step(in event.Input) []event.Action {
	if n.uptime == 0 {
		n.exposure.own.Started = in.Now
	}
	if in.Now-n.now >= pauseThreshold {
		n.resumedAt = in.Now
	}
	n.now = max(n.now, in.Now)
	n.uptime = max(n.uptime, in.Uptime, in.Now)
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
		n.requestArrived(*e.RequestArrived)
	case e.CallerGone != nil:
		n.callerGone(e.CallerGone.Request)
	case e.FirstToken != nil:
		n.firstToken(e.FirstToken.Attempt)
	case e.AttemptEnded != nil:
		n.attemptEnded(*e.AttemptEnded)
	case e.TargetNotice != nil:
		n.targetNoticed(*e.TargetNotice)
	case e.PlatformResult != nil:
		n.platformResult(*e.PlatformResult)
	case e.ObjectSeen != nil:
		n.objectSeen(e.ObjectSeen.Object)
	case e.EraSeen != nil:
		n.eraSeen(e.EraSeen.Era)
	case e.ConfigRead != nil:
		n.configRead(e.ConfigRead.Stored)
	case e.InstancesListed != nil:
		n.instancesListed(*e.InstancesListed)
	case e.TargetsLost != nil:
		n.members.absences.Lost()
	case e.TargetReported != nil:
		n.targetReported(*e.TargetReported)
	case e.PeerReceived != nil:
		n.peerReceived(*e.PeerReceived)
	case e.TargetProbed != nil:
		n.targetProbed(*e.TargetProbed)
	case e.HandOverEnded != nil:
		n.handOverEnded(*e.HandOverEnded)
	case e.ApplyRequested != nil:
		n.applyRequested(*e.ApplyRequested)
	case e.AddressesRequested != nil:
		n.addressesRequested(*e.AddressesRequested)
	case e.StatusRequested != nil:
		n.statusRequested(*e.StatusRequested)
	case e.ShutdownRequired != nil:
		n.stopping = true
		n.refuseFrom = n.now + e.ShutdownRequired.Linger
		if e.ShutdownRequired.End > 0 {
			n.endAt = n.now + e.ShutdownRequired.End
		}
		n.reconfirmBackups()
		n.refreshFacts()
		n.members.burstDue = true
	}
}

// tick runs everything that is due.
func (n *Node) tick() {
	n.tickConfig()
	n.tickMembers()
	n.tickAbsences()
	n.tickReach()
	n.tickLoads()
	n.tickLimits()
	n.tickFollowing()
	n.originsAnswered(n.origins.Expire(n.now))
	n.tickRequests()
	n.tickBegun()
	n.tickBills()
	n.tickQuarantine()
	n.tickExposure()
	n.tickLedgers()
	n.tickTransfers()
	n.tickShutdown()
}

func (n *Node) emit(a event.Action) { n.actions = append(n.actions, a) }

// logChange logs a change in what this node knows of the system. The arguments
// after the subject are field names and values in turn.
func (n *Node) logChange(subject string, fields ...any) {
	entry := &event.LogEntry{Subject: subject}
	for i := 0; i+1 < len(fields); i += 2 {
		entry.Fields = append(entry.Fields, event.Field{Name: fields[i].(string), Value: fields[i+1]})
	}
	n.emit(event.Action{LogEntry: entry})
}

// objectSeen handles an object that a watch delivered.
func (n *Node) objectSeen(o event.Object) {
	if o.Kind == event.KindConfiguration {
		n.configSeen(o)
	}
}

// tickShutdown completes a graceful stop once nothing is outstanding.
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

// Bounds of the backoff after failed platform calls.
const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// backoff returns a jittered exponential delay for a number of failures.
func (n *Node) backoff(failures int) time.Duration {
	return backoff.Jittered(backoff.Exponential(backoffBase, backoffMax, failures), n.rng)
}
