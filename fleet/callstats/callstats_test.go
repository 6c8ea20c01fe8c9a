package callstats

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecorderCountsCalls(t *testing.T) {
	Convey("Calls are counted by key, and a difference holds those since earlier totals", t, func() {
		r := NewRecorder()
		update := Key{Kind: "ledger", Operation: "update", Outcome: "ok"}
		r.Observe(Call{Key: update, SentBytes: 100, Took: 4 * time.Millisecond})
		before := r.Totals()
		r.Observe(Call{Key: update, SentBytes: 50, ReceivedBytes: 7, Took: 6 * time.Millisecond})
		r.Observe(Call{Key: Key{Kind: "ledger", Operation: "update", Outcome: "409"}, Took: 2 * time.Millisecond})
		So(r.Totals()[update], ShouldResemble, Totals{Calls: 2, SentBytes: 150, ReceivedBytes: 7, Took: 10 * time.Millisecond})
		So(difference(before, r.Totals()), ShouldResemble, []logLine{
			{Kind: "ledger", Operation: "update", Outcome: "409", Calls: 1, MeanMillis: 2},
			{Kind: "ledger", Operation: "update", Outcome: "ok", Calls: 1, SentBytes: 50, ReceivedBytes: 7, MeanMillis: 6},
		})
		So(difference(r.Totals(), r.Totals()), ShouldBeEmpty)
	})
}
