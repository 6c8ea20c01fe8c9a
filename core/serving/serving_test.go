package serving

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// fleet returns large candidates with a capacity of 144 requests per second and
// small ones with 35.
func fleet(large, small int) []Candidate {
	var out []Candidate
	for i := range large + small {
		c := Candidate{Name: fmt.Sprintf("n%d", i), Capacity: 35, Rank: uint64(i * 7919 % 101)}
		if i < large {
			c.Capacity = 144
		}
		out = append(out, c)
	}
	return out
}

func TestChoose(t *testing.T) {
	Convey("All instances of a small fleet serve, and all if a capacity is unknown", t, func() {
		So(Choose(fleet(0, smallFleet), 1), ShouldHaveLength, smallFleet)
		unknown := append(fleet(8, 78), Candidate{Name: "old"})
		So(Choose(unknown, 460), ShouldHaveLength, 87)
	})
	Convey("In a large fleet, the large instances serve if they can carry an equal share each", t, func() {
		chosen := Choose(fleet(8, 78), 460)
		So(chosen, ShouldHaveLength, 8)
		So(chosen[7].Capacity, ShouldEqual, 144)
	})
	Convey("If too few large ones are left, as many serve as keep the share of a small one within its capacity", t, func() {
		chosen := Choose(fleet(3, 78), 460)
		So(len(chosen), ShouldBeBetween, 460/35, 81)
		So(460/float64(len(chosen)), ShouldBeLessThanOrEqualTo, 35)
	})
	Convey("More serve under a higher demand, all if it exceeds the capacity", t, func() {
		So(len(Choose(fleet(0, 100), 1500)), ShouldBeGreaterThan, len(Choose(fleet(0, 100), 700)))
		So(Choose(fleet(0, 100), 10_000), ShouldHaveLength, 100)
	})
	Convey("The loss of one instance replaces only that one", t, func() {
		before := Choose(fleet(0, 100), 700)
		lost := before[2]
		var rest []Candidate
		for _, c := range fleet(0, 100) {
			if c != lost {
				rest = append(rest, c)
			}
		}
		after := Choose(rest, 700)
		So(after, ShouldHaveLength, len(before))
		So(after[:len(before)-1], ShouldResemble, append(before[:2:2], before[3:]...))
	})
}
