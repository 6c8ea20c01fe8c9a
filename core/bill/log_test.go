package bill

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// store is an in-memory platform that holds segments.
type store map[string][]byte

// create stores a segment unless it exists.
func (s store) create(name string, value []byte) bool {
	if s[name] != nil {
		return false
	}
	s[name] = value
	return true
}

// count returns the number of stored lines for each request.
func (s store) count() map[RequestID]int {
	lines := map[RequestID]int{}
	for _, raw := range s {
		var seg Segment
		_ = json.Unmarshal(raw, &seg)
		for _, l := range seg.Lines {
			lines[l.ID()]++
		}
	}
	return lines
}

// advance performs the call that is due on a log.
func (s store) advance(l *Log) {
	l.RewindToPending()
	if name, ok := l.NextProbe(); ok {
		l.RecordProbe(s[name] != nil)
		return
	}
	if l.Behind() {
		_, _ = l.ApplySegment(s[l.NextSegmentName()])
		return
	}
	name, value, ok := l.NextCreate("writer")
	if !ok {
		return
	}
	if s.create(name, value) {
		l.CommitCreate()
		return
	}
	_, _ = l.ApplySegment(s[name])
}

func TestLineIsWrittenAtMostOnce(t *testing.T) {
	// Several writers append to one log at random. A writer may be given a line
	// long after another one has written it, may restart, and remembers only two
	// segments.
	rapid.Check(t, func(rt *rapid.T) {
		const writers = 3
		s, lines := store{}, []Line{}
		logs := make([]*Log, writers)
		restart := func(i int) {
			logs[i] = NewLog(0)
			logs[i].window = 2
			for _, ok := logs[i].Head(); !ok; _, ok = logs[i].Head() {
				s.advance(logs[i])
			}
		}
		for i := range writers {
			restart(i)
		}
		pick := func(rt *rapid.T) int { return rapid.IntRange(0, writers-1).Draw(rt, "writer") }
		advance := func(rt *rapid.T) { s.advance(logs[pick(rt)]) }
		rt.Repeat(map[string]func(*rapid.T){
			"make": func(rt *rapid.T) {
				l := logs[pick(rt)]
				head, _ := l.Head()
				line := Line{Customer: "c", Key: fmt.Sprint(len(lines)), MinSegment: head}
				lines = append(lines, line)
				l.Add(line)
			},
			"hold late": func(rt *rapid.T) {
				if len(lines) > 0 {
					logs[pick(rt)].Add(rapid.SampledFrom(lines).Draw(rt, "line"))
				}
			},
			"tell head": func(rt *rapid.T) {
				head, _ := logs[pick(rt)].Head()
				logs[pick(rt)].ObserveHead(head)
			},
			"restart": func(rt *rapid.T) { restart(pick(rt)) },
			"advance": advance, "advance again": advance, "advance more": advance,
			"": func(rt *rapid.T) {
				for id, n := range s.count() {
					if n > 1 {
						rt.Fatalf("line %s is in the log %d times", id.Key, n)
					}
				}
			},
		})
	})
}

func TestEndOfALongLogIsFoundInFewReads(t *testing.T) {
	Convey("Given a log of 100,000 segments", t, func() {
		s := store{}
		for i := range uint64(100_000) {
			s[SegmentName(0, i)] = []byte(`{"lines":[{"customer":"c","key":"` + fmt.Sprint(i) + `"}]}`)
		}
		l, probes := NewLog(0), 0
		for name, ok := l.NextProbe(); ok; name, ok = l.NextProbe() {
			l.RecordProbe(s[name] != nil)
			probes++
		}
		So(probes, ShouldBeLessThanOrEqualTo, 2*17+2)
		head, _ := l.Head()
		So(head, ShouldEqual, 100_000)
		Convey("keys of the window are known after one read for each of its segments", func() {
			reads := 0
			for l.Behind() {
				s.advance(l)
				reads++
			}
			So(reads, ShouldEqual, Window)
			So(l.Written(RequestID{"c", "99999"}), ShouldBeTrue)
			So(l.Written(RequestID{"c", fmt.Sprint(100_000 - Window)}), ShouldBeTrue)
			So(l.Written(RequestID{"c", fmt.Sprint(100_000 - Window - 1)}), ShouldBeFalse)
		})
	})
}
