package event

import (
	"plantainfield.example/core/partquarantine"
	"plantainfield.example/core/quarantine"
)

// QuarantineRecords informs a peer of request bodies and of prompt parts whose
// attempts crashed targets. A peer that has just started gets all records that the
// sender knows, even if there are none.
type QuarantineRecords struct {
	Records []QuarantineRecord      `json:"records"`
	Parts   []partquarantine.Record `json:"parts,omitempty"`
}

// QuarantineRecord is a record and the time since it last changed.
type QuarantineRecord struct {
	quarantine.Record
	AgeMillis int64 `json:"ageMillis"`
}
