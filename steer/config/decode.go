package config

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// decode sets the fields of the struct that out points to from the section's
// keys. It returns a fault for each key that is unknown, duplicate or has a
// value that can't be converted to the field's type.
func decode(s *ini.Section, out any) []Fault {
	fields, names := fieldsOf(out)
	var faults []Fault
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		field, ok := fields[k.Name()]
		want := ""
		switch {
		case !ok:
			want = "one of the keys " + strings.Join(names, ", ")
		case len(values) > 1:
			want = "each key once"
		default:
			want = setField(field, k.Value())
		}
		if want != "" {
			faults = append(faults, Fault{Key: k.Name(), Value: strings.Join(values, ", "), Want: want})
		}
	}
	return faults
}

// fieldsOf returns the fields that have an INI key, by key, and the keys in the
// order of the fields.
func fieldsOf(out any) (map[string]reflect.Value, []string) {
	v := reflect.ValueOf(out).Elem()
	fields := make(map[string]reflect.Value)
	var names []string
	for i := range v.NumField() {
		k := v.Type().Field(i).Tag.Get("ini")
		if k == "" || k == "-" {
			continue
		}
		fields[k] = v.Field(i)
		names = append(names, k)
	}
	return fields, names
}

// setField converts the value and stores it in the field. It returns a description
// of the allowed values if the value can't be converted, else "".
func setField(field reflect.Value, value string) string {
	switch field.Kind() {
	case reflect.String:
		field.SetString(value)
	case reflect.Int:
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return "a whole number"
		}
		field.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return "a number"
		}
		field.SetFloat(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return "true or false"
		}
		field.SetBool(b)
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(value)))
	default:
		panic(fmt.Sprintf("record field of unsupported kind %s", field.Kind()))
	}
	return ""
}

// splitList returns the elements of a comma-separated list. It trims white space
// and omits empty elements.
func splitList(value string) []string {
	var out []string
	for p := range strings.SplitSeq(value, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}
