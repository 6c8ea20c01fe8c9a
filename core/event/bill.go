package event

import "plantainfield.example/core/bill"

// BillHoldRequest asks a peer to hold copies of bill lines until they are in
// the bill log, and to write them if the sender's incarnation ends before that.
type BillHoldRequest struct {
	Lines []bill.Line `json:"lines"`
	// Round is echoed in the acknowledgement; a sender that is stopping counts
	// only acknowledgements of its last round.
	Round uint64 `json:"round,omitempty"`
}

// BillHoldAck acknowledges lines that the sender holds for the receiver.
type BillHoldAck struct {
	// Incarnation is the incarnation of the receiver that asked.
	Incarnation string           `json:"incarnation"`
	Requests    []bill.RequestID `json:"requests"`
	Round       uint64           `json:"round,omitempty"`
}

// BillHeads informs a peer that has just started of the ends of the bill logs.
type BillHeads struct {
	// Heads is indexed by shard; each is the number of the first segment that,
	// as far as the sender knows, is missing.
	Heads []uint64 `json:"heads"`
}

// BillWritten reports that lines are in the bill log.
type BillWritten struct {
	Requests []bill.RequestID `json:"requests"`
}
