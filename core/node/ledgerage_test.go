package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/config"
	"plantainfield.example/core/event"
)

func TestRequestIsNotRefusedByALedgerThatTookLongToArrive(t *testing.T) {
	// Guards against a refusal at once for a budget that was used up when the platform began to answer, seconds ago.
	const prepaid, tooMuch = 1000, 2000
	refusedAtOnce := func(age time.Duration) bool {
		w := readyWorldWith(2, prepaid, func(p *config.GrantPolicy) { p.RefillMillis = 300 })
		w.send("n1", exampleRequest("first", 10, true))
		w.runFor(2 * time.Second)
		in := w.nodes["n1"]
		s := in.node.ledgers.shardOf("b")
		in.node.setLedgerView(s, event.PlatformResult{Object: w.objects[event.KindLedger][s.object().Name], Age: age})
		return in.node.exceedsBudget(s, &request{RequestArrived: event.RequestArrived{Budget: "b", WorstCaseTokens: tooMuch}})
	}
	Convey("A ledger that has just been made refuses at once, one that is older than that is allowed does not", t, func() {
		So(refusedAtOnce(0), ShouldBeTrue)
		So(refusedAtOnce(maxUnspentAge+time.Second), ShouldBeFalse)
	})
}
