package event

import "plantainfield.example/core/quarantine"

// QuarantineRecords informs a peer of request bodies whose attempts crashed
// targets. A peer that has just started gets all records that the sender knows,
// even if there are none.
type QuarantineRecords struct {
	Records []quarantine.Record `json:"records"`
}
