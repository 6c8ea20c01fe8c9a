package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// writerFleet is a fleet of four instances that combine their ledger updates.
type writerFleet struct {
	*world
	// writer writes the ledger shard of the budget "b", other is another instance.
	writer, other string
	// writes counts the writes of that shard that reached the platform, by
	// instance.
	writes map[string]int
}

func newWriterFleet() *writerFleet {
	f := &writerFleet{writes: map[string]int{}}
	f.world = readyWorldWith(4, 100_000, func(p *config.GrantPolicy) {
		p.Policy, p.SizeTokens, p.CombineUpdates, p.RefillMillis, p.MaxWaitMillis = config.GrantSpread, 100, true, 1000, 250
		p.MaxSharePerMille = 400
	})
	in := f.nodes["n1"]
	f.writer = in.node.ledgerWriter(in.node.ledgers.shardOf("b"))
	f.other = "n1"
	if f.writer == "n1" {
		f.other = "n2"
	}
	f.hooks.interceptCall = func(in *instance, call event.PlatformCall) bool {
		if call.Object.Kind == event.KindLedger && call.Op != event.OpGet {
			f.writes[in.name]++
		}
		return false
	}
	return f
}

// served sends a request that needs tokens of the ledger to an instance and
// returns how long it waited until it was served, or false if it was refused.
func (f *writerFleet) served(to string, tokens int64) (time.Duration, bool) {
	c := f.send(to, exampleRequest(fmt.Sprintf("k%d", f.handle), tokens, true))
	start := f.now
	for !f.answers[c].done && f.now-start < 3*time.Second {
		f.runFor(event.TickPeriod)
	}
	return f.now - start, f.answers[c].complete && f.answers[c].refused == errkind.None
}

func TestRequestAsksPeersWhileAnUpdateRuns(t *testing.T) {
	// Guards against requests that are refused while an update lasts, though peers have the tokens.
	Convey("Given instances that hold tokens, and calls for the ledger that get no answer", t, func() {
		f := newWriterFleet()
		for _, name := range f.nodeNames() {
			_, ok := f.served(name, 10)
			So(ok, ShouldBeTrue)
		}
		f.runFor(3 * time.Second)
		f.hooks.interceptCall = func(_ *instance, call event.PlatformCall) bool { return call.Object.Kind == event.KindLedger }
		available := f.nodes[f.other].node.book.Account("b").Available()
		Convey("a request that needs more than its instance has is served with tokens of peers", func() {
			took, ok := f.served(f.other, available+50)
			t.Logf("available %d, took %v, served %v", available, took, ok)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, 250*time.Millisecond)
		})
		Convey("and so is one that comes shortly after another, whose round is then open", func() {
			first := f.send(f.other, exampleRequest("first", available+50, true))
			f.runFor(30 * time.Millisecond)
			took, ok := f.served(f.other, available+20)
			t.Logf("took %v, served %v, the first %v", took, ok, f.answers[first].complete)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, 250*time.Millisecond)
		})
	})
}

func TestCombinedLedgerUpdates(t *testing.T) {
	Convey("Given instances that combine their ledger updates", t, func() {
		f := newWriterFleet()
		Convey("all of them choose the same writer", func() {
			for _, in := range f.nodes {
				So(in.node.ledgerWriter(in.node.ledgers.shardOf("b")), ShouldEqual, f.writer)
			}
		})
		Convey("the writer writes for requests at all of them", func() {
			for _, name := range f.nodeNames() {
				took, ok := f.served(name, 5000)
				So(ok, ShouldBeTrue)
				So(took, ShouldBeLessThan, acceptTimeout)
			}
			So(f.writes, ShouldHaveLength, 1)
			So(f.writes[f.writer], ShouldBeGreaterThan, 0)
		})
		Convey("an instance writes itself within a request's wait if the writer doesn't answer", func() {
			f.cutPeers[pair(f.writer, f.other)] = true
			took, ok := f.served(f.other, 5000)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, 250*time.Millisecond)
			So(f.writes[f.other], ShouldBeGreaterThan, 0)
			Convey("and does not ask that writer again for writerAvoidTime", func() {
				took, ok := f.served(f.other, 9000)
				So(ok, ShouldBeTrue)
				So(took, ShouldBeLessThan, acceptTimeout)
			})
		})
		Convey("a writer that was avoided is asked again as soon as it has restarted", func() {
			f.cutPeers[pair(f.writer, f.other)] = true
			_, ok := f.served(f.other, 5000)
			So(ok, ShouldBeTrue)
			in := f.nodes[f.other]
			So(in.node.ledgerWriter(in.node.ledgers.shardOf("b")), ShouldNotEqual, f.writer)
			f.step(in, event.Event{PeerReceived: &event.PeerReceived{From: f.writer, Incarnation: "next"}})
			So(in.node.ledgerWriter(in.node.ledgers.shardOf("b")), ShouldEqual, f.writer)
		})
		Convey("an instance writes itself if the writer can't reach the ledger", func() {
			f.cutPlatform[f.writer] = true
			took, ok := f.served(f.other, 5000)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, 250*time.Millisecond)
			So(f.writes[f.other], ShouldBeGreaterThan, 0)
		})
		Convey("an instance writes itself within a request's wait if calls of the writer get no answer", func() {
			count := f.hooks.interceptCall
			f.hooks.interceptCall = func(in *instance, call event.PlatformCall) bool {
				return count(in, call) || in.name == f.writer && call.Object.Kind == event.KindLedger
			}
			took, ok := f.served(f.other, 5000)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, 250*time.Millisecond)
		})
		Convey("a writer that stops hands over to another one", func() {
			f.step(f.nodes[f.writer], event.Event{ShutdownRequired: &event.ShutdownRequired{}})
			f.runFor(2 * time.Second)
			So(f.nodes[f.writer].stopped, ShouldBeTrue)
			took, ok := f.served(f.other, 5000)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeLessThan, acceptTimeout)
		})
		Convey("the writer refuses operations of another holder than the sender", func() {
			op := &ledger.Operation{Holder: "n9/1", Sequence: 1, Want: 5000}
			f.step(f.nodes[f.writer], event.Event{PeerReceived: &event.PeerReceived{From: f.other, Incarnation: "1", Message: event.PeerMessage{
				LedgerRequest: &event.LedgerRequest{Shard: f.nodes[f.writer].node.ledgers.shardOf("b").index, ID: 99, Operations: map[string]*ledger.Operation{"b": op}, Urgent: true},
			}}})
			f.runFor(time.Second)
			So(f.ledgerBudgets()["b"].Grants, ShouldNotContainKey, ledger.Holder("n9/1"))
		})
		Convey("a reply to an earlier incarnation is ignored", func() {
			in := f.nodes[f.other]
			s := in.node.ledgers.shardOf("b")
			f.step(in, event.Event{RequestArrived: &event.RequestArrived{
				Request: 99, Customer: "c", Budget: "b", Key: "k", Serves: "m", Idempotent: true, WorstCaseTokens: 5000,
			}})
			So(s.delegation, ShouldNotBeNil)
			f.step(in, event.Event{PeerReceived: &event.PeerReceived{From: f.writer, Incarnation: "1", Message: event.PeerMessage{
				LedgerReply: &event.LedgerReply{Shard: s.index, ID: s.delegation.ID, To: f.other + "/0", Status: event.LedgerApplied},
			}}})
			So(s.delegation, ShouldNotBeNil)
		})
		Convey("a request that arrives again while it is written is not written again", func() {
			writer := f.nodes[f.writer]
			op := &ledger.Operation{Holder: ledger.Holder(f.other + "/1"), Sequence: 99, Want: 5000}
			m := event.LedgerRequest{Shard: writer.node.ledgers.shardOf("b").index, ID: 99, Operations: map[string]*ledger.Operation{"b": op}, Urgent: true}
			for range 2 {
				f.step(writer, event.Event{PeerReceived: &event.PeerReceived{From: f.other, Incarnation: "1", Message: event.PeerMessage{LedgerRequest: &m}}})
			}
			before := f.writes[f.writer]
			f.runFor(100 * time.Millisecond)
			So(f.writes[f.writer]-before, ShouldEqual, 1)
		})
		Convey("a shard that doesn't exist is refused", func() {
			for _, shard := range []int{-1, 99} {
				m := event.PeerMessage{LedgerRequest: &event.LedgerRequest{Shard: shard, ID: 1}}
				f.step(f.nodes[f.writer], event.Event{PeerReceived: &event.PeerReceived{From: f.other, Incarnation: "1", Message: m}})
				m = event.PeerMessage{LedgerReply: &event.LedgerReply{Shard: shard, ID: 1, Status: event.LedgerApplied}}
				f.step(f.nodes[f.writer], event.Event{PeerReceived: &event.PeerReceived{From: f.other, Incarnation: "1", Message: m}})
			}
		})
	})
}
