// Package config defines the declarative document that operators apply, its
// validation, and the stored form that instances adopt by generation.
package config

// Document is the complete configuration file. It is applied as a whole or not
// at all.
type Document struct {
	// BasedOnGeneration is the generation that the operator edited; 0 for the
	// first file. Apply refuses a file that is based on a generation other than
	// the one in force.
	BasedOnGeneration uint64 `json:"basedOnGeneration"`
	// Customers lists who may send requests.
	Customers []Customer `json:"customers"`
	// Budgets lists the prepaid token budgets.
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
	// Keys lists the API keys that identify this customer.
	Keys []Key `json:"keys"`
}

// Key is one API key, stored as a hash.
type Key struct {
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Budget is the budget that is charged when a request names none.
	Budget string `json:"budget"`
}

// Budget is one prepaid token budget.
type Budget struct {
	// Name identifies the budget.
	Name string `json:"name"`
	// Customer is the name of the customer that owns the budget.
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
	// ContextTokens limits prompt and output together, in tokens.
	ContextTokens int64 `json:"contextTokens" min:"1" max:"16777216"`
	// MaxOutputTokens limits the output of one request, in tokens; it is also
	// the default where a request states no limit.
	MaxOutputTokens int64 `json:"maxOutputTokens" min:"1" max:"16777216"`
	// ChecksFencing states whether the model's targets refuse an order with an
	// outdated fencing token.
	ChecksFencing bool `json:"checksFencing"`
}

// Service is a plain service, as opposed to a model engine.
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
	// Path is a pattern in the syntax of path.Match, relative to the service's
	// root.
	Path string `json:"path"`
}

// Policies holds the policies that operators may tune.
type Policies struct {
	// Grants determines the size of the part of a budget that one instance
	// holds.
	Grants GrantPolicy `json:"grants"`
	// Routing determines how a target is chosen.
	Routing RoutingPolicy `json:"routing"`
	// Retries limits repeated attempts.
	Retries RetryPolicy `json:"retries"`
	// Limits sets the concurrency limits per target.
	Limits LimitPolicy `json:"limits"`
	// Quarantine limits the damage done by a request that crashes targets.
	Quarantine QuarantinePolicy `json:"quarantine"`
	// Billing determines what an instance does when it can't make a bill
	// durable.
	Billing BillingPolicy `json:"billing"`
	// Addresses determines the answer to callers that ask for addresses of
	// instances.
	Addresses AddressPolicy `json:"addresses"`
}

// GrantPolicy determines the size of the part of a budget that one instance
// holds.
type GrantPolicy struct {
	// Policy is "static", "fixed", "adaptive" or "spread".
	Policy string `json:"policy" enum:"static,fixed,adaptive,spread"`
	// SizeTokens is the amount requested at a time under "fixed", and the
	// smallest amount under "adaptive" and "spread", in tokens.
	SizeTokens int64 `json:"sizeTokens" min:"1" max:"1125899906842624"`
	// RunwaySeconds is how long a grant should last at the observed rate of
	// spending under "adaptive" and "spread", in seconds. With a longer runway,
	// fewer requests are refused in an outage and more tokens are stranded
	// after a crash.
	RunwaySeconds int64 `json:"runwaySeconds" min:"1" max:"86400"`
	// MaxSharePerMille is the largest share of a budget's remaining tokens that
	// one grant may take, in per mille; under "spread", the share that all
	// grants together may take.
	MaxSharePerMille int64 `json:"maxSharePerMille" min:"1" max:"1000"`
	// FullShareSeconds is the time that what is left of a budget must last, at the
	// rate at which the fleet spends it, for grants to take all of MaxSharePerMille
	// under "spread", in seconds; 0 for no such limit. The share of a budget that
	// lasts for less is smaller in proportion: tokens that lost instances held are
	// missed most where few are left.
	FullShareSeconds int64 `json:"fullShareSeconds,omitempty" min:"0" max:"86400"`
	// IdleSharePerMille is the share of a budget on which nobody draws that all
	// grants together may take in advance under "spread", in per mille; 0 for no
	// such limit. A loss of instances then takes no more of it.
	IdleSharePerMille int64 `json:"idleSharePerMille,omitempty" min:"0" max:"1000"`
	// MaxWaitMillis limits how long a request waits for tokens of its budget, in
	// milliseconds; 0 for no limit besides those of the individual steps.
	MaxWaitMillis int64 `json:"maxWaitMillis,omitempty" min:"0" max:"60000"`
	// RefillMillis is the minimum time between two ledger updates by one
	// instance while no request waits for them, in milliseconds.
	RefillMillis int64 `json:"refillMillis,omitempty" min:"0" max:"60000"`
	// CombineUpdates makes instances send their ledger updates to one of them,
	// which writes those of all that arrive at about the same time together. If it
	// doesn't answer, an instance writes itself.
	CombineUpdates bool `json:"combineUpdates,omitempty"`
	// PeerTransfer allows instances to transfer parts of their grants to each
	// other.
	PeerTransfer bool `json:"peerTransfer"`
}

// RoutingPolicy determines how a target is chosen.
type RoutingPolicy struct {
	// Policy is "affinity", "least_loaded", "power_of_two", "round_robin" or
	// "least_work". Under "least_work", instances tell each other how many of
	// the prompt tokens that they sent to a target it has yet to prefill.
	Policy string `json:"policy" enum:"affinity,least_loaded,power_of_two,round_robin,least_work"`
	// LoadBoundPerMille limits a target's load under "affinity", as a share of
	// the mean load in per mille (1250 is 1.25 times the mean).
	LoadBoundPerMille int64 `json:"loadBoundPerMille" min:"1000" max:"10000"`
}

// RetryPolicy limits repeated attempts.
type RetryPolicy struct {
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int64 `json:"maxAttempts" min:"1" max:"10"`
	// BudgetPerMille limits retries as a share of first attempts, in per mille.
	BudgetPerMille int64 `json:"budgetPerMille" min:"0" max:"1000"`
	// FleetReserve is the number of retries that all instances together may
	// make beyond that share in a short time; 0 for a fixed reserve per
	// instance.
	FleetReserve int64 `json:"fleetReserve,omitempty" min:"0" max:"100000"`
	// BaseDelayMillis is the delay before the first retry, in milliseconds; it
	// grows exponentially with each further retry.
	BaseDelayMillis int64 `json:"baseDelayMillis" min:"1" max:"10000"`
}

// LimitPolicy sets the concurrency limits per target.
type LimitPolicy struct {
	// Policy is "fixed" or "adaptive".
	Policy string `json:"policy" enum:"fixed,adaptive"`
	// MaxConcurrencyPerTarget limits the requests that one instance has in
	// flight at a target.
	MaxConcurrencyPerTarget int64 `json:"maxConcurrencyPerTarget" min:"1" max:"10000"`
	// QueueLength limits the number of requests that wait for a target.
	QueueLength int64 `json:"queueLength" min:"0" max:"100000"`
	// FirstTokenTargetMillis is the goal for the time to the first token, in
	// milliseconds.
	FirstTokenTargetMillis int64 `json:"firstTokenTargetMillis" min:"1" max:"600000"`
	// BetweenTokensTargetMillis is the goal for the time between tokens, in
	// milliseconds.
	BetweenTokensTargetMillis int64 `json:"betweenTokensTargetMillis" min:"1" max:"600000"`
	// DefaultDeadlineMillis limits the wait for a first token where the caller
	// states no deadline, in milliseconds.
	DefaultDeadlineMillis int64 `json:"defaultDeadlineMillis" min:"1" max:"3600000"`
}

// QuarantinePolicy limits the damage done by a request that crashes targets.
type QuarantinePolicy struct {
	// MaxTargets is the number of targets that one request may crash in the
	// whole fleet.
	MaxTargets int64 `json:"maxTargets" min:"1" max:"10"`
}

// BillingPolicy determines what an instance does when it can't make a bill
// durable.
type BillingPolicy struct {
	// WhenIsolated is "refuse", to refuse requests and cut off answers, or
	// "serve", to serve them at the risk that bills are lost.
	WhenIsolated string `json:"whenIsolated" enum:"refuse,serve"`
}

// AddressPolicy determines the answer to callers that ask for addresses of
// instances.
type AddressPolicy struct {
	// PerCustomer is the number of instances that a customer's callers are
	// directed to; 0 for all.
	PerCustomer int64 `json:"perCustomer" min:"0" max:"1000"`
	// RequestsPerProcessor is the number of callers' requests per second for
	// which one whole processor of an instance is sized. Callers are directed to
	// as many instances as their requests need, those with the largest share of a
	// processor first; 0 directs them to all.
	RequestsPerProcessor int64 `json:"requestsPerProcessor,omitempty" min:"0" max:"1000000"`
	// TTLSeconds is how long a caller may keep the answer, in seconds.
	TTLSeconds int64 `json:"ttlSeconds" min:"1" max:"3600"`
}
