package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/ledger"
)

// Bandwidths of links in bytes per second: 200 and 10 Mbit/s.
const (
	wideLink   = 25_000_000
	narrowLink = 1_250_000
)

// largeFleet is a fleet in which one instance in ten has a wide link to the
// platform. Its callers send about 460 requests a second whatever its size.
func largeFleet(instances int) simulatedFleet {
	return simulatedFleet{
		instances: instances, customers: 24, prepaid: 16_000_000, requestInterval: 8200 * time.Microsecond,
		linkBytesPerSecond: func(i int) int64 {
			if i%10 == 0 {
				return wideLink
			}
			return narrowLink
		},
		processors: func(i int) int64 {
			if i%10 == 0 {
				return 800
			}
			return 192
		},
	}
}

const (
	// rampUp is the time before the first request of a large fleet, servingTime
	// that in which it is measured.
	rampUp      = 3 * time.Second
	servingTime = 8 * time.Second
)

// fleetCost is what a fleet without faults does in servingTime.
type fleetCost struct {
	audit       budgetAudit
	conflicts   int
	objectBytes int
	grants      int
}

// runLargeFleet runs a fleet without faults.
func runLargeFleet(seed uint64, policy config.GrantPolicy, fleet simulatedFleet) fleetCost {
	s := newBudgetSimulation(seed, policy, fleet)
	for c := range fleet.customers {
		s.loadFactor[customerName(c)] = 0
	}
	s.runUntil(rampUp)
	for c := range fleet.customers {
		s.loadFactor[customerName(c)] = 1
	}
	s.runUntil(rampUp + servingTime)
	cost := fleetCost{audit: s.audit(), conflicts: s.conflicts, objectBytes: len(s.store.Value)}
	if shard, err := ledger.Decode(s.store.Value); err == nil {
		for _, b := range shard.Budgets {
			cost.grants += len(b.Grants)
		}
	}
	return cost
}

func TestLargeFleetRefusesNoCoveredRequest(t *testing.T) {
	// Guards against a cost of the budgets that grows with the number of instances.
	Convey("A fleet of any size without faults refuses no request that its budget covers", t, func() {
		for _, instances := range []int{10, 30, 90, 300} {
			for seed := range uint64(2) {
				c := runLargeFleet(seed, spreadPolicy(), largeFleet(instances))
				t.Logf("%d instances, seed %d: %v, object of %d bytes with %d grants", instances, seed, c.audit, c.objectBytes, c.grants)
				So(c.audit.Overspent, ShouldEqual, 0)
				So(c.audit.GuaranteedRefused, ShouldEqual, 0)
			}
		}
	})
}

func TestLargeFleetRarelyWaitsForTokens(t *testing.T) {
	// Guards against grants that lag behind the first requests of a customer.
	Convey("Without faults, 95 in 100 requests hardly wait for tokens, also if callers stay on small instances", t, func() {
		for _, instances := range []int{30, 90, 300} {
			fleet := largeFleet(instances)
			fleet.staying = fleet.customers / 3
			sum := budgetAudit{}
			for seed := range uint64(3) {
				c := runLargeFleet(seed, spreadPolicy(), fleet)
				t.Logf("%d instances, seed %d: %v, %d conflicts", instances, seed, c.audit, c.conflicts)
				So(c.audit.Overspent, ShouldEqual, 0)
				So(c.audit.GuaranteedRefused, ShouldEqual, 0)
				sum.Requests += c.audit.Requests
				sum.Waited += c.audit.Waited
			}
			So(float64(sum.Waited), ShouldBeLessThanOrEqualTo, 0.05*float64(sum.Requests))
		}
	})
}

const (
	// stayingInterval is the mean time between two requests of a customer whose
	// callers all stay on one small instance.
	stayingInterval = 3700 * time.Microsecond
	// busyLateness is how late that instance is: less than half of the time for
	// which a request waits for tokens.
	busyLateness = 110 * time.Millisecond
)

func TestBusyInstanceOfLargeFleetGetsTokens(t *testing.T) {
	// Guards against ledger updates that succeed only at an instance that is in time with its own work.
	Convey("A busy instance on which callers stay refuses no request that the ledger covers", t, func() {
		for seed := range uint64(3) {
			fleet := largeFleet(90)
			fleet.customers, fleet.staying, fleet.prepaid, fleet.requestInterval = 40, 1, 60_000_000, stayingInterval
			fleet.lateness = func(i int) time.Duration {
				if i == firstStayingInstance {
					return busyLateness
				}
				return 0
			}
			c := runLargeFleet(seed, spreadPolicy(), fleet)
			t.Logf("seed %d: %v, %d conflicts", seed, c.audit, c.conflicts)
			So(c.audit.Overspent, ShouldEqual, 0)
			So(c.audit.GuaranteedRefused, ShouldEqual, 0)
		}
	})
}

func TestRestartOfLargeFleetDoesNotFloodTheLedger(t *testing.T) {
	// Guards against instances that all write the ledger before they know their peers.
	Convey("After a loss of all processes of a large fleet, few updates of the ledger conflict", t, func() {
		for seed := range uint64(12) {
			s := newBudgetSimulation(seed, spreadPolicy(), largeFleet(90))
			s.runUntil(rampUp + servingTime)
			conflicts, calls := s.conflicts, s.writes+s.reads
			s.killAll(time.Second)
			s.runUntil(s.now + servingTime)
			t.Logf("seed %d: %d calls, %d conflicts after the loss", seed, s.writes+s.reads-calls, s.conflicts-conflicts)
			So(s.conflicts-conflicts, ShouldBeLessThanOrEqualTo, len(s.nodes))
		}
	})
}

func TestLossesOfLargeFleetLeaveNothingInTheLedger(t *testing.T) {
	// Guards against an object that grows with each restart until the platform refuses it.
	Convey("Some time after a loss of all processes the ledger holds no grant of them", t, func() {
		s := newBudgetSimulation(1, spreadPolicy(), largeFleet(90))
		s.runUntil(rampUp + servingTime)
		for range 2 {
			s.killAll(time.Second)
			s.runUntil(s.now + 2*compactAfter)
			shard, err := ledger.Decode(s.store.Value)
			So(err, ShouldBeNil)
			closed, open := 0, 0
			for _, b := range shard.Budgets {
				for _, g := range b.Grants {
					if g.Closed {
						closed++
					} else {
						open++
					}
				}
			}
			t.Logf("%d open and %d closed grants, %d bytes", open, closed, len(s.store.Value))
			So(closed, ShouldEqual, 0)
		}
		So(s.audit().Overspent, ShouldEqual, 0)
	})
}

const (
	// platformOutage is how long the platform is away, reportingTime the time in
	// which the instances then report what they exchanged.
	platformOutage = 8 * time.Second
	reportingTime  = 4 * time.Second
	// maxObjectBytes is the size at which a read and a write of the ledger object
	// over a narrow link together take as long as a request waits for tokens.
	maxObjectBytes = int(narrowLink * maxPeerWait / time.Second / 2)
)

func TestTransfersDuringAnOutageHardlyGrowTheLedger(t *testing.T) {
	// Guards against an object that takes longer to update than requests wait for tokens.
	Convey("After instances have exchanged tokens without the platform, a request can wait for an update of the ledger", t, func() {
		for seed := range uint64(2) {
			fleet := largeFleet(90)
			fleet.customers, fleet.requestInterval = 40, stayingInterval
			s := newBudgetSimulation(seed, spreadPolicy(), fleet)
			s.runUntil(rampUp + servingTime)
			before := len(s.store.Value)
			t.Logf("seed %d: before %v: %s", seed, s.audit(), ledgerSize(s))
			for range 2 {
				s.platformDown = true
				s.runUntil(s.now + platformOutage)
				s.platformDown = false
				s.runUntil(s.now + reportingTime)
				t.Logf("seed %d: after %v: %s", seed, s.audit(), ledgerSize(s))
			}
			So(s.audit().Overspent, ShouldEqual, 0)
			So(before, ShouldBeLessThanOrEqualTo, maxObjectBytes)
			So(len(s.store.Value), ShouldBeLessThanOrEqualTo, maxObjectBytes)
		}
	})
}

// ledgerSize describes what the ledger object consists of.
func ledgerSize(s *budgetSimulation) string {
	shard, err := ledger.Decode(s.store.Value)
	if err != nil {
		return err.Error()
	}
	grants, received, claimed, sent, ended := 0, 0, 0, 0, 0
	for _, b := range shard.Budgets {
		grants += len(b.Grants)
		for _, g := range b.Grants {
			received, claimed, sent, ended = received+len(g.Received), claimed+len(g.Claimed), sent+len(g.Sent), ended+len(g.Ended)
		}
	}
	return fmt.Sprintf("%d bytes, %d grants, entries: %d received, %d claimed, %d sent, %d ended", len(s.store.Value), grants, received, claimed, sent, ended)
}

// BenchmarkLargeFleet measures what the budgets of a fleet without faults cost at
// several sizes: with and without callers being directed to part of the
// instances, and with and without combined updates.
func BenchmarkLargeFleet(b *testing.B) {
	for _, directed := range []bool{false, true} {
		for _, combined := range []bool{false, true} {
			for _, instances := range []int{10, 30, 90, 300} {
				b.Run(fmt.Sprintf("directed=%v/combined=%v/instances=%d", directed, combined, instances), func(b *testing.B) {
					fleet, policy := largeFleet(instances), spreadPolicy()
					if !directed {
						fleet.processors = nil
					}
					policy.CombineUpdates = combined
					var c fleetCost
					for b.Loop() {
						c = runLargeFleet(1, policy, fleet)
					}
					b.ReportMetric(1000*float64(c.audit.GuaranteedRefused)/float64(c.audit.Guaranteed), "refused/1000")
					b.ReportMetric(float64(c.audit.Writes+c.audit.Reads), "calls")
					b.ReportMetric(float64(c.conflicts), "conflicts")
					b.ReportMetric(float64(c.objectBytes), "object-bytes")
				})
			}
		}
	}
}
