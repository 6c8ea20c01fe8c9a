// Package outdated tracks the configurations that peers have in force and an instance
// does not: since when it is behind, and when to ask which peer for the newest.
package outdated

import (
	"maps"
	"slices"
	"time"

	"plantainfield.example/core/event"
)

const (
	// maxNewer bounds the generations that are remembered.
	maxNewer = 64
	// fetchPeriod is the shortest time between two requests to peers.
	fetchPeriod = 500 * time.Millisecond
	// noticeAfter is the time behind after which an instance reports that it is behind,
	// and noticePeriod the time between two such reports.
	noticeAfter  = time.Second
	noticePeriod = 2 * time.Second
	// DefaultBound is the time after its acceptance within which a configuration must be in
	// force at each instance where the platform doesn't state one.
	DefaultBound = 4 * time.Second
	// overdueDivisor divides the time within which a configuration must be in force into
	// that in which the news of it may travel and that in which an instance may be behind.
	overdueDivisor = 2
)

// heard is a generation that a peer has in force.
type heard struct {
	generation uint64
	// at is when it was first heard of.
	at time.Duration
}

// Tracker is what one instance knows of newer configurations than its own. The zero
// value knows of none.
type Tracker struct {
	inForce uint64
	// newer holds generations after inForce in ascending order, which is also the order in
	// which they were heard of.
	newer []heard
	// peer is the last one that reported a newer generation, and generations holds the
	// newer ones that peers have reported.
	peer        string
	generations map[string]uint64
	nextFetch   time.Duration
	nextNotice  time.Duration
	standing    event.ConfigStanding
	// noticed is set while the last report says that the instance is behind.
	noticed bool
}

// Heard records that a peer has a generation in force. It reports whether the instance
// is behind from now on, and was not before.
func (t *Tracker) Heard(now time.Duration, peer string, generation uint64) (fellBehind bool) {
	if generation <= t.inForce {
		return false
	}
	if t.generations == nil {
		t.generations = map[string]uint64{}
	}
	t.peer, t.generations[peer] = peer, generation
	if generation <= t.Highest() {
		return false
	}
	if len(t.newer) == maxNewer {
		t.newer[maxNewer-1].generation = generation
		return false
	}
	t.newer = append(t.newer, heard{generation, now})
	return len(t.newer) == 1
}

// PutInForce records that a generation is in force at this instance.
func (t *Tracker) PutInForce(generation uint64) {
	t.inForce = max(t.inForce, generation)
	for len(t.newer) > 0 && t.newer[0].generation <= t.inForce {
		t.newer = t.newer[1:]
	}
	maps.DeleteFunc(t.generations, func(_ string, g uint64) bool { return g <= t.inForce })
}

// Highest returns the highest generation that is known to be in force at any instance.
func (t *Tracker) Highest() uint64 {
	if len(t.newer) == 0 {
		return t.inForce
	}
	return t.newer[len(t.newer)-1].generation
}

// Overdue reports whether the instance must not serve by its configuration, as of the
// last Standing.
func (t *Tracker) Overdue() bool { return t.standing.Overdue }

// Behind reports whether a newer generation than the one in force is known, and since
// when the oldest of those is.
func (t *Tracker) Behind() (since time.Duration, behind bool) {
	if len(t.newer) == 0 {
		return 0, false
	}
	return t.newer[0].at, true
}

// FetchDue returns the peer to ask for its configuration if this instance has been
// behind for at least wait and asked no peer recently. It counts as asked then.
func (t *Tracker) FetchDue(now, wait time.Duration) (peer string, due bool) {
	if since, behind := t.Behind(); !behind || now-since < wait || now < t.nextFetch {
		return "", false
	}
	t.nextFetch = now + fetchPeriod
	return t.peer, true
}

// Standing returns what the driver must know of the instance's configuration, which has
// to be in force within bound of its acceptance (DefaultBound if that is 0), and whether
// that has changed since the last call. The instance is overdue only while a peer that is
// live has a newer one: callers would have nowhere else to go.
func (t *Tracker) Standing(now, bound time.Duration, live func(peer string) bool) (s event.ConfigStanding, changed bool) {
	if bound <= 0 {
		bound = DefaultBound
	}
	since, behind := t.Behind()
	s = event.ConfigStanding{Behind: behind, Since: since, Highest: t.Highest()}
	if behind && now-since >= bound/overdueDivisor {
		s.Overdue = slices.ContainsFunc(slices.Collect(maps.Keys(t.generations)), live)
	}
	changed = s != t.standing
	t.standing = s
	return s, changed
}

// Notice returns what is to be logged now of the instance's state, if anything: each
// noticePeriod while it is behind, and once when it no longer is.
func (t *Tracker) Notice(now time.Duration) (subject string, behind time.Duration, due bool) {
	since, isBehind := t.Behind()
	if !isBehind {
		due, t.noticed = t.noticed, false
		return "configuration up to date", 0, due
	}
	if behind = now - since; behind < noticeAfter || t.noticed && now < t.nextNotice {
		return "", 0, false
	}
	t.noticed, t.nextNotice = true, now+noticePeriod
	return "configuration outdated", behind, true
}
