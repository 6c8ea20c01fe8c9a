package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"testing"

	"plantainfield.example/core/event"
)

// No test had posted a lost hand-over, so that the branch which handles it had never run.
func TestEachFieldOfAnEventIsSentBySomeTest(t *testing.T) {
	set := fieldsSetInTests(t)
	var unsent []string
	events := reflect.TypeFor[event.Event]()
	for i := range events.NumField() {
		payload := events.Field(i).Type.Elem()
		if payload.Kind() != reflect.Struct {
			continue
		}
		if !set[events.Field(i).Name] {
			unsent = append(unsent, events.Field(i).Name)
		}
		for j := range payload.NumField() {
			if !set[payload.Name()+"."+payload.Field(j).Name] {
				unsent = append(unsent, payload.Name()+"."+payload.Field(j).Name)
			}
		}
	}
	if len(unsent) > 0 {
		t.Errorf("no test of this package sets %v", unsent)
	}
}

// fieldsSetInTests returns the fields that composite literals of the event package's types
// and assignments set in the tests of this package, as "Type.Field" and, for those of
// Event, as "Field".
func fieldsSetInTests(t *testing.T) map[string]bool {
	paths, err := filepath.Glob("*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	set := map[string]bool{}
	assigned := map[string]bool{}
	for _, path := range paths {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CompositeLit:
				recordLiteral(set, n)
			case *ast.AssignStmt:
				for _, left := range n.Lhs {
					if s, ok := left.(*ast.SelectorExpr); ok {
						assigned[s.Sel.Name] = true
					}
				}
			}
			return true
		})
	}
	events := reflect.TypeFor[event.Event]()
	for i := range events.NumField() {
		payload := events.Field(i).Type.Elem()
		for j := range payload.NumField() {
			if assigned[payload.Field(j).Name] {
				set[payload.Name()+"."+payload.Field(j).Name] = true
			}
		}
	}
	return set
}

func recordLiteral(set map[string]bool, lit *ast.CompositeLit) {
	s, ok := lit.Type.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if pkg, ok := s.X.(*ast.Ident); !ok || pkg.Name != "event" {
		return
	}
	for _, e := range lit.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := kv.Key.(*ast.Ident); ok {
			set[s.Sel.Name+"."+key.Name] = true
			if s.Sel.Name == "Event" {
				set[key.Name] = true
			}
		}
	}
}
