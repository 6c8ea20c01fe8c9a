// Package event defines all inputs and outputs of the decision core. All types
// are plain structs that a codec can write and read, so that any driver can run
// the core with its own clock and network.
package event

import (
	"time"

	"plantainfield.example/core/config"
	"plantainfield.example/core/errkind"
	"plantainfield.example/core/placement"
)

// Input is the input of one step.
type Input struct {
	// Now is the driver's time since an epoch of its choice. It never
	// decreases.
	Now time.Duration `json:"now"`
	// Uptime is the time by a clock that goes on while the machine is suspended, since
	// the same epoch; 0 if it is that of Now. It is set at least for messages of
	// Exposure.
	Uptime time.Duration `json:"uptime,omitempty"`
	// Seed seeds every random choice of the step.
	Seed uint64 `json:"seed"`
	// Event is what happened.
	Event Event `json:"event"`
}

// Event is a tagged union: exactly one field is set.
type Event struct {
	Tick               *Tick               `json:"tick,omitempty"`
	RequestArrived     *RequestArrived     `json:"requestArrived,omitempty"`
	CallerGone         *CallerGone         `json:"callerGone,omitempty"`
	FirstToken         *FirstToken         `json:"firstToken,omitempty"`
	AttemptEnded       *AttemptEnded       `json:"attemptEnded,omitempty"`
	TargetNotice       *TargetNotice       `json:"targetNotice,omitempty"`
	PlatformResult     *PlatformResult     `json:"platformResult,omitempty"`
	ObjectSeen         *ObjectSeen         `json:"objectSeen,omitempty"`
	EraSeen            *EraSeen            `json:"eraSeen,omitempty"`
	ConfigRead         *ConfigRead         `json:"configRead,omitempty"`
	InstancesListed    *InstancesListed    `json:"instancesListed,omitempty"`
	TargetsLost        *TargetsLost        `json:"targetsLost,omitempty"`
	PeerReceived       *PeerReceived       `json:"peerReceived,omitempty"`
	TargetReported     *TargetReported     `json:"targetReported,omitempty"`
	HandOverEnded      *HandOverEnded      `json:"handOverEnded,omitempty"`
	TargetProbed       *TargetProbed       `json:"targetProbed,omitempty"`
	ApplyRequested     *ApplyRequested     `json:"applyRequested,omitempty"`
	AddressesRequested *AddressesRequested `json:"addressesAsked,omitempty"`
	StatusRequested    *StatusRequested    `json:"statusAsked,omitempty"`
	ShutdownRequired   *ShutdownRequired   `json:"shutdownRequired,omitempty"`
}

// Tick makes timers run. Drivers send one at least every MaxTickPeriod.
type Tick struct{}

const (
	// TickPeriod is the usual time between two ticks, MaxTickPeriod the longest
	// allowed.
	TickPeriod    = 10 * time.Millisecond
	MaxTickPeriod = 50 * time.Millisecond
)

// RequestKind distinguishes requests to engines and to plain services.
type RequestKind string

const (
	// KindModel is a request to a model engine.
	KindModel RequestKind = "model"
	// KindService is a call of a plain service.
	KindService RequestKind = "service"
)

// RequestArrived reports an authenticated request whose body has been received
// completely.
type RequestArrived struct {
	// Request is the driver's handle, unique within the instance's incarnation.
	Request uint64 `json:"request"`
	// Customer and Budget are those that the request is charged to.
	Customer string `json:"customer"`
	Budget   string `json:"budget"`
	// Key is the idempotency key; (Customer, Key) identifies the request and
	// its resends.
	Key string `json:"key"`
	// BodyHash identifies the body, to detect a key reused with another body.
	BodyHash string      `json:"bodyHash"`
	Kind     RequestKind `json:"kind"`
	// Serves is the model or service that a target must serve.
	Serves string `json:"serves"`
	// Idempotent is false for a request that may run at most once.
	Idempotent bool `json:"idempotent"`
	// Resumable is set for a stream that another target can resume.
	Resumable bool `json:"resumable,omitempty"`
	// Resumed is set if the request goes on with a stream whose first events the
	// caller has; Resumes is the key of the request that brought the first one, if
	// the caller names it.
	Resumed bool   `json:"resumed,omitempty"`
	Resumes string `json:"resumes,omitempty"`
	// WorstCaseTokens is the maximum that one attempt can consume, in tokens.
	WorstCaseTokens int64 `json:"worstCaseTokens"`
	// PrefixHashes identify prefixes of the prompt, shortest first.
	PrefixHashes []uint64 `json:"prefixHashes,omitempty"`
	// Parts are the prompt's parts in order, if the caller states them.
	Parts []placement.Part `json:"parts,omitempty"`
	// Priority orders waiting requests; a higher value goes first.
	Priority int `json:"priority,omitempty"`
	// Deadline is the maximum wait for the first token; 0 for the default.
	Deadline time.Duration `json:"deadline,omitempty"`
	// MaxAttempts is the maximum number of targets that the request may be sent
	// to; 0 for the policy's value.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// HandedOver is set if a peer handed the request over: it must not be handed
	// over again.
	HandedOver bool `json:"handedOver,omitempty"`
	// NoTokenHandOver is set if the request must not be handed over for lack of
	// tokens.
	NoTokenHandOver bool `json:"noTokenHandOver,omitempty"`
}

// SharedParts returns the parts that other prompts may share: the last one belongs
// to the request itself or to its session.
func (r *RequestArrived) SharedParts() []placement.Part {
	return r.Parts[:max(0, len(r.Parts)-1)]
}

// CallerGone reports that the caller of a request closed its connection.
type CallerGone struct {
	Request uint64 `json:"request"`
}

// FirstToken reports the first complete output frame of an attempt.
type FirstToken struct {
	Attempt string `json:"attempt"`
}

// AttemptOutcome classifies how an attempt ended.
type AttemptOutcome string

const (
	// AttemptCompleted means that the complete answer arrived.
	AttemptCompleted AttemptOutcome = "completed"
	// AttemptNotStarted means that no byte reached the target, or that the
	// target proved that it did not start the attempt.
	AttemptNotStarted AttemptOutcome = "not_started"
	// AttemptRejected means that the target answered with a final error of its
	// own and consumed Usage tokens.
	AttemptRejected AttemptOutcome = "rejected"
	// AttemptFailed means that the attempt may have run.
	AttemptFailed AttemptOutcome = "failed"
	// AttemptCrashed means that the target appears to have crashed during the
	// attempt. Drivers report it for each lost connection that they can't
	// classify otherwise.
	AttemptCrashed AttemptOutcome = "crashed"
	// AttemptCancelled means that the target confirmed the cancellation and
	// reported its usage.
	AttemptCancelled AttemptOutcome = "cancelled"
)

// TargetNotice reports what a target said of itself in the head of a response. It
// is posted for each response that says something, and for those that say nothing
// to an attempt whose Dispatch asked for it.
type TargetNotice struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	// Wait is how long the target wants no request from this instance, from now on,
	// or 0.
	Wait time.Duration `json:"wait,omitempty"`
	// Leaving is set if the target is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Limited is set if the target named a limit: Limit is the number of requests
	// a second that it takes from all instances together.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Brittle is set if the target falls over if it has to turn too many requests
	// away.
	Brittle bool `json:"brittle,omitempty"`
	// LimitUnusable is set if the target named a limit that can't be used: it is
	// none, but does not end an earlier one either.
	LimitUnusable bool `json:"limitUnusable,omitempty"`
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt string         `json:"attempt"`
	Outcome AttemptOutcome `json:"outcome"`
	// Usage is the consumption of the attempt as reported by the target, in
	// tokens.
	Usage int64 `json:"usage"`
	// UsageKnown is false if the attempt may have consumed up to its
	// reservation.
	UsageKnown bool `json:"usageKnown"`
	// BytesDelivered is set once a byte of the answer has reached the caller.
	BytesDelivered bool `json:"bytesDelivered"`
	// Unsent is set if no byte of the attempt reached the target.
	Unsent bool `json:"unsent,omitempty"`
	// TargetError is set if the target itself answered with a failure.
	TargetError bool `json:"targetError,omitempty"`
	// TargetEnded is set if the target ended shortly after the attempt was cancelled.
	// Ago is the time since the end of the attempt, if that is reported later.
	TargetEnded bool          `json:"targetEnded,omitempty"`
	Ago         time.Duration `json:"ago,omitempty"`
	// TargetBusy is set if the target did not start the attempt because it is
	// full.
	TargetBusy bool `json:"targetBusy,omitempty"`
	// TargetLeaving is set if the target did not start the attempt because it
	// is leaving.
	TargetLeaving bool `json:"targetLeaving,omitempty"`
	// BetweenTokens is the mean time between output tokens.
	BetweenTokens time.Duration `json:"betweenTokens,omitempty"`
	// Answer is the complete answer of a non-idempotent request, for replay.
	Answer *RecordedAnswer `json:"answer,omitempty"`
}

// RecordedAnswer is a complete answer, kept for replay.
type RecordedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// PlatformOp is an operation of the platform's object API.
type PlatformOp string

const (
	OpGet    PlatformOp = "get"
	OpCreate PlatformOp = "create"
	OpUpdate PlatformOp = "update"
	OpDelete PlatformOp = "delete"
	OpList   PlatformOp = "list"
)

// ObjectKind is a kind of object that the system keeps in the platform.
type ObjectKind string

const (
	KindConfiguration ObjectKind = "Configuration"
	KindLedger        ObjectKind = "LedgerShard"
	KindBillSegment   ObjectKind = "BillSegment"
	KindBegun         ObjectKind = "BegunRequest"
	KindQuarantine    ObjectKind = "QuarantineRecord"
	KindInstance      ObjectKind = "Instance"
)

// Object is a versioned object of the platform.
type Object struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
	// Version is opaque; an update names the version that it replaces.
	Version string `json:"version,omitempty"`
	Value   []byte `json:"value,omitempty"`
}

// PlatformStatus classifies the result of a platform call.
type PlatformStatus string

const (
	// PlatformOK means that the call took effect.
	PlatformOK PlatformStatus = "ok"
	// PlatformConflict means that the object already exists (create) or has
	// another version (update); the call had no effect.
	PlatformConflict PlatformStatus = "conflict"
	// PlatformNotFound means that the object does not exist.
	PlatformNotFound PlatformStatus = "not_found"
	// PlatformTooLarge means that the object is larger than the platform stores; the
	// call had no effect.
	PlatformTooLarge PlatformStatus = "too_large"
	// PlatformUnavailable means that the call certainly had no effect.
	PlatformUnavailable PlatformStatus = "unavailable"
	// PlatformUnknown means that a write may have taken effect.
	PlatformUnknown PlatformStatus = "unknown"
)

// PlatformResult answers a PlatformCall.
type PlatformResult struct {
	Call   uint64         `json:"call"`
	Status PlatformStatus `json:"status"`
	Object Object         `json:"object"`
	// Objects is the result of a list.
	Objects []Object `json:"objects,omitempty"`
	// Era is the store's era in which it answered, or 0 if there was no answer or
	// the store has no eras.
	Era uint64 `json:"era,omitempty"`
	// Age is how long before the result the platform had begun to answer: what the
	// answer shows is that old.
	Age time.Duration `json:"age,omitempty"`
}

// EraSeen reports the era of an answer of the store to a call that the core did
// not make. The era rises by one each time the store comes back from an older
// copy of its objects.
type EraSeen struct {
	Era uint64 `json:"era"`
}

// ObjectSeen reports an object that a watch delivered; it may be stale.
type ObjectSeen struct {
	Object Object `json:"object"`
}

// ConfigRead reports a configuration that the platform holds and that an
// adapter has translated.
type ConfigRead struct {
	Stored *config.Stored `json:"stored"`
}

// InstanceRole distinguishes the system's own instances from targets.
type InstanceRole string

const (
	RoleRouter  InstanceRole = "router"
	RoleEngine  InstanceRole = "engine"
	RoleService InstanceRole = "service"
)

// InstanceState is the state of an instance according to the instance list.
type InstanceState string

const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name       string       `json:"name"`
	Role       InstanceRole `json:"role"`
	DataCentre string       `json:"dataCentre"`
	// Address is IP:port: the caller listener of a router, the HTTP listener
	// of a target.
	Address string `json:"address"`
	// PeerAddress is IP:port of a router's peer listener.
	PeerAddress string        `json:"peerAddress,omitempty"`
	Serves      []string      `json:"serves,omitempty"`
	State       InstanceState `json:"state"`
	// DatagramAddress is IP:port of a router's socket for messages that may be
	// lost, or empty.
	DatagramAddress string `json:"datagramAddress,omitempty"`
	// Incarnation is the incarnation of the router that wrote the entry, or
	// empty.
	Incarnation string `json:"incarnation,omitempty"`
	// ProcessorMillis is a router's share of a processor, in thousandths; 0 if
	// unknown.
	ProcessorMillis int64 `json:"processorMillis,omitempty"`
	// StartMillis is when the target started, as a Unix time in milliseconds;
	// it distinguishes two targets that ran under one name one after the other.
	// 0 if unknown.
	StartMillis int64 `json:"born,omitempty"`
	// Slots is the number of requests that a target runs at once; 0 if unknown.
	Slots int64 `json:"slots,omitempty"`
	// Version is the version of a target's software, or empty. Versions have no
	// order.
	Version string `json:"version,omitempty"`
}

// InstancesListed reports the complete instance list, which may lag.
type InstancesListed struct {
	Instances []Instance `json:"instances"`
	// Relist is set if the targets' entries were learned after a time in which their
	// changes were not followed. It is nil otherwise: a target that the list lacks was
	// removed by somebody.
	Relist *TargetRelist `json:"relist,omitempty"`
	// TargetsCurrent is set if the list has all changes of the targets' entries until
	// now. Otherwise it may lag.
	TargetsCurrent bool `json:"targetsCurrent,omitempty"`
	// UnusableTargets names the targets whose entries exist but can't be used.
	UnusableTargets []string `json:"unusableTargets,omitempty"`
}

// TargetRelist tells of the time before a list of the targets in which their changes
// were not followed. Entries that lapsed in that time may come back.
type TargetRelist struct {
	// Away is set if the platform could not be reached in that time. A watch that was
	// merely cut off, or whose history was dropped, doesn't show that.
	Away bool `json:"away,omitempty"`
	// Unwatched is set if nothing was asked of the platform in that time, so that it is
	// not known whether it could be reached.
	Unwatched bool `json:"unwatched,omitempty"`
	// ListFailed is set if a list failed in that time: entries that had lapsed before
	// could not be written again either.
	ListFailed bool `json:"listFailed,omitempty"`
	// Restored is set if the platform came back from an older copy, which may lack
	// entries.
	Restored bool `json:"restored,omitempty"`
	// Unseen is the age of the last known complete state of the entries, and
	// SinceFailure that of the last sign that the platform could not be reached.
	Unseen       time.Duration `json:"unseen"`
	SinceFailure time.Duration `json:"sinceFailure"`
	// RenewalPeriod is the time between two renewals of a target's entry.
	RenewalPeriod time.Duration `json:"renewalPeriod"`
}

// TargetsLost reports that the platform can't be reached, so that changes of the
// targets' entries aren't followed until the next list with a Relist.
type TargetsLost struct{}

// TargetReported is a target's own load report, which may lag.
type TargetReported struct {
	Target  string `json:"target"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Leaving is set if the target itself reports that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Unreachable is set if the report could not be fetched.
	Unreachable bool `json:"unreachable,omitempty"`
	// CachedPrefixes and EvictedPrefixes are the cache events since the last
	// report.
	CachedPrefixes  []uint64 `json:"cachedPrefixes,omitempty"`
	EvictedPrefixes []uint64 `json:"evictedPrefixes,omitempty"`
	// CacheEventGap is set if cache events since the last report were lost.
	CacheEventGap bool `json:"cacheEventGap,omitempty"`
}

// HandOverEnded reports how a request that was handed over to a peer ended.
type HandOverEnded struct {
	Request uint64 `json:"request"`
	// Refused is set if the peer answered that the request was not run.
	Refused bool `json:"refused"`
	// Kind is the peer's error kind, or errkind.None if it sent none.
	Kind errkind.Kind `json:"kind,omitempty"`
	// RetryAfter is when the peer asked the caller to come back, or 0.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Lost is set if the peer may have run the request but its answer did not
	// arrive completely, and BytesDelivered if a byte of it has reached the caller.
	Lost           bool `json:"lost,omitempty"`
	BytesDelivered bool `json:"bytesDelivered,omitempty"`
	// Attempts is the number of attempts of the peer that may have reached a target. If
	// the peer did not say, it is the number that it was allowed.
	Attempts int `json:"attempts,omitempty"`
}

// TargetProbed reports whether a new connection to a target could be opened.
type TargetProbed struct {
	Target  string `json:"target"`
	Address string `json:"address"`
	Reached bool   `json:"reached,omitempty"`
}

// ApplyRequested asks to apply a configuration file.
type ApplyRequested struct {
	Apply uint64 `json:"apply"`
	// OperationID is unique to this apply.
	OperationID string `json:"operationID"`
	Document    []byte `json:"document"`
}

// AddressesRequested asks which instances a customer's callers should use.
type AddressesRequested struct {
	Query    uint64 `json:"query"`
	Customer string `json:"customer"`
}

// StatusRequested asks for the fleet's status as known to this instance.
type StatusRequested struct {
	Query uint64 `json:"query"`
}

// ShutdownRequired starts a graceful stop.
type ShutdownRequired struct {
	// Linger is how long new requests are still served, because callers take a
	// while to learn that they should go elsewhere.
	Linger time.Duration `json:"linger,omitempty"`
	// End is when the requests that are still in progress are ended. Requests to
	// services that must not run twice and may take longer are refused; 0 if none is
	// ended.
	End time.Duration `json:"end,omitempty"`
}
