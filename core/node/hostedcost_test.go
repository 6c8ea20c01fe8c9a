package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

// hostedFixture is one node of a hosted fleet, driven without a platform or
// peers that answer.
type hostedFixture struct {
	node    *Node
	now     time.Duration
	seed    uint64
	request uint64
	peers   int
}

// fleetShapes are the sizes of fleets at which costs are compared: instances,
// and targets of one service.
var fleetShapes = []struct{ instances, targets int }{{8, 16}, {30, 27}, {100, 89}, {300, 265}}

// newHostedFixture returns a node that knows a number of peers and targets. One
// peer in ten is large; the node is not.
func newHostedFixture(instances, targets int) *hostedFixture {
	f := &hostedFixture{peers: instances - 1}
	p := config.Defaults().Policies
	p.Grants = spreadPolicy()
	p.Routing.Policy = config.RoutingLeastWork
	p.Limits.Policy = config.LimitFixed
	p.Addresses = config.AddressPolicy{TTLSeconds: 1, RequestsPerProcessor: simulatedRequestsPerProcessor}
	f.node = New(Settings{
		Name: "n0", Incarnation: "1", DataCentre: "dc", LedgerShards: 1, Policies: p,
		Disabled: Features{Bills: true, BegunRecords: true, ConfigurationStore: true, TargetReports: true, QuarantineClaims: true},
	})
	f.step(event.Event{ConfigRead: &event.ConfigRead{Stored: &config.Stored{
		Generation: 1, Routing: &config.Routing{Targets: []config.TargetClass{{Service: "app", MaxConnections: 1900}}},
	}}})
	f.step(event.Event{InstancesListed: &event.InstancesListed{Instances: f.entries(instances, targets)}})
	return f
}

func (f *hostedFixture) entries(instances, targets int) []event.Instance {
	var list []event.Instance
	for i := range instances {
		name, processor := fmt.Sprintf("n%d", i), int64(192)
		if i%10 == 1 {
			processor = 800
		}
		list = append(list, event.Instance{
			Name: name, Role: event.RoleRouter, Address: name + ":1", PeerAddress: name + ":2", DatagramAddress: name + ":3",
			ProcessorMillis: processor, State: event.StateLive,
		})
	}
	for i := range targets {
		list = append(list, targetEntry(fmt.Sprintf("t%d", i)))
	}
	return list
}

func (f *hostedFixture) step(e event.Event) []event.Action {
	f.seed++
	return f.node.Step(event.Input{Now: f.now, Seed: f.seed, Event: e})
}

// workingPeerDivisor is the number of instances for each that has work.
const workingPeerDivisor = 14

// receiveLoads delivers a load message of each peer that has work.
func (f *hostedFixture) receiveLoads() {
	for i := 1; i <= f.peers; i += workingPeerDivisor {
		m := &event.Loads{Requests: 60}
		for t := range 20 {
			m.Targets = append(m.Targets, event.TargetLoad{Target: fmt.Sprintf("t%d", (i+13*t)%len(f.node.members.targets)), PrefillTokens: 1000, Running: 1})
		}
		f.step(event.Event{PeerReceived: &event.PeerReceived{From: fmt.Sprintf("n%d", i), Incarnation: "1", Message: event.PeerMessage{Loads: m}}})
	}
}

// tick advances the time by one tick of the hosted daemon.
func (f *hostedFixture) tick() {
	f.now += hostedTickPeriod
	f.step(event.Event{Tick: &event.Tick{}})
}

// serve runs one request from arrival to the end of its attempt, and reports
// whether it was sent to a target.
func (f *hostedFixture) serve() bool {
	f.request++
	arrived := event.Event{RequestArrived: &event.RequestArrived{
		Request: f.request, Customer: "c", Key: fmt.Sprint(f.request), BodyHash: "h", Serves: "app", MaxAttempts: 1, HandedOver: true,
		Deadline: 10 * time.Second,
	}}
	for _, a := range f.step(arrived) {
		if a.Dispatch != nil {
			f.step(event.Event{FirstToken: &event.FirstToken{Attempt: a.Dispatch.Attempt}})
			f.step(event.Event{AttemptEnded: &event.AttemptEnded{Attempt: a.Dispatch.Attempt, Outcome: event.AttemptCompleted}})
			return true
		}
	}
	return false
}

// BenchmarkHostedRequest measures the work of the core for one request by the
// size of the fleet. Load messages arrive once for 50 requests.
func BenchmarkHostedRequest(b *testing.B) {
	for _, shape := range fleetShapes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", shape.instances, shape.targets), func(b *testing.B) {
			f := newHostedFixture(shape.instances, shape.targets)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%50 == 0 {
					f.now += hostedTickPeriod
					f.receiveLoads()
				}
				if !f.serve() {
					b.Fatal("the request was not dispatched")
				}
			}
		})
	}
}

// BenchmarkHostedIdle measures one second of an instance without requests by the
// size of the fleet.
func BenchmarkHostedIdle(b *testing.B) {
	for _, shape := range fleetShapes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", shape.instances, shape.targets), func(b *testing.B) {
			f := newHostedFixture(shape.instances, shape.targets)
			b.ReportAllocs()
			for b.Loop() {
				for range time.Second / hostedTickPeriod {
					f.tick()
				}
			}
		})
	}
}

const (
	// costBatches is the number of measurements of a cost, of which the least
	// counts: other work on the machine only adds to it.
	costBatches = 30
	// linearFactor is how much faster than linearly with instances and targets a
	// cost may grow between the two fleets that are compared.
	linearFactor = 2
)

// leastTime returns the least time that do takes.
func leastTime(do func()) time.Duration {
	least := time.Hour
	for range costBatches {
		start := time.Now()
		do()
		least = min(least, time.Since(start))
	}
	return least
}

func TestCostsGrowAtMostLinearlyWithTheFleet(t *testing.T) {
	// Guards against work for each pair of a target and an instance.
	small, large := fleetShapes[1], fleetShapes[3]
	bound := linearFactor * float64(large.instances+large.targets) / float64(small.instances+small.targets)
	costs := map[string]func(f *hostedFixture){
		"a request": func(f *hostedFixture) {
			f.now += hostedTickPeriod
			f.receiveLoads()
			for range 20 {
				f.serve()
			}
		},
		"an idle second": func(f *hostedFixture) {
			for range time.Second / hostedTickPeriod {
				f.tick()
			}
		},
	}
	Convey("The work of an instance grows at most linearly with instances and targets", t, func() {
		for _, name := range sortedKeys(costs) {
			a, b := newHostedFixture(small.instances, small.targets), newHostedFixture(large.instances, large.targets)
			ratio := float64(leastTime(func() { costs[name](b) })) / float64(leastTime(func() { costs[name](a) }))
			t.Logf("%s: %.1f times at %d instances and %d targets what it is at %d and %d", name, ratio, large.instances, large.targets, small.instances, small.targets)
			So(ratio, ShouldBeLessThan, bound)
		}
	})
}
