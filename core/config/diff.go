package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Change is one difference between two documents.
type Change struct {
	// Path is a JSON path; elements of lists are identified by their name
	// field.
	Path string `json:"path"`
	// Old and New are JSON values, empty if the field is absent.
	Old string `json:"old"`
	New string `json:"new"`
}

// Diff lists the differences from one document to another, sorted by path.
// BasedOnGeneration is ignored.
func Diff(from, to *Document) []Change {
	a, b := *from, *to
	a.BasedOnGeneration, b.BasedOnGeneration = 0, 0
	var changes []Change
	diffValue("$", toGeneric(&a), toGeneric(&b), &changes)
	return changes
}

func toGeneric(d *Document) any {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	var v any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if dec.Decode(&v) != nil {
		return nil
	}
	return v
}

func diffValue(at string, a, b any, out *[]Change) {
	am, aok := asFields(a)
	bm, bok := asFields(b)
	if aok && bok {
		names := map[string]bool{}
		for k := range am {
			names[k] = true
		}
		for k := range bm {
			names[k] = true
		}
		for _, k := range sortedKeys(names) {
			diffValue(at+"."+k, am[k], bm[k], out)
		}
		return
	}
	oldText, newText := jsonText(a), jsonText(b)
	if oldText != newText {
		*out = append(*out, Change{at, oldText, newText})
	}
}

// asFields returns an object's fields, or a list's elements keyed by name.
func asFields(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		fields := map[string]any{}
		for i, e := range v {
			name := fmt.Sprintf("[%d]", i)
			if m, ok := e.(map[string]any); ok {
				if s, ok := m["name"].(string); ok {
					name = s
				}
			}
			fields[name] = e
		}
		return fields, true
	}
	return nil, false
}

func jsonText(v any) string {
	if v == nil {
		return ""
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(raw)
}
