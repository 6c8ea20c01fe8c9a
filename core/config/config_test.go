package config

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func exampleFile(t *testing.T, name string) []byte {
	raw, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestExamplesAreValid(t *testing.T) {
	Convey("The example files of both deployments are valid", t, func() {
		for _, name := range []string{"iliksu.json", "papeles.json"} {
			doc, problems := Parse(exampleFile(t, name))
			So(problems, ShouldBeEmpty)
			So(doc.Customers, ShouldHaveLength, 10)
		}
	})
}

func TestProblemsNameTheirPath(t *testing.T) {
	raw := string(exampleFile(t, "iliksu.json"))
	cases := []struct{ name, old, new, path string }{
		{"broken JSON", `"customers": [`, `"customers": [[`, "$"},
		{"unknown field", `"customers":`, `"custommers":`, "$.custommers"},
		{"unknown nested field", `"runwaySeconds"`, `"runwayMinutes"`, "$.policies.grants.runwayMinutes"},
		{"wrong type", `"prepaidTokens": 5000000`, `"prepaidTokens": "5000000"`, "$.budgets[0].prepaidTokens"},
		{"fraction", `"prepaidTokens": 5000000`, `"prepaidTokens": 0.5`, "$.budgets[0].prepaidTokens"},
		{"negative", `"prepaidTokens": 5000000`, `"prepaidTokens": -1`, "$.budgets[0].prepaidTokens"},
		{"no such customer", `"customer": "bursa-heat"`, `"customer": "nobody"`, "$.budgets[0].customer"},
		{"duplicate name", `"name": "kocaeli-homes"`, `"name": "bursa-heat"`, "$.customers[1].name"},
		{"control character", `"name": "kocaeli-homes"`, `"name": "kocaeli\u0000homes"`, "$.customers[1].name"},
		{"bad hash", `"sha256": "`, `"sha256": "Z`, "$.customers[0].keys[0].sha256"},
		{"unknown policy", `"policy": "affinity"`, `"policy": "luck"`, "$.policies.routing.policy"},
		{"out of range", `"ttlSeconds": 10`, `"ttlSeconds": 0`, "$.policies.addresses.ttlSeconds"},
		{"bad pattern", `"path": "/bookings"`, `"path": "bookings"`, "$.services[0].nonIdempotent[0].path"},
	}
	Convey("Each error is reported at its JSON path and nothing is accepted", t, func() {
		for _, c := range cases {
			So(raw, ShouldContainSubstring, c.old)
			doc, problems := Parse([]byte(strings.Replace(raw, c.old, c.new, 1)))
			So(doc, ShouldBeNil)
			paths := make([]string, 0, len(problems))
			for _, p := range problems {
				paths = append(paths, p.Path)
			}
			So(paths, ShouldContain, c.path)
		}
	})
	Convey("All errors are reported at once", t, func() {
		bad := strings.Replace(raw, `"ttlSeconds": 10`, `"ttlSeconds": 0`, 1)
		bad = strings.Replace(bad, `"policy": "affinity"`, `"policy": "luck"`, 1)
		_, problems := Parse([]byte(bad))
		So(problems, ShouldHaveLength, 2)
	})
}

func TestDiff(t *testing.T) {
	Convey("Diff lists each changed field and identifies elements by name", t, func() {
		from, _ := Parse(exampleFile(t, "iliksu.json"))
		to, _ := Parse(exampleFile(t, "iliksu.json"))
		to.BasedOnGeneration = 7
		So(Diff(from, to), ShouldBeEmpty)
		to.Budgets[0].PrepaidTokens++
		So(Diff(from, to), ShouldResemble, []Change{{"$.budgets.bursa-heat-2026.prepaidTokens", "5000000", "5000001"}})
	})
}

func TestIdempotentCalls(t *testing.T) {
	Convey("Patterns match method and path", t, func() {
		s := Service{NonIdempotent: []CallPattern{{"POST", "/bookings"}, {"*", "/orders/*"}}}
		So(s.Idempotent("POST", "/bookings"), ShouldBeFalse)
		So(s.Idempotent("GET", "/bookings"), ShouldBeTrue)
		So(s.Idempotent("PUT", "/orders/7"), ShouldBeFalse)
		So(s.Idempotent("PUT", "/orders/7/lines"), ShouldBeTrue)
	})
}

// TestParseNeverPanics parses examples with one mutated byte.
func TestParseNeverPanics(t *testing.T) {
	raw := exampleFile(t, "iliksu.json")
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(0, len(raw)-1).Draw(rt, "at")
		mutated := append([]byte(nil), raw...)
		mutated[at] = rapid.Byte().Draw(rt, "byte")
		doc, problems := Parse(mutated)
		if (doc == nil) == (len(problems) == 0) {
			rt.Fatalf("want either a document or problems, got %v, %v", doc, problems)
		}
		if doc != nil {
			again, err := json.Marshal(doc)
			if err != nil {
				rt.Fatal(err)
			}
			if _, problems := Parse(again); len(problems) > 0 {
				rt.Fatalf("an accepted document is refused after encoding it again: %v", problems)
			}
		}
	})
}
