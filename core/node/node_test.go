package node

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

func TestRequestLifecycle(t *testing.T) {
	Convey("Given a fleet of two instances driven by events alone", t, func() {
		w := readyWorld(2, 10_000)
		Convey("a request is served from arrival to bill", func() {
			c := w.send("n1", exampleRequest("k", 100, true))
			w.runFor(time.Second)
			So(w.answers[c].complete, ShouldBeTrue)
			So(w.bills(), ShouldResemble, map[bill.RequestID]int{{Customer: "c", Key: "k"}: 1})
			So(w.violations(map[string]int64{"b": 10_000}), ShouldBeEmpty)
		})
		Convey("a non-idempotent request that is repeated at another instance gets the recorded answer", func() {
			w.send("n1", exampleRequest("k", 100, false))
			w.runFor(time.Second)
			again := w.send("n2", exampleRequest("k", 100, false))
			w.runFor(time.Second)
			So(w.answers[again].replayed, ShouldBeTrue)
			So(w.violations(map[string]int64{"b": 10_000}), ShouldBeEmpty)
		})
		Convey("a request whose key was billed for another body is refused as not run", func() {
			w.send("n1", exampleRequest("k", 100, true))
			w.runFor(time.Second)
			other := exampleRequest("k", 100, true)
			other.BodyHash = "another"
			c := w.send("n1", other)
			So(w.answers[c].refused, ShouldEqual, errkind.KeyReused)
			So(w.answers[c].ran, ShouldEqual, errkind.RanNo)
			same := w.send("n1", exampleRequest("k", 100, true))
			w.runFor(time.Second)
			So(w.answers[same].complete, ShouldBeTrue)
			So(w.bills(), ShouldResemble, map[bill.RequestID]int{{Customer: "c", Key: "k"}: 1})
		})
		Convey("a request that exceeds the budget is refused as not run", func() {
			c := w.send("n2", exampleRequest("k", 10_001, true))
			w.runFor(time.Second)
			So(w.answers[c].refused, ShouldEqual, errkind.BudgetExhausted)
			So(w.answers[c].ran, ShouldEqual, errkind.RanNo)
		})
		Convey("a graceful stop returns the grant", func() {
			w.send("n1", exampleRequest("k", 100, true))
			w.runFor(time.Second)
			w.step(w.nodes["n1"], event.Event{ShutdownRequired: &event.ShutdownRequired{}})
			w.runFor(3 * time.Second)
			So(w.nodes["n1"].stopped, ShouldBeTrue)
			st := w.nodes["n2"].node.status(w.ledgerBudgets())
			So(st.Budgets[0].Outstanding, ShouldEqual, 0)
		})
	})
}

func TestInputsSurviveJSONEncoding(t *testing.T) {
	w := readyWorld(1, 1000)
	in := event.Input{Now: time.Second, Seed: 7, Event: event.Event{RequestArrived: &event.RequestArrived{Request: 9, Key: "k"}}}
	raw, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var back event.Input
	if err := json.Unmarshal(raw, &back); err != nil || !reflect.DeepEqual(in, back) {
		t.Fatalf("got %+v, %v; want %+v", back, err, in)
	}
	_ = w
}

// TestGuaranteesUnderRandomInterleavings delivers platform results, messages
// and attempts in random order, with outages and network cuts.
func TestGuaranteesUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const prepaid = 400
		w := readyWorld(3, prepaid)
		sent := 0
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				sent++
				number := rapid.IntRange(1, max(1, sent/2)).Draw(rt, "key")
				key := fmt.Sprintf("k%d", number)
				r := exampleRequest(key, rapid.Int64Range(1, 200).Draw(rt, "tokens"), number%2 == 0) // the requests of a key are either all idempotent or all not
				w.send(rapid.SampledFrom(w.nodeNames()).Draw(rt, "to"), r)
			},
			"arrive":       w.deliverAny,
			"arrive again": w.deliverAny,
			"arrive more":  w.deliverAny,
			"arrive first": func(*rapid.T) {
				if len(w.pending) > 0 {
					w.deliver(0)
				}
			},
			"tick":     func(rt *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond) },
			"settle":   func(*rapid.T) { w.runFor(50 * time.Millisecond) },
			"platform": func(rt *rapid.T) { w.platformDown = rapid.Bool().Draw(rt, "down") },
			"cut": func(rt *rapid.T) {
				w.cutPlatform[rapid.SampledFrom(w.nodeNames()).Draw(rt, "instance")] = rapid.Bool().Draw(rt, "cut")
			},
			"kill": func(rt *rapid.T) {
				w.startNode(rapid.SampledFrom(w.nodeNames()).Draw(rt, "instance"))
				w.listInstances()
			},
			"target": func(rt *rapid.T) {
				w.targets[rapid.SampledFrom([]string{"t1", "t2"}).Draw(rt, "target")].dead = rapid.Bool().Draw(rt, "dead")
			},
			"": func(rt *rapid.T) {
				if v := w.violations(map[string]int64{"b": prepaid}); len(v) > 0 {
					rt.Fatalf("violations: %v", v)
				}
			},
		})
	})
}
