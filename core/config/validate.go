package config

import (
	"encoding/hex"
	"fmt"
	"path"
	"reflect"
	"strings"
	"unicode"
)

// Names of the policies that a document can select.
//
// GrantStatic grants each instance an equal part of the prepaid total, GrantFixed
// requests a fixed amount at a time, and GrantAdaptive sizes a grant by the
// holder's rate of spending. GrantSpread does as GrantAdaptive, but obtains
// tokens before requests need them and leaves a part of the budget in the ledger.
//
// RoutingAffinity prefers the target that has the most of the prompt cached.
// RoutingLeastWork is implemented by package placement.
//
// IsolatedRefuse and IsolatedServe apply while bills can't be made durable.
const (
	GrantStatic   = "static"
	GrantFixed    = "fixed"
	GrantAdaptive = "adaptive"
	GrantSpread   = "spread"

	RoutingAffinity    = "affinity"
	RoutingLeastLoaded = "least_loaded"
	RoutingPowerOfTwo  = "power_of_two"
	RoutingRoundRobin  = "round_robin"
	RoutingLeastWork   = "least_work"

	LimitFixed    = "fixed"
	LimitAdaptive = "adaptive"

	IsolatedRefuse = "refuse"
	IsolatedServe  = "serve"
)

// sha256HexLength is the number of hexadecimal digits in a SHA-256 hash.
const sha256HexLength = 64

// Defaults returns a document whose policies have their default values.
func Defaults() Document {
	return Document{Policies: Policies{
		Grants:     GrantPolicy{Policy: GrantAdaptive, SizeTokens: 20_000, RunwaySeconds: 120, MaxSharePerMille: 250, PeerTransfer: true},
		Routing:    RoutingPolicy{Policy: RoutingAffinity, LoadBoundPerMille: 1250},
		Retries:    RetryPolicy{MaxAttempts: 3, BudgetPerMille: 100, BaseDelayMillis: 50},
		Limits:     LimitPolicy{Policy: LimitAdaptive, MaxConcurrencyPerTarget: 64, QueueLength: 256, FirstTokenTargetMillis: 1200, BetweenTokensTargetMillis: 57, DefaultDeadlineMillis: 30_000},
		Quarantine: QuarantinePolicy{MaxTargets: 2},
		Billing:    BillingPolicy{WhenIsolated: IsolatedRefuse},
		Addresses:  AddressPolicy{PerCustomer: 3, TTLSeconds: 10},
	}}
}

// checker collects the problems of a document.
type checker struct{ problems []Problem }

func (c *checker) add(at, format string, args ...any) {
	c.problems = append(c.problems, Problem{at, fmt.Sprintf(format, args...)})
}

// maxNameLength limits a name, in bytes.
const maxNameLength = 128

func notPrintable(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }

func (c *checker) name(at, s string) {
	// at is the JSON path of the name s.
	if s == "" {
		c.add(at, "must not be empty")
		return
	}
	if len(s) > maxNameLength || strings.ContainsAny(s, `/"`) || strings.ContainsFunc(s, notPrintable) {
		c.add(at, "must be at most %d bytes and must not contain white space, control characters, quotes or slashes", maxNameLength)
	}
}

// Validate returns every problem of a parsed document.
func (d *Document) Validate() []Problem {
	c := &checker{problems: CheckRanges("$", reflect.ValueOf(d).Elem())}
	customers := d.validateCustomers(c)
	owners := d.validateBudgets(c, customers)
	d.validateKeys(c, owners)
	d.validateModels(c)
	d.validateServices(c)
	return c.problems
}

func (d *Document) validateCustomers(c *checker) map[string]bool {
	// Returns the set of customer names.
	seen := map[string]bool{}
	for i, cu := range d.Customers {
		at := fmt.Sprintf("$.customers[%d]", i)
		c.name(at+".name", cu.Name)
		if seen[cu.Name] {
			c.add(at+".name", "customer %q is listed twice", cu.Name)
		}
		seen[cu.Name] = true
	}
	return seen
}

func (d *Document) validateBudgets(c *checker, customers map[string]bool) map[string]string {
	// Returns the owner of each budget.
	owners := map[string]string{}
	for i, b := range d.Budgets {
		at := fmt.Sprintf("$.budgets[%d]", i)
		c.name(at+".name", b.Name)
		if _, dup := owners[b.Name]; dup {
			c.add(at+".name", "budget %q is listed twice", b.Name)
		}
		if !customers[b.Customer] {
			c.add(at+".customer", "no customer %q in this file", b.Customer)
		}
		owners[b.Name] = b.Customer
	}
	return owners
}

func (d *Document) validateKeys(c *checker, owners map[string]string) {
	hashes := map[string]bool{}
	for i, cu := range d.Customers {
		for j, k := range cu.Keys {
			at := fmt.Sprintf("$.customers[%d].keys[%d]", i, j)
			raw, err := hex.DecodeString(k.SHA256)
			if err != nil || len(raw)*2 != sha256HexLength || strings.ToLower(k.SHA256) != k.SHA256 {
				c.add(at+".sha256", "must be %d lower-case hexadecimal digits", sha256HexLength)
			}
			if hashes[k.SHA256] {
				c.add(at+".sha256", "the key is listed twice")
			}
			hashes[k.SHA256] = true
			if owner, ok := owners[k.Budget]; !ok || owner != cu.Name {
				c.add(at+".budget", "customer %q has no budget %q", cu.Name, k.Budget)
			}
		}
	}
}

func (d *Document) validateModels(c *checker) {
	seen := map[string]bool{}
	for i, m := range d.Models {
		at := fmt.Sprintf("$.models[%d]", i)
		c.name(at+".name", m.Name)
		if seen[m.Name] {
			c.add(at+".name", "model %q is listed twice", m.Name)
		}
		seen[m.Name] = true
		c.name(at+".version", m.Version)
		if m.MaxOutputTokens > m.ContextTokens {
			c.add(at+".maxOutputTokens", "must not exceed contextTokens")
		}
	}
}

func (d *Document) validateServices(c *checker) {
	seen := map[string]bool{}
	for i, s := range d.Services {
		at := fmt.Sprintf("$.services[%d]", i)
		c.name(at+".name", s.Name)
		if seen[s.Name] {
			c.add(at+".name", "service %q is listed twice", s.Name)
		}
		seen[s.Name] = true
		for j, p := range s.NonIdempotent {
			pat := fmt.Sprintf("%s.nonIdempotent[%d]", at, j)
			if _, err := path.Match(p.Path, "/"); err != nil || !strings.HasPrefix(p.Path, "/") {
				c.add(pat+".path", "must be a valid pattern that starts with /")
			}
		}
	}
}
