package bill

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the number of segments of a shard whose keys are remembered.
	Window = 1024
	// maxLinesPerSegment keeps a segment far below the platform's value limit.
	maxLinesPerSegment = 2000
	// maxConflicts is the number of segments of others that are read one by
	// one before the end of the log is searched for.
	maxConflicts = 8
)

// digest is a short form of a request's name.
type digest [16]byte

func digestOf(r RequestID) digest {
	sum := sha256.Sum256([]byte(r.Customer + "\x00" + r.Key))
	return digest(sum[:16])
}

// Log is one instance's view of one shard's log and its lines to write.
type Log struct {
	shard int
	// next is the number of the first segment not yet read.
	next uint64
	// head is a number below which all segments exist.
	head   uint64
	search search
	// known is set once head is the end of the log at some moment.
	known  bool
	window uint64
	// written holds the keys of the last segments that were read, with a hash
	// of the billed body; segments holds them by segment, the oldest first, at
	// most window of them.
	written  map[digest]uint64
	segments [][]digest
	pending  []Line
	// flight is what the open create carries.
	flight    []Line
	writes    uint64
	conflicts int
}

// search finds the first missing segment: all below low exist, and high is
// missing once bounded is set.
type search struct {
	active    bool
	bounded   bool
	low, high uint64
	step      uint64
	// at is the segment that was asked for last.
	at uint64
}

// NewLog returns the view of a log of which nothing was read.
func NewLog(shard int) *Log {
	return &Log{shard: shard, window: Window, written: map[digest]uint64{}, search: search{active: true, step: 1}}
}

// Head returns the end of the log as far as known, or ok false before it was
// found or told.
func (l *Log) Head() (number uint64, ok bool) { return l.head, l.known }

// ObserveHead takes the end of the log from another instance.
func (l *Log) ObserveHead(head uint64) {
	l.known = true
	l.head = max(l.head, head)
	if l.search.active && head > l.search.low && !l.search.bounded {
		l.search.low, l.search.step = head, 1
	}
}

// Add queues a line and tells whether it was new to this instance.
func (l *Log) Add(line Line) bool {
	if l.Written(line.ID()) {
		return false
	}
	if slices.ContainsFunc(l.pending, func(p Line) bool { return p.ID() == line.ID() }) {
		return false
	}
	l.pending = append(l.pending, line)
	return true
}

// RewindToPending goes back to the first segment that can hold a pending line, if that
// is not remembered. It must be called before each call's choice, and only
// while no call is open.
func (l *Log) RewindToPending() {
	if l.search.active || len(l.pending) == 0 {
		return
	}
	if first := l.firstPending(l.next); first < l.next-uint64(len(l.segments)) {
		l.seek(first)
	}
}

// firstPending is the least segment that can hold a pending line, at most limit.
func (l *Log) firstPending(limit uint64) uint64 {
	for _, p := range l.pending {
		limit = min(limit, p.MinSegment)
	}
	return limit
}

// seek forgets what was read and reads on from a segment.
func (l *Log) seek(number uint64) {
	l.next = number
	l.written, l.segments = map[digest]uint64{}, nil
}

// RemovePending removes a queued line that is known to stand in the log.
func (l *Log) RemovePending(r RequestID) {
	l.pending = slices.DeleteFunc(l.pending, func(p Line) bool { return p.ID() == r })
}

// Written tells whether the request's line is known to stand in the log.
func (l *Log) Written(r RequestID) bool {
	_, ok := l.written[digestOf(r)]
	return ok
}

// BilledWithOtherBody tells whether the request's key is known to be billed for
// another body.
func (l *Log) BilledWithOtherBody(r RequestID, bodyHash string) bool {
	billed, ok := l.written[digestOf(r)]
	return ok && billed != bodyMark(bodyHash)
}

// bodyMark shortens a body's hash.
func bodyMark(bodyHash string) uint64 { return xxhash.Sum64String(bodyHash) }

// Pending is the number of lines that are not known to be written.
func (l *Log) Pending() int { return len(l.pending) }

// NextProbe returns the name of the segment whose existence must be known next to
// find the end of the log, or ok false if that is found.
func (l *Log) NextProbe() (name string, ok bool) {
	s := &l.search
	if !s.active {
		return "", false
	}
	s.at = s.low + s.step - 1
	if s.bounded {
		s.at = s.low + (s.high-s.low)/2
	}
	return SegmentName(l.shard, s.at), true
}

// RecordProbe tells whether the segment that NextProbe named exists.
func (l *Log) RecordProbe(exists bool) {
	s := &l.search
	if exists {
		s.low = max(s.low, s.at+1)
		s.step *= 2
	} else {
		s.high, s.bounded = s.at, true
	}
	if s.bounded && s.low >= s.high {
		s.active = false
		l.found(s.low)
	}
}

// found skips to the window of a log that ends before segment head, or to the
// first segment that can hold a pending line.
func (l *Log) found(head uint64) {
	l.known = true
	l.head = max(l.head, head)
	first := l.firstPending(l.head - min(l.head, l.window))
	if first > l.next {
		l.seek(first)
	}
}

// Behind tells whether the next segment is known to exist and must be read.
func (l *Log) Behind() bool { return l.next < l.head }

// NextCreate returns the object name and value of the create that is due, or
// ok false if one is open, nothing is pending or segments are still to be read.
func (l *Log) NextCreate(instance string) (name string, value []byte, ok bool) {
	if l.flight != nil || len(l.pending) == 0 || l.search.active || l.Behind() {
		return "", nil, false
	}
	l.writes++
	lines := slices.Clone(l.pending[:min(len(l.pending), maxLinesPerSegment)])
	value, err := json.Marshal(Segment{Writer: fmt.Sprintf("%s#%d", instance, l.writes), Lines: lines})
	if err != nil {
		return "", nil, false
	}
	l.flight = lines
	return SegmentName(l.shard, l.next), value, true
}

// NextSegmentName is the object name of the next segment, to read it after a
// conflict or a lost answer.
func (l *Log) NextSegmentName() string { return SegmentName(l.shard, l.next) }

// CommitCreate takes the success of the open create and returns its lines.
func (l *Log) CommitCreate() []Line {
	lines := l.flight
	l.conflicts = 0
	l.advance(lines)
	return lines
}

// AbandonCreate closes the open create. If it takes effect after all, the next
// create of the same segment fails and its lines are read back.
func (l *Log) AbandonCreate() { l.flight = nil }

// ApplySegment takes the next segment as the platform has it, written by this
// instance or another, and returns its lines.
func (l *Log) ApplySegment(value []byte) ([]Line, error) {
	var seg Segment
	if err := json.Unmarshal(value, &seg); err != nil {
		return nil, fmt.Errorf("bill segment %s: %w", l.NextSegmentName(), err)
	}
	l.advance(seg.Lines)
	l.conflicts++
	if l.conflicts > maxConflicts && !l.Behind() {
		l.conflicts = 0
		l.search = search{active: true, low: l.next, step: 1}
	}
	return seg.Lines, nil
}

// advance takes the lines of the next segment.
func (l *Log) advance(lines []Line) {
	keys := make([]digest, len(lines))
	for i, line := range lines {
		keys[i] = digestOf(line.ID())
		l.written[keys[i]] = bodyMark(line.BodyHash)
	}
	l.segments = append(l.segments, keys)
	if uint64(len(l.segments)) > l.window {
		l.forget(l.segments[0])
		l.segments = l.segments[1:]
	}
	l.next++
	l.head = max(l.head, l.next)
	l.flight = nil
	l.pending = slices.DeleteFunc(l.pending, func(p Line) bool { return l.Written(p.ID()) })
}

func (l *Log) forget(keys []digest) {
	for _, k := range keys {
		delete(l.written, k)
	}
}
