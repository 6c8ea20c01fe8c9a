// Package reference generates the reference pages in docs/ from the code: the
// fields of the configuration file and of the settings file, and the error kinds.
// A test fails if a committed page differs from the generated one.
package reference

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"plantainfield.example/core/config"
)

// fieldDocs maps "Type.Field" to the doc comment of the field.
type fieldDocs map[string]string

// readDocs reads the doc comments of all struct fields in a source file. A field
// without a comment takes the comment of the field before it, so that one comment
// can document a group of fields.
func readDocs(path string) (fieldDocs, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	docs := fieldDocs{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if st, ok := spec.Type.(*ast.StructType); ok {
			docs.addStruct(spec.Name.Name, st)
		}
		return true
	})
	return docs, nil
}

func (d fieldDocs) addStruct(name string, st *ast.StructType) {
	last := ""
	for _, f := range st.Fields.List {
		if text := strings.Join(strings.Fields(f.Doc.Text()), " "); text != "" {
			last = text
		}
		for _, n := range f.Names {
			d[name+"."+n.Name] = last
		}
	}
}

// page builds the reference page of one JSON file.
type page struct {
	b    strings.Builder
	docs fieldDocs
}

// row is one row of a reference table.
type row struct{ path, jsonType, limits, defaultValue, meaning string }

// addFields appends a table row for each field of a struct and, recursively, of
// the structs in it. at is the JSON path of the struct; defaults is a struct that
// holds the default values.
func (p *page) addFields(at string, defaults reflect.Value) {
	t := defaults.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := strings.TrimPrefix(at+"."+name, ".")
		r := row{path: path, jsonType: jsonTypeOf(f.Type), limits: limitsOf(f.Tag), meaning: p.docs[t.Name()+"."+f.Name]}
		r.defaultValue = defaultOf(defaults.Field(i))
		p.addRow(r)
		p.addNested(path, f.Type, defaults.Field(i))
	}
}

func (p *page) addNested(path string, t reflect.Type, value reflect.Value) {
	switch {
	case t.Kind() == reflect.Struct:
		p.addFields(path, value)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		p.addFields(path+"[]", reflect.Zero(t.Elem()))
	}
}

func (p *page) addRow(r row) {
	fmt.Fprintf(&p.b, "| `%s` | %s | %s | %s | %s |\n", r.path, r.jsonType, r.limits, r.defaultValue, r.meaning)
}

func jsonTypeOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	default:
		return "whole number"
	}
}

func limitsOf(tag reflect.StructTag) string {
	if enum := tag.Get(config.TagEnum); enum != "" {
		return "`" + strings.ReplaceAll(enum, ",", "`, `") + "`"
	}
	if low := tag.Get(config.TagMin); low != "" {
		return low + " to " + tag.Get(config.TagMax)
	}
	return ""
}

func defaultOf(v reflect.Value) string {
	if v.IsZero() || v.Kind() == reflect.Struct || v.Kind() == reflect.Slice {
		return ""
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return "`" + string(raw) + "`"
}
