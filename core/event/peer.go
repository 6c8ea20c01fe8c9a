package event

import (
	"plantainfield.example/core/exposure"
	"plantainfield.example/core/ledger"
	"plantainfield.example/core/streamorigin"
)

// PeerReceived is a message from another instance.
type PeerReceived struct {
	// From is the sender's name, Incarnation the sender's incarnation.
	From        string      `json:"from"`
	Incarnation string      `json:"incarnation"`
	Message     PeerMessage `json:"message"`
}

// SendPeer sends a message to another instance; the message may be lost,
// delayed, duplicated or reordered.
type SendPeer struct {
	To      string      `json:"to"`
	Address string      `json:"address"`
	Message PeerMessage `json:"message"`
	// Datagram is set for a message that is sent often and may be lost.
	Datagram bool `json:"datagram,omitempty"`
}

// PeerMessage is a tagged union: exactly one field is set.
type PeerMessage struct {
	Heartbeat         *Heartbeat         `json:"heartbeat,omitempty"`
	ConfigRequest     *ConfigRequest     `json:"configRequest,omitempty"`
	ConfigReply       *ConfigReply       `json:"configReply,omitempty"`
	BillHoldRequest   *BillHoldRequest   `json:"billHold,omitempty"`
	BillHoldAck       *BillHoldAck       `json:"billHeld,omitempty"`
	BillWritten       *BillWritten       `json:"billWritten,omitempty"`
	BillHeads         *BillHeads         `json:"billHeads,omitempty"`
	QuarantineRecords *QuarantineRecords `json:"suspects,omitempty"`

	TransferRequest *TransferRequest `json:"transferRequest,omitempty"`
	Transfer        *Transfer        `json:"transfer,omitempty"`
	Loads           *Loads           `json:"loads,omitempty"`
	LedgerRequest   *LedgerRequest   `json:"ledgerRequest,omitempty"`
	LedgerReply     *LedgerReply     `json:"ledgerReply,omitempty"`

	Origin   *streamorigin.Message `json:"origin,omitempty"`
	Exposure *exposure.Message     `json:"exposure,omitempty"`
}

// LedgerRequest asks the writer of a ledger shard to apply the sender's
// operations, together with those of others in one write. It is idempotent,
// since the operations are.
type LedgerRequest struct {
	Shard int `json:"shard"`
	// ID identifies the request among the sender's; replies carry it.
	ID uint64 `json:"id"`
	// Operations are the sender's open operations by budget. Without any, the
	// request asks only for the state of Budgets.
	Operations map[string]*ledger.Operation `json:"operations,omitempty"`
	// Budgets are the names of the budgets whose state the sender needs.
	Budgets []string `json:"budgets"`
	// Urgent is set while requests of callers wait for the reply.
	Urgent bool `json:"urgent,omitempty"`
	// Era is the newest era of the store that the sender knows, or 0.
	Era uint64 `json:"era,omitempty"`
}

// LedgerStatus is the state of a LedgerRequest.
type LedgerStatus string

const (
	// LedgerAccepted means that the request waits for the next write.
	LedgerAccepted LedgerStatus = "accepted"
	// LedgerApplied means that the operations have taken effect.
	LedgerApplied LedgerStatus = "applied"
	// LedgerFailed means that the writer can't reach the ledger; the operations
	// may take effect nevertheless.
	LedgerFailed LedgerStatus = "failed"
)

// LedgerReply answers a LedgerRequest, first as accepted and later with its
// result.
type LedgerReply struct {
	Shard int    `json:"shard"`
	ID    uint64 `json:"id"`
	// To is the holder that sent the request.
	To     string       `json:"to"`
	Status LedgerStatus `json:"status"`
	// Budgets are the summaries of the requested budgets for the receiver, after
	// its operations took effect. A budget that the ledger doesn't have is absent.
	Budgets map[string]*ledger.Budget `json:"budgets,omitempty"`
	// Era is the newest era of the store that the sender knows, or 0.
	Era uint64 `json:"era,omitempty"`
}

// Loads informs a peer of what the sender has in flight at targets. A sender
// with work at many targets sends it in several parts, each a message.
type Loads struct {
	Targets []TargetLoad `json:"t,omitempty"`
	// Part is the number of this part, from 0, and Parts how many there are, or 0
	// for one.
	Part  int `json:"p,omitempty"`
	Parts int `json:"s,omitempty"`
	// Requests is the rate of callers' requests at the sender, per second.
	Requests float64 `json:"q,omitempty"`
	// Unreached are the services of which the sender reaches no target.
	Unreached []string `json:"x,omitempty"`
	// Outdated is set while the sender's configuration is overdue.
	Outdated bool `json:"o,omitempty"`
}

// TargetLoad is one instance's load at a target. Its JSON names are short
// because it is sent often.
type TargetLoad struct {
	Target string `json:"n"`
	// PrefillTokens is the number of prompt tokens that the sender has sent to
	// the target and that are not yet prefilled.
	PrefillTokens int64 `json:"u,omitempty"`
	// Running is the number of the sender's requests in flight at the target.
	Running int `json:"r"`
}

// Heartbeat informs a peer that the sender is alive, and of what the sender
// knows.
type Heartbeat struct {
	// Generation is the configuration generation in force at the sender.
	Generation uint64 `json:"generation"`
	Stopping   bool   `json:"stopping,omitempty"`
	// PeerAddress is IP:port of the sender's peer listener, if the sender knows
	// it, so that a receiver without an instance list can answer.
	PeerAddress string `json:"peerAddress,omitempty"`
	// WantsReply asks for a heartbeat in return, because the sender receives
	// heartbeats from few peers.
	WantsReply bool `json:"seeking,omitempty"`
	// Unready is set while the sender can't serve: it asks for what peers know
	// of the bill logs and of quarantine records.
	Unready bool `json:"unready,omitempty"`
	// Facts are recent membership changes that the sender knows of.
	Facts []Fact `json:"facts,omitempty"`
	// Suspects is a digest of the crashes that the sender knows of, 0 if there
	// are none.
	Suspects uint64 `json:"suspectDigest,omitempty"`
}

// FactKind is a kind of membership change.
type FactKind string

const (
	// FactLeaving means that a target is leaving. Incarnation is its address and,
	// if the instance list tells it, its start: "address/milliseconds".
	FactLeaving FactKind = "leaving"
	// FactLimit means that a target names a limit for its requests, or none any
	// more; Incarnation is as for FactLeaving.
	FactLimit FactKind = "limit"
	// FactStopping means that an instance is stopping; Incarnation is the
	// instance's.
	FactStopping FactKind = "stopping"
	// FactSilent means that an instance's monitors receive no heartbeats from
	// it.
	FactSilent FactKind = "silent"
	// FactAlive refutes FactSilent.
	FactAlive FactKind = "alive"
)

// Fact is one membership change, gossiped from peer to peer until it is too
// old.
type Fact struct {
	Kind        FactKind `json:"kind"`
	Name        string   `json:"name"`
	Incarnation string   `json:"life,omitempty"`
	// AgeMillis is the time since the fact was last confirmed first-hand, in
	// milliseconds.
	AgeMillis int64 `json:"age"`
	// Limited and Limit are those of a TargetNotice, under FactLimit.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
}

// ConfigRequest asks for the configuration in force at the receiver.
type ConfigRequest struct {
	// NewerThan is the generation that the sender already has.
	NewerThan uint64 `json:"above"`
}

// ConfigReply contains a stored configuration.
type ConfigReply struct {
	Generation uint64 `json:"generation"`
	Stored     []byte `json:"stored"`
}

// TransferRequest asks a peer for a part of its grant of a budget. It is
// idempotent: tokens that the peer has already sent beyond Have count towards
// Want.
type TransferRequest struct {
	Budget string `json:"budget"`
	// To is the holder ("name/incarnation") that is asked.
	To string `json:"to"`
	// Have is the cumulative total received from To, in tokens.
	Have int64 `json:"have"`
	// Want is the number of tokens requested; 0 asks only for Admissible and
	// LedgerAvailable.
	Want int64 `json:"want"`
}

// Transfer answers a TransferRequest. The receiver may spend the tokens up to
// Total.
type Transfer struct {
	Budget string `json:"budget"`
	// To is the holder that may spend the tokens.
	To string `json:"to"`
	// Total is the cumulative total sent to To, in tokens.
	Total int64 `json:"total"`
	// Transferable is what the sender could still transfer, in tokens.
	Transferable int64 `json:"left"`
	// Admissible is the largest request that the sender could admit, and
	// LedgerAvailable what it could obtain from the ledger in addition, both in
	// tokens.
	Admissible      int64 `json:"room"`
	LedgerAvailable int64 `json:"ledgerRoom"`
	// RetrySoon is set if the sender may have more tokens shortly: it waits for
	// tokens itself, holds some that the ledger has yet to record as its own,
	// or is returning some to the ledger.
	RetrySoon bool `json:"busy,omitempty"`
}
