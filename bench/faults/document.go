package faults

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"plantainfield.example/core/config"
)

const (
	modelName   = "assistant"
	serviceName = "records"
	// outputTokens is the length of an engine's answer.
	outputTokens = 16
	// maxTokens is the max_tokens field of a chat request.
	maxTokens = 24
	// servicePrice is the cost of one call of the service, in tokens.
	servicePrice = 20

	// Prepaid totals, in tokens: no scenario exhausts a wide budget; some
	// scenarios exhaust the tight one.
	widePrepaid  = 2_000_000
	tightPrepaid = 6_000
)

// customer is a customer with one budget of the same name.
type customer struct {
	name    string
	prepaid int64
}

func (c customer) key() string { return "key-of-" + c.name }

var (
	wide  = customer{"wide", widePrepaid}
	other = customer{"other", widePrepaid}
	tight = customer{"tight", tightPrepaid}
	probe = customer{"probe", widePrepaid}
)

// document returns the configuration of all scenarios.
func document() config.Document {
	d := config.Defaults()
	for _, c := range []customer{wide, other, tight, probe} {
		sum := sha256.Sum256([]byte(c.key()))
		d.Customers = append(d.Customers, config.Customer{Name: c.name, Keys: []config.Key{{SHA256: hex.EncodeToString(sum[:]), Budget: c.name}}})
		d.Budgets = append(d.Budgets, config.Budget{Name: c.name, Customer: c.name, PrepaidTokens: c.prepaid})
	}
	d.Models = []config.Model{{Name: modelName, Version: "1", ContextTokens: 32768, MaxOutputTokens: 2048, ChecksFencing: true}}
	d.Services = []config.Service{{
		Name: serviceName, TokensPerCall: servicePrice,
		NonIdempotent: []config.CallPattern{{Method: "POST", Path: "/bookings"}},
	}}
	d.Policies.Grants = config.GrantPolicy{Policy: "adaptive", SizeTokens: 1000, RunwaySeconds: 10, MaxSharePerMille: 250, PeerTransfer: true}
	return d
}

func encode(d config.Document) []byte {
	raw, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(err) // cannot happen: all fields of the type can be marshalled
	}
	return raw
}
