package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestSummaryKeepsAmounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &Budget{Grants: map[Holder]*Grant{}, Target: 1 << 40}
		b.fitPrepaid()
		holder := func(label string) Holder {
			return Holder(fmt.Sprintf("n%d/1", rapid.IntRange(0, 4).Draw(rt, label)))
		}
		sequences := map[Holder]uint64{}
		for range rapid.IntRange(1, 20).Draw(rt, "operations") {
			h := holder("holder")
			sequences[h]++
			b.Apply(Operation{
				Holder: h, Sequence: sequences[h], Want: rapid.Int64Range(0, 1000).Draw(rt, "want"), Spent: rapid.Int64Range(0, 500).Draw(rt, "spent"),
				Sent: map[Holder]int64{holder("receiver"): rapid.Int64Range(0, 50).Draw(rt, "sent")},
			})
			if rapid.IntRange(0, 9).Draw(rt, "close") == 0 {
				b.Close(holder("closed"))
			}
		}
		self := holder("self")
		s := b.Summary(self)
		if s.Committed() != b.Committed() || s.SettledTotal() != b.SettledTotal() || s.Outstanding() != b.Outstanding() || s.Available() != b.Available() {
			rt.Fatalf("summary %+v of %+v has other amounts", s, b)
		}
		for h, g := range b.Grants {
			if h == self && fmt.Sprint(s.Grants[h]) != fmt.Sprint(g) || s.Grants[h] == nil && g.Sent[self] > 0 {
				rt.Fatalf("the grant of %s is missing or differs in %+v", h, s)
			}
		}
	})
}
