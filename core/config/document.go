// Package config holds the declarative document that operators apply, its
// validation and the stored form that instances adopt by generation.
package config

// Document is the whole declarative file. It is applied whole or not at all.
type Document struct {
	// BasedOnGeneration is the generation that the operator edited; 0 for the
	// first file. Apply refuses a file that is based on another generation
	// than the one in force.
	BasedOnGeneration uint64 `json:"basedOnGeneration"`
	// Customers lists who may send requests.
	Customers []Customer `json:"customers"`
	// Budgets lists the prepaid totals.
	Budgets []Budget `json:"budgets"`
	// Models lists the model versions that engines serve.
	Models []Model `json:"models"`
	// Services lists the plain services.
	Services []Service `json:"services"`
	// Policies holds the routing and spending policies.
	Policies Policies `json:"policies"`
}

// Customer is one paying customer.
type Customer struct {
	// Name identifies the customer in bills and logs.
	Name string `json:"name"`
	// Keys are the API keys that name this customer.
	Keys []Key `json:"keys"`
}

// Key is one API key, stored as a hash.
type Key struct {
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Budget is drawn on when a request names none.
	Budget string `json:"budget"`
}

// Budget is one prepaid token budget.
type Budget struct {
	// Name identifies the budget.
	Name string `json:"name"`
	// Customer owns the budget.
	Customer string `json:"customer"`
	// PrepaidTokens is the cumulative total paid for, in tokens. A top-up
	// raises it.
	PrepaidTokens int64 `json:"prepaidTokens" min:"0" max:"1125899906842624"`
}

// Model is a served model version.
type Model struct {
	// Name is what callers put in the "model" field.
	Name string `json:"name"`
	// Version is the version that targets should serve.
	Version string `json:"version"`
	// ContextTokens bounds prompt and output together, in tokens.
	ContextTokens int64 `json:"contextTokens" min:"1" max:"16777216"`
	// MaxOutputTokens bounds the output of one request, in tokens; it is also
	// the default where a request states none.
	MaxOutputTokens int64 `json:"maxOutputTokens" min:"1" max:"16777216"`
	// ChecksFencing tells whether the model's targets refuse an order with an
	// old fencing number.
	ChecksFencing bool `json:"checksFencing"`
}

// Service is a plain service beside the engines.
type Service struct {
	// Name is the path element after /v1/services/.
	Name string `json:"name"`
	// TokensPerCall is the price of one call, in tokens.
	TokensPerCall int64 `json:"tokensPerCall" min:"0" max:"1125899906842624"`
	// NonIdempotent lists the calls that may run at most once.
	NonIdempotent []CallPattern `json:"nonIdempotent"`
}

// CallPattern matches calls by method and path.
type CallPattern struct {
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method" enum:"*,GET,HEAD,POST,PUT,PATCH,DELETE,OPTIONS"`
	// Path is a pattern in the syntax of path.Match, below the service's root.
	Path string `json:"path"`
}

// Policies holds what operators may tune.
type Policies struct {
	// Grants sizes the part of a budget that one instance holds.
	Grants GrantPolicy `json:"grants"`
	// Routing chooses among targets.
	Routing RoutingPolicy `json:"routing"`
	// Retries bounds repeated attempts.
	Retries RetryPolicy `json:"retries"`
	// Limits bounds the concurrency before targets.
	Limits LimitPolicy `json:"limits"`
	// Quarantine bounds the harm of a request that crashes targets.
	Quarantine QuarantinePolicy `json:"quarantine"`
	// Billing says what an instance does that can't make a bill durable.
	Billing BillingPolicy `json:"billing"`
	// Addresses shapes the answer to callers that ask for addresses.
	Addresses AddressPolicy `json:"addresses"`
}

// GrantPolicy sizes the part of a budget that one instance holds.
type GrantPolicy struct {
	// Policy is "static", "fixed", "adaptive" or "spread".
	Policy string `json:"policy" enum:"static,fixed,adaptive,spread"`
	// SizeTokens is the amount asked for at a time by "fixed", and the
	// smallest by "adaptive" and "spread", in tokens.
	SizeTokens int64 `json:"sizeTokens" min:"1" max:"1125899906842624"`
	// RunwaySeconds is how long a grant should last at the observed rate of
	// spending under "adaptive" and "spread". A longer runway refuses less in an
	// outage and strands more after a crash.
	RunwaySeconds int64 `json:"runwaySeconds" min:"1" max:"86400"`
	// MaxSharePerMille is the largest part of what a budget has left that one grant
	// takes, in per mille; under "spread", the part that all grants together take.
	MaxSharePerMille int64 `json:"maxSharePerMille" min:"1" max:"1000"`
	// MaxWaitMillis bounds how long a request waits for tokens, in milliseconds;
	// 0 for no bound beside those of each step.
	MaxWaitMillis int64 `json:"maxWaitMillis,omitempty" min:"0" max:"60000"`
	// RefillMillis is the least time between two ledger updates of an instance
	// that no request waits for, in milliseconds.
	RefillMillis int64 `json:"refillMillis,omitempty" min:"0" max:"60000"`
	// PeerTransfer lets instances move parts of their grants to each other.
	PeerTransfer bool `json:"peerTransfer"`
}

// RoutingPolicy chooses among targets.
type RoutingPolicy struct {
	// Policy is "affinity", "least_loaded", "power_of_two", "round_robin" or
	// "least_work", under which instances tell each other of the prompt tokens
	// that they have sent and that are not yet read.
	Policy string `json:"policy" enum:"affinity,least_loaded,power_of_two,round_robin,least_work"`
	// LoadBoundPerMille bounds a target's load under "affinity", as a share of
	// the mean load in per mille (1250 is 1.25 times the mean).
	LoadBoundPerMille int64 `json:"loadBoundPerMille" min:"1000" max:"10000"`
}

// RetryPolicy bounds repeated attempts.
type RetryPolicy struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int64 `json:"maxAttempts" min:"1" max:"10"`
	// BudgetPerMille bounds retries as a share of first attempts, per mille.
	BudgetPerMille int64 `json:"budgetPerMille" min:"0" max:"1000"`
	// FleetReserve is the number of retries that all instances together may make
	// beyond that share in a short time; 0 for a fixed reserve of each instance.
	FleetReserve int64 `json:"fleetReserve,omitempty" min:"0" max:"100000"`
	// BaseDelayMillis is the first delay before a retry, in milliseconds.
	BaseDelayMillis int64 `json:"baseDelayMillis" min:"1" max:"10000"`
}

// LimitPolicy bounds the concurrency before targets.
type LimitPolicy struct {
	// Policy is "fixed" or "adaptive".
	Policy string `json:"policy" enum:"fixed,adaptive"`
	// MaxConcurrencyPerTarget bounds the requests that one instance has in
	// flight at a target.
	MaxConcurrencyPerTarget int64 `json:"maxConcurrencyPerTarget" min:"1" max:"10000"`
	// QueueLength bounds the requests that wait for a target.
	QueueLength int64 `json:"queueLength" min:"0" max:"100000"`
	// FirstTokenTargetMillis is the goal for the time to the first token.
	FirstTokenTargetMillis int64 `json:"firstTokenTargetMillis" min:"1" max:"600000"`
	// BetweenTokensTargetMillis is the goal for the time between tokens.
	BetweenTokensTargetMillis int64 `json:"betweenTokensTargetMillis" min:"1" max:"600000"`
	// DefaultDeadlineMillis bounds the wait for a first token where the
	// caller states no deadline.
	DefaultDeadlineMillis int64 `json:"defaultDeadlineMillis" min:"1" max:"3600000"`
}

// QuarantinePolicy bounds the harm of a request that crashes targets.
type QuarantinePolicy struct {
	// MaxTargets is how many targets one request may crash in the whole fleet.
	MaxTargets int64 `json:"maxTargets" min:"1" max:"10"`
}

// BillingPolicy says what an instance does that can't make a bill durable.
type BillingPolicy struct {
	// WhenIsolated is "refuse" or "serve".
	WhenIsolated string `json:"whenIsolated" enum:"refuse,serve"`
}

// AddressPolicy shapes the answer to callers that ask for addresses.
type AddressPolicy struct {
	// PerCustomer is how many instances a customer's callers are kept on;
	// 0 for all.
	PerCustomer int64 `json:"perCustomer" min:"0" max:"1000"`
	// TTLSeconds is how long a caller may keep the answer.
	TTLSeconds int64 `json:"ttlSeconds" min:"1" max:"3600"`
}
