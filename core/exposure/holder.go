package exposure

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// reportPeriod is the time between two reports to a witness, and shortPeriod the
	// minimum time while a mark is nearly reached or an acknowledgement is outstanding.
	reportPeriod = 400 * time.Millisecond
	shortPeriod  = 100 * time.Millisecond
	// aheadSeconds is for how long a mark covers the demand, and lowSeconds the time
	// below which it is renewed early.
	aheadSeconds = 1
	lowSeconds   = 0.4
	// rateFactor is the multiple of the demand at which an instance without
	// acknowledgements may go on.
	rateFactor = 2
	// maxMarks bounds the marks of one report, which fits into one datagram.
	maxMarks = 14
)

// minDemand is the demand from which on a budget is marked, in tokens per second.
const minDemand = 1

// Use is what an instance exposes of one budget.
type Use struct {
	// Exposed is the cumulative amount that was spent, is reserved or was sent to
	// others, and Waiting what waiting requests need beyond it, both in tokens.
	Exposed, Waiting int64
	// Request is the usual size of a reservation, in tokens.
	Request int64
	// Demand is the rate of reservations, in tokens per second.
	Demand float64
}

// ahead is how far beyond the exposed amount a mark is set.
func (u Use) ahead() int64 { return u.Waiting + max(u.Request, int64(u.Demand*aheadSeconds)) }

// fits reports whether the mark need not be changed.
func (m Mark) fits(u Use) bool {
	room, ahead := m.Limit-u.Exposed, u.ahead()
	return room >= (u.Waiting+ahead)/2 && room <= 2*ahead && float64(m.Rate) >= u.Demand && float64(m.Rate) <= 2*rateFactor*u.Demand+minDemand
}

// Holder is the reporting side: what one instance may expose. The zero value has no
// witnesses and limits nothing.
type Holder struct {
	// Started is when the process started, or later.
	Started   time.Duration
	witnesses map[string]*witnessLink
	// sequence is the number of the last report to any witness.
	sequence uint64
}

// witnessLink is the state between an instance and one of its witnesses.
type witnessLink struct {
	// open is the last report until it is acknowledged or given up.
	open *Report
	// followed is the number of the last report that is followed, token that of its
	// acknowledgement, acknowledgedAt when that arrived, and marks what the report says.
	followed       uint64
	token          Token
	acknowledgedAt time.Duration
	marks          map[string]Mark
	// proven is set once the witness knows that this incarnation has followed a report.
	proven bool
	// sentAt is when a report was last sent, and nextCheck the earliest time of the next
	// check for one.
	sentAt, nextCheck time.Duration
}

// binds reports whether the followed report still binds the instance.
func (l *witnessLink) binds(now time.Duration) bool {
	return l.followed > 0 && now-l.acknowledgedAt < Lifetime+Lifetime/clockTolerance
}

// Headroom returns by how much the exposed amount of a budget may still rise.
func (h *Holder) Headroom(now time.Duration, budget string, exposed int64) int64 {
	room := int64(math.MaxInt64)
	for _, l := range h.witnesses {
		if m, marked := l.marks[budget]; marked && l.binds(now) {
			room = min(room, max(0, m.at(now-l.acknowledgedAt)-exposed))
		}
	}
	return room
}

// Reports returns the reports that are due, by witness. use returns what is exposed
// of the budgets that have been drawn on, by budget. waiting is set if requests wait
// for a mark to be raised.
func (h *Holder) Reports(now time.Duration, witnesses []string, waiting bool, use func() map[string]Use) map[string]*Report {
	h.keepLinks(now, witnesses)
	var uses map[string]Use
	due := map[string]*Report{}
	for _, name := range witnesses {
		l := h.witnesses[name]
		if now < l.nextCheck && !(waiting && l.open == nil) {
			continue
		}
		l.nextCheck = now + shortPeriod
		if uses == nil {
			uses = use()
		}
		if l.due(now, uses, h.sequence+1) {
			h.sequence = max(h.sequence, l.open.Sequence)
			l.sentAt = now
			r := *l.open
			r.AgeMillis = (now - h.Started).Milliseconds()
			due[name] = &r
		}
	}
	return due
}

// keepLinks adds the links to new witnesses and removes those to former ones that no
// longer bind.
func (h *Holder) keepLinks(now time.Duration, witnesses []string) {
	if h.witnesses == nil {
		h.witnesses = map[string]*witnessLink{}
	}
	for _, name := range witnesses {
		if h.witnesses[name] == nil {
			h.witnesses[name] = &witnessLink{}
		}
	}
	maps.DeleteFunc(h.witnesses, func(name string, l *witnessLink) bool {
		return !l.binds(now) && !slices.Contains(witnesses, name)
	})
}

// due reports whether the open report is to be sent, and opens one with a sequence
// number if there is none. An outstanding one is repeated as long as the followed one
// binds, and given up for a new one otherwise.
func (l *witnessLink) due(now time.Duration, uses map[string]Use, sequence uint64) bool {
	recent := l.sentAt > 0 && now-l.sentAt < reportPeriod
	if !l.binds(now) {
		if recent {
			return false
		}
		l.open, l.marks = nil, nil
	}
	if l.open != nil {
		return true
	}
	marks, urgent := l.changes(now, uses)
	if l.proven && len(marks) == 0 && len(l.marks) == 0 {
		return false
	}
	if recent && !urgent && (l.proven || l.followed == 0) {
		return false
	}
	if !l.binds(now) {
		l.followed, l.token = 0, Token{}
	}
	l.open = &Report{Sequence: sequence, Confirmed: l.followed, Token: l.token, Marks: marks}
	return true
}

// changes returns the marks to change, those that are most needed first, and whether
// one of them is nearly reached.
func (l *witnessLink) changes(now time.Duration, uses map[string]Use) (marks []Mark, urgent bool) {
	type change struct {
		Mark
		room int64
	}
	var changes []change
	for budget, u := range uses {
		m, marked := l.marks[budget]
		wanted := Mark{budget, u.Exposed + u.ahead(), int64(u.Demand * rateFactor)}
		room := int64(math.MaxInt64)
		if marked {
			room = m.at(now-l.acknowledgedAt) - u.Exposed
		}
		switch {
		case !marked && u.Demand < minDemand, marked && m.fits(u):
			continue
		}
		changes = append(changes, change{wanted, room})
		urgent = urgent || marked && l.binds(now) && room < u.Waiting+int64(u.Demand*lowSeconds)
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(a.room, b.room), cmp.Compare(a.Budget, b.Budget)) })
	for _, c := range changes[:min(len(changes), maxMarks)] {
		marks = append(marks, c.Mark)
	}
	return marks, urgent
}

// Acknowledged records a witness's acknowledgement. exposed returns what is exposed of
// a budget. An acknowledged report is followed only if no mark of it is exceeded, and
// is given up otherwise.
func (h *Holder) Acknowledged(now time.Duration, witness string, a Acknowledgement, exposed func(budget string) int64) {
	l := h.witnesses[witness]
	if l == nil || l.open == nil || a.Sequence != l.open.Sequence {
		return
	}
	marks := maps.Clone(l.marks)
	if marks == nil {
		marks = map[string]Mark{}
	}
	for _, m := range l.open.Marks {
		marks[m.Budget] = m
	}
	l.proven = l.proven || l.open.Confirmed > 0
	l.open = nil
	for budget, m := range marks {
		if exposed(budget) > m.Limit {
			return
		}
	}
	l.followed, l.token, l.acknowledgedAt, l.marks = a.Sequence, a.Token, now, marks
}
