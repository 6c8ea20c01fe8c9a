package config

import "slices"

// Stored is the value of the configuration object in the platform.
type Stored struct {
	// Generation increases by one with each accepted document.
	Generation uint64 `json:"generation"`
	// OperationID identifies the apply that wrote this generation, so that an
	// apply whose response was lost is resolved by reading the object back.
	OperationID string `json:"operationID"`
	// Document is the accepted document.
	Document Document `json:"document"`
	// Routing is set by a platform that holds the configuration itself; it is
	// nil if the document came from an operator's file.
	Routing *Routing `json:"routing,omitempty"`
	// Earlier lists the most recent applies before this one, oldest first, at
	// most maxEarlier.
	Earlier []Acceptance `json:"earlier,omitempty"`
}

// Acceptance identifies the apply that wrote a generation.
type Acceptance struct {
	Generation  uint64 `json:"generation"`
	OperationID string `json:"operationID"`
}

// maxEarlier limits the number of earlier applies that are kept.
const maxEarlier = 64

// Next returns the stored form of a document that follows this one. The
// generation must be higher than this one's.
func (s *Stored) Next(generation uint64, operationID string, d Document) Stored {
	next := Stored{Generation: generation, OperationID: operationID, Document: d}
	if s.Generation > 0 {
		next.Earlier = append(slices.Clone(s.Earlier), Acceptance{s.Generation, s.OperationID})
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-maxEarlier):]
	}
	return next
}

// AcceptedAs returns the generation that an apply wrote, if it is this one or
// one of the earlier applies that are kept.
func (s *Stored) AcceptedAs(operationID string) (uint64, bool) {
	if s.OperationID == operationID {
		return s.Generation, true
	}
	for _, a := range s.Earlier {
		if a.OperationID == operationID {
			return a.Generation, true
		}
	}
	return 0, false
}

// Index provides look-ups in one generation of the configuration. It is
// immutable.
type Index struct {
	Generation uint64
	Document   *Document
	// Routing is never nil; it is empty if the document came from an operator's
	// file.
	Routing  *Routing
	keys     map[string]KeyOwner
	budgets  map[string]*Budget
	models   map[string]*Model
	services map[string]*Service
	routes   map[string][]*Route
	classes  map[string]*TargetClass
}

// KeyOwner is the customer and the default budget of an API key.
type KeyOwner struct {
	Customer string
	Budget   string
	// Priority overrides the route's priority; nil if the customer has none.
	Priority *int64
}

// NewIndex builds the look-up tables for a stored document.
func NewIndex(s *Stored) *Index {
	ix := &Index{
		Generation: s.Generation,
		Document:   &s.Document,
		keys:       map[string]KeyOwner{},
		budgets:    map[string]*Budget{},
		models:     map[string]*Model{},
		services:   map[string]*Service{},
		routes:     map[string][]*Route{},
		classes:    map[string]*TargetClass{},
		Routing:    s.Routing,
	}
	if ix.Routing == nil {
		ix.Routing = &Routing{}
	}
	for _, c := range s.Document.Customers {
		for _, k := range c.Keys {
			ix.keys[k.SHA256] = KeyOwner{Customer: c.Name, Budget: k.Budget, Priority: ix.priority(c.Name)}
		}
	}
	for i := range s.Document.Budgets {
		ix.budgets[s.Document.Budgets[i].Name] = &s.Document.Budgets[i]
	}
	for i := range s.Document.Models {
		ix.models[s.Document.Models[i].Name] = &s.Document.Models[i]
	}
	for i := range s.Document.Services {
		ix.services[s.Document.Services[i].Name] = &s.Document.Services[i]
	}
	for i := range ix.Routing.Routes {
		r := &ix.Routing.Routes[i]
		ix.routes[r.Host] = append(ix.routes[r.Host], r)
	}
	for i := range ix.Routing.Targets {
		ix.classes[ix.Routing.Targets[i].Service] = &ix.Routing.Targets[i]
	}
	return ix
}

// priority returns a customer's own priority, or nil.
func (ix *Index) priority(customer string) *int64 {
	if p, ok := ix.Routing.CustomerPriorities[customer]; ok {
		return &p
	}
	return nil
}

// KeyOwner returns the owner of the API key with the given SHA-256 hash.
func (ix *Index) KeyOwner(sha256Hex string) (KeyOwner, bool) {
	o, ok := ix.keys[sha256Hex]
	return o, ok
}

// Budget returns a budget by name, or nil.
func (ix *Index) Budget(name string) *Budget { return ix.budgets[name] }

// Model returns a model by name, or nil.
func (ix *Index) Model(name string) *Model { return ix.models[name] }

// Service returns a plain service by name, or nil.
func (ix *Index) Service(name string) *Service { return ix.services[name] }

// Idempotent reports whether a call of the service may be repeated.
func (s *Service) Idempotent(method, path string) bool {
	for _, p := range s.NonIdempotent {
		if p.Matches(method, path) {
			return false
		}
	}
	return true
}
