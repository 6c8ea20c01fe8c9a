package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pgregory.net/rapid"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// budgetDocument returns a configuration with one budget. Isolated instances
// serve, so that only their grants bound what they spend.
func budgetDocument(prepaid int64) config.Document {
	d := exampleDocument(prepaid)
	d.Policies.Billing.WhenIsolated = config.IsolatedServe
	return d
}

// readyWorldWith is readyWorld with a changed grant policy.
func readyWorldWith(n int, prepaid int64, policy func(*config.GrantPolicy)) *world {
	return newWorld(1).ready(n, prepaid, policy)
}

// ready starts instances and targets and puts a configuration in force.
func (w *world) ready(n int, prepaid int64, policy func(*config.GrantPolicy)) *world {
	for i := range n {
		w.startNode(fmt.Sprintf("n%d", i+1))
	}
	w.addTarget("t1", "m")
	w.addTarget("t2", "m")
	w.listInstances()
	d := budgetDocument(prepaid)
	policy(&d.Policies.Grants)
	w.apply("n1", "op-1", d)
	w.runFor(3 * time.Second)
	return w
}

// answeredWithin advances virtual time until a request is answered, at most by
// limit, and reports whether it was answered.
func (w *world) answeredWithin(c caller, limit time.Duration) bool {
	for end := w.now + limit; w.now < end && !w.answers[c].done; {
		w.runFor(event.TickPeriod)
	}
	return w.answers[c].done
}

// answerLimit is the longest wait for tokens in virtual time: two rounds of
// asking peers and the steps between them.
const answerLimit = maxPeerWait + 10*event.TickPeriod

func TestTokensComeFromPeers(t *testing.T) {
	budgets := map[string]int64{"b": 400}
	Convey("Given a budget of which n2 and n3 hold all and n1 nothing", t, func() {
		w := readyWorldWith(3, 400, func(p *config.GrantPolicy) { p.Policy, p.SizeTokens = "fixed", 200 })
		for _, name := range []string{"n2", "n3"} {
			w.send(name, exampleRequest("first-"+name, 4, true))
			w.runFor(time.Second)
		}
		held := 400 - w.consumed("b")
		Convey("n1 obtains what it lacks from both", func() {
			c := w.send("n1", exampleRequest("k", 300, true))
			So(w.answeredWithin(c, answerLimit+billWaitServe), ShouldBeTrue)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.violations(budgets), ShouldBeEmpty)
		})
		Convey("n1 obtains all tokens that are left", func() {
			c := w.send("n1", exampleRequest("k", held, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.violations(budgets), ShouldBeEmpty)
		})
		Convey("n1 obtains what it lacks with the platform down", func() {
			w.platformDown = true
			c := w.send("n1", exampleRequest("k", 300, true))
			So(w.answeredWithin(c, answerLimit+billWaitServe), ShouldBeTrue)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.violations(budgets), ShouldBeEmpty)
		})
		Convey("a request for more than is left is refused without delay", func() {
			c := w.send("n1", exampleRequest("k", held+1, true))
			So(w.answeredWithin(c, answerLimit), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetUnsettled)
			Convey("and as exhausted once the ledger knows what was spent", func() {
				w.runFor(3 * time.Second)
				c := w.send("n1", exampleRequest("k2", held+1, true))
				So(w.answeredWithin(c, answerLimit), ShouldBeTrue)
				So(w.answers[c].refused, ShouldEqual, errkind.BudgetExhausted)
			})
		})
		Convey("with the platform down, it is refused as budget unavailable, since the ledger wasn't read", func() {
			w.platformDown = true
			c := w.send("n1", exampleRequest("k", held+1, true))
			So(w.answeredWithin(c, answerLimit), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetUnavailable)
		})
		Convey("a late transfer to an earlier incarnation of an instance gives it no tokens", func() {
			late := &event.Transfer{Budget: "b", To: "n1/0", Total: 100}
			message := event.PeerMessage{Transfer: late}
			w.step(w.nodes["n1"], event.Event{PeerReceived: &event.PeerReceived{From: "n2", Incarnation: "1", Message: message}})
			So(w.nodes["n1"].node.book.Account("b").Available(), ShouldEqual, 0)
		})
		Convey("with peers that don't answer, a request that their tokens cover is refused in bounded time, and not as exhausted", func() {
			w.cutPeers["n1|n2"], w.cutPeers["n1|n3"] = true, true
			c := w.send("n1", exampleRequest("k", 300, true))
			So(w.answeredWithin(c, answerLimit), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetUnsettled)
		})
	})
}

// TestOneOfTwoInstancesLackingTokensIsServed checks that two instances, each
// with half of a budget, don't both refuse when they ask each other for the
// other half, in any order of messages.
func TestOneOfTwoInstancesLackingTokensIsServed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := readyWorldWith(2, 300, func(p *config.GrantPolicy) { p.Policy, p.SizeTokens = "fixed", 150 })
		w.send("n1", exampleRequest("first-n1", 4, true))
		w.send("n2", exampleRequest("first-n2", 4, true))
		w.runFor(time.Second)
		a := w.send("n1", exampleRequest("a", 250, true))
		b := w.send("n2", exampleRequest("b", 250, true))
		for range rapid.IntRange(0, 40).Draw(rt, "arrivals") {
			w.deliverAny(rt)
		}
		w.runFor(time.Second)
		if !w.answers[a].complete && !w.answers[b].complete {
			rt.Fatalf("both were refused: %s, %s", w.answers[a].refused, w.answers[b].refused)
		}
		if v := w.violations(map[string]int64{"b": 300}); len(v) > 0 {
			rt.Fatalf("violations: %v", v)
		}
	})
}

func TestTokensSplitAcrossHolders(t *testing.T) {
	Convey("Given a budget of 300 that is granted in parts of 150", t, func() {
		prepaid := int64(300)
		start := func(holders ...string) *world {
			w := readyWorldWith(3, prepaid, func(p *config.GrantPolicy) { p.Policy, p.SizeTokens = "fixed", 150 })
			for _, name := range holders {
				w.send(name, exampleRequest("first-"+name, 4, true))
				w.runFor(time.Second)
			}
			return w
		}
		Convey("one peer transfers all that n1 lacks if the other does not answer", func() {
			w := start("n2")
			w.cutPlatform["n1"], w.cutPeers["n1|n3"] = true, true
			r := exampleRequest("k", 140, true)
			r.HandedOver = true
			c := w.send("n1", r)
			So(w.answeredWithin(c, answerLimit+billWaitServe), ShouldBeTrue)
			So(w.answers[c].complete, ShouldBeTrue)
		})
		Convey("a part from the ledger and a part from a peer serve one request", func() {
			w := start("n2")
			c := w.send("n1", exampleRequest("k", prepaid-4, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.violations(map[string]int64{"b": prepaid}), ShouldBeEmpty)
		})
	})
}

func TestRequestIsHandedOver(t *testing.T) {
	budgets := map[string]int64{"b": 400}
	Convey("Given an instance without tokens that can't reach the platform", t, func() {
		w := readyWorldWith(3, 400, func(p *config.GrantPolicy) { p.PeerTransfer = false })
		w.cutPlatform["n1"] = true
		Convey("its request is run by a peer that can reach the platform", func() {
			c := w.send("n1", exampleRequest("k", 100, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(len(w.handOvers), ShouldEqual, 1)
			So(w.violations(budgets), ShouldBeEmpty)
			So(w.nodes["n1"].node.requests.open(), ShouldEqual, 0)
		})
		Convey("a request that the budget does not cover is refused", func() {
			c := w.send("n1", exampleRequest("k", 401, true))
			So(w.answeredWithin(c, answerLimit), ShouldBeTrue)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetUnavailable)
		})
		Convey("a request is handed over only once if the peer can't reach the platform either", func() {
			w.send("n2", exampleRequest("first", 4, true))
			w.runFor(5 * time.Second)
			w.cutPlatform["n2"], w.cutPlatform["n3"] = true, true
			c := w.send("n1", exampleRequest("k", 390, true))
			w.runFor(2 * answerLimit)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetUnavailable)
			So(w.problems, ShouldBeEmpty)
		})
	})
}

func TestRequestIsNotRefusedWhileOfferedTokensAreUnderWay(t *testing.T) {
	Convey("A request whose wait for peers is over waits on for tokens that a peer has offered and was asked for, until the peer's time is over", t, func() {
		n := readyWorldWith(2, 1000, func(p *config.GrantPolicy) { p.Policy = config.GrantFixed }).nodes["n1"].node
		r := &request{RequestArrived: exampleRequest("k", 900, true), phase: phaseWaitingForGrant}
		r.budgetWait = budgetWait{since: n.now, refusal: errkind.BudgetExhausted, peerDeadline: n.now, askedPeers: true, askedLedger: true}
		n.requests.add(r)
		asked := n.now
		n.transfers.rounds["b"] = &transferRound{asks: maxAsksPerRound, timeout: asked + askTimeout, pending: map[string]bool{"n2": true}, offers: map[string]event.Transfer{"n2": {Transferable: 900}}}
		tick := func(at time.Duration) { n.Step(event.Input{Now: at, Event: event.Event{Tick: &event.Tick{}}}) }
		tick(asked + askTimeout - event.TickPeriod)
		So(n.requests.byHandle[r.Request], ShouldEqual, r)
		tick(asked + askTimeout)
		So(n.requests.byHandle[r.Request], ShouldBeNil)
	})
}
