package load

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/bill"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
	"plantainfield.example/core/ledger"
	"plantainfield.example/fleet/apierror"
	"plantainfield.example/fleet/engine"
	"plantainfield.example/standins/runlog"
)

var epoch = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func encodeObject(v any) event.Object {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return event.Object{Value: raw}
}

func completeAnswer(nonce string) Result {
	return Result{
		Status: 200, Complete: true, Streamed: true, Text: expectedText(nonce, 3),
		Usage: engine.Usage{PromptTokens: 7, CompletionTokens: 3, TotalTokens: 10},
	}
}

func refusal(kind errkind.Kind) Result {
	body := apierror.BodyOf(kind, "", "", 0)
	return Result{Status: 503, Error: &body.Error}
}

// consistentObservations returns observations without violations: a streamed
// request whose first answer was cut and whose second was complete, and a booking.
func consistentObservations() Observations {
	chat := Record{Customer: "c", Budget: "b", Key: "k1", Nonce: "n1", Idempotent: true, WorstCase: 50, OutputTokens: 3, Sends: []Send{
		{Start: at(0), End: at(5), Result: Result{Streamed: true, Text: "n1w0 "}},
		{Start: at(10), End: at(20), Result: completeAnswer("n1")},
	}}
	booking := Record{Customer: "c", Budget: "b", Key: "k2", Nonce: "n2", Service: true, WorstCase: 20, Sends: []Send{
		{Start: at(0), End: at(4), Result: Result{Status: 201, Complete: true, Text: `{"booking":1,"nonce":"n2"}`}},
	}}
	return Observations{
		Records: []Record{chat, booking}, ServicePrice: 20,
		Prepaid: map[string][]PrepaidTotal{"b": {{at(-100), 100}}},
		Runs: []runlog.Entry{
			{Time: at(1), Event: "started", Target: "e1", Attempt: "a1", Nonce: "n1", Tokens: 7},
			{Time: at(9), Event: "cancelled", Target: "e1", Attempt: "a1", Nonce: "n1", Tokens: 8},
			{Time: at(11), Event: "started", Target: "e2", Attempt: "a2", Nonce: "n1", Tokens: 7},
			{Time: at(19), Event: "finished", Target: "e2", Attempt: "a2", Nonce: "n1", Tokens: 10},
			{Time: at(1), Event: "started", Target: "s1", Attempt: "a3", Nonce: "n2", Key: "k2"},
		},
		Ledgers: []event.Object{encodeObject(ledger.Shard{Budgets: map[string]*ledger.Budget{"b": {
			Prepaid: 100, Target: 100, Grants: map[ledger.Holder]*ledger.Grant{"r/1": {Granted: 80, Spent: 40}},
		}}})},
		Bills: []event.Object{encodeObject(bill.Segment{Lines: []bill.Line{
			{Customer: "c", Key: "k1", Budget: "b", Tokens: 10}, {Customer: "c", Key: "k2", Budget: "b", Tokens: 20},
		}})},
	}
}

func findingsOf(o Observations) Findings {
	f, err := Check(o)
	So(err, ShouldBeNil)
	return f
}

func TestCheckFindsInjectedViolations(t *testing.T) {
	Convey("Given consistent observations, nothing is reported", t, func() {
		o := consistentObservations()
		So(findingsOf(o), ShouldResemble, Findings{})

		Convey("but consumption beyond the prepaid total is reported", func() {
			o.Runs[3].Tokens = 90
			So(findingsOf(o).Overspend, ShouldNotBeEmpty)
		})
		Convey("but consumption that the ledger neither settled nor holds is reported", func() {
			o.Runs[3].Tokens = 70
			So(findingsOf(o).Overspend, ShouldHaveLength, 1)
		})
		Convey("but consumption beyond the total before a top-up is reported", func() {
			o.Prepaid["b"] = []PrepaidTotal{{at(-100), 5}, {at(30), 100}}
			So(findingsOf(o).Overspend, ShouldHaveLength, 1)
		})
		Convey("but a second bill is reported", func() {
			o.Bills = append(o.Bills, encodeObject(bill.Segment{Lines: []bill.Line{{Customer: "c", Key: "k1", Budget: "b", Tokens: 10}}}))
			So(findingsOf(o).Billing, ShouldHaveLength, 1)
		})
		Convey("but a missing bill is reported", func() {
			o.Bills = nil
			So(findingsOf(o).Billing, ShouldHaveLength, 2)
		})
		Convey("but a bill with a wrong amount is reported", func() {
			o.Bills[0] = encodeObject(bill.Segment{Lines: []bill.Line{
				{Customer: "c", Key: "k1", Budget: "b", Tokens: 9}, {Customer: "c", Key: "k2", Budget: "b", Tokens: 20},
			}})
			So(findingsOf(o).Billing, ShouldHaveLength, 1)
		})
		Convey("but a bill without a run is reported", func() {
			o.Runs = o.Runs[:4]
			So(findingsOf(o).Billing, ShouldHaveLength, 1)
		})
		Convey("but a second run of a non-idempotent request is reported", func() {
			again := o.Runs[4]
			again.Attempt = "a4"
			o.Runs = append(o.Runs, again)
			So(findingsOf(o).AtMostOnce, ShouldHaveLength, 1)
		})
		Convey("but a \"not run\" answer to a request that ran is reported", func() {
			o.Records[1].Sends[0].Result = refusal(errkind.NoTarget)
			So(findingsOf(o).FalseNotRun, ShouldHaveLength, 1)
		})
		Convey("but a \"not run\" answer after a send with an unknown outcome is not reported", func() {
			o.Records[1].Sends = append([]Send{{Start: at(0), End: at(2)}}, Send{Start: at(3), End: at(4), Result: refusal(errkind.NoTarget)})
			So(findingsOf(o).FalseNotRun, ShouldBeEmpty)
		})
		Convey("but tokens of another request are reported, in complete and in cut answers", func() {
			o.Records[0].Sends[1].Result.Text = expectedText("n9", 3)
			o.Records[0].Sends[0].Result.Text = "n9w0 "
			So(findingsOf(o).WrongAnswer, ShouldHaveLength, 2)
		})
		Convey("but a truncated answer that ended normally is reported", func() {
			o.Records[0].Sends[1].Result.Text = expectedText("n1", 2)
			So(findingsOf(o).WrongAnswer, ShouldHaveLength, 1)
		})
		Convey("but the answer to another service call is reported", func() {
			o.Records[1].Sends[0].Result.Text = `{"booking":1,"nonce":"n9"}`
			So(findingsOf(o).WrongAnswer, ShouldHaveLength, 1)
		})
		Convey("but a refusal is reported exactly if the budget could have covered the request", func() {
			refused := Record{Customer: "c", Budget: "b", Key: "k3", Nonce: "n3", WorstCase: 62, Sends: []Send{{Start: at(30), End: at(31), Result: refusal(errkind.BudgetExhausted)}}}
			o.Records = append(o.Records, refused)
			So(findingsOf(o).FalseRefusals, ShouldHaveLength, 1) // 100 - 8 - 10 - 20 = 62
			o.Records[2].WorstCase = 63
			So(findingsOf(o).FalseRefusals, ShouldBeEmpty)
		})
	})
	Convey("A run that no caller recorded is an error", t, func() {
		o := consistentObservations()
		o.Runs[0].Nonce = "unknown"
		_, err := Check(o)
		So(err, ShouldNotBeNil)
	})
}
