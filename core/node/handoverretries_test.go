package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/retry"
)

// failFirstRuns makes the first run of a request fail at whichever target gets it.
func (w *world) failFirstRuns(fail bool) {
	for _, t := range w.targets {
		t.cutNext = fail
	}
}

// An instance that hands all requests over earned no retries: once its reserve was used
// up, each request whose attempt at a peer failed was refused.
func TestRetriesOfHandedOverRequestsAreEarnedWhereTheyAreMade(t *testing.T) {
	Convey("Of 400 requests that an instance hands over, every thirtieth fails at the first target, and all are served", t, func() {
		w := partitionedWorld(3)
		refused := 0
		for i := range 400 {
			w.failFirstRuns(i%31 == 30)
			r := exampleRequest(fmt.Sprint("k", i), 1, true)
			r.Resumable = i%2 == 0
			c := w.send("n1", r)
			So(w.answeredWithin(c, 5*time.Second), ShouldBeTrue)
			if !w.answers[c].complete {
				refused++
			}
			w.failFirstRuns(false)
		}
		So(refused, ShouldEqual, 0)
	})
}

// A request earned a share of a retry at the instance that handed it over and at each
// peer that it was handed over to.
func TestHandedOverRequestsEarnPeersNoRetries(t *testing.T) {
	Convey("A peer that has used up its retries has none after 300 requests that were handed over to it", t, func() {
		w := partitionedWorld(2)
		drain := func(name string) (retries int) {
			n := w.nodes[name].node
			for n.retryBudget.TryWithdraw(n.retryPolicy()) {
				retries++
			}
			return retries
		}
		So(drain("n2"), ShouldBeGreaterThan, 0)
		for i := range 300 {
			c := w.send("n1", exampleRequest(fmt.Sprint("k", i), 1, true))
			So(w.answeredWithin(c, 5*time.Second), ShouldBeTrue)
			So(w.answers[c].complete, ShouldBeTrue)
		}
		So(drain("n2"), ShouldEqual, 0)
		So(drain("n1"), ShouldEqual, retry.DefaultReserve)
	})
}
