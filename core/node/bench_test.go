package node

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// benchWorld returns one node that holds grants of a number of budgets, with
// listed peers and one target.
func benchWorld(b *testing.B, budgets, peers int) *world {
	b.Helper()
	w := newWorld(1)
	w.startNode("n1")
	w.addTarget("t1", "m")
	doc := exampleDocument(1_000_000_000)
	doc.Policies.Limits.MaxConcurrencyPerTarget = 10_000
	for i := 1; i < budgets; i++ {
		doc.Budgets = append(doc.Budgets, config.Budget{Name: budgetName(i), Customer: "c", PrepaidTokens: 1_000_000_000})
	}
	list := w.instanceList()
	for i := range peers {
		name := fmt.Sprintf("p%d", i)
		list = append(list, event.Instance{Name: name, Role: event.RoleRouter, Address: name, PeerAddress: name, State: event.StateLive})
	}
	w.step(w.nodes["n1"], event.Event{InstancesListed: &event.InstancesListed{Instances: list}})
	w.apply("n1", "op", doc)
	w.runFor(3 * time.Second) // a target without reports gets no work before firstReportTimeout
	for i := range budgets {
		r := exampleRequest(fmt.Sprintf("k%d", i), 100, true)
		r.Budget = budgetName(i)
		w.send("n1", r)
	}
	w.runFor(time.Second)
	if got := w.answers[w.callers[0]]; !got.complete {
		b.Fatalf("the first request was not served: %+v", got)
	}
	return w
}

func budgetName(i int) string {
	if i == 0 {
		return "b"
	}
	return fmt.Sprintf("b%d", i)
}

// BenchmarkRequest measures the work of the core for one request, from arrival
// to bill, including the work of the fake platform.
func BenchmarkRequest(b *testing.B) {
	w := benchWorld(b, 1, 8)
	in := w.nodes["n1"]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.send("n1", exampleRequest(fmt.Sprintf("r%d", i), 100, true))
		for len(w.pending) > 0 {
			w.deliver(0)
		}
		w.answers, w.callers = map[caller]answer{}, nil
		w.targets["t1"].runs = nil
		if i%100 == 0 {
			w.now += time.Second
			w.step(in, event.Event{Tick: &event.Tick{}})
		}
	}
}

// BenchmarkTick measures one idle tick by the number of budgets with grants and
// of peers.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ budgets, peers int }{{1, 8}, {100, 8}, {1000, 8}, {1, 330}} {
		b.Run(fmt.Sprintf("budgets=%d/peers=%d", size.budgets, size.peers), func(b *testing.B) {
			w := benchWorld(b, size.budgets, size.peers)
			in := w.nodes["n1"]
			b.ReportAllocs()
			for b.Loop() {
				w.now += event.TickPeriod
				w.step(in, event.Event{Tick: &event.Tick{}})
				for len(w.pending) > 0 {
					w.deliver(0)
				}
			}
		})
	}
}

// BenchmarkBudgetMemory reports the bytes that a node keeps for each budget in
// the configuration.
func BenchmarkBudgetMemory(b *testing.B) {
	const budgetCount = 10_000
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heapBytes()
		doc := exampleDocument(1)
		for i := 1; i < budgetCount; i++ {
			doc.Budgets = append(doc.Budgets, config.Budget{Name: budgetName(i), Customer: "c", PrepaidTokens: 1})
		}
		ix := config.NewIndex(&config.Stored{Generation: 1, Document: doc})
		b.ReportMetric(float64(heapBytes()-before)/budgetCount, "B/configured-budget")
		runtime.KeepAlive(ix)
	}
}

// BenchmarkLedgerUpdate measures one operation on a shard, including decoding
// and encoding, by the number of budgets in it, and reports the size of the
// shard per budget.
func BenchmarkLedgerUpdate(b *testing.B) {
	for _, budgets := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			s, _ := ledger.Decode(nil)
			for i := range budgets {
				acct := s.Budget(fmt.Sprintf("customer-%04d-2026", i))
				acct.SetTarget(1_000_000, 1)
				for h := range 3 {
					acct.Apply(ledger.Operation{Holder: ledger.Holder(fmt.Sprintf("instance-%03d/0123456789ab", h)), Sequence: 1, Want: 20_000})
				}
			}
			raw, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				next, _ := ledger.Decode(raw)
				next.Budget("customer-0000-2026").Apply(ledger.Operation{Holder: "instance-000/0123456789ab", Sequence: 2, Spent: 1})
				_, _ = next.Encode()
			}
			b.ReportMetric(float64(len(raw))/float64(budgets), "B/budget-of-3-grants")
		})
	}
}

// BenchmarkMessageSizes reports the size of messages between instances.
func BenchmarkMessageSizes(b *testing.B) {
	hb := event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 123_456}}
	for b.Loop() {
		raw, _ := json.Marshal(hb)
		b.ReportMetric(float64(len(raw)), "B/heartbeat")
	}
}
