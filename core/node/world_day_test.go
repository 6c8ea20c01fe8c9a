package node

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// The load of a budget day: some customers of unlike size whose requests reach
// all instances, on a platform that holds one ledger object.
const (
	dayInstances = 8
	dayCustomers = 6
	// dayGap is the mean time between two requests of the largest customer; the
	// k-th sends 1/k as often.
	dayGap = 40 * time.Millisecond
	// dayLinkDelay is the longest time that a message takes one way.
	dayLinkDelay = 3 * time.Millisecond
	// daySettle is how long an ended request counts at its most, owedPerMille the
	// part of a budget into which an owed request fits.
	daySettle    = 1500 * time.Millisecond
	owedPerMille = 970
)

// due is something that happens at a time.
type due struct {
	at    time.Duration
	order int
	do    func()
}

type dueHeap []due

func (h dueHeap) Len() int      { return len(h) }
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h dueHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// budgetDay is a fleet of hosted nodes over a platform and a network that take
// time, with an audit of its own.
type budgetDay struct {
	now     time.Duration
	order   int
	queue   dueHeap
	rng     *rand.Rand
	policy  config.GrantPolicy
	store   event.Object
	version int
	// writes and reads count the calls that reached the platform.
	writes int
	reads  int
	nodes  []*dayNode
	// cut names the instances that reach neither the platform nor peers.
	cut        map[string]bool
	generation uint64
	totals     map[string]int64
	// most is the largest total that each budget ever had.
	most     map[string]int64
	requests []*dayRequest
	// recent are the requests of each budget that may still count at their most,
	// settled what the others delivered.
	recent  map[string][]*dayRequest
	settled map[string]int64
	handle  uint64
	// factor multiplies the requests of a customer.
	factor map[string]float64
}

// dayNode is one life of an instance.
type dayNode struct {
	name string
	life int
	node *Node
	dead bool
	// open are the requests that this life serves, by handle.
	open map[uint64]*dayRequest
}

// dayRequest is one request with what the audit knows of it.
type dayRequest struct {
	budget      string
	most, total int64
	arrived     time.Duration
	started     time.Duration
	length      time.Duration
	ended       time.Duration
	done        bool
	owed        bool
	refused     errkind.Kind
	delivered   int64
}

func newBudgetDay(seed uint64, grants config.GrantPolicy, prepaid int64) *budgetDay {
	d := &budgetDay{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: grants, cut: map[string]bool{},
		totals: map[string]int64{}, most: map[string]int64{}, factor: map[string]float64{},
		recent: map[string][]*dayRequest{}, settled: map[string]int64{},
	}
	for c := range dayCustomers {
		d.totals[customerName(c)] = prepaid / int64(c+1)
	}
	for i := range dayInstances {
		d.nodes = append(d.nodes, &dayNode{name: fmt.Sprintf("n%d", i), dead: true})
		d.start(d.nodes[i])
	}
	for c := range dayCustomers {
		d.factor[customerName(c)] = 1
		d.nextRequest(c)
	}
	return d
}

func customerName(c int) string { return fmt.Sprintf("c%d", c) }

func (d *budgetDay) after(delay time.Duration, do func()) {
	d.order++
	heap.Push(&d.queue, due{d.now + delay, d.order, do})
}

// runUntil lets everything happen that is due before a time.
func (d *budgetDay) runUntil(end time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= end {
		next := heap.Pop(&d.queue).(due)
		d.now = next.at
		next.do()
	}
	d.now = end
}

func (d *budgetDay) linkDelay() time.Duration {
	return time.Duration(d.rng.Int64N(int64(dayLinkDelay))) + time.Millisecond
}

// start begins a new life of an instance.
func (d *budgetDay) start(old *dayNode) {
	p := config.Defaults().Policies
	p.Grants = d.policy
	p.Routing.Policy = config.RouteLeastWork
	p.Limits.Policy = config.LimitFixed
	in := &dayNode{name: old.name, life: old.life + 1, open: map[uint64]*dayRequest{}}
	in.node = New(Settings{
		Name: in.name, Incarnation: fmt.Sprint(in.life), DataCentre: "dc", LedgerShards: 1, Policies: p, Self: d.entry(in.name),
		Disabled: Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
	})
	d.nodes[slices.Index(d.nodes, old)] = in
	d.configure(in)
	entries := []event.Instance{targetEntry("t1"), targetEntry("t2")}
	for _, n := range d.nodes {
		entries = append(entries, d.entry(n.name))
	}
	d.step(in, event.Event{InstancesListed: &event.InstancesListed{Instances: entries}})
	d.after(time.Duration(d.rng.Int64N(int64(hostedTickForTests))), func() { d.tick(in) })
}

func (d *budgetDay) entry(name string) event.Instance {
	return event.Instance{Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", State: event.StateLive}
}

// hostedTickForTests is the tick of the hosted daemon.
const hostedTickForTests = 25 * time.Millisecond

func (d *budgetDay) tick(in *dayNode) {
	if !in.dead {
		d.step(in, event.Event{Tick: &event.Tick{}})
		d.after(hostedTickForTests, func() { d.tick(in) })
	}
}

// configure hands an instance the totals in force.
func (d *budgetDay) configure(in *dayNode) {
	stored := config.Stored{Generation: d.generation + 1, Routing: &config.Routing{Targets: []config.TargetClass{{Service: "app", MaxConnections: 4000}}}}
	for _, name := range sortedKeys(d.totals) {
		stored.Document.Budgets = append(stored.Document.Budgets, config.Budget{Name: name, Customer: name, PrepaidTokens: d.totals[name]})
		d.most[name] = max(d.most[name], d.totals[name])
	}
	d.step(in, event.Event{ConfigRead: &event.ConfigRead{Stored: &stored}})
}

// setTotal changes a budget everywhere.
func (d *budgetDay) setTotal(budgetName string, total int64) {
	d.totals[budgetName] = total
	d.generation++
	for _, in := range d.nodes {
		if !in.dead {
			d.configure(in)
		}
	}
}

// kill ends a life of an instance; its successor starts after a while.
func (d *budgetDay) kill(in *dayNode, restart time.Duration) {
	in.dead = true
	for _, r := range in.open {
		part := 0.0
		if r.length > 0 { // it was sent to a target
			part = min(1, float64(d.now-r.started)/float64(r.length))
		}
		d.end(r, part)
	}
	d.after(restart, func() { d.start(in) })
}

func (d *budgetDay) step(in *dayNode, e event.Event) {
	if in.dead {
		return
	}
	for _, a := range in.node.Step(event.Input{Now: d.now, Seed: d.rng.Uint64(), Event: e}) {
		switch {
		case a.PlatformCall != nil:
			call := *a.PlatformCall
			d.after(d.linkDelay(), func() { d.platformArrives(in, call) })
		case a.SendPeer != nil:
			m := *a.SendPeer
			d.after(d.linkDelay(), func() { d.peerArrives(in, m) })
		case a.Dispatch != nil:
			d.dispatch(in, *a.Dispatch)
		case a.Refuse != nil:
			r := in.open[a.Refuse.Request]
			delete(in.open, a.Refuse.Request)
			r.refused = a.Refuse.Kind
			d.end(r, 0)
		}
	}
}

// lateWrite is the longest time after which a write without an answer takes effect.
const lateWrite = 6 * time.Second

// callTimeout is when an instance gives up a call of the platform.
const callTimeout = time.Second

func (d *budgetDay) platformArrives(in *dayNode, call event.PlatformCall) {
	if d.cut[in.name] {
		r := event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
		if call.Op == event.OpGet {
			r.Status = event.PlatformUnavailable
		} else if d.rng.IntN(4) == 0 { // takes effect late, if its condition still holds
			d.after(time.Duration(d.rng.Int64N(int64(lateWrite))), func() { d.platformCall(call) })
		}
		d.after(callTimeout, func() { d.step(in, event.Event{PlatformResult: &r}) })
		return
	}
	r := d.platformCall(call)
	d.after(d.linkDelay(), func() {
		if d.cut[in.name] {
			r = event.PlatformResult{Call: call.Call, Status: event.PlatformUnknown}
		}
		d.step(in, event.Event{PlatformResult: &r})
	})
}

// platformCall is the platform's whole logic: one object, and a conflict that
// carries it.
func (d *budgetDay) platformCall(call event.PlatformCall) event.PlatformResult {
	r := event.PlatformResult{Call: call.Call, Status: event.PlatformOK}
	switch {
	case call.Object.Kind != event.KindLedger:
		r.Status = event.PlatformNotFound
	case call.Op == event.OpGet:
		d.reads++
		if d.version == 0 {
			r.Status = event.PlatformNotFound
		}
	case call.Object.Version != d.store.Version:
		d.writes++
		r.Status = event.PlatformConflict
	default:
		d.writes++
		d.version++
		d.store = call.Object
		d.store.Version = fmt.Sprint(d.version)
	}
	r.Object = d.store
	return r
}

func (d *budgetDay) peerArrives(from *dayNode, m event.SendPeer) {
	for _, to := range d.nodes {
		if to.name == m.To && !d.cut[to.name] && !d.cut[from.name] {
			d.step(to, event.Event{PeerReceived: &event.PeerReceived{From: from.name, Incarnation: fmt.Sprint(from.life), Message: m.Message}})
		}
	}
}

func (d *budgetDay) dispatch(in *dayNode, a event.Dispatch) {
	r := in.open[a.Request]
	r.started = d.now
	r.length = 200*time.Millisecond + time.Duration(d.rng.Int64N(int64(1500*time.Millisecond)))
	d.after(r.length, func() {
		if in.dead {
			return
		}
		delete(in.open, a.Request)
		d.end(r, 1)
		d.step(in, event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Attempt, Outcome: event.AttemptCompleted, Usage: r.delivered, UsageKnown: true}})
	})
}

// end ends a request that delivered a part of what it would.
func (d *budgetDay) end(r *dayRequest, part float64) {
	if !r.done {
		r.done, r.ended, r.delivered = true, d.now, int64(part*float64(r.total))
	}
}

// nextRequest lets a customer's next request arrive after a while.
func (d *budgetDay) nextRequest(customer int) {
	name := customerName(customer)
	mean := float64(dayGap) * float64(customer+1) / max(d.factor[name], 1)
	d.after(time.Duration(d.rng.ExpFloat64()*mean), func() {
		if d.factor[name] > 0 {
			d.send(d.nodes[d.rng.IntN(len(d.nodes))], name, d.anySize())
		}
		d.nextRequest(customer)
	})
}

// anySize draws what a request needs at its most: mostly little, at times much.
func (d *budgetDay) anySize() int64 {
	if d.rng.IntN(20) == 0 {
		return 10_000 + d.rng.Int64N(40_000)
	}
	return 500 + d.rng.Int64N(3000)
}

// send sends a request of a customer to an instance.
func (d *budgetDay) send(in *dayNode, budgetName string, most int64) {
	if in.dead {
		return
	}
	r := &dayRequest{budget: budgetName, most: most, total: most/4 + d.rng.Int64N(most/2), arrived: d.now}
	r.owed = most+d.charged(budgetName) <= d.totals[budgetName]*owedPerMille/1000
	d.requests = append(d.requests, r)
	d.recent[budgetName] = append(d.recent[budgetName], r)
	d.handle++
	in.open[d.handle] = r
	d.step(in, event.Event{RequestArrived: &event.RequestArrived{
		Request: d.handle, Customer: budgetName, Budget: budgetName, WorstCaseTokens: most,
		Key: fmt.Sprint(d.handle), BodyHash: fmt.Sprint(d.handle), Serves: "app", MaxAttempts: 1, HandedOver: true, Deadline: 10 * time.Second,
	}})
}

// charged counts the requests of a budget: those that ended a while ago with
// what they delivered, the others at their most.
func (d *budgetDay) charged(budgetName string) int64 {
	var sum int64
	d.recent[budgetName] = slices.DeleteFunc(d.recent[budgetName], func(r *dayRequest) bool {
		if r.refused == errkind.None && (!r.done || d.now-r.ended < daySettle) {
			sum += r.most
			return false
		}
		d.settled[budgetName] += r.delivered
		return true
	})
	return sum + d.settled[budgetName]
}
