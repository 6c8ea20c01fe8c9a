package event

import (
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
)

// Action is a tagged union of the things that the driver must do: exactly one
// field is set.
type Action struct {
	Dispatch        *Dispatch        `json:"dispatch,omitempty"`
	CancelAttempt   *CancelAttempt   `json:"cancelAttempt,omitempty"`
	ReleaseAnswer   *ReleaseAnswer   `json:"releaseAnswer,omitempty"`
	Refuse          *Refuse          `json:"refuse,omitempty"`
	ReplayAnswer    *ReplayAnswer    `json:"replayAnswer,omitempty"`
	HandOver        *HandOver        `json:"handOver,omitempty"`
	ProbeTarget     *ProbeTarget     `json:"probeTarget,omitempty"`
	PlatformCall    *PlatformCall    `json:"platformCall,omitempty"`
	SendPeer        *SendPeer        `json:"sendPeer,omitempty"`
	AdoptConfig     *AdoptConfig     `json:"adoptConfig,omitempty"`
	ConfigStanding  *ConfigStanding  `json:"configStanding,omitempty"`
	FollowPlatform  *FollowPlatform  `json:"followPlatform,omitempty"`
	AnswerApply     *AnswerApply     `json:"answerApply,omitempty"`
	AnswerAddresses *AnswerAddresses `json:"answerAddresses,omitempty"`
	AnswerStatus    *AnswerStatus    `json:"answerStatus,omitempty"`
	ShutdownDone    *ShutdownDone    `json:"shutdownDone,omitempty"`
	LogEntry        *LogEntry        `json:"note,omitempty"`
}

// LogEntry reports a change of the core's state, to be logged.
type LogEntry struct {
	// Subject is the kind of change, one of a small set.
	Subject string `json:"subject"`
	// Fields are the inputs and the result of the change.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one named value of a log entry: a string, a number or a duration.
type Field struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// Dispatch starts an attempt at a target.
type Dispatch struct {
	Request uint64 `json:"request"`
	// Attempt identifies the attempt in the whole fleet; frames that carry
	// another ID are dropped.
	Attempt string `json:"attempt"`
	// Stream identifies the request's stream at the engine across attempts, so
	// that a retry finds a stream that is still running.
	Stream string `json:"stream"`
	// Target is the name of the target, Address its IP:port.
	Target  string `json:"target"`
	Address string `json:"address"`
	// Version is the version of the target's software.
	Version string `json:"version,omitempty"`
	// MaxTokens limits what the attempt may consume, in tokens.
	MaxTokens int64 `json:"maxTokens"`
	// ReportNotice asks for a TargetNotice also if the response says nothing of the
	// target, because it said something before.
	ReportNotice bool `json:"reportNotice,omitempty"`
	// Witnesses are other targets that should accept a connection. If none does, a
	// target that refuses one has not been shown to have ended: this instance may be
	// partitioned.
	Witnesses []ProbeTarget `json:"witnesses,omitempty"`
}

// CancelAttempt cancels an attempt at its target.
type CancelAttempt struct {
	Request uint64 `json:"request"`
	Attempt string `json:"attempt"`
}

// ReleaseAnswer lets the last frame of a complete answer be sent to the caller:
// its bill is durable or is not waited for.
type ReleaseAnswer struct {
	Request uint64 `json:"request"`
}

// Refuse ends a request with an error.
type Refuse struct {
	Request    uint64        `json:"request"`
	Kind       errkind.Kind  `json:"kind"`
	Ran        errkind.Ran   `json:"ran"`
	RetryAfter time.Duration `json:"retryAfter"`
}

// ReplayAnswer answers a request with the recorded answer of an earlier run.
type ReplayAnswer struct {
	Request uint64         `json:"request"`
	Answer  RecordedAnswer `json:"answer"`
}

// HandOver hands over to a peer a request that was not run.
type HandOver struct {
	Request uint64 `json:"request"`
	// Peer is the name of the peer, and Address IP:port of its listener for callers.
	Peer    string `json:"peer"`
	Address string `json:"address"`
	// MaxAttempts is the number of attempts that the peer may make, or 0 for the
	// policy's value.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// MayHaveRun is set if an earlier attempt of the request may have run.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`
}

// ProbeTarget asks whether a new connection to a target can be opened. The driver
// answers with one TargetProbed.
type ProbeTarget struct {
	Target  string `json:"target"`
	Address string `json:"address"`
}

// PlatformCall is a call of the platform's object API. The driver answers each
// call with exactly one PlatformResult.
type PlatformCall struct {
	Call uint64     `json:"call"`
	Op   PlatformOp `json:"op"`
	// Object holds kind and name, and for writes also version and value. A list
	// returns the objects whose names start with Object.Name.
	Object Object `json:"object"`
}

// FollowPlatform tells the driver how closely to follow the platform's changes
// from now on. At the start it follows them closely.
type FollowPlatform struct {
	// Closely is cleared while peers report what matters to this instance, so that
	// an occasional look at the platform is enough.
	Closely bool `json:"closely"`
}

// AdoptConfig tells the driver which stored configuration is now in force.
type AdoptConfig struct {
	Generation uint64 `json:"generation"`
	// Stored is the configuration; it must not be modified.
	Stored *config.Stored `json:"stored"`
}

// ConfigStanding tells the driver whether newer configurations than the one in force
// are known.
type ConfigStanding struct {
	// Behind is set if peers have a newer configuration in force, and Since is when the
	// first report of the oldest such one arrived.
	Behind bool          `json:"behind,omitempty"`
	Since  time.Duration `json:"since,omitempty"`
	// Overdue is set if the instance has been behind for so long that it must not serve
	// by its configuration.
	Overdue bool `json:"overdue,omitempty"`
	// Highest is the highest generation that any instance is known to have in force.
	Highest uint64 `json:"highest"`
}

// AnswerApply answers an ApplyRequested.
type AnswerApply struct {
	Apply uint64       `json:"apply"`
	Kind  errkind.Kind `json:"kind"`
	// Generation is the generation in force; if the file was accepted, that is
	// the new one.
	Generation uint64    `json:"generation"`
	Problems   []Problem `json:"problems,omitempty"`
}

// Problem is one error in a configuration file.
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// AnswerAddresses answers an AddressesRequested.
type AnswerAddresses struct {
	Query     uint64        `json:"query"`
	Addresses []string      `json:"addresses"`
	TTL       time.Duration `json:"ttl"`
}

// AnswerStatus answers a StatusRequested.
type AnswerStatus struct {
	Query  uint64 `json:"query"`
	Status Status `json:"status"`
}

// Status is the state of the fleet as known to one instance.
type Status struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	Stopping   bool   `json:"stopping"`
	// Unreached are the models and services of which this instance reaches no
	// target. Its peers serve requests for them.
	Unreached []string         `json:"unreached,omitempty"`
	Instances []InstanceStatus `json:"instances"`
	Targets   []TargetStatus   `json:"targets"`
	Budgets   []BudgetStatus   `json:"budgets"`
}

// InstanceStatus is the state of one instance of the system.
type InstanceStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Generation uint64 `json:"generation"`
	State      string `json:"state"`
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	Name   string   `json:"name"`
	Serves []string `json:"serves"`
	// State is "live", "limited" (the target names a limit), "waiting" (it wants no
	// request for a time), "unreachable" (it is avoided) or "leaving".
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
}

// BudgetStatus is the state of one budget in the ledger when it was last read.
// Amounts are in tokens.
type BudgetStatus struct {
	Name        string `json:"name"`
	Customer    string `json:"customer"`
	Prepaid     int64  `json:"prepaid"`
	Settled     int64  `json:"settled"`
	Outstanding int64  `json:"outstanding"`
	Available   int64  `json:"available"`
}

// ShutdownDone reports that nothing is in flight and that all grants have been
// returned to the ledger.
type ShutdownDone struct{}
