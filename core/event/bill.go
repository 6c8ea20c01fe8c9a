package event

import "plantainfield.example/core/bill"

// BillHoldRequest asks a peer to hold bill lines until they stand in the bill log,
// and to write them if the sender's life ends before that.
type BillHoldRequest struct {
	Lines []bill.Line `json:"lines"`
	// Round is echoed in the acknowledgement; a sender that is stopping counts
	// only acknowledgements of its last round.
	Round uint64 `json:"round,omitempty"`
}

// BillHoldAck acknowledges lines that the sender holds for the receiver.
type BillHoldAck struct {
	// Incarnation is the life of the receiver that asked.
	Incarnation string           `json:"incarnation"`
	Requests    []bill.RequestID `json:"requests"`
	Round       uint64           `json:"round,omitempty"`
}

// BillHeads says how long the bill logs are, by shard, to a peer that has just
// started.
type BillHeads struct {
	Heads []uint64 `json:"heads"`
}

// BillWritten says that lines stand in the bill log.
type BillWritten struct {
	Requests []bill.RequestID `json:"requests"`
}
