// Package outdated tracks the configurations that peers have in force and an instance
// does not: since when it is behind, and when to ask which peer for the newest.
package outdated

import "time"

const (
	// maxNewer bounds the generations that are remembered.
	maxNewer = 64
	// fetchPeriod is the shortest time between two requests to peers.
	fetchPeriod = 500 * time.Millisecond
	// noticeAfter is the time behind after which an instance reports that it is behind,
	// and noticePeriod the time between two such reports.
	noticeAfter  = time.Second
	noticePeriod = 2 * time.Second
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
	// peer is the last one that reported a newer generation.
	peer       string
	nextFetch  time.Duration
	nextNotice time.Duration
	// noticed is set while the last report says that the instance is behind.
	noticed bool
}

// Heard records that a peer has a generation in force. It reports whether the instance
// is behind from now on, and was not before.
func (t *Tracker) Heard(now time.Duration, peer string, generation uint64) (fellBehind bool) {
	if generation <= t.inForce {
		return false
	}
	t.peer = peer
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
}

// Highest returns the highest generation that is known to be in force at any instance.
func (t *Tracker) Highest() uint64 {
	if len(t.newer) == 0 {
		return t.inForce
	}
	return t.newer[len(t.newer)-1].generation
}

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

// Notice returns whether the instance's state is to be logged now: each noticePeriod
// while it is behind, and once when it no longer is.
func (t *Tracker) Notice(now time.Duration) bool {
	since, behind := t.Behind()
	if !behind {
		ended := t.noticed
		t.noticed = false
		return ended
	}
	if now-since < noticeAfter || t.noticed && now < t.nextNotice {
		return false
	}
	t.noticed, t.nextNotice = true, now+noticePeriod
	return true
}
