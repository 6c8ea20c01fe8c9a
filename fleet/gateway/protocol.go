// Package gateway serves callers of a platform that routes by host and path: it
// reads a request, lets the core decide about it, and relays the target's
// answer unchanged.
package gateway

import (
	"net/http"
	"time"

	"plantainfield.example/core/errkind"
)

// RequestMetadata is what a caller's request states beside its method, path and body.
type RequestMetadata struct {
	// AttemptID identifies the caller's attempt; it is unique.
	AttemptID string
	// APIKey is the API key, or empty.
	APIKey string
	// Timeout is how long the caller will wait; 0 where it does not say.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens bound the request; 0 for plain services.
	PromptTokens    int64
	MaxOutputTokens int64
	// PromptParts identify the parts of the prompt in order.
	PromptParts []PromptPart
	// LastEventID is the id of the last event that the caller has of an earlier
	// stream, or empty.
	LastEventID string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// TargetMetadata is what a target is told beside the caller's request.
type TargetMetadata struct {
	// Target is the name that the target must have to run the request.
	Target string
	// Customer is the owner of the caller's key, or empty.
	Customer string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// LastEventID is the id of the event after which a stream goes on, or empty.
	LastEventID string
	// Priority orders the requests at an engine; 0 goes first.
	Priority int64
	// Engine is set for a request to a model engine.
	Engine bool
}

// ExecutionStatus is what the head of a target's answer says of the request.
type ExecutionStatus int

const (
	// Executed means that the answer is the request's.
	Executed ExecutionStatus = iota
	// NotExecutedBusy, NotExecutedWrongTarget and NotExecuted mean that the target did not run the
	// request: it is full, it is another target than was meant, or for another
	// reason.
	NotExecutedBusy
	NotExecutedWrongTarget
	NotExecuted
)

// Refusal is an answer of this system's own.
type Refusal struct {
	Kind       errkind.Kind
	Ran        errkind.Ran
	RetryAfter time.Duration
	// BudgetCovers is set where the customer's budget covers the request, but
	// others hold its tokens at the moment.
	BudgetCovers bool
}

// Protocol translates between HTTP messages and this package's types.
type Protocol interface {
	// ReadMetadata reads what a caller's request states.
	ReadMetadata(r *http.Request) (RequestMetadata, error)
	// SetTargetHeaders replaces the headers that the system sets for targets.
	SetTargetHeaders(h http.Header, d TargetMetadata)
	// ClassifyResponse reads the head of a target's answer.
	ClassifyResponse(resp *http.Response) ExecutionStatus
	// Refuse writes an answer of the system's own.
	Refuse(w http.ResponseWriter, a Refusal)
}
