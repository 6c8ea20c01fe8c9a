package node

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// simulatedFleet is the size of a budget simulation: customers of different
// sizes whose requests reach the instances that the fleet names to callers, on a
// platform that holds one ledger object.
type simulatedFleet struct {
	instances, customers int
	// staying is the number of customers, the largest ones, whose callers all stay
	// on one instance each, whatever they are told.
	staying int
	// prepaid is the budget of the largest customer, in tokens, and
	// requestInterval the mean time between two of its requests. The k-th has
	// 1/k of the budget and sends 1/k as often.
	prepaid         int64
	requestInterval time.Duration
	// linkBytesPerSecond is the bandwidth of an instance's link to the platform
	// in each direction; nil for no limit.
	linkBytesPerSecond func(instance int) int64
	// processors is an instance's share of a processor, in thousandths; nil if
	// instances don't state it. Only then they tell each other their load.
	processors func(instance int) int64
	// maxObjectBytes is the largest object that the platform stores, or 0 for any.
	maxObjectBytes int
	// lateness is how late an instance processes what arrives, because its
	// processor is busy; nil if none is late.
	lateness func(instance int) time.Duration
}

// smallFleet is eight instances and six customers.
func smallFleet(prepaid int64) simulatedFleet {
	return simulatedFleet{instances: 8, customers: 6, prepaid: prepaid, requestInterval: 40 * time.Millisecond}
}

const (
	// linkDelayRange is the width of the range, from 1 ms on, in which the
	// one-way delay of a message lies.
	linkDelayRange = 3 * time.Millisecond
	// settleDelay is how long an ended request still counts with its worst case.
	// guaranteedPerMille is the part of a budget, in thousandths, into which a
	// guaranteed request must fit together with all that was charged before.
	settleDelay        = 1500 * time.Millisecond
	guaranteedPerMille = 970
)

// timedEvent is a function that is called at a time.
type timedEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// budgetSimulation is a fleet of nodes in hosted mode over a platform and a
// network with delays. It audits the budgets itself.
type budgetSimulation struct {
	now     time.Duration
	order   int
	queue   eventHeap
	rng     *rand.Rand
	fleet   simulatedFleet
	policy  config.GrantPolicy
	store   event.Object
	version int
	// writes and reads count the calls that reached the platform, conflicts the
	// writes that were refused because another one came first.
	writes    int
	reads     int
	conflicts int
	nodes     []*simulatedNode
	// cut holds the instances that can reach neither the platform nor peers.
	cut map[string]bool
	// maxObjectBytes is the largest ledger object that the platform stores, or 0; refused
	// counts the larger ones.
	maxObjectBytes, refused int
	// platformDown cuts all instances off from the platform, but not from peers.
	platformDown bool
	generation   uint64
	totals       map[string]int64
	// maxTotals holds the largest total that each budget ever had.
	maxTotals map[string]int64
	requests  []*simulatedRequest
	// recent are the requests of each budget that may still count with their
	// worst case; settled is what all others delivered, in tokens.
	recent  map[string][]*simulatedRequest
	settled map[string]int64
	handle  uint64
	// loadFactor multiplies the request rate of a customer; 0 stops its requests.
	loadFactor map[string]float64
	// named are the addresses that callers were last told, and namedUntil is when
	// they ask again.
	named      []string
	namedUntil time.Duration
	// loseMessage, if set, reports whether a message between two instances gets
	// lost; followed, if set, is called when an instance starts to follow the
	// platform closely.
	loseMessage func(from, to string) bool
	followed    func(in *simulatedNode)
	// dispatched, if set, is called with each attempt that an instance sends to a
	// target.
	dispatched func(in *simulatedNode, a event.Dispatch)
	// runAttempt, if set, runs an attempt in place of targets that never fail.
	runAttempt func(in *simulatedNode, a event.Dispatch, r *simulatedRequest)
	// targets are the entries of the targets in the instance list.
	targets []event.Instance
	// objects holds the objects other than the ledger, objectVersion the last
	// version of one.
	objects       map[event.ObjectKind]map[string]event.Object
	objectVersion int
	// listPending is set while the instance list is to be sent to all instances.
	listPending bool
}

// simulatedNode is one incarnation of an instance.
type simulatedNode struct {
	name        string
	incarnation int
	node        *Node
	dead        bool
	// bytesPerSecond is the bandwidth of the link, or 0 for no limit; sendsUntil
	// and receivesUntil are when it has carried what is in transit.
	bytesPerSecond            int64
	sendsUntil, receivesUntil time.Duration
	// lateness is how late the instance processes what arrives.
	lateness time.Duration
	// open are the requests that this incarnation serves, by handle.
	open map[uint64]*simulatedRequest
}

// simulatedRequest is one request and what the audit knows of it.
type simulatedRequest struct {
	budget           string
	worstCase, total int64
	arrived          time.Duration
	started          time.Duration
	duration         time.Duration
	ended            time.Duration
	done             bool
	// guaranteed is set if guaranteedPerMille of the budget covered the request
	// when it arrived.
	guaranteed bool
	// coverable is set if what was left of the budget covered the request, without
	// regard to other requests in flight.
	coverable bool
	refused   errkind.Kind
	delivered int64
}

func newBudgetSimulation(seed uint64, grants config.GrantPolicy, fleet simulatedFleet) *budgetSimulation {
	s := &budgetSimulation{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: grants, fleet: fleet, cut: map[string]bool{},
		totals: map[string]int64{}, maxTotals: map[string]int64{}, loadFactor: map[string]float64{},
		maxObjectBytes: fleet.maxObjectBytes,
		recent:         map[string][]*simulatedRequest{}, settled: map[string]int64{},
		targets: []event.Instance{targetEntry("t1"), targetEntry("t2")}, objects: map[event.ObjectKind]map[string]event.Object{},
	}
	for c := range fleet.customers {
		s.totals[customerName(c)] = fleet.prepaid / int64(c+1)
	}
	for i := range fleet.instances {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprintf("n%d", i), dead: true})
		if fleet.linkBytesPerSecond != nil {
			s.nodes[i].bytesPerSecond = fleet.linkBytesPerSecond(i)
		}
		if fleet.lateness != nil {
			s.nodes[i].lateness = fleet.lateness(i)
		}
	}
	for i := range fleet.instances {
		s.start(s.nodes[i])
	}
	for c := range fleet.customers {
		s.loadFactor[customerName(c)] = 1
		s.nextRequest(c)
	}
	return s
}

func customerName(c int) string { return fmt.Sprintf("c%d", c) }

func (s *budgetSimulation) schedule(delay time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, timedEvent{s.now + delay, s.order, do})
}

// runUntil runs everything that is due up to a time.
func (s *budgetSimulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(timedEvent)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *budgetSimulation) linkDelay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(linkDelayRange))) + time.Millisecond
}

// start starts a new incarnation of an instance.
func (s *budgetSimulation) start(old *simulatedNode) {
	p := config.Defaults().Policies
	p.Grants = s.policy
	p.Routing.Policy = config.RoutingLeastWork
	p.Limits.Policy = config.LimitFixed
	p.Limits.MaxConcurrencyPerTarget = 1000 // no request waits for a target
	p.Quarantine.MaxTargets = hostedQuarantineTargets
	p.Addresses = config.AddressPolicy{TTLSeconds: 1}
	if s.fleet.processors != nil {
		p.Addresses.RequestsPerProcessor = simulatedRequestsPerProcessor
	}
	in := &simulatedNode{name: old.name, incarnation: old.incarnation + 1, bytesPerSecond: old.bytesPerSecond, lateness: old.lateness, open: map[uint64]*simulatedRequest{}}
	in.node = New(Settings{
		Name: in.name, Incarnation: fmt.Sprint(in.incarnation), DataCentre: "dc", LedgerShards: 1, Policies: p, Self: s.entry(in.name), SoleProcess: true, MaxObjectBytes: s.maxObjectBytes,
		Disabled: Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
	})
	s.nodes[slices.Index(s.nodes, old)] = in
	s.configure(in)
	entries := s.instanceList()
	s.schedule(listDelay, func() { s.step(in, event.Event{InstancesListed: &event.InstancesListed{Instances: entries}}) })
	s.listLater()
	s.schedule(time.Duration(s.rng.Int64N(int64(hostedTickPeriod))), func() { s.tick(in) })
}

// changeDelay is the time from a change of an instance's entry until the others
// learn of it.
const changeDelay = 1500 * time.Millisecond

// listLater sends all instances the instance list after changeDelay, once for all
// changes until then.
func (s *budgetSimulation) listLater() {
	if s.listPending {
		return
	}
	s.listPending = true
	s.schedule(changeDelay, func() {
		s.listPending = false
		s.listNow()
	})
}

// listNow sends all instances that are not cut off the instance list.
func (s *budgetSimulation) listNow() {
	entries := s.instanceList()
	for _, in := range slices.Clone(s.nodes) {
		if !s.cutFromPlatform(in) {
			s.step(in, event.Event{InstancesListed: &event.InstancesListed{Instances: entries}})
		}
	}
}

func (s *budgetSimulation) instanceList() []event.Instance {
	entries := slices.Clone(s.targets)
	for _, in := range s.nodes {
		entries = append(entries, s.entry(in.name))
	}
	return entries
}

func (s *budgetSimulation) entry(name string) event.Instance {
	in := event.Instance{Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", State: event.StateLive}
	index := slices.IndexFunc(s.nodes, func(n *simulatedNode) bool { return n.name == name })
	in.Incarnation = fmt.Sprint(s.nodes[index].incarnation)
	if s.fleet.processors != nil {
		in.DatagramAddress, in.ProcessorMillis = name+":3", s.fleet.processors(index)
	}
	return in
}

// simulatedRequestsPerProcessor is that of the hosted daemon.
const simulatedRequestsPerProcessor = 180

// hostedQuarantineTargets is that of the hosted daemon.
const hostedQuarantineTargets = 3

// hostedTickPeriod is the tick period of the hosted daemon.
const hostedTickPeriod = 25 * time.Millisecond

func (s *budgetSimulation) tick(in *simulatedNode) {
	if !in.dead {
		s.step(in, event.Event{Tick: &event.Tick{}})
		s.schedule(hostedTickPeriod, func() { s.tick(in) })
	}
}

// configure sends an instance the totals in force.
func (s *budgetSimulation) configure(in *simulatedNode) {
	stored := config.Stored{Generation: s.generation + 1, Routing: &config.Routing{Targets: []config.TargetClass{{Service: "app", MaxConnections: 500 * int64(s.fleet.instances)}}}}
	for _, name := range sortedKeys(s.totals) {
		stored.Document.Budgets = append(stored.Document.Budgets, config.Budget{Name: name, Customer: name, PrepaidTokens: s.totals[name]})
		s.maxTotals[name] = max(s.maxTotals[name], s.totals[name])
	}
	s.step(in, event.Event{ConfigRead: &event.ConfigRead{Stored: &stored}})
}

// setTotal changes the total of a budget at all running instances.
func (s *budgetSimulation) setTotal(budgetName string, total int64) {
	s.totals[budgetName] = total
	s.generation++
	for _, in := range s.nodes {
		if !in.dead {
			s.configure(in)
		}
	}
}

// kill ends an incarnation of an instance and starts the next one after a
// delay.
func (s *budgetSimulation) kill(in *simulatedNode, restart time.Duration) {
	in.dead = true
	for _, r := range in.open {
		fraction := 0.0
		if r.duration > 0 { // it was dispatched
			fraction = min(1, float64(s.now-r.started)/float64(r.duration))
		}
		s.end(r, fraction)
	}
	s.schedule(restart, func() { s.start(in) })
}

// step has an instance process an event, as late as the instance is.
func (s *budgetSimulation) step(in *simulatedNode, e event.Event) {
	if in.lateness > 0 {
		s.schedule(in.lateness, func() { s.process(in, e) })
		return
	}
	s.process(in, e)
}

func (s *budgetSimulation) process(in *simulatedNode, e event.Event) {
	if in.dead {
		return
	}
	for _, a := range in.node.Step(event.Input{Now: s.now, Seed: s.rng.Uint64(), Event: e}) {
		switch {
		case a.PlatformCall != nil:
			call := *a.PlatformCall
			s.schedule(s.linkDelay()+s.occupyLink(in, &in.sendsUntil, len(call.Object.Value)), func() { s.deliverToPlatform(in, call) })
		case a.SendPeer != nil:
			m := *a.SendPeer
			s.schedule(s.linkDelay(), func() { s.deliverToPeer(in, m) })
		case a.Dispatch != nil:
			s.dispatch(in, *a.Dispatch)
		case a.Refuse != nil:
			r := in.open[a.Refuse.Request]
			delete(in.open, a.Refuse.Request)
			r.refused = a.Refuse.Kind
			s.end(r, 0)
		case a.AnswerAddresses != nil:
			s.named = a.AnswerAddresses.Addresses
		case a.FollowPlatform != nil:
			if a.FollowPlatform.Closely && s.followed != nil {
				s.followed(in)
			}
		}
	}
}

// occupyLink returns how long an instance's link takes until it has carried a
// number of bytes after those that are in transit in the same direction.
func (s *budgetSimulation) occupyLink(in *simulatedNode, until *time.Duration, bytes int) time.Duration {
	if in.bytesPerSecond == 0 {
		return 0
	}
	*until = max(*until, s.now) + time.Duration(bytes)*time.Second/time.Duration(in.bytesPerSecond)
	return *until - s.now
}

// listDelay is the time from the start of an instance, which gets the
// configuration at once, until it gets the instance list.
const listDelay = 50 * time.Millisecond

// maxWriteDelay is the longest delay after which a write without a result takes
// effect.
const maxWriteDelay = 6 * time.Second

// callTimeout is the time after which an instance gives up a platform call.
const callTimeout = time.Second

// cutFromPlatform reports whether an instance can't reach the platform.
func (s *budgetSimulation) cutFromPlatform(in *simulatedNode) bool {
	return s.platformDown || s.cut[in.name]
}

func (s *budgetSimulation) deliverToPlatform(in *simulatedNode, call event.PlatformCall) {
	if s.cutFromPlatform(in) {
		r := event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
		if call.Op == event.OpGet {
			r.Status = event.PlatformUnavailable
		} else if s.rng.IntN(4) == 0 { // takes effect late if its condition still holds
			s.schedule(time.Duration(s.rng.Int64N(int64(maxWriteDelay))), func() { s.platformCall(call) })
		}
		s.schedule(callTimeout, func() { s.step(in, event.Event{PlatformResult: &r}) })
		return
	}
	r := s.platformCall(call)
	s.schedule(s.linkDelay()+s.occupyLink(in, &in.receivesUntil, len(r.Object.Value)), func() {
		if s.cutFromPlatform(in) {
			r = event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
		}
		s.step(in, event.Event{PlatformResult: &r})
	})
}

// platformCall implements the platform. The result of a conflict contains the
// stored object.
func (s *budgetSimulation) platformCall(call event.PlatformCall) event.PlatformResult {
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformOK}
	switch {
	case call.Object.Kind != event.KindLedger:
		return s.objectCall(call)
	case call.Op == event.OpGet:
		s.reads++
		if s.version == 0 {
			r.Status = event.PlatformNotFound
		}
	case s.maxObjectBytes > 0 && len(call.Object.Value) > s.maxObjectBytes:
		s.refused++
		r.Status = event.PlatformTooLarge
		return r
	case call.Object.Version != s.store.Version:
		s.writes++
		s.conflicts++
		r.Status = event.PlatformConflict
	default:
		s.writes++
		s.version++
		s.store = call.Object
		s.store.Version = fmt.Sprint(s.version)
	}
	r.Object = s.store
	return r
}

// objectCall implements the platform for objects other than the ledger.
func (s *budgetSimulation) objectCall(call event.PlatformCall) event.PlatformResult {
	o := call.Object
	kind := s.objects[o.Kind]
	if kind == nil {
		kind = map[string]event.Object{}
		s.objects[o.Kind] = kind
	}
	old, exists := kind[o.Name]
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformOK, Object: old}
	switch {
	case call.Op == event.OpList:
		for _, name := range sortedKeys(kind) {
			if strings.HasPrefix(name, o.Name) {
				r.Objects = append(r.Objects, kind[name])
			}
		}
		return r
	case call.Op == event.OpCreate && exists, call.Op == event.OpUpdate && exists && old.Version != o.Version:
		r.Status = event.PlatformConflict
		return r
	case call.Op != event.OpCreate && !exists:
		r.Status = event.PlatformNotFound
		return r
	case call.Op == event.OpGet:
		return r
	case call.Op == event.OpDelete:
		delete(kind, o.Name)
		return r
	}
	s.objectVersion++
	o.Version = fmt.Sprint(s.objectVersion)
	kind[o.Name] = o
	r.Object = o
	return r
}

func (s *budgetSimulation) deliverToPeer(from *simulatedNode, m event.SendPeer) {
	for _, to := range s.nodes {
		if to.name == m.To && !s.cut[to.name] && !s.cut[from.name] && (s.loseMessage == nil || !s.loseMessage(from.name, to.name)) {
			s.step(to, event.Event{PeerReceived: &event.PeerReceived{From: from.name, Incarnation: fmt.Sprint(from.incarnation), Message: m.Message}})
		}
	}
}

func (s *budgetSimulation) dispatch(in *simulatedNode, a event.Dispatch) {
	if s.dispatched != nil {
		s.dispatched(in, a)
	}
	r := in.open[a.Request]
	r.started = s.now
	r.duration = 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond)))
	if s.runAttempt != nil {
		s.runAttempt(in, a, r)
		return
	}
	s.schedule(r.duration, func() {
		if in.dead {
			return
		}
		delete(in.open, a.Request)
		s.end(r, 1)
		s.step(in, event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Attempt, Outcome: event.AttemptCompleted, Usage: r.delivered, UsageKnown: true}})
	})
}

// end ends a request that delivered a fraction of its total tokens.
func (s *budgetSimulation) end(r *simulatedRequest, fraction float64) {
	if !r.done {
		r.done, r.ended, r.delivered = true, s.now, int64(fraction*float64(r.total))
	}
}

// nextRequest schedules the next request of a customer.
func (s *budgetSimulation) nextRequest(customer int) {
	name := customerName(customer)
	mean := float64(s.fleet.requestInterval) * float64(customer+1) / max(s.loadFactor[name], 1)
	s.schedule(time.Duration(s.rng.ExpFloat64()*mean), func() {
		if s.loadFactor[name] > 0 {
			s.send(s.instanceFor(customer), name, s.randomSize())
		}
		s.nextRequest(customer)
	})
}

// firstStayingInstance is the instance on which the largest customer's callers
// stay, if any do.
const firstStayingInstance = 7

// instanceFor returns the instance to which a customer's next request goes. The
// instances on which callers stay are spread over the fleet.
func (s *budgetSimulation) instanceFor(customer int) *simulatedNode {
	if customer < s.fleet.staying {
		return s.nodes[(firstStayingInstance+customer*len(s.nodes)/s.fleet.staying)%len(s.nodes)]
	}
	return s.chooseInstance()
}

// addressLifetime is how long callers keep the addresses that they were told.
const addressLifetime = time.Second

// chooseInstance returns a random instance of those that callers are told.
func (s *budgetSimulation) chooseInstance() *simulatedNode {
	if s.now >= s.namedUntil {
		s.namedUntil = s.now + addressLifetime
		s.step(s.nodes[s.rng.IntN(len(s.nodes))], event.Event{AddressesRequested: &event.AddressesRequested{Query: 1}})
	}
	if len(s.named) == 0 {
		return s.nodes[s.rng.IntN(len(s.nodes))]
	}
	address := s.named[s.rng.IntN(len(s.named))]
	return s.nodes[slices.IndexFunc(s.nodes, func(in *simulatedNode) bool { return s.entry(in.name).Address == address })]
}

// randomSize draws the worst-case tokens of a request: mostly few, one time in
// twenty many.
func (s *budgetSimulation) randomSize() int64 {
	if s.rng.IntN(20) == 0 {
		return 10_000 + s.rng.Int64N(40_000)
	}
	return 500 + s.rng.Int64N(3000)
}

// send sends a request of a customer to an instance.
func (s *budgetSimulation) send(in *simulatedNode, budgetName string, worstCase int64) {
	if in.dead {
		return
	}
	r := &simulatedRequest{budget: budgetName, worstCase: worstCase, total: worstCase/4 + s.rng.Int64N(worstCase/2), arrived: s.now}
	r.guaranteed = worstCase+s.charged(budgetName) <= s.totals[budgetName]*guaranteedPerMille/1000
	r.coverable = worstCase+s.settled[budgetName] <= s.totals[budgetName]
	s.requests = append(s.requests, r)
	s.recent[budgetName] = append(s.recent[budgetName], r)
	s.handle++
	in.open[s.handle] = r
	s.step(in, event.Event{RequestArrived: &event.RequestArrived{
		Request: s.handle, Customer: budgetName, Budget: budgetName, WorstCaseTokens: worstCase,
		Key: fmt.Sprint(s.handle), BodyHash: fmt.Sprint(s.handle), Serves: "app", MaxAttempts: 1, HandedOver: true, Deadline: 10 * time.Second,
	}})
}

// charged returns the tokens charged to a budget: requests that ended at least
// settleDelay ago count with what they delivered, refused ones with nothing, and
// the others with their worst case.
func (s *budgetSimulation) charged(budgetName string) int64 {
	var sum int64
	s.recent[budgetName] = slices.DeleteFunc(s.recent[budgetName], func(r *simulatedRequest) bool {
		if r.refused == errkind.None && (!r.done || s.now-r.ended < settleDelay) {
			sum += r.worstCase
			return false
		}
		s.settled[budgetName] += r.delivered
		return true
	})
	return sum + s.settled[budgetName]
}
