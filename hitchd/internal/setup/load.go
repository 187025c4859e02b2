package setup

import (
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// Load reads the settings from a file and checks every value. It returns
// [Faults] when there are any.
func Load(path string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	s := Settings{file: path}
	d := decoder{file: f, path: path}
	d.sections(reflect.ValueOf(&s).Elem())
	if len(d.faults) == 0 {
		d.faults = s.faults()
	}
	if len(d.faults) > 0 {
		return s, d.faults
	}
	return s, nil
}

// Default returns the defaults of the settings that have one.
func Default() Settings {
	var s Settings
	d := decoder{file: ini.Empty()}
	d.sections(reflect.ValueOf(&s).Elem())
	return s
}

// decoder fills settings from a file and collects the faults.
type decoder struct {
	file   *ini.File
	path   string
	faults Faults
}

func (d *decoder) fault(section, key, value, want string) {
	d.faults = append(d.faults, Fault{d.path, section, key, value, want})
}

// sections decodes each field of the settings from the section of its tag.
func (d *decoder) sections(v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		if name == "" {
			continue
		}
		known = append(known, name)
		d.keys(d.file.Section(name), v.Field(i))
	}
	for _, s := range d.file.Sections() {
		switch {
		case s.Name() == ini.DefaultSection && len(s.Keys()) > 0:
			d.fault("", s.Keys()[0].Name(), s.Keys()[0].Value(), "every key inside a section")
		case s.Name() != ini.DefaultSection && !slices.Contains(known, s.Name()):
			d.fault(s.Name(), "", "", "a known section: "+strings.Join(known, ", "))
		}
	}
}

// keys decodes each field of a section.
func (d *decoder) keys(s *ini.Section, v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		known = append(known, f.Tag.Get("ini"))
		d.key(s, f, v.Field(i))
	}
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			d.fault(s.Name(), k.Name(), k.Value(), "a known key: "+strings.Join(known, ", "))
		}
	}
}

func (d *decoder) key(s *ini.Section, f reflect.StructField, v reflect.Value) {
	name := f.Tag.Get("ini")
	text, ok := f.Tag.Lookup("default")
	if s.HasKey(name) {
		values := s.Key(name).ValueWithShadows()
		if len(values) > 1 {
			d.fault(s.Name(), name, strings.Join(values, ", "), "the key once only")
			return
		}
		text, ok = s.Key(name).Value(), true
	}
	if !ok {
		d.fault(s.Name(), name, "(not set)", "a value; this key has no default")
		return
	}
	if want := set(v, text, f.Tag.Get("check")); want != "" {
		d.fault(s.Name(), name, text, want)
	}
}
