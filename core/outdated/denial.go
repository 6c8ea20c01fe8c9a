package outdated

import (
	"time"

	"plantainfield.example/core/errkind"
	"plantainfield.example/core/event"
)

// RetryAfter is the retry-after time of a refusal with errkind.Outdated: callers may
// retry at another instance at once, but should not all do so at the same moment.
const RetryAfter = 50 * time.Millisecond

// Denial returns the error kind with which to refuse a request for what the
// configuration in force doesn't have or allow: denied, unless a newer one may.
func (t *Tracker) Denial(denied errkind.Kind) errkind.Kind {
	_, behind := t.Behind()
	return Denial(denied, event.ConfigStanding{Behind: behind})
}

// Denial is Tracker.Denial for the driver, to which the core has told its standing.
func Denial(denied errkind.Kind, s event.ConfigStanding) errkind.Kind {
	if s.Behind {
		return errkind.Outdated
	}
	return denied
}
