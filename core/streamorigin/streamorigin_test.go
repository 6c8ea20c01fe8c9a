package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	older = Origin{"app", "v1"}
	newer = Origin{"app", "v1.1"}
)

// testFleet is a fleet of keepers; messages arrive at once unless they are lost.
type testFleet struct {
	now      time.Duration
	keepers  map[string]*Keeper
	names    []string
	versions []string
	// silent are the instances that receive nothing; they still count as live.
	silent map[string]bool
	// stale are the versions that instances which are out of step see instead.
	stale map[string][]string
	// partitioned are the instances that neither follow the targets nor reach most others.
	partitioned map[string]bool
	// answers are those that the keepers returned.
	answers []Answer
}

func newTestFleet(size int) *testFleet {
	f := &testFleet{now: time.Hour, keepers: map[string]*Keeper{}, versions: []string{"v1", "v1.1"}, silent: map[string]bool{}, stale: map[string][]string{}, partitioned: map[string]bool{}}
	for i := range size {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		f.start(name, 0)
	}
	return f
}

// start starts an instance that has watched the targets from a time on.
func (f *testFleet) start(name string, watching time.Duration) {
	f.keepers[name] = NewKeeper(name, member{f, name})
	f.keepers[name].Watch(watching)
}

// member is the Fleet of one instance.
type member struct {
	*testFleet
	name string
}

func (m member) LiveInstances() []string { return m.names }
func (m member) Alone() bool             { return len(m.keepers) == 1 }
func (m member) Partitioned() bool       { return m.partitioned[m.name] }

func (m member) TargetVersions(string) []string {
	if stale, ok := m.stale[m.name]; ok {
		return stale
	}
	return m.versions
}

func (m member) SendOrigin(peer string, message Message) {
	if k := m.keepers[peer]; k != nil && !m.silent[peer] && !m.silent[m.name] {
		m.answers = append(m.answers, k.Receive(m.now, m.name, message)...)
	}
}

// find asks an instance for a stream's origin and returns the answer, after a
// time-out if there is none before.
func (f *testFleet) find(name, attempt string) Answer {
	f.answers = nil
	if a, done := f.keepers[name].Find(f.now, 1, "app", attempt); done {
		return a
	}
	f.now += replyTimeout
	f.answers = append(f.answers, f.keepers[name].Expire(f.now)...)
	So(f.answers, ShouldHaveLength, 1)
	return f.answers[0]
}

// lose removes an instance and all that it knows.
func (f *testFleet) lose(name string) {
	delete(f.keepers, name)
	f.names = slices.DeleteFunc(f.names, func(n string) bool { return n == name })
}

func TestOriginIsFoundWithoutTheInstanceThatBeganTheStream(t *testing.T) {
	// Guards against origins that are lost with the instance that relayed the first event.
	Convey("Given streams that began at one instance", t, func() {
		f := newTestFleet(9)
		for i := range 200 {
			origin := older
			if i%2 == 1 {
				origin = newer
			}
			f.keepers["n0"].Began(f.now, fmt.Sprint("attempt-", i), origin)
		}
		Convey("any other instance finds them after it and another one were lost", func() {
			f.lose("n0")
			f.lose("n1")
			for i := range 200 {
				a := f.find(f.names[i%len(f.names)], fmt.Sprint("attempt-", i))
				So(a.Known, ShouldBeTrue)
				So(a.Origin.Version, ShouldEqual, []string{"v1", "v1.1"}[i%2])
			}
		})
		Convey("they are found while two of the asked peers are silent", func() {
			f.silent["n3"], f.silent["n4"] = true, true
			for i := range 200 {
				So(f.find("n5", fmt.Sprint("attempt-", i)).Known, ShouldBeTrue)
			}
		})
		Convey("and each instance holds a part of them", func() {
			for _, name := range f.names[1:] {
				So(f.keepers[name].Len(), ShouldBeBetween, 20, 140)
			}
		})
	})
}

func TestStreamWithoutRecordGoesOnOnlyAtTheOnlyVersion(t *testing.T) {
	// Guards against streams that are taken up at any version because no instance knows theirs.
	Convey("A stream of which no record is found", t, func() {
		f := newTestFleet(5)
		Convey("must not go on while targets of two versions serve", func() {
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			So(f.find("n1", "").Known, ShouldBeFalse)
		})
		Convey("may go on if all targets have the same", func() {
			f.versions = []string{"v1", "v1"}
			a := f.find("n1", "unknown")
			So(a.Known, ShouldBeTrue)
			So(a.Origin, ShouldResemble, older)
			So(f.find("n1", "").Known, ShouldBeTrue)
		})
		Convey("must not if a target of another version served within the life of a stream", func() {
			f.versions = []string{"v1"}
			f.keepers["n1"].TargetGone(f.now-recordAge+time.Second, newer)
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			f.now += time.Second
			So(f.find("n1", "unknown").Known, ShouldBeTrue)
		})
		Convey("must not at an instance that hears from no peer", func() {
			f.versions = []string{"v1"}
			f.silent["n1"] = true
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			f.names = []string{"n1"}
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			So(f.find("n1", "").Known, ShouldBeFalse)
		})
		Convey("must not after a loss of all instances, whose targets of another version may have left in the meantime", func() {
			f.versions = []string{"v1.1"}
			lost := f.now
			for _, name := range f.names {
				f.start(name, lost)
			}
			for range 4 {
				So(f.find("n1", "unknown").Known, ShouldBeFalse)
				So(f.find("n1", "").Known, ShouldBeFalse)
				f.now += recordAge / 5
			}
			f.now = lost + recordAge
			So(f.find("n1", "unknown").Known, ShouldBeTrue)
		})
		Convey("may at an instance that has just started if a peer has seen only that version for long", func() {
			f.versions = []string{"v1"}
			f.start("n1", f.now)
			So(f.find("n1", "unknown").Known, ShouldBeTrue)
			So(f.find("n1", "").Known, ShouldBeFalse)
			f.versions = []string{"v1.1"}
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
		})
		Convey("must not at an instance that is out of step, while others have seen another version", func() {
			f.stale["n1"] = []string{"v1"}
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			So(f.find("n1", "").Known, ShouldBeFalse)
		})
		Convey("must not if a peer has seen only another version", func() {
			f.stale["n1"] = []string{"v1"}
			f.versions = []string{"v1.1"}
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
		})
		Convey("must not if most of the peers that are asked don't reply", func() {
			f.versions = []string{"v1"}
			f.silent["n0"], f.silent["n2"], f.silent["n3"] = true, true, true
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			So(f.find("n1", "").Known, ShouldBeFalse)
			delete(f.silent, "n0")
			delete(f.silent, "n2")
			So(f.find("n1", "unknown").Known, ShouldBeTrue)
		})
		Convey("must not at an instance that is cut off with the only peer that it asks", func() {
			// Guards against streams that go on at another version in a cut of several instances.
			f.names = []string{"n1", "n2"} // those that it takes for live
			f.stale["n1"], f.stale["n2"] = []string{"v1"}, []string{"v1"}
			So(f.find("n1", "unknown").Known, ShouldBeTrue)
			f.partitioned["n1"] = true
			So(f.find("n1", "unknown").Known, ShouldBeFalse)
			So(f.find("n1", "").Known, ShouldBeFalse)
		})
		Convey("may at the only instance of a fleet", func() {
			alone := newTestFleet(1)
			alone.versions = []string{"v1"}
			So(alone.find("n0", "unknown").Known, ShouldBeTrue)
		})
	})
}

func TestPeerThatKnowsTheOriginAnswersForAll(t *testing.T) {
	Convey("A question ends with the first peer that knows, or with the last one", t, func() {
		q := questions{}
		q.ask(0, Answer{Request: 7}, 1, []string{"a", "b", "c"})
		So(q.reply("a", &Reply{Record: Record{Stream: 1}}), ShouldBeEmpty)
		So(q.reply("a", &Reply{Record: Record{Stream: 1}}), ShouldBeEmpty) // a duplicate
		So(q.reply("b", &Reply{Record: Record{Stream: 2}, Known: true}), ShouldBeEmpty)
		answers := q.reply("b", &Reply{Record: Record{1, older}, Known: true})
		So(answers, ShouldResemble, []Answer{{Request: 7, Origin: older, Known: true, Replies: 2}})
		So(q.reply("c", &Reply{Record: Record{1, newer}, Known: true}), ShouldBeEmpty)
	})
}

func TestOriginsAreBoundedInNumberAndAge(t *testing.T) {
	Convey("A table keeps the newest origins, and none that is older than streams get", t, func() {
		table := NewTable()
		for i := range uint64(2 * maxRecords) {
			table.Record(time.Second, Record{i, older})
		}
		So(table.Len(), ShouldEqual, maxRecords)
		_, oldest := table.Lookup(0)
		So(oldest, ShouldBeFalse)
		table.Record(time.Second+recordAge, Record{1 << 40, newer})
		So(table.Len(), ShouldEqual, 1)
	})
	Convey("The first record of a stream stays", t, func() {
		table := NewTable()
		table.Record(0, Record{1, older})
		table.Record(0, Record{1, newer})
		got, _ := table.Lookup(1)
		So(got, ShouldResemble, older)
	})
}

func TestMostStreamsKeepTheirHoldersWhenAnInstanceStops(t *testing.T) {
	Convey("The holders of a stream remain among those that are asked after the loss of one or two instances", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			var names []string
			for i := range rapid.IntRange(Holders+2, 60).Draw(rt, "instances") {
				names = append(names, fmt.Sprint("n", i))
			}
			stream := Key(rapid.String().Draw(rt, "attempt"))
			holders := Rank(stream, names, Holders)
			lost := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 2, rapid.ID).Draw(rt, "lost")
			left := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(lost, n) })
			asked := Rank(stream, left, Asked)
			for _, h := range holders {
				if !slices.Contains(lost, h) && !slices.Contains(asked, h) {
					rt.Fatalf("holder %s of %v is not among the asked %v", h, holders, asked)
				}
			}
		})
	})
}
