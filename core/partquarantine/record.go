package partquarantine

import (
	"maps"
	"slices"
	"time"
)

// Record is what one instance knows of a part. Times are ages in milliseconds, as
// instances share no clock.
type Record struct {
	Key
	// Position is the part's largest index in a prompt.
	Position int     `json:"position"`
	Crashes  []Crash `json:"crashes,omitempty"`
	// Cleared is set if an answer to a prompt with the part has begun,
	// ClearedAgeMillis ago.
	Cleared          bool  `json:"cleared,omitempty"`
	ClearedAgeMillis int64 `json:"clearedAgeMillis,omitempty"`
}

// Crash is the end of a target at which the part was present.
type Crash struct {
	ID string `json:"id"`
	// SentAgeMillis is the age of the attempt, LostAgeMillis that of the crash.
	SentAgeMillis int64 `json:"sentAgeMillis"`
	LostAgeMillis int64 `json:"lostAgeMillis"`
}

// Records returns the records of all suspects, in order.
func (t *Table) Records(now time.Duration) []Record {
	return t.records(now, slices.Collect(maps.Keys(t.suspects)))
}

// Blocked returns the records of the blocked parts, in order.
func (t *Table) Blocked(now time.Duration) []Record {
	return t.records(now, slices.Collect(maps.Keys(t.blocked)))
}

// TakeUnannounced returns the records that peers have yet to receive, in order.
func (t *Table) TakeUnannounced(now time.Duration) []Record {
	if len(t.unannounced) == 0 {
		return nil
	}
	keys := slices.Collect(maps.Keys(t.unannounced))
	clear(t.unannounced)
	return t.records(now, keys)
}

func (t *Table) records(now time.Duration, keys []Key) []Record {
	slices.SortFunc(keys, Key.compare)
	var out []Record
	for _, k := range keys {
		if s := t.suspects[k]; s != nil {
			out = append(out, s.record(now, k))
		}
	}
	return out
}

func (s *suspect) record(now time.Duration, k Key) Record {
	r := Record{Key: k, Position: s.position, Cleared: s.everCleared}
	if s.everCleared {
		r.ClearedAgeMillis = (now - s.cleared).Milliseconds()
	}
	for _, c := range s.crashes {
		r.Crashes = append(r.Crashes, Crash{c.id, (now - c.sent).Milliseconds(), (now - c.lost).Milliseconds()})
	}
	return r
}

// Merge adds what records of another instance contain.
func (t *Table) Merge(now time.Duration, records []Record) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		s := t.suspect(r.Key, now)
		if r.Cleared {
			at := now - millis(r.ClearedAgeMillis)
			s.clear(at, at)
		}
		for _, c := range r.Crashes {
			lost := now - millis(c.LostAgeMillis)
			if now-lost < blockAge {
				s.add(crash{c.ID, now - millis(c.SentAgeMillis), lost}, r.Position, now)
			}
		}
	}
	t.update()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
