// Package gateway serves callers of a platform that routes by host and path: it
// reads a request, lets the core decide about it, and relays the target's
// answer unchanged.
package gateway

import (
	"net/http"
	"time"

	"plantainfield.example/core/errkind"
)

// Call is what a caller's request states beside its method, path and body.
type Call struct {
	// Attempt identifies the caller's attempt; it is unique.
	Attempt string
	// Key is the API key, or empty.
	Key string
	// Wait is how long the caller will wait; 0 where it does not say.
	Wait time.Duration
	// PromptTokens and MaxOutputTokens bound the request; 0 for plain services.
	PromptTokens    int64
	MaxOutputTokens int64
	// Parts identify the parts of the prompt in order.
	Parts []Part
	// LastEvent is the id of the last event that the caller has of an earlier
	// stream, or empty.
	LastEvent string
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// Delivery is what a target is told beside the caller's request.
type Delivery struct {
	// Target is the name that the target must have to run the request.
	Target string
	// Customer is the owner of the caller's key, or empty.
	Customer string
	// Left is how long the caller will still wait.
	Left time.Duration
	// LastEvent is the id of the event after which a stream goes on, or empty.
	LastEvent string
	// Rank orders the requests at an engine; 0 goes first.
	Rank int64
	// Engine is set for a request to a model engine.
	Engine bool
}

// Verdict is what the head of a target's answer says of the request.
type Verdict int

const (
	// Ran means that the answer is the request's.
	Ran Verdict = iota
	// NotRunBusy, NotRunGone and NotRun mean that the target did not run the
	// request: it is full, it is another target than was meant, or for another
	// reason.
	NotRunBusy
	NotRunGone
	NotRun
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
	// ReadCall reads what a caller's request states.
	ReadCall(r *http.Request) (Call, error)
	// SetDelivery replaces the headers that the system sets for targets.
	SetDelivery(h http.Header, d Delivery)
	// Judge reads the head of a target's answer.
	Judge(resp *http.Response) Verdict
	// Refuse writes an answer of the system's own.
	Refuse(w http.ResponseWriter, a Refusal)
}
