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
	// maxLinesPerSegment keeps a segment far below the platform's size limit
	// for a value.
	maxLinesPerSegment = 2000
	// maxConflicts is the number of other writers' segments that are read one
	// by one before the end of the log is searched for again.
	maxConflicts = 8
)

// digest is a truncated hash of a RequestID.
type digest [16]byte

func digestOf(r RequestID) digest {
	sum := sha256.Sum256([]byte(r.Customer + "\x00" + r.Key))
	return digest(sum[:16])
}

// Log is one instance's view of one shard's bill log, and the lines that the
// instance still has to write.
type Log struct {
	shard int
	// next is the number of the first segment not yet read.
	next uint64
	// head is a segment number below which all segments exist.
	head   uint64
	search search
	// known is set once head has been the end of the log at some moment.
	known  bool
	window uint64
	// written maps the keys of the last segments read to a hash of the billed
	// body; segments holds the same keys per segment, oldest first, for at most
	// window segments.
	written  map[digest]uint64
	segments [][]digest
	// pending holds the lines that are not known to be written.
	pending []Line
	// inFlight holds the lines of the create in flight.
	inFlight []Line
	// writes is the number of creates so far.
	writes uint64
	// conflicts is the number of segments read since the last successful create
	// or search.
	conflicts int
}

// search finds the first missing segment by doubling steps and then bisection:
// all segments below low exist, and high is missing once bounded is set.
type search struct {
	active    bool
	bounded   bool
	low, high uint64
	step      uint64
	// at is the segment probed last.
	at uint64
}

// NewLog returns a log of which nothing has been read.
func NewLog(shard int) *Log {
	return &Log{shard: shard, window: Window, written: map[digest]uint64{}, search: search{active: true, step: 1}}
}

// Head returns the end of the log as far as known; ok is false until the end
// has been found or received from a peer.
func (l *Log) Head() (number uint64, ok bool) { return l.head, l.known }

// ObserveHead records the end of the log as known to another instance.
func (l *Log) ObserveHead(head uint64) {
	l.known = true
	l.head = max(l.head, head)
	if l.search.active && head > l.search.low && !l.search.bounded {
		l.search.low, l.search.step = head, 1
	}
}

// Add queues a line and reports whether it was new to this instance.
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

// RewindToPending returns to the first segment that can contain a pending line
// if that segment is no longer remembered. It must be called before the next
// call is chosen, and only while no call is in flight.
func (l *Log) RewindToPending() {
	if l.search.active || len(l.pending) == 0 {
		return
	}
	if first := l.firstPending(l.next); first < l.next-uint64(len(l.segments)) {
		l.seek(first)
	}
}

// firstPending returns the lowest number of a segment that can contain a
// pending line, at most limit.
func (l *Log) firstPending(limit uint64) uint64 {
	for _, p := range l.pending {
		limit = min(limit, p.MinSegment)
	}
	return limit
}

// seek discards what was read and continues reading at the given segment.
func (l *Log) seek(number uint64) {
	l.next = number
	l.written, l.segments = map[digest]uint64{}, nil
}

// RemovePending removes a queued line that is known to be in the log.
func (l *Log) RemovePending(r RequestID) {
	l.pending = slices.DeleteFunc(l.pending, func(p Line) bool { return p.ID() == r })
}

// Written reports whether the request's line is known to be in the log.
func (l *Log) Written(r RequestID) bool {
	_, ok := l.written[digestOf(r)]
	return ok
}

// BilledWithOtherBody reports whether the request's key is known to have been
// billed with a different body.
func (l *Log) BilledWithOtherBody(r RequestID, bodyHash string) bool {
	billed, ok := l.written[digestOf(r)]
	return ok && billed != shortBodyHash(bodyHash)
}

// shortBodyHash returns a 64-bit hash of a body's hash.
func shortBodyHash(bodyHash string) uint64 { return xxhash.Sum64String(bodyHash) }

// Pending returns the number of lines that are not known to be written.
func (l *Log) Pending() int { return len(l.pending) }

// NextProbe returns the name of the segment whose existence must be checked
// next to find the end of the log; ok is false once the end is found.
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

// RecordProbe records whether the segment returned by NextProbe exists.
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
		l.endFound(s.low)
	}
}

// endFound skips to the window of a log that ends before segment head, or to
// the first segment that can contain a pending line if that is earlier.
func (l *Log) endFound(head uint64) {
	l.known = true
	l.head = max(l.head, head)
	first := l.firstPending(l.head - min(l.head, l.window))
	if first > l.next {
		l.seek(first)
	}
}

// Behind reports whether the next segment is known to exist and must be read.
func (l *Log) Behind() bool { return l.next < l.head }

// NextCreate returns the object name and value of the create that is due; ok is
// false if a create is in flight, nothing is pending or segments are still
// unread.
func (l *Log) NextCreate(instance string) (name string, value []byte, ok bool) {
	if l.inFlight != nil || len(l.pending) == 0 || l.search.active || l.Behind() {
		return "", nil, false
	}
	l.writes++
	lines := slices.Clone(l.pending[:min(len(l.pending), maxLinesPerSegment)])
	value, err := json.Marshal(Segment{Writer: fmt.Sprintf("%s#%d", instance, l.writes), Lines: lines})
	if err != nil {
		return "", nil, false
	}
	l.inFlight = lines
	return SegmentName(l.shard, l.next), value, true
}

// NextSegmentName returns the object name of the next segment, to read it after
// a conflict or a lost result.
func (l *Log) NextSegmentName() string { return SegmentName(l.shard, l.next) }

// CommitCreate records that the create in flight succeeded and returns its
// lines.
func (l *Log) CommitCreate() []Line {
	lines := l.inFlight
	l.conflicts = 0
	l.advance(lines)
	return lines
}

// AbandonCreate gives up the create in flight. If it takes effect after all,
// the next create of the same segment conflicts and its lines are read back.
func (l *Log) AbandonCreate() { l.inFlight = nil }

// ApplySegment applies the next segment as stored in the platform, written by
// this instance or another, and returns its lines.
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

// advance records the lines of the next segment.
func (l *Log) advance(lines []Line) {
	keys := make([]digest, len(lines))
	for i, line := range lines {
		keys[i] = digestOf(line.ID())
		l.written[keys[i]] = shortBodyHash(line.BodyHash)
	}
	l.segments = append(l.segments, keys)
	if uint64(len(l.segments)) > l.window {
		l.forget(l.segments[0])
		l.segments = l.segments[1:]
	}
	l.next++
	l.head = max(l.head, l.next)
	l.inFlight = nil
	l.pending = slices.DeleteFunc(l.pending, func(p Line) bool { return l.Written(p.ID()) })
}

func (l *Log) forget(keys []digest) {
	for _, k := range keys {
		delete(l.written, k)
	}
}
