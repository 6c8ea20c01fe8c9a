// Package targetleaving follows whether a target is leaving, from what the instance
// list, the target itself and peers say.
package targetleaving

import "time"

// MinTime is how long a target stays leaving after the last evidence. It is longer
// than the delay of reports and of peers' messages.
const MinTime = 5 * time.Second

// Evidence is what an instance knows of a target's leaving.
type Evidence struct {
	// Leaving is set while the target gets no new attempts because it is leaving.
	Leaving bool
	// SaysLeaving is set once the target itself said in a response that it is
	// leaving.
	SaysLeaving bool
	// Delisted is set while the instance list marks the target as leaving or
	// omits it.
	Delisted bool
	// UnlistedAt is when the target disappeared from the instance list.
	UnlistedAt time.Duration
	// Relisted is set once the list shows the target as live again after it was
	// delisted.
	Relisted bool
	// ReportsLeaving is set if the target's last report said that it is leaving.
	ReportsLeaving bool
	// ReportedLiveAt is when the target last reported that it is not leaving.
	ReportedLiveAt time.Duration
	// ListedLiveAt is when a list that had all changes last showed the target as live.
	ListedLiveAt time.Duration
	// seenAt is the time of the last evidence that the target is leaving.
	seenAt time.Duration
}

// Mark stops new attempts at the target, on evidence of a time. Attempts in flight
// continue.
func (s *Evidence) Mark(at time.Duration) {
	s.seenAt = max(s.seenAt, at)
	s.Leaving = true
}

// Observed reports whether this instance itself currently observes that the target
// is leaving, from the instance list or from what the target itself says.
func (s *Evidence) Observed() bool { return s.Delisted || s.ReportsLeaving || s.SaysLeaving }

// Reinstate allows new attempts at a target that was leaving. The list must
// show it as live, and its own report, its reappearance in the list or a list that
// has all changes must confirm that. The last evidence of leaving must be older than the delay
// with which such updates can arrive.
func (s *Evidence) Reinstate(now time.Duration) {
	if !s.Leaving || s.Observed() || now-s.seenAt < MinTime {
		return
	}
	confirmedLive := max(s.ReportedLiveAt, s.ListedLiveAt) >= s.seenAt+MinTime
	if confirmedLive || s.Relisted {
		s.Leaving, s.Relisted = false, false
	}
}
