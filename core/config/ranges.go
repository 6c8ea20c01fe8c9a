package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Struct tags that restrict the values of a field. CheckRanges enforces them
// and the reference pages in docs/ show them.
const (
	// TagMin and TagMax limit a whole number.
	TagMin = "min"
	TagMax = "max"
	// TagEnum lists the allowed strings, separated by commas.
	TagEnum = "enum"
)

// CheckRanges reports each field of a struct, at any depth, whose value its
// tags do not allow.
func CheckRanges(at string, v reflect.Value) []Problem {
	switch v.Kind() {
	case reflect.Pointer:
		return CheckRanges(at, v.Elem())
	case reflect.Slice:
		var problems []Problem
		for i := range v.Len() {
			problems = append(problems, CheckRanges(fmt.Sprintf("%s[%d]", at, i), v.Index(i))...)
		}
		return problems
	case reflect.Struct:
		return checkRangesOfStruct(at, v)
	}
	return nil
}

func checkRangesOfStruct(at string, v reflect.Value) []Problem {
	var problems []Problem
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		path := at + "." + name
		problems = append(problems, checkTags(path, field.Tag, v.Field(i))...)
		problems = append(problems, CheckRanges(path, v.Field(i))...)
	}
	return problems
}

func checkTags(at string, tag reflect.StructTag, v reflect.Value) []Problem {
	if enum := tag.Get(TagEnum); enum != "" {
		if !slices.Contains(strings.Split(enum, ","), v.String()) {
			return []Problem{{at, "must be one of " + strings.ReplaceAll(enum, ",", ", ")}}
		}
	}
	low, hasLow := bound(tag, TagMin)
	high, hasHigh := bound(tag, TagMax)
	if hasLow && hasHigh && (v.Int() < low || v.Int() > high) {
		return []Problem{{at, fmt.Sprintf("must be between %d and %d", low, high)}}
	}
	return nil
}

func bound(tag reflect.StructTag, name string) (int64, bool) {
	n, err := strconv.ParseInt(tag.Get(name), 10, 64)
	return n, err == nil
}
