package config

import "slices"

// Stored is the value of the configuration object in the platform.
type Stored struct {
	// Generation rises by one with each accepted document.
	Generation uint64 `json:"generation"`
	// OperationID names the apply that wrote this generation; it settles a
	// lost answer by reading back.
	OperationID string `json:"operationID"`
	// Document is the accepted file.
	Document Document `json:"document"`
	// Routing is set by a platform that holds the configuration itself; nil in
	// an operator's own file.
	Routing *Routing `json:"routing,omitempty"`
	// Earlier lists the latest applies before this one, oldest first.
	Earlier []Acceptance `json:"earlier,omitempty"`
}

// Acceptance names the apply that wrote a generation.
type Acceptance struct {
	Generation  uint64 `json:"generation"`
	OperationID string `json:"operationID"`
}

// maxEarlier bounds the applies that are remembered after a later one.
const maxEarlier = 64

// Next is the stored form of a document that follows this one. The caller
// gives the generation, which is above this one's.
func (s *Stored) Next(generation uint64, operationID string, d Document) Stored {
	next := Stored{Generation: generation, OperationID: operationID, Document: d}
	if s.Generation > 0 {
		next.Earlier = append(slices.Clone(s.Earlier), Acceptance{s.Generation, s.OperationID})
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-maxEarlier):]
	}
	return next
}

// AcceptedAs returns the generation that an apply wrote, if it is this one or
// a remembered earlier one.
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

// Index answers look-ups on one generation. It is immutable.
type Index struct {
	Generation uint64
	Document   *Document
	// Routing is never nil; it is empty in an operator's own file.
	Routing  *Routing
	keys     map[string]KeyOwner
	budgets  map[string]*Budget
	models   map[string]*Model
	services map[string]*Service
	routes   map[string][]*Route
	classes  map[string]*TargetClass
}

// KeyOwner is what an API key names.
type KeyOwner struct {
	Customer string
	Budget   string
	// Priority goes before the route's; nil where the customer has none.
	Priority *int64
}

// NewIndex builds the look-up tables of a stored document.
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

// priority is a customer's own priority, or nil.
func (ix *Index) priority(customer string) *int64 {
	if p, ok := ix.Routing.CustomerPriorities[customer]; ok {
		return &p
	}
	return nil
}

// KeyOwner returns the customer and budget that a key's SHA-256 names.
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

// Idempotent tells whether a call of the service may be repeated.
func (s *Service) Idempotent(method, path string) bool {
	for _, p := range s.NonIdempotent {
		if p.Matches(method, path) {
			return false
		}
	}
	return true
}
