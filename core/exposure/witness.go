package exposure

import (
	"maps"
	"time"
)

// Witness is the acknowledging side: what peers have reported. All times are by a
// clock that goes on while the machine is suspended.
type Witness struct {
	// Incarnation is that of this instance.
	Incarnation string
	// tokens counts the tokens that were given out.
	tokens    uint64
	instances map[string]*witnessed
}

// witnessed is what is known of one instance: the incarnation that reports, and one
// that has reported since but is not yet known to be a later one.
type witnessed struct {
	current, candidate *incarnation
	// ended holds the incarnations that are known to have ended, the last ones.
	ended []string
}

// maxEnded bounds the ended incarnations of an instance that are remembered. Messages
// of earlier ones are older than any delay of the network.
const maxEnded = 8

// incarnation is what one process of an instance has reported.
type incarnation struct {
	name string
	// startedBefore is a time before which the process had started.
	startedBefore time.Duration
	// confirmed is the last report that the instance follows and pending the one after
	// it, which the instance may follow.
	confirmed, pending reported
}

// reported is an acknowledged report.
type reported struct {
	sequence uint64
	token    Token
	// acknowledgedAt is when the first acknowledgement was sent.
	acknowledgedAt time.Duration
	marks          map[string]Mark
}

// Received handles a report of an incarnation of an instance. It returns the
// acknowledgement to send, or nil, and what an earlier incarnation can have exposed
// if it is known to have ended now.
func (w *Witness) Received(now time.Duration, instance, from string, r Report) (*Acknowledgement, *Ended) {
	if w.instances == nil {
		w.instances = map[string]*witnessed{}
	}
	known := w.instances[instance]
	if known == nil {
		known = &witnessed{}
		w.instances[instance] = known
	}
	in := known.of(now, from, r)
	if in == nil {
		return nil, nil
	}
	latest := in.receive(now, r, Token{w.Incarnation, w.tokens + 1})
	if latest == nil {
		return nil, nil
	}
	w.tokens = max(w.tokens, latest.token.Number)
	return &Acknowledgement{To: from, Sequence: r.Sequence, Token: latest.token}, known.succeed(instance)
}

// of returns the state of an incarnation, or nil if it has ended.
func (k *witnessed) of(now time.Duration, name string, r Report) *incarnation {
	for _, ended := range k.ended {
		if ended == name {
			return nil
		}
	}
	switch {
	case k.current != nil && k.current.name == name:
		return k.current
	case k.candidate != nil && k.candidate.name == name:
		return k.candidate
	}
	age := time.Duration(r.AgeMillis) * time.Millisecond
	in := &incarnation{name: name, startedBefore: now - max(0, age-age/clockTolerance)}
	if k.current == nil {
		k.current = in
	} else {
		k.candidate = in
	}
	return in
}

// receive records a report, a new one under a token. It returns the report to
// acknowledge, or nil.
func (in *incarnation) receive(now time.Duration, r Report, token Token) *reported {
	latest := &in.confirmed
	if in.pending.sequence > 0 {
		latest = &in.pending
	}
	switch {
	case r.Sequence < latest.sequence:
		return nil
	case r.Confirmed == 0 && r.Sequence > latest.sequence: // the instance follows no report
		in.confirmed, in.pending = reported{}, reported{}
	case r.Confirmed > 0 && r.Token == in.pending.token:
		in.confirmed, in.pending = in.pending, reported{}
	}
	if r.Token != in.confirmed.token || r.Confirmed != in.confirmed.sequence {
		return nil
	}
	if r.Sequence == in.pending.sequence { // a repeated one
		return &in.pending
	}
	if r.Sequence <= in.confirmed.sequence {
		return nil
	}
	marks := maps.Clone(in.confirmed.marks)
	if marks == nil {
		marks = map[string]Mark{}
	}
	for _, m := range r.Marks {
		marks[m.Budget] = m
	}
	in.pending = reported{r.Sequence, token, now, marks}
	return &in.pending
}

// succeed makes the candidate the current incarnation once it has confirmed a report:
// then it ran after the current one had been heard, which so has ended.
func (k *witnessed) succeed(instance string) *Ended {
	next, last := k.candidate, k.current
	if next == nil || next.confirmed.sequence == 0 {
		return nil
	}
	k.current, k.candidate = next, nil
	k.ended = append(k.ended, last.name)
	k.ended = k.ended[max(0, len(k.ended)-maxEnded):]
	exposed := last.exposedUntil(next.startedBefore)
	if len(exposed) == 0 {
		return nil
	}
	return &Ended{Instance: instance, Incarnation: last.name, Exposed: exposed}
}

// exposedUntil returns what the incarnation can have exposed until a time, by budget.
// Nothing is known of a budget that the confirmed report doesn't mark.
func (in *incarnation) exposedUntil(end time.Duration) map[string]int64 {
	if in.confirmed.sequence == 0 || end-in.confirmed.acknowledgedAt >= Lifetime {
		return nil
	}
	exposed := map[string]int64{}
	for budget, m := range in.confirmed.marks {
		most := in.confirmed.bound(m, end)
		if p, changed := in.pending.marks[budget]; changed {
			most = max(most, in.pending.bound(p, end))
		}
		exposed[budget] = most
	}
	return exposed
}

// bound returns what can have been exposed until a time by a mark of the report.
func (r reported) bound(m Mark, end time.Duration) int64 {
	elapsed := max(0, end-r.acknowledgedAt)
	return m.at(elapsed + elapsed/clockTolerance)
}
