// Package exposure bounds what an instance that ended may have consumed of its
// grants, so that the rest need not be charged.
//
// While an instance runs, it reports to a few peers, its witnesses, up to which mark
// it may expose the tokens of each budget that it draws on: spend them, reserve them
// or send them to others. Once a witness has acknowledged a report, the instance
// exposes at most the mark plus, after a short time, a rate. It is free of that after Lifetime without another acknowledgement, and the witness then knows
// nothing any more. When a later incarnation of the instance has answered the witness,
// the earlier one has ended, and what it exposed is at most what it was allowed
// when its successor started.
//
// The instance measures time by a clock that may stand still while its machine is
// suspended, and so exposes less; the witness by one that never does. Two clocks may
// differ in their rates by up to clockTolerance. A report is repeated unchanged until
// it is acknowledged, and the witness keeps what the last confirmed report says until
// the instance confirms the next, since it can't know which of the two is followed.
package exposure

import "time"

const (
	// Lifetime is how long an acknowledged report binds an instance. It covers the
	// restart of a process. An instance that is cut off is bound for as long.
	Lifetime = 3 * time.Second
	// grace is the time after an acknowledgement in which nothing is added to the marks:
	// while witnesses are reached, the next acknowledgement comes before its end.
	grace = 750 * time.Millisecond
	// clockTolerance divides a time to give the most by which two clocks differ in it.
	clockTolerance = 20
)

// Mark is what an instance may expose of one budget.
type Mark struct {
	Budget string `json:"b"`
	// Limit is the cumulative amount that may be exposed, in tokens, and Rate what is
	// added to it for each second from grace after the acknowledgement on.
	Limit int64 `json:"l"`
	Rate  int64 `json:"r,omitempty"`
}

// at returns the amount that may be exposed some time after the acknowledgement.
func (m Mark) at(elapsed time.Duration) int64 {
	return m.Limit + int64(float64(m.Rate)*max(0, elapsed-grace).Seconds())
}

// Report is sent by an instance to a witness.
type Report struct {
	// Sequence numbers the sender's reports to the witness, from 1 on.
	Sequence uint64 `json:"s"`
	// Confirmed is the last report that the sender follows, or 0. Acknowledgements of
	// reports between it and Sequence are not followed.
	Confirmed uint64 `json:"c,omitempty"`
	// Token is that of the acknowledgement of the confirmed report.
	Token Token `json:"w,omitzero"`
	// AgeMillis is for how long the sender has run, by a clock that may have stood
	// still, in milliseconds.
	AgeMillis int64 `json:"a"`
	// Marks are those that differ from the last confirmed report.
	Marks []Mark `json:"m,omitempty"`
}

// Acknowledgement is a witness's answer to a report.
type Acknowledgement struct {
	// To is the incarnation that sent the report.
	To       string `json:"t"`
	Sequence uint64 `json:"s"`
	Token    Token  `json:"w"`
}

// Token identifies the acknowledgement of one report among all that were ever sent. Only
// a process that ran after it was sent can know it.
type Token struct {
	// Witness is the incarnation of the witness, and Number counts its
	// acknowledgements of different reports.
	Witness string `json:"i"`
	Number  uint64 `json:"n"`
}

// Ended states what an incarnation of an instance that has ended can have exposed at
// most, by budget, in tokens.
type Ended struct {
	Instance    string           `json:"n"`
	Incarnation string           `json:"i"`
	Exposed     map[string]int64 `json:"x"`
}

// Message is a tagged union: exactly one field is set.
type Message struct {
	Report          *Report          `json:"r,omitempty"`
	Acknowledgement *Acknowledgement `json:"a,omitempty"`
	Ended           *Ended           `json:"e,omitempty"`
}
