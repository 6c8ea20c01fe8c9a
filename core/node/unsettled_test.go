package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// TestRequestsThatTokensOfLostHoldersCoverAreNotRefusedAsExhausted guards against
// refusing a request as not covered because the unreported part of a killed
// instance's grant was taken for spent.
func TestRequestsThatTokensOfLostHoldersCoverAreNotRefusedAsExhausted(t *testing.T) {
	for _, combine := range []bool{false, true} {
		Convey(fmt.Sprintf("An instance that spent little of its grant is killed (combined updates: %v)", combine), t, func() {
			const prepaid, spent, request = 1000, 100, 400
			w := readyWorldWith(3, prepaid, func(p *config.GrantPolicy) {
				p.Policy, p.SizeTokens, p.CombineUpdates, p.RefillMillis = config.GrantFixed, 800, combine, 300
			})
			w.send("n1", exampleRequest("first", spent, true))
			w.runFor(3 * time.Second)
			w.startNode("n1")
			w.listInstances()
			w.runFor(5 * time.Second)
			So(w.ledgerBudgets()["b"].SettledTotal(), ShouldBeGreaterThan, prepaid-request)
			refuse := func(key string, tokens int64) event.Refuse {
				var got event.Refuse
				w.hooks.onAction = func(_ *instance, a event.Action) {
					if a.Refuse != nil {
						got = *a.Refuse
					}
				}
				c := w.send("n2", exampleRequest(key, tokens, true))
				So(w.answeredWithin(c, time.Second), ShouldBeTrue)
				return got
			}
			refused := refuse("covered", request)
			So(refused.Kind, ShouldEqual, errkind.BudgetUnsettled)
			So(refused.Ran, ShouldEqual, errkind.RanNo)
			So(refused.RetryAfter, ShouldEqual, lostTokensRetryAfter)
			So(refuse("more than the total", prepaid+1).Kind, ShouldEqual, errkind.BudgetExhausted)
			Convey("also after the closed grant was removed", func() {
				w.send("n3", exampleRequest("other", 10, true))
				w.runFor(compactAfter + 5*time.Second)
				w.send("n3", exampleRequest("another", 10, true))
				w.runFor(2 * time.Second)
				So(refuse("later", request).Kind, ShouldEqual, errkind.BudgetUnsettled)
			})
		})
	}
	Convey("A total that was just raised counts before the ledger has it", t, func() {
		h := newHosted()
		h.configure(2, 300_000)
		r := &request{RequestArrived: event.RequestArrived{Budget: "b", WorstCaseTokens: 200_000}}
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.BudgetUnsettled)
		r.WorstCaseTokens = 300_001
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.BudgetExhausted)
	})
}

func TestTotalThatANewerConfigurationMayRaiseIsNotExhausted(t *testing.T) {
	// Guards against a 402 by a total of which the instance knows that a newer configuration may have raised it.
	Convey("An instance that hears of a newer configuration doesn't refuse as exhausted until it has it", t, func() {
		h := newHosted()
		r := &request{RequestArrived: event.RequestArrived{Budget: "b", WorstCaseTokens: 200_000}}
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.BudgetExhausted)
		h.step(event.Event{PeerReceived: &event.PeerReceived{From: "n2", Message: event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 2}}}})
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.Outdated)
		h.configure(2, 100_000)
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.BudgetExhausted)
	})
}

func TestNewerConfigurationOfALostPeerIsNotWaitedForForever(t *testing.T) {
	// Guards against 503 for good by the word of a peer that is gone, though the platform shows since that there is no newer configuration.
	Convey("After a peer that reported a newer configuration is gone and the platform was read again, what the configuration denies is denied", t, func() {
		h := newHosted()
		r := &request{RequestArrived: event.RequestArrived{Budget: "b", WorstCaseTokens: 200_000}}
		h.hear("n2", event.PeerMessage{Heartbeat: &event.Heartbeat{Generation: 2}})
		h.advance(time.Minute)
		h.configure(1, 100_000)
		So(h.node.budgetRefusal(r, errkind.BudgetExhausted), ShouldEqual, errkind.BudgetExhausted)
	})
}
