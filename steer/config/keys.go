package config

import (
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// strictKeys returns an error when the section has a key that v's type lacks.
func strictKeys(s *ini.Section, v any) error {
	t := reflect.TypeOf(v)
	var allowed []string
	known := make(map[string]bool)
	for i := range t.NumField() {
		k := t.Field(i).Tag.Get("ini")
		if k == "" || k == "-" {
			continue
		}
		known[k] = true
		allowed = append(allowed, k)
	}
	var unknown []string
	for _, k := range s.KeyStrings() {
		if !known[k] {
			unknown = append(unknown, k)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return errors.Errorf("unknown key %s; allowed are %s", strings.Join(unknown, ", "), strings.Join(allowed, ", "))
}
