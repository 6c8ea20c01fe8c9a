package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path"
	"reflect"
	"slices"
	"strings"
)

// Problem is one error in a document, at its JSON path.
type Problem struct {
	// Path is the JSON path of the field, as in "$.budgets[2].customer".
	Path string `json:"path"`
	// Message describes the error.
	Message string `json:"message"`
}

// Error returns the path and the message.
func (p Problem) Error() string { return p.Path + ": " + p.Message }

// Parse reads a document and returns every problem that it finds. If there is
// any, the document is nil.
func Parse(raw []byte) (*Document, []Problem) {
	doc := Defaults()
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, []Problem{syntaxProblem(raw, err)}
	}
	problems := CheckFields("$", tree, reflect.TypeFor[Document]())
	if len(problems) > 0 {
		return nil, problems
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, []Problem{{Path: "$", Message: err.Error()}}
	}
	problems = doc.Validate()
	if len(problems) > 0 {
		return nil, problems
	}
	return &doc, nil
}

func syntaxProblem(raw []byte, err error) Problem {
	msg := "not valid JSON: " + err.Error()
	if se, ok := err.(*json.SyntaxError); ok {
		line := 1 + bytes.Count(raw[:min(int(se.Offset), len(raw))], []byte("\n"))
		msg = fmt.Sprintf("not valid JSON at line %d: %s", line, se.Error())
	}
	return Problem{Path: "$", Message: msg}
}

// CheckFields compares a decoded JSON value with a Go type and reports unknown
// fields and values of the wrong JSON type.
func CheckFields(at string, v any, t reflect.Type) []Problem {
	switch t.Kind() {
	case reflect.Pointer:
		return CheckFields(at, v, t.Elem())
	case reflect.Struct:
		return checkStruct(at, v, t)
	case reflect.Slice:
		return checkSlice(at, v, t)
	case reflect.String:
		return wantType[string](at, v, "a string")
	case reflect.Bool:
		return wantType[bool](at, v, "true or false")
	default:
		return checkNumber(at, v, t)
	}
}

func wantType[T any](at string, v any, name string) []Problem {
	if _, ok := v.(T); !ok {
		return []Problem{{at, "must be " + name}}
	}
	return nil
}

func checkNumber(at string, v any, t reflect.Type) []Problem {
	n, ok := v.(float64)
	if !ok || n != float64(int64(n)) {
		return []Problem{{at, "must be a whole number"}}
	}
	if t.Kind() == reflect.Uint64 && n < 0 {
		return []Problem{{at, "must not be negative"}}
	}
	return nil
}

func checkSlice(at string, v any, t reflect.Type) []Problem {
	if v == nil {
		return nil // null counts as an empty array
	}
	items, ok := v.([]any)
	if !ok {
		return []Problem{{at, "must be an array"}}
	}
	var problems []Problem
	for i, item := range items {
		problems = append(problems, CheckFields(fmt.Sprintf("%s[%d]", at, i), item, t.Elem())...)
	}
	return problems
}

func checkStruct(at string, v any, t reflect.Type) []Problem {
	fields, ok := v.(map[string]any)
	if !ok {
		return []Problem{{at, "must be an object"}}
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	var problems []Problem
	for _, name := range sortedKeys(fields) {
		ft, ok := known[name]
		if !ok {
			problems = append(problems, Problem{at + "." + name, "unknown field"})
			continue
		}
		problems = append(problems, CheckFields(at+"."+name, fields[name], ft)...)
	}
	return problems
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Matches reports whether a call's method and path, relative to the service's
// root, match the pattern.
func (c CallPattern) Matches(method, p string) bool {
	if c.Method != "*" && !strings.EqualFold(c.Method, method) {
		return false
	}
	ok, err := path.Match(c.Path, p)
	return err == nil && ok
}
