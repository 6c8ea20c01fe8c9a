// Package absence decides how long a target stays in use after the platform's list
// has ceased to contain its entry. An entry that was removed ends the use at once. One
// that may have lapsed, because the platform could not be reached and targets could
// not renew their entries, may come back within a short time of the platform's return.
package absence

import (
	"slices"
	"time"

	"plantainfield.example/core/event"
)

const (
	// ReturnTime is the time from the platform's return within which entries that
	// lapsed are back.
	ReturnTime = 2 * time.Second
	// maxKeptTime is the time from the last sign that the platform could not be reached
	// after which no target is kept. It is shorter than the time after which an
	// instance must act on each removal that the platform has acknowledged.
	maxKeptTime = 2800 * time.Millisecond
	// lapsePeriods is the number of renewal periods for which changes must not have
	// been seen before an entry can have lapsed: the platform drops it after three
	// without a renewal, and the last renewal may have been up to one before.
	lapsePeriods = 2
	// maxNames bounds the names in a Change.
	maxNames = 4
)

// Change lists targets for which the same was decided at the same time, for a log
// line. Names holds the first of them.
type Change struct {
	Count int
	Names []string
}

func (c *Change) add(name string) {
	c.Count++
	if len(c.Names) < maxNames {
		c.Names = append(c.Names, name)
	}
}

// Changes is what was decided for the targets of one list.
type Changes struct {
	// Kept are targets that stay in use without an entry, Gone those that don't, and
	// Back those that were kept and have an entry again.
	Kept, Gone, Back Change
}

// Tracker follows the targets that the platform's list lacks. The zero value follows
// none. It is not safe for concurrent use.
type Tracker struct {
	// keptUntil holds, by name, the time until which each target stays in use that the
	// list lacks and whose entry may have lapsed.
	keptUntil map[string]time.Duration
	// lost is set while changes of the entries aren't followed because the platform
	// can't be reached. No kept target is given up in that time: its entry can't come
	// back.
	lost bool
	// relist and unusable are those of the list that is being handled.
	relist   *event.TargetRelist
	unusable []string
	changes  Changes
}

// Lost records that the platform can't be reached, so that changes of the targets'
// entries aren't followed until the next list with a Relist.
func (t *Tracker) Lost() { t.lost = true }

// IsLost reports whether changes of the targets' entries aren't followed because the
// platform can't be reached.
func (t *Tracker) IsLost() bool { return t.lost }

// Begin begins the handling of a list. Present and Absent are then called for the
// targets that it contains and lacks, and End at its end.
func (t *Tracker) Begin(list event.InstancesListed) {
	t.relist, t.unusable = list.Relist, list.UnusableTargets
	if t.relist != nil {
		t.lost = false
	}
}

// End ends the handling of a list. It returns what was decided for its targets, and
// whether that is anything.
func (t *Tracker) End() (Changes, bool) {
	c := t.changes
	t.changes, t.relist, t.unusable = Changes{}, nil, nil
	return c, c.Kept.Count+c.Gone.Count+c.Back.Count > 0
}

// Present records that the list contains a target, and reports whether the target was
// kept without an entry until now.
func (t *Tracker) Present(name string) bool {
	_, kept := t.keptUntil[name]
	if kept {
		delete(t.keptUntil, name)
		t.changes.Back.add(name)
	}
	return kept
}

// Absent records that the list lacks a target, and reports whether it stays in use.
// leaving is set if there is other evidence that it is leaving.
func (t *Tracker) Absent(now time.Duration, name string, leaving bool) bool {
	if leaving {
		delete(t.keptUntil, name)
		return false
	}
	before, kept := t.keptUntil[name]
	until := t.extended(now, before, kept)
	removed := until == 0 || slices.Contains(t.unusable, name)
	if removed || !t.lost && until <= now {
		delete(t.keptUntil, name)
		t.changes.Gone.add(name)
		return false
	}
	if t.keptUntil == nil {
		t.keptUntil = map[string]time.Duration{}
	}
	if !kept {
		t.changes.Kept.add(name)
	}
	t.keptUntil[name] = until
	return true
}

// extended returns until when a target stays in use that the list lacks: 0 if its
// entry was removed.
func (t *Tracker) extended(now, before time.Duration, kept bool) time.Duration {
	r := t.relist
	if r == nil || !r.Away && !r.Unwatched {
		return before
	}
	mayHaveLapsed := r.Restored || r.Unseen >= lapsePeriods*r.RenewalPeriod || kept && r.ListFailed
	if !mayHaveLapsed || kept && !r.Away {
		return before
	}
	return max(before, min(now+ReturnTime, now-r.SinceFailure+maxKeptTime))
}

// Expired returns, in order of their names, the targets whose entries did not come back
// in time, and forgets them.
func (t *Tracker) Expired(now time.Duration) []string {
	if t.lost {
		return nil
	}
	var names []string
	for name, until := range t.keptUntil {
		if until <= now {
			names = append(names, name)
			delete(t.keptUntil, name)
		}
	}
	slices.Sort(names)
	return names
}

// Fields returns the changes as the fields of a log line, names and values in turn,
// with what the list told of the time before it; r may be nil.
func (c Changes) Fields(r *event.TargetRelist) []any {
	if r == nil {
		r = &event.TargetRelist{}
	}
	return []any{
		"kept", c.Kept.Count, "gone", c.Gone.Count, "back", c.Back.Count, "first", slices.Concat(c.Kept.Names, c.Gone.Names, c.Back.Names),
		"away", r.Away, "unwatched", r.Unwatched, "restored", r.Restored, "unseen", r.Unseen, "since_failure", r.SinceFailure,
	}
}
