package event

import "plantainfield.example/core/quarantine"

// QuarantineRecords tells peers of bodies whose attempts crashed targets. To a peer that
// has just started it carries all that the sender knows, even if that is none.
type QuarantineRecords struct {
	Records []quarantine.Record `json:"records"`
}
