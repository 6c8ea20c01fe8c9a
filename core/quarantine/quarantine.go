// Package quarantine defines the record of a request body whose attempts
// crashed targets.
//
// The first crash makes the body suspect. From then on an attempt needs the
// record's claim, which is acquired by conditional update and held by one
// attempt at a time. A crash under the claim, or the end of the instance that
// holds it, counts as one more crash; a complete answer clears all earlier
// crashes.
package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"plantainfield.example/core/bill"
)

// maxListLength limits the length of Requests and of Cleared in one record.
const maxListLength = 64

// Crash is one attempt that ended as event.AttemptCrashed, or one claim that
// counts as a crash. For a claim, Attempt is the claim's ID and Target is empty.
type Crash struct {
	Attempt string `json:"attempt"`
	Target  string `json:"target"`
	// Start is the start of the target in milliseconds since 1970, or 0 if it is
	// unknown.
	Start int64 `json:"start,omitempty"`
}

// Event identifies what ended the attempt: the end of one start of its target,
// however many attempts ended with it, or the attempt itself if the start is
// unknown.
func (c Crash) Event() string {
	if c.Start == 0 {
		return c.Attempt
	}
	return c.Target + "@" + strconv.FormatInt(c.Start, 10)
}

// Claim is the exclusive right of one attempt to run the body.
type Claim struct {
	ID          string `json:"id"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Record is what is known about one body.
type Record struct {
	BodyHash string `json:"bodyHash"`
	// Requests are the requests that carried the body; their keys stay suspect
	// with another body, too.
	Requests []bill.RequestID `json:"requests"`
	Crashes  []Crash          `json:"crashes"`
	// Cleared lists the events that no longer count as crashes: those that a later
	// complete answer cleared, and claims that their holders ended.
	Cleared []string `json:"excused,omitempty"`
	// Claim is meaningful only in the copy stored in the platform.
	Claim *Claim `json:"claim,omitempty"`
}

// shortIDLength is enough to tell the bodies of one log apart.
const shortIDLength = 8

// ShortID returns the name of a body in log lines.
func ShortID(bodyHash string) string { return bodyHash[:min(shortIDLength, len(bodyHash))] }

// Decode parses a stored record.
func Decode(raw []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("quarantine record: %w", err)
	}
	return r, nil
}

// Present returns the records of a stored list that are not null.
func Present(stored []*Record) []*Record {
	return slices.DeleteFunc(stored, func(r *Record) bool { return r == nil })
}

// Count returns the number of crashes that have not been cleared.
func (r *Record) Count() int64 { return int64(len(r.Crashes)) }

// Suspect reports whether an attempt with the body needs the claim.
func (r *Record) Suspect() bool { return len(r.Crashes) > 0 || r.Claim != nil }

// Merge adds what another copy of the record contains, except its claim, and
// reports whether r changed. Copies may be merged in any order.
func (r *Record) Merge(o *Record) bool {
	changed := false
	for _, id := range o.Requests {
		if len(r.Requests) < maxListLength && !slices.Contains(r.Requests, id) {
			r.Requests, changed = append(r.Requests, id), true
		}
	}
	for _, a := range o.Cleared {
		if !slices.Contains(r.Cleared, a) {
			r.Cleared, changed = append(r.Cleared, a), true
		}
	}
	for _, c := range o.Crashes {
		changed = r.AddCrash(c) || changed
	}
	r.dropCleared()
	return changed
}

// AddCrash records a crash unless its event is known or cleared, and reports
// whether it did.
func (r *Record) AddCrash(c Crash) bool {
	known := slices.ContainsFunc(r.Crashes, func(k Crash) bool { return k.Event() == c.Event() })
	if known || slices.Contains(r.Cleared, c.Event()) {
		return false
	}
	r.Crashes = append(r.Crashes, c)
	return true
}

// ClearCrashes clears all crashes after a complete answer.
func (r *Record) ClearCrashes() {
	for _, c := range r.Crashes {
		r.Cleared = append(r.Cleared, c.Event())
	}
	r.dropCleared()
}

// EndClaim records that the holder itself ended a claim, so that copies that
// counted the claim as a crash drop that crash.
func (r *Record) EndClaim(id string) {
	r.Cleared = append(r.Cleared, id)
	r.dropCleared()
}

func (r *Record) dropCleared() {
	// Removes the crashes that Cleared lists, and the oldest entries of Cleared
	// beyond maxListLength.
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return slices.Contains(r.Cleared, c.Event()) })
	if extra := len(r.Cleared) - maxListLength; extra > 0 {
		r.Cleared = slices.Delete(r.Cleared, 0, extra)
	}
}

// CountClaimAsCrash counts the claim of an incarnation that has ended as a
// crash.
func (r *Record) CountClaimAsCrash() {
	r.AddCrash(Crash{Attempt: r.Claim.ID})
	r.Claim = nil
}

// Clone returns a deep copy of r.
func (r *Record) Clone() *Record {
	c := *r
	c.Requests, c.Crashes, c.Cleared = slices.Clone(r.Requests), slices.Clone(r.Crashes), slices.Clone(r.Cleared)
	if r.Claim != nil {
		claim := *r.Claim
		c.Claim = &claim
	}
	return &c
}
