package setup

import (
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// Load reads the settings from a file and checks every value. If any is invalid,
// the error is [Faults]; a file that can't be read or parsed gives another error.
// Combinations of values and the contents of files are checked only if each value
// is valid by itself.
func Load(path string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	s := Settings{file: path}
	d := decoder{file: f, path: path}
	d.decodeSections(reflect.ValueOf(&s).Elem())
	if len(d.faults) == 0 {
		d.faults = s.validate()
	}
	if len(d.faults) > 0 {
		return s, d.faults
	}
	return s, nil
}

// Default returns settings with all defaults. Settings without a default are empty.
func Default() Settings {
	var s Settings
	d := decoder{file: ini.Empty()}
	d.decodeSections(reflect.ValueOf(&s).Elem())
	return s
}

// decoder decodes a file into settings and collects the faults.
type decoder struct {
	file   *ini.File
	path   string
	faults Faults
}

func (d *decoder) addFault(section, key, value, want string) {
	d.faults = append(d.faults, Fault{d.path, section, key, value, want})
}

// decodeSections decodes each field of the settings from the section that its tag
// names. Fields without a tag are skipped. Unknown sections and keys outside of
// sections are faults.
func (d *decoder) decodeSections(v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		if name == "" {
			continue
		}
		known = append(known, name)
		d.decodeKeys(d.file.Section(name), v.Field(i))
	}
	for _, s := range d.file.Sections() {
		switch {
		case s.Name() == ini.DefaultSection && len(s.Keys()) > 0:
			d.addFault("", s.Keys()[0].Name(), s.Keys()[0].Value(), "every key inside a section")
		case s.Name() != ini.DefaultSection && !slices.Contains(known, s.Name()):
			d.addFault(s.Name(), "", "", "a known section: "+strings.Join(known, ", "))
		}
	}
}

// decodeKeys decodes each field of a section from the key that its tag names.
// Unknown keys are faults.
func (d *decoder) decodeKeys(s *ini.Section, v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		known = append(known, f.Tag.Get("ini"))
		d.decodeKey(s, f, v.Field(i))
	}
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			d.addFault(s.Name(), k.Name(), k.Value(), "a known key: "+strings.Join(known, ", "))
		}
	}
}

// decodeKey decodes the field f into v from its key in the section, or from its
// default if the key isn't set. A key that is set twice, or is required but not
// set, is a fault.
func (d *decoder) decodeKey(s *ini.Section, f reflect.StructField, v reflect.Value) {
	name := f.Tag.Get("ini")
	text, ok := f.Tag.Lookup("default")
	if s.HasKey(name) {
		values := s.Key(name).ValueWithShadows()
		if len(values) > 1 {
			d.addFault(s.Name(), name, strings.Join(values, ", "), "the key once only")
			return
		}
		text, ok = s.Key(name).Value(), true
	}
	if !ok {
		d.addFault(s.Name(), name, "(not set)", "a value; this key has no default")
		return
	}
	if want := setValue(v, text, f.Tag.Get("check")); want != "" {
		d.addFault(s.Name(), name, text, want)
	}
}
