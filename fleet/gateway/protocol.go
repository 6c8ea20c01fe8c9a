// Package gateway serves callers of a platform that routes by host and path. It
// reads a request, passes it to the decision core for routing, and relays the
// target's response unchanged.
package gateway

import (
	"net/http"
	"time"

	"plantainfield.example/core/errkind"
)

// RequestMetadata is the information in a caller's request other than its
// method, path and body.
type RequestMetadata struct {
	// AttemptID identifies the caller's attempt. It is unique.
	AttemptID string
	// APIKey is the API key, or empty.
	APIKey string
	// Timeout is how long the caller will wait, or 0 if it does not say.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens bound the size of the request; both are
	// 0 for plain services.
	PromptTokens    int64
	MaxOutputTokens int64
	// PromptParts identify the parts of the prompt, in order.
	PromptParts []PromptPart
	// LastEventID is the ID of the last event that the caller received from an
	// earlier stream, or empty.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that this request resumes, or empty.
	Resumes string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// TargetMetadata is the information sent to a target in addition to the
// caller's request.
type TargetMetadata struct {
	// Target is the name of the intended target. A target with another name
	// must not run the request.
	Target string
	// Customer is the customer that owns the caller's API key, or empty.
	Customer string
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which a stream resumes, or
	// empty.
	LastEventID string
	// Priority orders the requests at an engine; 0 goes first.
	Priority int64
	// Engine is set if the target is a model engine.
	Engine bool
}

// PeerMetadata is the information sent to a peer in addition to the caller's
// request.
type PeerMetadata struct {
	// TimeLeft is how long the caller will still wait.
	TimeLeft time.Duration
	// LastEventID and Resumes are as in RequestMetadata: they also tell of the events
	// that the caller has got with this request.
	LastEventID string
	Resumes     string
}

// ExecutionStatus says whether a target ran the request, according to the status
// code and the headers of its response.
type ExecutionStatus int

const (
	// Executed means that the target may have run the request, and that the
	// response belongs to it.
	Executed ExecutionStatus = iota
	// NotExecutedBusy, NotExecutedWrongTarget and NotExecuted mean that the
	// target did not run the request: because it is full, because it is not the
	// intended target, or for another reason.
	NotExecutedBusy
	NotExecutedWrongTarget
	NotExecuted
)

// TargetNotice is what a target says of itself in a response.
type TargetNotice struct {
	// Wait is how long the target wants no request from this instance, or 0.
	Wait time.Duration
	// Leaving is set if the target is leaving: it wants no new requests.
	Leaving bool
	// Brittle is set if the target falls over if it has to turn too many requests
	// away.
	Brittle bool
	// Limited is set if the target names a limit: Limit is the number of requests
	// a second that it takes from all instances together.
	Limited bool
	Limit   float64
	// LimitUnusable is set if the target named a limit that can't be used.
	LimitUnusable bool
}

// Refusal is an error response of the router itself.
type Refusal struct {
	Kind       errkind.Kind
	Ran        errkind.Ran
	RetryAfter time.Duration
}

// Protocol translates between HTTP messages and the types of this package.
type Protocol interface {
	// ReadMetadata reads the metadata of a caller's request.
	ReadMetadata(r *http.Request) (RequestMetadata, error)
	// SetTargetHeaders replaces the headers that the router sets for targets.
	SetTargetHeaders(h http.Header, metadata TargetMetadata)
	// SetPeerHeaders replaces the headers that the router sets for a peer that a
	// request is handed over to.
	SetPeerHeaders(h http.Header, metadata PeerMetadata)
	// ReadRetryAfter reads when a peer asks the caller to come back, or 0.
	ReadRetryAfter(resp *http.Response) time.Duration
	// ClassifyResponse determines from the status code and the headers of a
	// target's response whether the target ran the request.
	ClassifyResponse(resp *http.Response) ExecutionStatus
	// ReadNotice reads what a target says of itself in the head of its response. A
	// value that can't be used is returned as an error, beside what else the target
	// says.
	ReadNotice(resp *http.Response) (TargetNotice, error)
	// Refuse writes an error response of the router itself, with its length.
	Refuse(w http.ResponseWriter, refusal Refusal)
}
