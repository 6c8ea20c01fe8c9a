// Package partquarantine decides which prompt parts crash the targets that begin
// to answer them.
//
// A crash takes all attempts of its target with it, and each part of each prompt
// that the target had not begun to answer may be the cause. A part is cleared of
// earlier crashes when an answer to a prompt with it begins. A part is blocked
// after MinCrashes crashes in succession, each of an attempt that was sent after
// the crash before, so that targets which end at the same moment count once. A
// crash at which a blocked part was present does not count against other parts
// that have fewer crashes.
//
// Tables of different instances exchange records; these can be merged in any
// order and more than once.
package partquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainfield.example/core/placement"
)

const (
	// MinCrashes is the number of successive crashes after which a part is blocked.
	MinCrashes = 3
	// maxCrashes is the number of crashes kept for one part, the newest ones.
	maxCrashes = 8
	// maxSuspects bounds the number of parts in a table.
	maxSuspects = 4096
	// suspectAge is how long a part that is not blocked is kept after its last
	// change.
	suspectAge = 10 * time.Minute
	// blockAge is how long a part stays blocked after its last crash. From then on
	// a single further crash blocks it again: the targets may have been replaced.
	blockAge = time.Hour
	// forgetPeriod is the time between two searches for old suspects.
	forgetPeriod = 10 * time.Second
)

// Key identifies a part of the prompts for one service.
type Key struct {
	Serves string `json:"serves"`
	Part   uint64 `json:"part"`
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Serves, o.Serves), cmp.Compare(k.Part, o.Part))
}

// Attempt is an attempt that was lost with its target before its answer began.
type Attempt struct {
	Serves string
	// Parts are the parts of the prompt that other prompts may share, in order.
	Parts []placement.Part
	// Crash identifies the end of the target.
	Crash string
	// Sent is when the attempt was sent.
	Sent time.Duration
}

// crash is one end of a target that an attempt with the part was lost with.
type crash struct {
	id         string
	sent, lost time.Duration
}

// suspect is a part that was present at crashes.
type suspect struct {
	// position is the part's largest index in a prompt.
	position int
	// crashes are those since the part was last cleared, in order of lost.
	crashes []crash
	// cleared is when an answer to a prompt with the part last began; everCleared
	// is set if that has been seen since the part became a suspect.
	cleared     time.Duration
	everCleared bool
	changedAt   time.Duration
}

// Table holds the suspects that one instance knows of.
type Table struct {
	suspects map[Key]*suspect
	blocked  map[Key]bool
	// unannounced are the parts whose records peers have yet to receive.
	unannounced map[Key]bool
	// changes counts the changes of the set of blocked parts.
	changes uint64
	// nextForget is when old suspects are dropped next.
	nextForget time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{suspects: map[Key]*suspect{}, blocked: map[Key]bool{}, unannounced: map[Key]bool{}}
}

// Blocks reports whether a prompt must not be sent to a target of a service.
func (t *Table) Blocks(serves string, parts []placement.Part) bool {
	if len(t.blocked) == 0 {
		return false
	}
	return slices.ContainsFunc(parts, func(p placement.Part) bool { return t.blocked[Key{serves, p.ID}] })
}

// Changes counts the changes of the set of blocked parts.
func (t *Table) Changes() uint64 { return t.changes }

// BlockedCount returns the number of blocked parts.
func (t *Table) BlockedCount() int { return len(t.blocked) }

// BlockedNames returns the services and the hexadecimal IDs of the blocked parts, in
// order and separated by spaces.
func (t *Table) BlockedNames() string {
	var names []string
	for _, k := range slices.SortedFunc(maps.Keys(t.blocked), Key.compare) {
		names = append(names, k.Serves+"/"+strconv.FormatUint(k.Part, 16))
	}
	return strings.Join(names, " ")
}

// RecordCrash records the crash of the target of an attempt.
func (t *Table) RecordCrash(now time.Duration, a Attempt) {
	for i, p := range a.Parts {
		k := Key{a.Serves, p.ID}
		if t.suspect(k, now).add(crash{a.Crash, a.Sent, now}, i, now) {
			t.unannounced[k] = true
		}
	}
	t.update()
}

// RecordAnswer clears the parts of a prompt whose answer has begun. Peers are told
// only if a part may be blocked soon: they see other answers themselves.
func (t *Table) RecordAnswer(now time.Duration, serves string, parts []placement.Part) {
	changed := false
	for _, p := range parts {
		k := Key{serves, p.ID}
		s := t.suspects[k]
		if s == nil || len(s.crashes) == 0 {
			continue
		}
		if len(succession(s.crashes)) >= MinCrashes-1 {
			t.unannounced[k] = true
		}
		s.clear(now, now)
		changed = true
	}
	if changed {
		t.update()
	}
}

// suspect returns the suspect of a key; it makes room for a new one.
func (t *Table) suspect(k Key, now time.Duration) *suspect {
	s := t.suspects[k]
	if s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.dropOldest()
	}
	s = &suspect{changedAt: now}
	t.suspects[k] = s
	return s
}

// dropOldest drops the part that changed least recently and is not blocked.
func (t *Table) dropOldest() {
	var oldest *Key
	for k, s := range t.suspects {
		if t.blocked[k] {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(s.changedAt, t.suspects[*oldest].changedAt), k.compare(*oldest)) < 0 {
			oldest = &k
		}
	}
	if oldest != nil {
		delete(t.suspects, *oldest)
	}
}

// add records a crash and reports whether it was new. Of a known crash the earliest
// times are kept, so that a part that many prompts hold has no more crashes in
// succession than the cause, whose prompts are among them.
func (s *suspect) add(c crash, position int, now time.Duration) bool {
	s.position = max(s.position, position)
	if s.everCleared && c.lost <= s.cleared {
		return false
	}
	i := slices.IndexFunc(s.crashes, func(known crash) bool { return known.id == c.id })
	if i >= 0 {
		known := &s.crashes[i]
		known.sent, known.lost = min(known.sent, c.sent), min(known.lost, c.lost)
	} else {
		s.crashes = append(s.crashes, c)
		s.changedAt = max(s.changedAt, now)
	}
	slices.SortFunc(s.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.id, b.id)) })
	if extra := len(s.crashes) - maxCrashes; extra > 0 {
		s.crashes = slices.Delete(s.crashes, 0, extra)
	}
	return i < 0
}

// clear drops the crashes up to a time, at which an answer began.
func (s *suspect) clear(at, now time.Duration) {
	s.cleared, s.everCleared = max(s.cleared, at), true
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.lost <= s.cleared })
	s.changedAt = max(s.changedAt, now)
}

// succession returns the longest series of crashes each of which ended an attempt
// that was sent after the crash before.
func succession(crashes []crash) []crash {
	var series []crash
	for _, c := range crashes {
		if len(series) == 0 || c.sent > series[len(series)-1].lost {
			series = append(series, c)
		}
	}
	return series
}

// update determines the blocked parts. Parts with more successive crashes come
// first, then those that no answer has cleared, then those that stand later in
// prompts, because fewer prompts share them.
func (t *Table) update() {
	length := map[Key]int{}
	for k, s := range t.suspects {
		if n := len(succession(s.crashes)); n >= MinCrashes {
			length[k] = n
		}
	}
	order := slices.SortedFunc(maps.Keys(length), func(a, b Key) int {
		return cmp.Or(cmp.Compare(length[b], length[a]), compareSuspects(t.suspects[a], t.suspects[b]), a.compare(b))
	})
	blocked, explained := map[Key]bool{}, map[string]bool{}
	for _, k := range order {
		var open []crash
		for _, c := range t.suspects[k].crashes {
			if !explained[k.Serves+"\x00"+c.id] {
				open = append(open, c)
			}
		}
		if len(succession(open)) < MinCrashes {
			continue
		}
		blocked[k] = true
		for _, c := range open {
			explained[k.Serves+"\x00"+c.id] = true
		}
	}
	if !maps.Equal(blocked, t.blocked) {
		t.changes++
		t.blocked = blocked
	}
}

func compareSuspects(a, b *suspect) int {
	if a.everCleared != b.everCleared {
		if b.everCleared {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.position, a.position)
}

// Forget drops suspects that have not changed for long, and lets a part that was
// blocked for long be tried once more.
func (t *Table) Forget(now time.Duration) {
	if now < t.nextForget {
		return
	}
	t.nextForget = now + forgetPeriod
	changed := false
	for k, s := range t.suspects {
		switch {
		case t.blocked[k] && now-s.crashes[len(s.crashes)-1].lost >= blockAge:
			s.crashes = succession(s.crashes)[:MinCrashes-1]
			s.changedAt, changed = now, true
		case !t.blocked[k] && now-s.changedAt >= suspectAge:
			delete(t.suspects, k)
			changed = true
		}
	}
	if changed {
		t.update()
	}
}

// Digest identifies the blocked parts; it is 0 if there are none.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for k := range t.blocked {
		digest ^= xxhash.Sum64String(k.Serves + "\x00" + strconv.FormatUint(k.Part, 16))
	}
	return digest
}
