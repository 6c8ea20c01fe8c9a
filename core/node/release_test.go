package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
)

// releaseRun is a returnRun in which instances are often killed while their witnesses
// are in touch, and machines are suspended.
type releaseRun struct {
	*returnRun
	released int
}

func (r *releaseRun) serve(rt *rapid.T) {
	at := r.node(rt)
	for range rapid.IntRange(1, 10).Draw(rt, "requests") {
		r.sent++
		r.send(at, exampleRequest(fmt.Sprintf("k%d", r.sent), rapid.Int64Range(1, 60).Draw(rt, "tokens"), true))
		r.runFor(time.Duration(rapid.IntRange(20, 300).Draw(rt, "ms")) * time.Millisecond)
	}
}

// restart kills an instance and starts it again after some time.
func (r *releaseRun) restart(rt *rapid.T) {
	in := r.nodes[r.node(rt)]
	r.killed = true
	in.paused = true
	r.runFor(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "gap ms")) * time.Millisecond)
	r.startNode(in.name)
	r.listInstances()
	if rapid.Bool().Draw(rt, "in touch") {
		r.runFor(time.Duration(rapid.IntRange(100, 2000).Draw(rt, "ms")) * time.Millisecond)
	}
}

// suspend suspends the machine of an instance.
func (r *releaseRun) suspend(rt *rapid.T) {
	in := r.nodes[r.node(rt)]
	if in.paused {
		return
	}
	before := r.now
	in.paused = true
	r.runFor(time.Duration(rapid.IntRange(100, 6000).Draw(rt, "suspended ms")) * time.Millisecond)
	in.paused = false
	in.suspendedFor += r.now - before
}

func (r *releaseRun) actions() map[string]func(*rapid.T) {
	actions := r.returnRun.actions()
	actions["serve"], actions["serve more"], actions["restart"], actions["suspend"] = r.serve, r.serve, r.restart, r.suspend
	return actions
}

func newReleaseRun(rt *rapid.T) *releaseRun {
	r := &releaseRun{returnRun: &returnRun{tokenRun: newTokenRunOf(rt, true)}}
	r.era = 2
	r.hooks.onAction = func(_ *instance, a event.Action) {
		if a.LogEntry != nil && a.LogEntry.Subject == releasedSubject {
			r.released++
		}
	}
	return r
}

// TestTokensOfKilledInstancesAreNotGrantedTwice guards against releasing tokens that a
// killed instance had spent, reserved or sent to a peer.
func TestTokensOfKilledInstancesAreNotGrantedTwice(t *testing.T) {
	released := 0
	rapid.Check(t, func(rt *rapid.T) {
		r := newReleaseRun(rt)
		r.runFor(time.Second)
		rt.Repeat(r.actions())
		r.stopAll(rt)
		if v := r.violations(map[string]int64{"b": r.maxTotal}); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
		b, consumed := r.ledgerBudgets()["b"], r.consumed("b")
		if b != nil && !r.lowered && b.Available() > max(0, b.Target-consumed) {
			rt.Fatalf("%d tokens are available of %d, although %d were consumed", b.Available(), b.Target, consumed)
		}
		released += r.released
	})
	if released == 0 {
		t.Error("no tokens were ever released")
	}
	t.Logf("tokens were released %d times", released)
}

// TestTokensSentByAKilledInstanceAreCharged guards against releasing tokens that a
// peer has received from a holder and not claimed yet.
func TestTokensSentByAKilledInstanceAreCharged(t *testing.T) {
	Convey("A holder of 100 tokens spent 20 and sent 30 to a peer that has claimed 10 of them", t, func() {
		b := &ledger.Budget{Grants: map[ledger.Holder]*ledger.Grant{}}
		b.SetTarget(100, 1)
		b.Apply(ledger.Operation{Holder: "n1/1", Sequence: 1, Want: 100})
		b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 1, Received: map[ledger.Holder]int64{"n1/1": 10}})
		So(b.CloseAt("n1/1", 20+30), ShouldEqual, 50)
		So(b.Available(), ShouldEqual, 50)
		So(b.Check(), ShouldBeNil)
		Convey("the rest can still be claimed", func() {
			b.Apply(ledger.Operation{Holder: "n2/1", Sequence: 2, Received: map[ledger.Holder]int64{"n1/1": 30}})
			So(b.Grants["n2/1"].Granted, ShouldEqual, 30)
			So(b.SettledTotal(), ShouldEqual, 20)
			So(b.Check(), ShouldBeNil)
		})
		Convey("closing it again releases nothing, and a delayed operation of it releases nothing that it spent", func() {
			So(b.CloseAt("n1/1", 50), ShouldEqual, 0)
			b.Apply(ledger.Operation{Holder: "n1/1", Sequence: 2, Spent: 20, Sent: map[ledger.Holder]int64{"n2/1": 30}, Want: 40})
			So(b.Check(), ShouldBeNil)
			So(b.CloseAt("n1/1", 50), ShouldEqual, 40)
			So(b.Available(), ShouldEqual, 50)
		})
	})
}
