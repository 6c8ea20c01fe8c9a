// Package errkind defines the closed list of error kinds and the answer that a
// caller gets for each kind.
package errkind

import "net/http"

// Kind is the reason why a request or an operator's command failed. Its value
// is the "code" field of the JSON error answer.
type Kind string

// The closed list of kinds. Table has one row for each.
const (
	None                      Kind = ""
	InvalidRequest            Kind = "invalid_request"
	Unauthenticated           Kind = "unauthenticated"
	UnknownModel              Kind = "unknown_model"
	UnknownService            Kind = "unknown_service"
	UnknownBudget             Kind = "unknown_budget"
	UnknownPath               Kind = "unknown_path"
	MethodNotAllowed          Kind = "method_not_allowed"
	BodyTooLarge              Kind = "body_too_large"
	SlowSender                Kind = "slow_sender"
	TooManyStreams            Kind = "too_many_streams"
	BudgetExhausted           Kind = "budget_exhausted"
	BudgetUnavailable         Kind = "budget_unavailable"
	BudgetUnsettled           Kind = "budget_unsettled"
	KeyReused                 Kind = "idempotency_key_reused"
	InProgress                Kind = "request_in_progress"
	OutcomeUnknown            Kind = "outcome_unknown"
	Overloaded                Kind = "overloaded"
	InstanceOverloaded        Kind = "instance_overloaded"
	MemoryExhausted           Kind = "memory_exhausted"
	DeadlineUnmeetable        Kind = "deadline_unmeetable"
	NoTarget                  Kind = "no_target"
	TargetNotStarted          Kind = "target_not_started"
	TargetFailed              Kind = "target_failed"
	StreamCut                 Kind = "stream_cut"
	Quarantined               Kind = "quarantined"
	PartQuarantined           Kind = "prompt_part_quarantined"
	StreamOriginUnknown       Kind = "stream_origin_unknown"
	PlatformUnavailable       Kind = "platform_unavailable"
	NotReady                  Kind = "not_ready"
	Outdated                  Kind = "configuration_outdated"
	Stopping                  Kind = "stopping"
	Isolated                  Kind = "isolated"
	CallerGone                Kind = "caller_gone"
	ConfigInvalid             Kind = "config_invalid"
	ConfigConflict            Kind = "config_conflict"
	ConfigOutcomeUnknown      Kind = "config_outcome_unknown"
	PeerUnauthenticated       Kind = "peer_unauthenticated"
	Internal                  Kind = "internal"
	statusClientClosedRequest      = 499
)

// Ran states whether a request that is answered with an error may have run at a
// target.
type Ran string

const (
	// RanNo means that no byte of the request reached a target, or that the
	// target proved that it did not start the request.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// Answer is the error answer for one kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Type groups kinds for callers, following the OpenAI error types.
	Type string
	// Ran is what the answer may state about execution.
	Ran Ran
	// RetryAfterSeconds is the default delay before a caller should retry; 0 if
	// a retry can't help.
	RetryAfterSeconds int
	// Message is the default error text.
	Message string
}

const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typeQuota     = "insufficient_quota"
	typeServer    = "server_error"
	typeRateLimit = "rate_limit_error"
	typeConflict  = "conflict_error"
)

// Table maps each kind to its answer.
var Table = map[Kind]Answer{
	InvalidRequest:       {http.StatusBadRequest, typeInvalid, RanNo, 0, "the request is malformed"},
	Unauthenticated:      {http.StatusUnauthorized, typeAuth, RanNo, 0, "the API key names no customer"},
	UnknownModel:         {http.StatusNotFound, typeInvalid, RanNo, 0, "no such model"},
	UnknownService:       {http.StatusNotFound, typeInvalid, RanNo, 0, "no such service"},
	UnknownBudget:        {http.StatusForbidden, typeInvalid, RanNo, 0, "the customer has no such budget"},
	UnknownPath:          {http.StatusNotFound, typeInvalid, RanNo, 0, "no such path"},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, typeInvalid, RanNo, 0, "the path does not take this method"},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, typeInvalid, RanNo, 0, "the request body is too large"},
	SlowSender:           {http.StatusRequestTimeout, typeInvalid, RanNo, 1, "the request body did not arrive in time"},
	TooManyStreams:       {http.StatusTooManyRequests, typeRateLimit, RanNo, 1, "the instance serves its maximum of concurrent requests"},
	BudgetExhausted:      {http.StatusTooManyRequests, typeQuota, RanNo, 60, "the prepaid budget does not cover the request"},
	BudgetUnavailable:    {http.StatusServiceUnavailable, typeServer, RanNo, 5, "no part of the budget can be obtained at the moment"},
	BudgetUnsettled:      {http.StatusTooManyRequests, typeRateLimit, RanNo, 2, "the rest of the prepaid budget is held by others or not accounted for yet"},
	KeyReused:            {http.StatusUnprocessableEntity, typeInvalid, RanNo, 0, "the idempotency key was used with another body"},
	InProgress:           {http.StatusConflict, typeConflict, RanUnknown, 1, "a request with this idempotency key is running"},
	OutcomeUnknown:       {http.StatusConflict, typeConflict, RanUnknown, 0, "the request may have run; its outcome is not known"},
	Overloaded:           {http.StatusServiceUnavailable, typeRateLimit, RanNo, 1, "all targets are at their concurrency limit"},
	InstanceOverloaded:   {http.StatusServiceUnavailable, typeRateLimit, RanNo, 1, "the instance is short of processor time; others may have room"},
	MemoryExhausted:      {http.StatusServiceUnavailable, typeRateLimit, RanNo, 1, "the instance has no memory left for the request; others may have room"},
	DeadlineUnmeetable:   {http.StatusServiceUnavailable, typeRateLimit, RanNo, 2, "the deadline can't be met"},
	NoTarget:             {http.StatusServiceUnavailable, typeServer, RanNo, 2, "no live target serves this"},
	TargetNotStarted:     {http.StatusBadGateway, typeServer, RanNo, 1, "no target accepted the request"},
	TargetFailed:         {http.StatusBadGateway, typeServer, RanUnknown, 1, "the target failed"},
	StreamCut:            {http.StatusBadGateway, typeServer, RanUnknown, 1, "the answer was cut; it is not complete"},
	Quarantined:          {http.StatusUnprocessableEntity, typeInvalid, RanUnknown, 0, "the request was given up after its attempts crashed targets"},
	PartQuarantined:      {http.StatusUnprocessableEntity, typeInvalid, RanNo, 0, "a part of the prompt crashes the targets that answer it"},
	StreamOriginUnknown:  {http.StatusServiceUnavailable, typeServer, RanNo, 1, "it is not known which software version began the stream"},
	PlatformUnavailable:  {http.StatusServiceUnavailable, typeServer, RanNo, 5, "the platform's object API can't be reached"},
	NotReady:             {http.StatusServiceUnavailable, typeServer, RanNo, 2, "the instance has no configuration yet"},
	Outdated:             {http.StatusServiceUnavailable, typeServer, RanNo, 1, "the instance's configuration is out of date; others have a newer one"},
	Stopping:             {http.StatusServiceUnavailable, typeServer, RanNo, 1, "the instance is stopping"},
	Isolated:             {http.StatusServiceUnavailable, typeServer, RanNo, 5, "the instance reaches neither the platform nor a peer"},
	CallerGone:           {statusClientClosedRequest, typeInvalid, RanUnknown, 0, "the caller closed the connection"},
	ConfigInvalid:        {http.StatusUnprocessableEntity, typeInvalid, RanNo, 0, "the configuration has errors"},
	ConfigConflict:       {http.StatusConflict, typeConflict, RanNo, 0, "the configuration is based on another generation"},
	ConfigOutcomeUnknown: {http.StatusServiceUnavailable, typeServer, RanUnknown, 2, "the configuration may have been accepted; read status"},
	PeerUnauthenticated:  {http.StatusUnauthorized, typeAuth, RanNo, 0, "the sender is not a peer"},
	Internal:             {http.StatusInternalServerError, typeServer, RanUnknown, 1, "internal error"},
}

// Lookup returns the answer for a kind; a kind that is not in the table gets
// that of Internal.
func Lookup(k Kind) Answer {
	if a, ok := Table[k]; ok {
		return a
	}
	return Table[Internal]
}
